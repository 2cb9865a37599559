#include "rosemaryreach/outlier_detector.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "load_player.h"

namespace rosemaryreach {
namespace {

// Ten targets of a service with a latency objective, as one instance sees them.
struct service_fixture {
  service_fixture() {
    entry_config config = Config(2);
    config.routes[0].latency_target = std::chrono::milliseconds(400);
    entry.directory.Apply({}, config, At(0));
    entry.shared.target = [](std::uint32_t) { return shared_target_load{}; };
    entry.shared.service = [](const std::string&) {
      return shared_service_load{};
    };
    for (std::uint32_t i = 0; i < 10; ++i) {
      targets.push_back(entry.Add(Target("l" + std::to_string(i), i)));
    }
  }

  // Records `rounds` answers of each target; the first `odd` take `odd_ms`.
  void Answer(int rounds,
              std::size_t odd,
              std::int64_t odd_ms,
              time_point now) {
    for (int round = 0; round < rounds; ++round) {
      for (std::size_t i = targets.size(); i-- > 0;) {
        entry.times.OnAnswer(
            "ledger", "watch", entry.directory.Find(targets[i])->cookie,
            std::chrono::milliseconds(i < odd ? odd_ms : 60), 1, now);
      }
    }
  }

  entry_fixture entry;
  std::vector<target_index> targets;
};

TEST_CASE("A much slower target is ejected and returns in steps") {
  service_fixture service;
  outlier_detector& outliers = service.entry.outliers;
  service.Answer(20, 1, 600, At(0));
  const std::vector<outlier_change> ejected = outliers.Update(At(0));
  REQUIRE(ejected.size() == 1);
  CHECK(ejected[0].target == service.targets[0]);
  CHECK(ejected[0].ejected_for == kFirstEjection);
  CHECK(std::string(service.entry.picker.RuleFor(service.targets[0], At(1))) ==
        "ejected");
  REQUIRE(outliers.Update(At(2'000)).size() == 1);
  CHECK_FALSE(outliers.Ejected(service.targets[0]));
  const auto wait = [&](std::int64_t ms) {
    return service.entry.picker.EstimateOf(service.targets[0], At(ms))->wait;
  };
  CHECK(wait(2'000) > 2 * wait(5'000));
  service.Answer(20, 1, 600, At(3'000));
  CHECK(outliers.Update(At(3'000)).at(0).ejected_for == 2 * kFirstEjection);
}

TEST_CASE("A target that refuses requests is ejected") {
  service_fixture service;
  service.Answer(10, 1, 2, At(0));
  service.entry.outliers.Update(At(0));
  CHECK(service.entry.outliers.Ejected(service.targets[0]));
}

// Guards against ejections that leave too little capacity.
TEST_CASE("The number of ejected targets is limited") {
  service_fixture service;
  service.Answer(20, 4, 600, At(0));
  SECTION("by the targets") {
    service.entry.outliers.Update(At(0));
    CHECK(service.entry.outliers.ejected() == 2);
  }
  SECTION("by the load") {
    service.entry.shared.target = [](std::uint32_t) {
      shared_target_load load;
      load.running = 2;
      return load;
    };
    service.entry.outliers.Update(At(0));
    CHECK(service.entry.outliers.ejected() == 0);
  }
}

TEST_CASE("Reports of others eject no target") {
  service_fixture service;
  service.Answer(10, 0, 60, At(0));
  const std::uint32_t cookie =
      service.entry.directory.Find(service.targets[0])->cookie;
  for (int i = 0; i < 50; ++i) {
    service.entry.times.OnSharedAnswers(cookie, 8, At(0));
  }
  CHECK(service.entry.outliers.Update(At(0)).empty());
}

TEST_CASE("A service that turns slow loses no target") {
  played_load load;
  load.instances = 4;
  load.requests_per_s = 100;
  load.share_period = std::chrono::milliseconds(200);
  load_player player(load, 1);
  player.Play(At(5'000));
  for (std::uint32_t i = 1; i <= load.targets; ++i) {
    player.SlowDown(i, 6);
  }
  for (std::int64_t ms = 5'100; ms < 15'000; ms += 100) {
    player.Play(At(ms));
    for (std::size_t i = 0; i < load.instances; ++i) {
      CHECK(player.instance(i).outliers.ejected() == 0);
    }
  }
}

}  // namespace
}  // namespace rosemaryreach
