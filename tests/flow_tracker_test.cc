#include "rosemaryreach/flow_tracker.h"

#include <catch2/catch.hpp>

#include "entry_fixture.h"

namespace rosemaryreach {
namespace {

constexpr target_index kOne = 0;
constexpr target_index kTwo = 1;

struct tracker_fixture {
  std::vector<target_index> suspected;
  std::vector<duration> opened;
  std::vector<duration> answered;
  std::vector<flow_key> stalled;
  flow_tracker tracker{100,
                       {[this](target_index target, const char* /*reason*/) {
                          suspected.push_back(target);
                        },
                        [this](duration time) { opened.push_back(time); },
                        [this](const flow_key& key, target_index, duration) {
                          stalled.push_back(key);
                        },
                        [this](duration time) { answered.push_back(time); }}};
};

TEST_CASE("A flow opens, asks and is answered") {
  tracker_fixture scene;
  flow_tracker& tracker = scene.tracker;
  tracker.Open(Flow(1), kOne, At(0));
  CHECK(tracker.StatusOf(kOne).opening == 1);
  tracker.OnPacket(Later(Flow(1), 9, 1'001, 5'001, 100), kOne, At(4));
  CHECK(tracker.StatusOf(kOne).opening == 0);
  CHECK(tracker.StatusOf(kOne).open == 1);
  CHECK(tracker.StatusOf(kOne).running == 1);
  tracker.OnPacket(Later(Flow(1), 9, 1'101, 7'001, 0), kOne, At(34));
  CHECK(tracker.StatusOf(kOne).running == 0);
  CHECK(scene.opened == std::vector<duration>{std::chrono::milliseconds(4)});
  CHECK(scene.answered == std::vector<duration>{std::chrono::milliseconds(30)});
}

TEST_CASE("A final packet ends a flow") {
  tracker_fixture scene;
  scene.tracker.Open(Flow(1), kOne, At(0));
  flow_packet last = Later(Flow(1), 9, 1'001, 5'001, 0);
  last.finishes = true;
  scene.tracker.OnPacket(last, kOne, At(4));
  CHECK(scene.tracker.size() == 0);
  CHECK(scene.tracker.StatusOf(kOne).open == 0);
}

TEST_CASE("A copy on another target is a sign against the first") {
  tracker_fixture scene;
  scene.tracker.Open(Flow(1), kOne, At(1'000));
  scene.tracker.Open(Flow(1), kTwo, At(1'200));
  CHECK(scene.suspected == std::vector<target_index>{kOne});
  CHECK(scene.tracker.StatusOf(kOne).opening == 0);
  CHECK(scene.tracker.StatusOf(kTwo).opening == 1);
}

TEST_CASE("A copy is no sign against a target that answered since") {
  tracker_fixture scene;
  scene.tracker.Open(Flow(1), kOne, At(0));
  scene.tracker.Open(Flow(2), kOne, At(10));
  scene.tracker.OnPacket(Later(Flow(2), 9, 1'001, 5'001, 0), kOne, At(14));
  scene.tracker.Open(Flow(1), kTwo, At(200));
  CHECK(scene.suspected.empty());
}

TEST_CASE("Data sent again without an answer raises doubt") {
  tracker_fixture scene;
  const flow_packet data = Later(Flow(1), 9, 1'001, 5'001, 100);
  scene.tracker.OnPacket(data, kOne, At(1'000));
  scene.tracker.OnPacket(data, kOne, At(1'020));
  CHECK(scene.suspected.empty());
  scene.tracker.OnPacket(data, kOne, At(1'200));
  CHECK(scene.suspected == std::vector<target_index>{kOne});
  scene.tracker.OnPacket(data, kOne, At(1'600));
  CHECK(scene.stalled == std::vector<flow_key>{Flow(1)});
}

TEST_CASE("A probe or an answer ends doubt") {
  tracker_fixture scene;
  scene.tracker.MarkSuspected(kOne, "test");
  scene.tracker.OnProbeResult(kOne, false, At(100));
  scene.tracker.OnProbeResult(kOne, false, At(200));
  CHECK_FALSE(Unreachable(scene.tracker.StatusOf(kOne)));
  scene.tracker.OnProbeResult(kOne, false, At(250));
  CHECK(Unreachable(scene.tracker.StatusOf(kOne)));
  scene.tracker.OnProbeResult(kOne, true, At(300));
  CHECK_FALSE(scene.tracker.StatusOf(kOne).suspected);
}

TEST_CASE("Waiting that a paused process did not see is no sign") {
  tracker_fixture scene;
  scene.tracker.Open(Flow(1), kOne, At(0));
  scene.tracker.ResetWaitTimes(At(5'000));
  scene.tracker.CheckOpenTimeout(kOne, At(5'001));
  CHECK(scene.suspected.empty());
  scene.tracker.CheckOpenTimeout(kOne, At(5'060));
  CHECK(scene.suspected.size() == 1);
}

TEST_CASE("Nothing of a forgotten target is left to the next one") {
  tracker_fixture scene;
  scene.tracker.Open(Flow(1), kOne, At(0));
  scene.tracker.OnPacket(Later(Flow(2), 9, 1'001, 5'001, 100), kOne, At(0));
  scene.tracker.MarkSuspected(kOne, "test");
  scene.tracker.ResetTarget(kOne);
  CHECK(scene.tracker.size() == 0);
  CHECK_FALSE(scene.tracker.StatusOf(kOne).suspected);
  CHECK(scene.tracker.StatusOf(kOne).open == 0);
}

TEST_CASE("A flood of first packets stays within the limit") {
  tracker_fixture scene;
  for (std::uint16_t port = 0; port < 1'000; ++port) {
    scene.tracker.Open(Flow(port), kOne, At(0));
  }
  CHECK(scene.tracker.size() == 100);
  scene.tracker.Sweep(At(2'000));
  CHECK(scene.tracker.size() == 0);
  CHECK(scene.tracker.StatusOf(kOne).opening == 0);
}

}  // namespace
}  // namespace rosemaryreach
