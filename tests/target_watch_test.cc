#include "entryd/target_watch.h"

#include <catch2/catch.hpp>

#include "entry_fixture.h"
#include "http_server_fixture.h"
#include "own_address.h"

namespace rosemaryreach {
namespace {

// A watch over one target in a scene without callers.
struct watch_scene {
  // Adds a target whose port is `address`.
  target_index Add(const endpoint& address) {
    record = Target("l1", 1);
    record.address = ToIpv4Endpoint(address);
    return scene.Add(record, BootTimeNow());
  }

  bool Until(const std::function<bool()>& done) {
    loop_timer tick(loop, [this] { watch.Tick(); });
    tick.StartEvery(std::chrono::milliseconds(5));
    const time_point end = loop.now() + std::chrono::minutes(1);
    while (!done() && loop.now() < end) {
      loop.RunOnce();
    }
    return done();
  }

  // Doubts the target in the ledger and in the watch.
  void Doubt(target_index target) {
    scene.tracker.MarkSuspected(target, "test");
    watch.Doubt(target, "test");
  }

  const target_status& contact(target_index target) const {
    return scene.tracker.StatusOf(target);
  }

  event_loop loop;
  entry_fixture scene;
  target_record record;
  silent_log silent;
  entry_log log{silent};
  std::unique_ptr<metrics_registry> registry = MakeMetricsRegistry();
  entry_metrics metrics{*registry};
  bool late = false;
  std::vector<target_index> lost;
  target_watch watch{loop,
                     scene.directory,
                     scene.tracker,
                     [this] { return late; },
                     [this](target_index target) { lost.push_back(target); },
                     log,
                     metrics};
};

TEST_CASE("A target whose port answers is trusted again") {
  watch_scene scene;
  const http_server_fixture server(
      scene.loop, [](const std::string&) { return scripted_reply{}; });
  const target_index target = scene.Add(server.address());
  scene.Doubt(target);
  CHECK(scene.Until([&] { return !scene.contact(target).suspected; }));
  CHECK(scene.lost.empty());
}

TEST_CASE("A target whose port refuses is lost, once") {
  watch_scene scene;
  const target_index target = scene.Add({OwnAddress(), 9});
  scene.Doubt(target);
  CHECK(scene.Until([&] { return !scene.lost.empty(); }));
  CHECK(scene.Until([&] { return scene.contact(target).failed_probes >= 5; }));
  CHECK(scene.lost.size() == 1);
}

TEST_CASE("Failed probes of a late process tell nothing") {
  watch_scene scene;
  scene.late = true;
  const target_index target = scene.Add({OwnAddress(), 9});
  scene.Doubt(target);
  REQUIRE(scene.Until([&] { return scene.metrics.probes.value() >= 2; }));
  CHECK(scene.contact(target).failed_probes == 0);
}

TEST_CASE("A gone target that is lost rests until it is listed again") {
  watch_scene scene;
  const target_index target = scene.Add({OwnAddress(), 9});
  scene.scene.Drain(scene.record, BootTimeNow());
  scene.scene.Remove("l1", BootTimeNow());
  scene.Doubt(target);
  REQUIRE(scene.Until([&] { return !scene.lost.empty(); }));
  const std::uint64_t probes = scene.metrics.probes.value();
  for (int i = 0; i < 50; ++i) {
    scene.watch.Tick();
  }
  CHECK(scene.metrics.probes.value() == probes);
  const http_server_fixture server(
      scene.loop, [](const std::string&) { return scripted_reply{}; });
  scene.record.address = ToIpv4Endpoint(server.address());
  scene.scene.Add(scene.record, BootTimeNow());
  CHECK(scene.Until([&] { return !scene.contact(target).suspected; }));
}

}  // namespace
}  // namespace rosemaryreach
