#include "rosemaryreach/suspicion_accuracy.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "entry_fixture.h"

namespace rosemaryreach {
namespace {

constexpr std::uint32_t kTargets = 120;

// 120 targets in three data centres, as seen by one instance.
struct full_service {
  full_service() {
    for (std::uint32_t i = 0; i < kTargets; ++i) {
      targets.push_back(entry.Add(Target("l" + std::to_string(i), i + 1,
                                         "dc-" + std::string(1, 'a' + i % 3))));
      Answer(targets.back(), 0);
    }
  }

  void Suspect(target_index target, std::int64_t ms) {
    const flow_key flow = Flow(port++);
    entry.tracker.Open(flow, target, At(ms - 60));
    entry.tracker.CheckOpenTimeout(target, At(ms));
    entry.tracker.Drop(flow);
  }
  void Answer(target_index target, std::int64_t ms) {
    const flow_key flow = Flow(port++);
    entry.tracker.Open(flow, target, At(ms));
    entry.tracker.OnPacket(LaterPacket(flow, 0, 1'001, 1, 0), target, At(ms));
    entry.tracker.Drop(flow);
  }
  // Suspects `count` targets from `first` on, each of which a probe reaches.
  void Disprove(std::size_t first, std::size_t count, std::int64_t ms) {
    for (std::size_t i = first; i < first + count; ++i) {
      Suspect(targets[i], ms);
      entry.tracker.OnProbeResult(targets[i], probe_outcome::kReached, At(ms));
    }
  }
  // Fails a probe of each of the first `count` targets.
  void Fail(std::size_t count, std::int64_t ms) {
    for (std::size_t i = 0; i < count; ++i) {
      entry.tracker.OnProbeResult(targets[i], probe_outcome::kNoAnswer, At(ms));
    }
  }
  std::size_t Unreached(std::size_t count) const {
    return static_cast<std::size_t>(std::count_if(
        targets.begin(), targets.begin() + static_cast<std::ptrdiff_t>(count),
        [this](target_index target) {
          return Unreachable(entry.tracker.StatusOf(target));
        }));
  }

  entry_fixture entry;
  std::vector<target_index> targets;
  std::uint16_t port = 0;
};

// Plays a recorded overload: 20 suspicions per 100 ms, nearly all disproved,
// while twelve full targets fail the first three or four probes. Guards against
// resets of open flows at live targets.
TEST_CASE("Full targets that fail three probes keep their open flows") {
  constexpr std::size_t kFailing = 12;
  full_service service;
  const flow_packet data =
      LaterPacket(Flow(60'000), MakeCookie("l0", 1), 1'001, 5'001, 100);
  for (std::int64_t ms = 0; ms <= 3'000; ms += 100) {
    const std::size_t first = kFailing + static_cast<std::size_t>(ms) / 5 % 80;
    service.Disprove(first, 1 + static_cast<std::size_t>(ms) / 100 % 20, ms);
    if (ms == 2'000) {
      for (std::size_t i = 0; i < kFailing; ++i) {
        service.Suspect(service.targets[i], ms);
      }
    }
    if (ms >= 2'100 && ms % 200 == 100 && ms < 2'900) {
      service.Fail(kFailing, ms);
    }
    CHECK(service.Unreached(kFailing) == 0);
    CHECK(service.entry.Direct(data, At(ms)).verdict ==
          packet_verdict::kForward);
  }
}

TEST_CASE("During an overload, a target without a sign of life is found") {
  full_service service;
  service.Suspect(service.targets[0], 0);
  for (std::int64_t ms = 100; ms <= 3'500; ms += 100) {
    service.Disprove(10, 10, ms);
    if (ms % 400 == 0) {
      service.Fail(1, ms);
    }
  }
  CHECK(service.Unreached(1) == 1);
}

// Guards against slow detection of a mass failure.
TEST_CASE("Targets that fall silent together are found by three probes") {
  for (const std::size_t disproved_before : {0U, 4U, 20U}) {
    constexpr std::size_t kSilent = 30;
    full_service service;
    service.Disprove(kSilent, disproved_before, 900);
    for (std::size_t i = 0; i < kSilent; ++i) {
      service.Suspect(service.targets[i], 1'000);
    }
    service.Answer(service.targets[100], 1'400);
    for (std::int64_t ms = 1'120; ms <= 1'480; ms += 180) {
      CHECK(service.Unreached(kSilent) == 0);
      service.Fail(kSilent, ms);
    }
    CHECK(service.Unreached(kSilent) == kSilent);
  }
}

TEST_CASE("A target that crashes alone is found by three probes") {
  full_service service;
  service.Disprove(10, 4, 900);
  service.Suspect(service.targets[0], 1'000);
  service.Answer(service.targets[3], 1'400);
  for (std::int64_t ms = 1'120; ms <= 1'480; ms += 180) {
    service.Fail(1, ms);
  }
  CHECK(service.Unreached(1) == 1);
}

TEST_CASE("A data centre cut off in an overload is found by three probes") {
  full_service service;
  service.Disprove(0, 60, 1'000);
  service.Suspect(service.targets[0], 1'060);
  for (std::int64_t ms = 1'180; ms <= 1'540; ms += 180) {
    service.Answer(service.targets[1], ms);
    service.Fail(1, ms);
  }
  CHECK(service.Unreached(1) == 1);
}

// Probes that only confirm the way to targets must not hide a failure.
TEST_CASE("Suspicions without evidence do not count when disproved") {
  full_service service;
  for (std::size_t i = 10; i < 22; ++i) {
    service.entry.tracker.MarkSuspected(service.targets[i], "sample");
    service.entry.tracker.OnProbeResult(service.targets[i],
                                        probe_outcome::kReached, At(1));
  }
  CHECK_FALSE(service.entry.accuracy.MostlyDisproved("ledger", At(2)));
}

}  // namespace
}  // namespace rosemaryreach
