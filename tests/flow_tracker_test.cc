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
  flow_tracker tracker{
      100,
      {[this](target_index target, const char* /*reason*/) {
         suspected.push_back(target);
       },
       [this](target_index, duration time) { opened.push_back(time); },
       [this](const flow_key& key, target_index, duration) {
         stalled.push_back(key);
       },
       [this](target_index, duration time, time_point /*now*/) {
         answered.push_back(time);
       }}};

  // First packets and requests without an answer, at all targets.
  std::uint32_t InFlight() const {
    std::uint32_t sum = 0;
    for (target_index target = 0; target < 4; ++target) {
      sum +=
          tracker.StatusOf(target).opening + tracker.StatusOf(target).running;
    }
    return sum;
  }
};

TEST_CASE("A flow opens, sends a request and gets an answer") {
  tracker_fixture fixture;
  flow_tracker& tracker = fixture.tracker;
  tracker.Open(Flow(1), kOne, At(0));
  CHECK(tracker.StatusOf(kOne).opening == 1);
  CHECK(fixture.InFlight() == 1);
  tracker.OnPacket(LaterPacket(Flow(1), 9, 1'001, 5'001, 100), kOne, At(4));
  CHECK(fixture.InFlight() == 1);
  CHECK(tracker.StatusOf(kOne).opening == 0);
  CHECK(tracker.StatusOf(kOne).open == 1);
  CHECK(tracker.StatusOf(kOne).running == 1);
  tracker.OnPacket(LaterPacket(Flow(1), 9, 1'101, 7'001, 0), kOne, At(34));
  CHECK(tracker.StatusOf(kOne).running == 0);
  CHECK(fixture.InFlight() == 0);
  CHECK(fixture.opened == std::vector<duration>{std::chrono::milliseconds(4)});
  CHECK(fixture.answered ==
        std::vector<duration>{std::chrono::milliseconds(30)});
}

