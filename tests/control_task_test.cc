#include "adapters/control_task.h"
#include "loopback_address.h"

#include <catch2/catch.hpp>
#include <set>

namespace rosemaryreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

configuration MakeConfiguration() {
  configuration config;
  config.number = 1;
  config.data_centres = {{"d", "r"}};
  return config;
}

// A platform that serves one snapshot, or never responds if `up` is false.
class fixed_platform : public platform_source {
 public:
  explicit fixed_platform(bool up) : up_(up) {}

  void WatchEntries(const log_position& after,
                    duration /*wait*/,
                    entries_callback done) override {
    if (!up_) {
      return;
    }
    platform_page page;
    page.head_sequence = 1;
    if (after.sequence == 0) {
      page.entries = MakeSnapshot(MakeConfiguration(),
                                  snapshot_kind::kPublished, 1, 500'000);
    }
    done(std::move(page));
  }

  void ReadInstanceList(instance_list_callback done) override {}

 private:
  bool up_;
};

settings MakeSettings(const std::string& name) {
  settings one;
  one.instance = name;
  one.data_centre = "d";
  one.region = "r";
  one.address = UniqueLoopbackAddress();
  return one;
}

// Runs the loop until `done` returns true, for at most ten seconds. Returns
// the last value of `done`.
bool RunUntil(event_loop& loop, const std::function<bool()>& done) {
  const time_point limit = loop.now() + seconds(10);
  while (!done() && loop.now() < limit) {
    loop.RunPending();
  }
  return done();
}

const peer_keys kKeys = {std::string(32, 'k')};

TEST_CASE("an instance gets its configuration and state from a peer") {
  event_loop loop;
  null_log_sink log;
  fixed_platform up(true);
  fixed_platform down(false);
  const settings first = MakeSettings("a");
  settings second = MakeSettings("b");
  second.seeds = {{first.address, first.listeners.control_port}};
  std::string received;
  control_hooks hooks;
  hooks.on_flow_state = [&](instance_id /*from*/, std::string_view payload) {
    received = payload;
  };
  control_task a(loop, first, kKeys, up, log, hooks);
  REQUIRE(a.Start());
  REQUIRE(RunUntil(loop, [&] { return a.Status().ready; }));
  a.SetState(instance_state::kActive);

  control_task b(loop, second, kKeys, down, log, {});
  REQUIRE(b.Start());
  REQUIRE(RunUntil(loop, [&] { return b.Status().ready; }));
  CHECK(b.current_configuration()->number == 1);
  CHECK(b.view().instances.size() == 2);
  REQUIRE(b.SendFlowState(MakeInstanceId("a"), "pins"));
  CHECK(RunUntil(loop, [&] { return received == "pins"; }));

  b.Leave();
  CHECK(RunUntil(loop, [&] { return a.view().instances.size() == 1; }));
}

TEST_CASE("instances with different keys drop each other's messages") {
  event_loop loop;
  null_log_sink log;
  fixed_platform up(true);
  fixed_platform down(false);
  const settings first = MakeSettings("a");
  settings second = MakeSettings("b");
  second.seeds = {{first.address, first.listeners.control_port}};
  control_task a(loop, first, kKeys, up, log, {});
  control_task b(loop, second, {std::string(32, 'x')}, down, log, {});
  REQUIRE(a.Start());
  REQUIRE(b.Start());
  CHECK(RunUntil(loop, [&] { return a.Status().auth.forged > 0; }));
  CHECK(RunUntil(loop, [&] { return b.trusted(); }));
  CHECK_FALSE(b.Status().ready);
  CHECK_FALSE(b.Status().waiting_for.empty());
  CHECK(a.view().instances.size() == 1);
}

TEST_CASE("starting on a port in use returns an error") {
  event_loop loop;
  null_log_sink log;
  fixed_platform down(false);
  const settings one = MakeSettings("a");
  control_task a(loop, one, kKeys, down, log, {});
  control_task b(loop, one, kKeys, down, log, {});
  REQUIRE(a.Start());
  const result<void> started = b.Start();
  REQUIRE_FALSE(started);
  CHECK(started.error().code == errc::kIo);
}

}  // namespace
}  // namespace rosemaryreach
