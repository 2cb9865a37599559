#include "rosemaryreach/target_picker.h"

#include <catch2/catch.hpp>
#include <map>

#include "entry_fixture.h"

namespace rosemaryreach {
namespace {

// Opens `count` flows that stay open and returns how many each target got.
std::map<target_index, int> OpenFlows(entry_fixture& fixture,
                                      int count,
                                      std::int64_t ms = 0) {
  std::map<target_index, int> opened;
  for (int i = 0; i < count; ++i) {
    const flow_key flow = Flow(static_cast<std::uint16_t>(i));
    const packet_decision decision = fixture.Direct(FirstPacket(flow), At(ms));
    if (decision.verdict == packet_verdict::kForward) {
      ++opened[decision.target];
      fixture.Direct(LaterPacket(flow, decision.cookie, 1'001, 5'001, 0),
                     At(ms));
    }
  }
  return opened;
}

TEST_CASE("Long flows spread evenly, since they cannot move later") {
  entry_fixture fixture;
  for (std::uint32_t i = 1; i <= 5; ++i) {
    fixture.Add(Target("l" + std::to_string(i), i));
  }
  for (const auto& [target, count] : OpenFlows(fixture, 500)) {
    CHECK(count >= 85);
    CHECK(count <= 115);
  }
}

TEST_CASE("Flows stay in their data centre until it is busy") {
  entry_fixture fixture;
  const target_index near = fixture.Add(Target("l1", 1));
  const target_index far = fixture.Add(Target("l2", 2, "dc-b"));
  CHECK(fixture.picker.Pick("ledger", {}, At(0)).target == near);
  for (std::uint16_t port = 0; port < 6; ++port) {
    fixture.tracker.Open(Flow(port), near, At(0));
  }
  CHECK(fixture.picker.Pick("ledger", {}, At(1)).target == far);
}

// The sums of a large service are kept for a moment; a data centre that they
// lacked was out of their range.
TEST_CASE("The first target of a data centre is found in a large service") {
  entry_fixture fixture;
  constexpr std::uint32_t kTargets = 300;
  for (std::uint32_t i = 1; i <= kTargets; ++i) {
    fixture.Add(Target("l" + std::to_string(i), i));
  }
  CHECK(fixture.picker.Pick("ledger", {}, At(1'000)).target != kNoTarget);
  for (std::uint32_t i = 1; i <= kTargets; ++i) {
    target_record left = Target("l" + std::to_string(i), i);
    fixture.Drain(left, At(1'000));
    fixture.Remove(left.id, At(1'000));
  }
  for (std::uint32_t i = 1; i <= kTargets; ++i) {
    fixture.Add(Target("f" + std::to_string(i), 1'000 + i, "dc-b"), At(1'000));
  }
  const target_index found =
      fixture.picker.Pick("ledger", {}, At(1'005)).target;
  REQUIRE(found != kNoTarget);
  CHECK(fixture.directory.Find(found)->record.data_centre == "dc-b");
}

// Requests whose callers have left stay for seconds. With the slots of a few
// targets alone they looked like a queue, and refusals kept the others stuck.
TEST_CASE("Stuck targets count with their slots for the expected queue") {
  entry_fixture fixture;
  std::vector<target_index> targets;
  for (std::uint32_t i = 1; i <= 5; ++i) {
    targets.push_back(fixture.Add(Target("l" + std::to_string(i), i)));
  }
  for (std::uint16_t port = 0; port < 8; ++port) {
    fixture.tracker.OnPacket(LaterPacket(Flow(port), 9, 1'001, 5'001, 10),
                             targets[port % 4], At(0));
  }
  fixture.tracker.OnPacket(LaterPacket(Flow(9), 9, 1'001, 5'001, 10),
                           targets[4], At(1'500));
  // One request at five targets of two slots, and a share of its open flow.
  CHECK(fixture.picker.EstimateLoad("ledger", At(2'000)).Queue() < 0.2);
}

TEST_CASE("A draining target gets no new flow after the first second") {
  entry_fixture fixture;
  fixture.Add(Target("l1", 1));
  fixture.Drain(Target("l1", 1), At(1'000));
  CHECK(fixture.picker.Pick("ledger", {}, At(1'500)).target != kNoTarget);
  CHECK(fixture.picker.Pick("ledger", {}, At(2'000)).target == kNoTarget);
}

TEST_CASE("A draining target gets no new flow if there is an alternative") {
  entry_fixture fixture;
  fixture.Add(Target("l1", 1));
  const target_index stays = fixture.Add(Target("l2", 2, "dc-b"));
  fixture.Drain(Target("l1", 1), At(1'000));
  CHECK(fixture.picker.Pick("ledger", {}, At(1'001)).target == stays);
}

TEST_CASE("An evacuated data centre gets no new flow") {
  entry_fixture fixture;
  fixture.Add(Target("l1", 1));
  fixture.Evacuate("dc-a", true, At(0));
  CHECK(fixture.picker.Pick("ledger", {}, At(1)).target == kNoTarget);
}

TEST_CASE("A target with an unanswered first packet is avoided") {
  entry_fixture fixture;
  const target_index silent = fixture.Add(Target("l1", 1));
  fixture.tracker.Open(Flow(1), silent, At(0));
  const target_index answers = fixture.Add(Target("l2", 2, "dc-b"));
  for (std::int64_t ms = 60; ms < 100; ++ms) {
    CHECK(fixture.picker.Pick("ledger", {}, At(ms)).target == answers);
  }
  CHECK(fixture.suspected == std::vector<target_index>{silent});
}

TEST_CASE("A target with a missing entry is a last choice until it is gone") {
  entry_fixture fixture;
  const target_index first = fixture.Add(Target("l1", 1));
  const target_index second = fixture.Add(Target("l2", 2, "dc-b"));
  fixture.Remove("l1", At(0));
  CHECK(fixture.picker.Pick("ledger", {}, At(1)).target == second);
  fixture.Remove("l2", At(1'000));
  CHECK(fixture.picker.Pick("ledger", {}, At(1'001)).target != kNoTarget);
  fixture.directory.Tick(false, At(2'600));
  CHECK(fixture.directory.Find(first)->listing == target_listing::kGone);
  CHECK(fixture.picker.Pick("ledger", {}, At(2'601)).target == second);
  fixture.directory.Tick(false, At(3'600));
  CHECK(fixture.picker.Pick("ledger", {}, At(3'601)).target == kNoTarget);
}

TEST_CASE("A target does not inherit the status of its index") {
  entry_fixture fixture;
  const target_index before = fixture.Add(Target("l1", 1));
  fixture.MakeUnreachable(before, At(0));
  fixture.Drain(Target("l1", 1), At(0));
  fixture.Remove("l1", At(0));
  fixture.directory.Tick(false, At(75'000));
  const target_index after = fixture.Add(Target("l2", 2), At(75'001));
  REQUIRE(after == before);
  CHECK(fixture.picker.Pick("ledger", {}, At(75'002)).target == after);
}

TEST_CASE("Cold targets get no more than half of their limit per instance") {
  constexpr double kRate = 10;
  entry_fixture fixture;
  entry_config config = Config(2);
  config.services[0].cold_flows_per_s = kRate;
  fixture.directory.Apply({}, config, At(0));
  target_record cold = Target("l1", 1);
  cold.cold_left = std::chrono::seconds(5);
  const target_index target = fixture.Add(cold);
  std::vector<std::int64_t> opened;
  for (std::int64_t ms = 0; ms < 5'000; ms += 5) {
    const pick_result chosen = fixture.picker.Pick("ledger", {}, At(ms));
    if (chosen.target == target) {
      opened.push_back(ms);
    }
  }
  // The limit is twice this rate, 10 x 1.5 + 5, for up to two owners.
  for (std::size_t i = 0; i < opened.size(); ++i) {
    const auto in_second = std::count_if(
        opened.begin(), opened.end(), [&opened, i](std::int64_t ms) {
          return ms >= opened[i] && ms < opened[i] + 1'000;
        });
    CHECK(in_second <= 10);
  }
  CHECK(opened.size() > 20);
}

TEST_CASE("Only the owner opens flows to a cold target with a rate") {
  entry_fixture fixture;
  entry_config config = Config(2);
  config.services[0].cold_flows_per_s = 10;
  fixture.directory.Apply({}, config, At(0));
  target_record cold = Target("l1", 1);
  cold.cold_left = std::chrono::seconds(5);
  fixture.Add(cold);
  fixture.owns = false;
  CHECK(fixture.picker.Pick("ledger", {}, At(0)).target == kNoTarget);
  CHECK(fixture.picker.Pick("ledger", {}, At(5'000)).target != kNoTarget);
}

}  // namespace
}  // namespace rosemaryreach