// A count that leaks would make a target look busy for good.
TEST_CASE("Requests in flight are counted until their flow ends") {
  tracker_fixture fixture;
  flow_tracker& tracker = fixture.tracker;
  tracker.Open(Flow(1), kOne, At(0));
  tracker.Open(Flow(1), kTwo, At(200));
  CHECK(fixture.InFlight() == 1);
  tracker.Open(Flow(2), kOne, At(200));
  tracker.Drop(Flow(2));
  CHECK(fixture.InFlight() == 1);
  tracker.OnPacket(LaterPacket(Flow(3), 9, 1'001, 5'001, 100), kOne, At(300));
  CHECK(fixture.InFlight() == 2);
  tracker.ResetTarget(kOne);
  CHECK(fixture.InFlight() == 1);
  tracker.Sweep(At(60'000));
  CHECK(fixture.InFlight() == 0);
}

TEST_CASE("A packet that finishes a flow removes it") {
  tracker_fixture fixture;
  fixture.tracker.Open(Flow(1), kOne, At(0));
  flow_packet last = LaterPacket(Flow(1), 9, 1'001, 5'001, 0);
  last.finishes = true;
  fixture.tracker.OnPacket(last, kOne, At(4));
  CHECK(fixture.tracker.size() == 0);
  CHECK(fixture.tracker.StatusOf(kOne).open == 0);
}

TEST_CASE("Retransmitting to another target makes the first one suspected") {
  tracker_fixture fixture;
  fixture.tracker.Open(Flow(1), kOne, At(1'000));
  fixture.tracker.Open(Flow(1), kTwo, At(1'200));
  CHECK(fixture.suspected == std::vector<target_index>{kOne});
  CHECK(fixture.tracker.StatusOf(kOne).opening == 0);
  CHECK(fixture.tracker.StatusOf(kTwo).opening == 1);
}

TEST_CASE("A target that answered since is not suspected on retransmission") {
  tracker_fixture fixture;
  fixture.tracker.Open(Flow(1), kOne, At(0));
  fixture.tracker.Open(Flow(2), kOne, At(10));
  fixture.tracker.OnPacket(LaterPacket(Flow(2), 9, 1'001, 5'001, 0), kOne,
                           At(14));
  fixture.tracker.Open(Flow(1), kTwo, At(200));
  CHECK(fixture.suspected.empty());
}

TEST_CASE("Retransmitted data without an answer makes the target suspected") {
  tracker_fixture fixture;
  const flow_packet data = LaterPacket(Flow(1), 9, 1'001, 5'001, 100);
  fixture.tracker.OnPacket(data, kOne, At(1'000));
  fixture.tracker.OnPacket(data, kOne, At(1'020));
  CHECK(fixture.suspected.empty());
  fixture.tracker.OnPacket(data, kOne, At(1'200));
  CHECK(fixture.suspected == std::vector<target_index>{kOne});
  fixture.tracker.OnPacket(data, kOne, At(1'600));
  CHECK(fixture.stalled == std::vector<flow_key>{Flow(1)});
}

TEST_CASE("A successful probe ends suspicion") {
  tracker_fixture fixture;
  fixture.tracker.MarkSuspected(kOne, "test");
  fixture.tracker.OnProbeResult(kOne, probe_outcome::kNoAnswer, At(100));
  fixture.tracker.OnProbeResult(kOne, probe_outcome::kNoAnswer, At(200));
  CHECK_FALSE(Unreachable(fixture.tracker.StatusOf(kOne)));
  fixture.tracker.OnProbeResult(kOne, probe_outcome::kNoAnswer, At(250));
  CHECK(Unreachable(fixture.tracker.StatusOf(kOne)));
  fixture.tracker.OnProbeResult(kOne, probe_outcome::kReached, At(300));
  CHECK_FALSE(fixture.tracker.StatusOf(kOne).suspected);
}

// They were found only when the next new flow looked at the target.
TEST_CASE("Targets that leave first packets unanswered are found by a timer") {
  tracker_fixture fixture;
  fixture.tracker.Open(Flow(1), kOne, At(0));
  fixture.tracker.CheckOpenTimeouts(At(59));
  CHECK(fixture.suspected.empty());
  fixture.tracker.CheckOpenTimeouts(At(60));
  CHECK(fixture.suspected.size() == 1);
}

TEST_CASE("Waiting time during a pause of the process does not count") {
  tracker_fixture fixture;
  fixture.tracker.Open(Flow(1), kOne, At(0));
  fixture.tracker.ResetWaitTimes(At(5'000));
  fixture.tracker.CheckOpenTimeout(kOne, At(5'001));
  CHECK(fixture.suspected.empty());
  fixture.tracker.CheckOpenTimeout(kOne, At(5'060));
  CHECK(fixture.suspected.size() == 1);
}

TEST_CASE("Resetting a target clears its flows and status") {
  tracker_fixture fixture;
  fixture.tracker.Open(Flow(1), kOne, At(0));
  fixture.tracker.OnPacket(LaterPacket(Flow(2), 9, 1'001, 5'001, 100), kOne,
                           At(0));
  fixture.tracker.MarkSuspected(kOne, "test");
  fixture.tracker.ResetTarget(kOne);
  CHECK(fixture.tracker.size() == 0);
  CHECK_FALSE(fixture.tracker.StatusOf(kOne).suspected);
  CHECK(fixture.tracker.StatusOf(kOne).open == 0);
}

TEST_CASE("A flood of first packets stays within the flow limit") {
  tracker_fixture fixture;
  for (std::uint16_t port = 0; port < 1'000; ++port) {
    fixture.tracker.Open(Flow(port), kOne, At(0));
  }
  CHECK(fixture.tracker.size() == 100);
  fixture.tracker.Sweep(At(2'000));
  CHECK(fixture.tracker.size() == 0);
  CHECK(fixture.tracker.StatusOf(kOne).opening == 0);
}

}  // namespace
}  // namespace rosemaryreach
