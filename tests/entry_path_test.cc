// The whole path over real sockets: store, instances, targets and callers.
#include "adapters/http_get.h"
#include "entry_path_fixture.h"

namespace rosemaryreach {
namespace {

TEST_CASE("Flows are answered through any of three instances") {
  path_scene scene(3);
  for (std::size_t i = 0; i < 3; ++i) {
    scene.Start(i);
  }
  REQUIRE(scene.RunUntil([&] { return scene.world().fabric().ready() == 3; }));
  REQUIRE(scene.Call(100));
  CHECK(scene.world().violations().empty());
  CHECK(scene.world().counts().answered > 100);
  CHECK(scene.world().counts().reset_open == 0);
}

TEST_CASE("Open flows outlive their target's drain and an instance") {
  path_scene scene(3);
  for (std::size_t i = 0; i < 3; ++i) {
    scene.Start(i);
  }
  REQUIRE(scene.RunUntil([&] { return scene.world().fabric().ready() == 3; }));
  entry_world& world = scene.world();
  for (int i = 0; i < 40; ++i) {
    world.OpenFlow();
  }
  REQUIRE(scene.RunUntil([&] { return world.counts().answered > 40; }));
  world.targets().begin()->second->Drain();
  scene.Stop(2);
  REQUIRE(scene.RunUntil([&] { return world.open_flows() == 0; }));
  CHECK(world.violations().empty());
  CHECK(world.counts().reset_open == 0);
  CHECK(world.counts().reset_opening == 0);
}

TEST_CASE("A newcomer learns from its peers while the store is silent") {
  path_scene scene(3);
  scene.Start(0);
  scene.Start(1);
  REQUIRE(scene.RunUntil([&] { return scene.world().fabric().ready() == 2; }));
  scene.world().store().SetFault(store_fault::kSilent);
  scene.Start(2);
  REQUIRE(scene.RunUntil([&] { return scene.world().fabric().ready() == 3; }));
  REQUIRE(scene.Call(50));
  CHECK(scene.world().violations().empty());
}

TEST_CASE("An instance without a view gives none to peers") {
  path_scene scene(1);
  scene.world().store().SetFault(store_fault::kSilent);
  scene.Start(0);
  http_getter getter(scene.loop(), scene.world().ControlAddress(0), 1'000);
  int status = 0;
  getter.Get("/v1/items?after=0", std::chrono::seconds(10),
             [&status](const result<http_reply>& reply) {
               status = reply.value().status;
             });
  REQUIRE(scene.RunUntil([&status] { return status != 0; }));
  CHECK(status == 503);
}

TEST_CASE("A store that forgot its history is listed again") {
  path_scene scene(1);
  scene.Start(0);
  entry_world& world = scene.world();
  REQUIRE(scene.RunUntil([&] { return world.fabric().ready() == 1; }));
  world.store().SetFault(store_fault::kBusy);
  const std::uint64_t calls = world.store().calls();
  REQUIRE(scene.RunUntil([&] { return world.store().calls() >= calls + 2; }));
  world.Configure();
  const std::string added = world.AddTarget("ledger", "dc-a");
  world.store().Compact();
  world.store().SetFault(store_fault::kNone);
  bool used = false;
  REQUIRE(scene.RunUntil([&] {
    static int turn = 0;
    if (++turn % 50 == 0) {
      world.OpenFlow();
    }
    used = used || world.targets().at(added)->flows() > 0;
    return used;
  }));
  CHECK(world.violations().empty());
}

}  // namespace
}  // namespace rosemaryreach
