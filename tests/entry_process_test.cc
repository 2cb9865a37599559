// The real program as a process.
#include "standins/entry_process.h"

#include <sys/stat.h>

#include <catch2/catch.hpp>

#include "standins/entry_world.h"
#include "temporary_directory.h"

namespace rosemaryreach {
namespace {

// One process in a world of stand-ins; its output goes to `log`.
class process_scene {
 public:
  explicit process_scene(const std::string& log)
      : world_(loop_, 1, 1, 1), log_(directory_.path() + "/" + log) {
    world_.Configure();
    for (const char* service : {"ledger", "files"}) {
      world_.AddTarget(service, "dc-a");
    }
  }

  void Start() {
    process_ = std::make_unique<entry_process>(
        ROSEMARYREACH_ENTRY, world_.WriteSettings(0, directory_.path()), log_);
    REQUIRE(Until([this] { return world_.fabric().ready() == 1; }));
  }

  bool Until(const std::function<bool()>& done) {
    const time_point end = loop_.now() + std::chrono::minutes(1);
    while (!done() && loop_.now() < end) {
      loop_.RunOnce();
    }
    return done();
  }

  // Opens flows one after the other until `answered` calls are answered.
  bool Call(std::uint64_t answered) {
    const std::uint64_t before = world_.counts().answered;
    return Until([&] {
      if (world_.open_flows() < 8) {
        world_.OpenFlow();
      }
      return world_.counts().answered >= before + answered;
    });
  }

  entry_world& world() { return world_; }
  entry_process& process() { return *process_; }
  std::string log() const { return log_ + ".1.log"; }

 private:
  event_loop loop_;
  temporary_directory directory_;
  entry_world world_;
  std::string log_;
  std::unique_ptr<entry_process> process_;
};

TEST_CASE("An output that nobody reads stops neither flows nor the end") {
  process_scene scene("pipe");
  REQUIRE(mkfifo(scene.log().c_str(), 0600) == 0);
  scene.Start();
  // More lines than a pipe holds: unknown addresses are logged each.
  bool over = false;
  for (int i = 0; i < 2'000; ++i) {
    scene.world().OpenCall({0xC6120009, 1}, {"none"},
                           [&over](const call_report&) { over = true; });
  }
  REQUIRE(scene.Until([&over] { return over; }));
  CHECK(scene.Call(200));
  scene.process().Signal(SIGTERM);
  REQUIRE(scene.Until([&] { return scene.process().Ended(); }));
  CHECK_FALSE(scene.process().ended_badly());
}

TEST_CASE("A planned stop answers all flows and ends well") {
  process_scene scene("log");
  scene.Start();
  REQUIRE(scene.Call(20));
  scene.process().Signal(SIGTERM);
  REQUIRE(scene.Until([&] { return scene.process().Ended(); }));
  CHECK_FALSE(scene.process().ended_badly());
  CHECK(scene.world().counts().reset_open == 0);
  CHECK(scene.world().violations().empty());
}

TEST_CASE("Garbage from the network ends no process") {
  process_scene scene("log");
  scene.Start();
  std::mt19937 random(1);
  udp_socket sender = std::move(
      udp_socket::Bind({OwnAddress(), 0}, port_sharing::kExclusive, 1'000'000)
          .value());
  for (int i = 0; i < 5'000; ++i) {
    std::string bytes(random() % 200, '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(random());
    }
    endpoint to = scene.world().ControlAddress(0);
    to.port = i % 2 == 0 ? kPacketPort : kPeerPort;
    SendTo(sender.fd(), to, bytes);
  }
  CHECK(scene.Call(20));
  CHECK_FALSE(scene.process().Ended());
}

}  // namespace
}  // namespace rosemaryreach
