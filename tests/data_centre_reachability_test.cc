#include "rosemaryreach/data_centre_reachability.h"

#include <catch2/catch.hpp>

#include "entry_fixture.h"

namespace rosemaryreach {
namespace {

// Evaluates reachability at a time without recent answers.
struct reachability_fixture : entry_fixture {
  // Adds `count` targets and returns their indices.
  std::vector<target_index> AddMany(const std::string& data_centre, int count) {
    std::vector<target_index> added;
    for (int i = 0; i < count; ++i) {
      const std::uint32_t host = static_cast<std::uint32_t>(++hosts);
      added.push_back(
          Add(Target("l" + std::to_string(host), host, data_centre)));
    }
    return added;
  }

  std::vector<target_index> Update() { return reachability.Update(At(10'000)); }

  bool IsIsolated() {
    Update();
    return reachability.IsIsolated();
  }

  int hosts = 0;
};

TEST_CASE("An instance with a reachable local target is not isolated") {
  reachability_fixture fixture;
  fixture.AddMany("dc-a", 1);
  fixture.MakeUnreachable(fixture.AddMany("dc-b", 1)[0], At(0));
  CHECK_FALSE(fixture.IsIsolated());
}

TEST_CASE("An instance that reaches no usable target is isolated") {
  reachability_fixture fixture;
  fixture.AddMany("dc-a", 1);
  fixture.Evacuate("dc-a", true, At(0));
  const target_index remote = fixture.AddMany("dc-b", 1)[0];
  CHECK_FALSE(fixture.IsIsolated());
  fixture.MakeUnreachable(remote, At(0));
  CHECK(fixture.IsIsolated());
  fixture.tracker.OnProbeResult(remote, probe_outcome::kReached, At(100));
  CHECK_FALSE(fixture.IsIsolated());
}

// Routers had moved a caller, and brought it back: its acknowledgement was
// taken for an answer of the target, and the instance, still cut off, was ready
// again for 0.4 s.
TEST_CASE("An answer to a packet of another instance does not end isolation") {
  reachability_fixture fixture;
  fixture.AddMany("dc-a", 1);
  fixture.Evacuate("dc-a", true, At(0));
  fixture.AddMany("dc-b", 1);
  flow_key flow = Flow(1);
  flow.destination = kBookAddress;  // its flows are not reset
  const packet_decision opened = fixture.Direct(FirstPacket(flow), At(9'000));
  const target_index remote = opened.target;
  const auto send = [&](std::uint32_t acknowledged, std::uint16_t bytes,
                        std::int64_t ms) {
    fixture.Direct(
        LaterPacket(flow, opened.cookie, 1'000 + bytes, acknowledged, bytes),
        At(ms));
  };
  send(1, 1, 9'002);  // a request, which the cut-off target does not get
  fixture.MakeUnreachable(remote, At(9'300));
  CHECK(fixture.IsIsolated());
  send(500, 0, 10'000);  // it was sent again elsewhere and answered
  CHECK(fixture.IsIsolated());
  send(900, 0, 10'010);  // the rest of the answer
  CHECK(fixture.IsIsolated());
  send(900, 2, 10'020);    // the next request
  send(1'000, 0, 10'080);  // its answer proves that the target was reached
  CHECK_FALSE(fixture.IsIsolated());
}

// A data centre taken out was cut off; evidence for each of the others alone
// took up to 1.8 s, in which first packets went to targets that it can't reach.
TEST_CASE("Without usable targets of its own, all others are judged together") {
  reachability_fixture fixture;
  fixture.AddMany("dc-a", 4);
  const std::vector<target_index> b = fixture.AddMany("dc-b", 20);
  const std::vector<target_index> c = fixture.AddMany("dc-c", 20);
  for (std::size_t i = 0; i < kReachabilitySample / 2; ++i) {
    fixture.tracker.MarkSuspected(b[i], "test");
    fixture.tracker.OnProbeResult(b[i], probe_outcome::kNoAnswer, At(9'900));
    fixture.tracker.MarkSuspected(c[i], "test");
    fixture.tracker.OnProbeResult(c[i], probe_outcome::kNoAnswer, At(9'900));
  }
  CHECK_FALSE(fixture.IsIsolated());
  fixture.Evacuate("dc-a", true, At(9'950));
  CHECK(fixture.IsIsolated());
  fixture.tracker.OnProbeResult(c[0], probe_outcome::kReached, At(9'990));
  CHECK_FALSE(fixture.IsIsolated());
}

TEST_CASE("A service that failed everywhere does not isolate an instance") {
  reachability_fixture fixture;
  fixture.MakeUnreachable(fixture.AddMany("dc-a", 1)[0], At(0));
  fixture.MakeUnreachable(fixture.AddMany("dc-b", 1)[0], At(0));
  fixture.Add(Target("f1", 100, "dc-b", "files"));
  CHECK_FALSE(fixture.IsIsolated());
}

// Returns how a first packet is handled at `ms`, after an evaluation then.
packet_verdict Refusal(reachability_fixture& fixture,
                       std::int64_t ms,
                       std::uint32_t copy = 0) {
  fixture.reachability.Update(At(ms));
  return fixture.Direct(FirstPacket(Flow(1), copy), At(ms)).verdict;
}

TEST_CASE("Callers that routers are about to move are not refused") {
  reachability_fixture fixture;
  fixture.AddMany("dc-a", 1);
  fixture.Evacuate("dc-a", true, At(0));
  fixture.MakeUnreachable(fixture.AddMany("dc-b", 1)[0], At(0));
  CHECK(Refusal(fixture, 10'000) == packet_verdict::kDrop);
  CHECK(Refusal(fixture, 11'999) == packet_verdict::kDrop);
  // By then routers should have moved them.
  CHECK(Refusal(fixture, 12'000) == packet_verdict::kReset);
}

TEST_CASE("An instance that starts probes targets until it reaches one") {
  reachability_fixture fixture;
  CHECK(fixture.reachability.Confirmed());
  fixture.AddMany("dc-a", 20);
  CHECK_FALSE(fixture.reachability.Confirmed());
  std::size_t probed = 0;
  for (std::uint64_t random = 0; random < 20; ++random) {
    const std::vector<target_index> chosen =
        fixture.reachability.TargetsToConfirm(random);
    CHECK(chosen.size() <= kConfirmProbes);
    probed += chosen.size();
    for (const target_index target : chosen) {
      fixture.MakeUnreachable(target, At(0));
    }
  }
  CHECK(probed == kMaxConfirmTargets);
  fixture.tracker.OnProbeResult(0, probe_outcome::kReached, At(1));
  CHECK(fixture.reachability.Confirmed());
  CHECK(fixture.reachability.TargetsToConfirm(0).empty());
}

TEST_CASE("An evacuated target does not confirm the way to the targets") {
  reachability_fixture fixture;
  const target_index out = fixture.AddMany("dc-a", 1)[0];
  fixture.AddMany("dc-b", 1);
  fixture.Evacuate("dc-a", true, At(0));
  fixture.tracker.OnProbeResult(out, probe_outcome::kReached, At(1));
  CHECK_FALSE(fixture.reachability.Confirmed());
}

TEST_CASE("Callers are refused if other data centres are reached") {
  reachability_fixture fixture;
  fixture.MakeUnreachable(fixture.AddMany("dc-b", 1)[0], At(0));
  const target_index other = fixture.Add(Target("f1", 100, "dc-b", "files"));
  // Until then nothing is known of it, so it is probed.
  CHECK(fixture.reachability.Update(At(10'000)) ==
        std::vector<target_index>{other});
  CHECK(Refusal(fixture, 10'000) == packet_verdict::kDrop);
  fixture.tracker.OnProbeResult(other, probe_outcome::kReached, At(10'003));
  CHECK(Refusal(fixture, 10'010) == packet_verdict::kReset);
}

TEST_CASE("Callers are refused if the service has no targets elsewhere") {
  reachability_fixture fixture;
  fixture.MakeUnreachable(fixture.AddMany("dc-a", 1)[0], At(0));
  CHECK(Refusal(fixture, 10'000) == packet_verdict::kReset);
}

TEST_CASE("Two failures have a sample probed, not the whole data centre") {
  reachability_fixture fixture;
  const std::vector<target_index> targets = fixture.AddMany("dc-b", 100);
  fixture.MakeUnreachable(targets[0], At(0));
  CHECK(fixture.Update().empty());
  fixture.MakeUnreachable(targets[1], At(0));
  CHECK(fixture.Update().size() == kReachabilitySample - 2);
  CHECK_FALSE(fixture.reachability.DataCentreUnreachable("dc-b"));
}

TEST_CASE(
    "Failures of a sample make a data centre unreachable until an answer") {
  reachability_fixture fixture;
  fixture.AddMany("dc-a", 1);
  fixture.Evacuate("dc-a", true, At(0));
  const std::vector<target_index> targets = fixture.AddMany("dc-b", 100);
  for (std::size_t i = 0; i < kReachabilitySample; ++i) {
    fixture.MakeUnreachable(targets[i], At(0));
  }
  fixture.Update();
  CHECK(fixture.reachability.DataCentreUnreachable("dc-b"));
  CHECK(fixture.IsIsolated());
  CHECK(fixture.picker.Pick("ledger", {}, At(10'000)).target == kNoTarget);
  fixture.tracker.OnProbeResult(targets[0], probe_outcome::kReached,
                                At(10'000));
  fixture.Update();
  CHECK_FALSE(fixture.reachability.DataCentreUnreachable("dc-b"));
  CHECK_FALSE(fixture.reachability.IsIsolated());
}

// Each target of a sample had to fail three probes, which took half a second
// more while callers waited at an instance that was cut off.
TEST_CASE("One failed probe of each of a sample makes a centre unreachable") {
  reachability_fixture fixture;
  const std::vector<target_index> targets = fixture.AddMany("dc-b", 80);
  const auto fail_once = [&](std::size_t i) {
    fixture.tracker.MarkSuspected(targets[i], "test");
    fixture.tracker.OnProbeResult(targets[i], probe_outcome::kNoAnswer,
                                  At(9'900));
  };
  for (std::size_t i = 0; i + 1 < kReachabilitySample; ++i) {
    fail_once(i);
  }
  fixture.Update();
  CHECK_FALSE(fixture.reachability.DataCentreUnreachable("dc-b"));
  fail_once(kReachabilitySample);
  fixture.Update();
  CHECK(fixture.reachability.DataCentreUnreachable("dc-b"));
  CHECK_FALSE(Unreachable(fixture.tracker.StatusOf(targets[0])));
}

// Fewer targets make up for their number by repeated failures.
TEST_CASE("A data centre of two targets is unreachable after six failures") {
  reachability_fixture fixture;
  const std::vector<target_index> targets = fixture.AddMany("dc-b", 2);
  for (int round = 1; round <= 3; ++round) {
    for (const target_index target : targets) {
      fixture.tracker.MarkSuspected(target, "test");
      fixture.tracker.OnProbeResult(target, probe_outcome::kNoAnswer,
                                    At(9'900));
    }
    fixture.Update();
    CHECK(fixture.reachability.DataCentreUnreachable("dc-b") == (round == 3));
  }
}

// With more targets than a sample, a data centre stayed unreachable until a
// flow was answered there or probes had reached nearly all targets: callers
// were refused for a second after a cut had ended.
TEST_CASE("One reached target ends the unreachability of a data centre") {
  reachability_fixture fixture;
  const std::vector<target_index> targets = fixture.AddMany("dc-b", 80);
  for (const target_index target : targets) {
    fixture.MakeUnreachable(target, At(0));
  }
  fixture.Update();
  REQUIRE(fixture.reachability.DataCentreUnreachable("dc-b"));
  fixture.tracker.OnProbeResult(targets[7], probe_outcome::kReached,
                                At(10'000));
  CHECK(fixture.Update().empty());
  CHECK_FALSE(fixture.reachability.DataCentreUnreachable("dc-b"));
  CHECK(fixture.picker.Pick("ledger", {}, At(10'000)).target == targets[7]);
}

// The first target reached was suspected again to complete the sample, and held
// down for half a second.
TEST_CASE("A target that a probe reached is not suspected with the others") {
  reachability_fixture fixture;
  const std::vector<target_index> targets = fixture.AddMany("dc-b", 4);
  for (const target_index target : targets) {
    fixture.MakeUnreachable(target, At(0));
  }
  fixture.tracker.OnProbeResult(targets[0], probe_outcome::kReached, At(9'900));
  CHECK(fixture.Update().empty());
}

TEST_CASE("A data centre with recent answers stays reachable") {
  reachability_fixture fixture;
  const std::vector<target_index> targets = fixture.AddMany("dc-b", 20);
  for (std::size_t i = 0; i < kReachabilitySample; ++i) {
    fixture.MakeUnreachable(targets[i], At(0));
  }
  fixture.tracker.OnPacket(LaterPacket(Flow(1), 9, 1'001, 5'001, 10),
                           targets[10], At(9'800));
  fixture.tracker.OnPacket(LaterPacket(Flow(1), 9, 1'011, 6'001, 0),
                           targets[10], At(9'900));
  fixture.Update();
  CHECK_FALSE(fixture.reachability.DataCentreUnreachable("dc-b"));
}

}  // namespace
}  // namespace rosemaryreach
