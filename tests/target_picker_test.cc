#include "rosemaryreach/target_picker.h"

#include <catch2/catch.hpp>
#include <map>

#include "entry_fixture.h"

namespace rosemaryreach {
namespace {

// Opens `count` flows that stay open and returns how many each target got.
std::map<target_index, int> OpenFlows(entry_scene& scene,
                                      int count,
                                      std::int64_t ms = 0) {
  std::map<target_index, int> opened;
  for (int i = 0; i < count; ++i) {
    const flow_key flow = Flow(static_cast<std::uint16_t>(i));
    const packet_decision decision = scene.Direct(First(flow), At(ms));
    if (decision.verdict == packet_verdict::kForward) {
      ++opened[decision.target];
      scene.Direct(Later(flow, decision.cookie, 1'001, 5'001, 0), At(ms));
    }
  }
  return opened;
}

TEST_CASE("Long flows spread evenly, as they can't move later") {
  entry_scene scene;
  for (std::uint32_t i = 1; i <= 5; ++i) {
    scene.Add(Target("l" + std::to_string(i), i));
  }
  for (const auto& [target, count] : OpenFlows(scene, 500)) {
    CHECK(count >= 85);
    CHECK(count <= 115);
  }
}

TEST_CASE("Callers stay in their data centre until it is busy") {
  entry_scene scene;
  const target_index near = scene.Add(Target("l1", 1));
  const target_index far = scene.Add(Target("l2", 2, "dc-b"));
  CHECK(scene.picker.Pick("ledger", {}, At(0)).target == near);
  for (std::uint16_t port = 0; port < 6; ++port) {
    scene.tracker.Open(Flow(port), near, At(0));
  }
  CHECK(scene.picker.Pick("ledger", {}, At(1)).target == far);
}

TEST_CASE("A leaving target gets no new flow after the first second") {
  entry_scene scene;
  scene.Add(Target("l1", 1));
  scene.Drain(Target("l1", 1), At(1'000));
  CHECK(scene.picker.Pick("ledger", {}, At(1'500)).target != kNoTarget);
  CHECK(scene.picker.Pick("ledger", {}, At(2'000)).target == kNoTarget);
}

TEST_CASE("A leaving target gets no new flow while another one will do") {
  entry_scene scene;
  scene.Add(Target("l1", 1));
  const target_index stays = scene.Add(Target("l2", 2, "dc-b"));
  scene.Drain(Target("l1", 1), At(1'000));
  CHECK(scene.picker.Pick("ledger", {}, At(1'001)).target == stays);
}

TEST_CASE("A data centre taken out gets no new flow") {
  entry_scene scene;
  scene.Add(Target("l1", 1));
  scene.Evacuate("dc-a", true, At(0));
  CHECK(scene.picker.Pick("ledger", {}, At(1)).target == kNoTarget);
}

TEST_CASE("A target with an unanswered first packet is passed over") {
  entry_scene scene;
  const target_index silent = scene.Add(Target("l1", 1));
  scene.tracker.Open(Flow(1), silent, At(0));
  const target_index answers = scene.Add(Target("l2", 2, "dc-b"));
  for (std::int64_t ms = 60; ms < 100; ++ms) {
    CHECK(scene.picker.Pick("ledger", {}, At(ms)).target == answers);
  }
  CHECK(scene.suspected == std::vector<target_index>{silent});
}

TEST_CASE("An entry that went without notice is a last choice, then gone") {
  entry_scene scene;
  const target_index first = scene.Add(Target("l1", 1));
  const target_index second = scene.Add(Target("l2", 2, "dc-b"));
  scene.Remove("l1", At(0));
  CHECK(scene.picker.Pick("ledger", {}, At(1)).target == second);
  scene.Remove("l2", At(1'000));
  CHECK(scene.picker.Pick("ledger", {}, At(1'001)).target != kNoTarget);
  scene.directory.Tick(false, At(2'600));
  CHECK(scene.directory.Find(first)->listing == target_listing::kGone);
  CHECK(scene.picker.Pick("ledger", {}, At(2'601)).target == second);
  scene.directory.Tick(false, At(3'600));
  CHECK(scene.picker.Pick("ledger", {}, At(3'601)).target == kNoTarget);
}

TEST_CASE("A target is not judged by the one that had its index before") {
  entry_scene scene;
  const target_index before = scene.Add(Target("l1", 1));
  scene.MakeUnreachable(before, At(0));
  scene.Drain(Target("l1", 1), At(0));
  scene.Remove("l1", At(0));
  scene.directory.Tick(false, At(75'000));
  const target_index after = scene.Add(Target("l2", 2), At(75'001));
  REQUIRE(after == before);
  CHECK(scene.picker.Pick("ledger", {}, At(75'002)).target == after);
}

TEST_CASE("Cold targets get no more than their rate in any second") {
  constexpr double kRate = 10;
  entry_scene scene;
  entry_config config = Config(2);
  config.services[0].cold_flows_per_s = kRate;
  scene.directory.Apply({}, config, At(0));
  target_record cold = Target("l1", 1);
  cold.cold_left = std::chrono::seconds(5);
  const target_index target = scene.Add(cold);
  std::vector<std::int64_t> opened;
  for (std::int64_t ms = 0; ms < 5'000; ms += 5) {
    const pick_result chosen = scene.picker.Pick("ledger", {}, At(ms));
    if (chosen.target == target) {
      opened.push_back(ms);
    }
  }
  // Twice this rate is allowed: 10 x 1.5 + 5.
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
  entry_scene scene;
  entry_config config = Config(2);
  config.services[0].cold_flows_per_s = 10;
  scene.directory.Apply({}, config, At(0));
  target_record cold = Target("l1", 1);
  cold.cold_left = std::chrono::seconds(5);
  scene.Add(cold);
  scene.owns = false;
  CHECK(scene.picker.Pick("ledger", {}, At(0)).target == kNoTarget);
  CHECK(scene.picker.Pick("ledger", {}, At(5'000)).target != kNoTarget);
}

}  // namespace
}  // namespace rosemaryreach
