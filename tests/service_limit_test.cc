#include "rosemaryreach/service_limit.h"

#include <catch2/catch.hpp>

#include "entry_fixture.h"

namespace rosemaryreach {
namespace {

constexpr duration kObjective = std::chrono::milliseconds(400);

// Plays `rounds` of 100 ms with ten answers of this time each, at full use.
void Play(service_limit& limit,
          int rounds,
          int answer_ms,
          time_point& now,
          double slots = 8) {
  for (int i = 0; i < rounds; ++i) {
    for (int j = 0; j < 10; ++j) {
      limit.OnAnswer(std::chrono::milliseconds(answer_ms));
    }
    now += kLimitPeriod;
    limit.Recompute({slots, 1, kObjective}, limit.limit().value_or(0), now);
  }
}

TEST_CASE("Room follows the work time within its bounds") {
  for (const auto& [work_ms, per_slot] : std::vector<std::pair<int, double>>{
           {10, kMaxPerSlot}, {80, 2.5}, {180, kMinPerSlot}}) {
    service_limit limit;
    time_point now = At(0);
    Play(limit, 30, work_ms, now);
    CHECK(limit.room() == Approx(8 * per_slot));
  }
}

// Refusals by full targets come at once and must not look like fast work.
TEST_CASE("Refusals do not lower the work time") {
  service_limit limit;
  time_point now = At(0);
  Play(limit, 30, 60, now);
  for (int i = 0; i < 200; ++i) {
    limit.OnAnswer(std::chrono::milliseconds(2));
  }
  Play(limit, 12, 60, now);
  CHECK(limit.work_time() == std::chrono::milliseconds(60));
}

// A slot count ten times too high must not fill the queues of the targets.
TEST_CASE("Slow answers lower the limit and fast ones raise it again") {
  service_limit limit;
  time_point now = At(0);
  Play(limit, 20, 60, now, 80);
  const double wrong = *limit.limit();
  Play(limit, 30, 390, now, 80);
  CHECK(*limit.limit() < wrong / 2);
  Play(limit, 60, 60, now, 80);
  CHECK(*limit.limit() >= limit.room());
}

// An estimate that is too low is forgotten after kWindows of a second each.
TEST_CASE("A work time that was too low recovers") {
  service_limit limit;
  time_point now = At(0);
  Play(limit, 20, 5, now);
  Play(limit, 240, 100, now);
  CHECK(limit.work_time() == std::chrono::milliseconds(100));
}

// Requests that take half of their objective by themselves are no overload.
TEST_CASE("Long work alone does not lower the limit") {
  service_limit limit;
  time_point now = At(0);
  Play(limit, 100, 220, now);
  CHECK(*limit.limit() >= limit.room());
}

TEST_CASE("The limit is never below one request") {
  service_limit limit;
  limit.Recompute({0.1, 0.001, kObjective}, 0, At(0));
  CHECK(limit.limit() == 1);
}

TEST_CASE("Data centres share by max-min fairness") {
  shared_service_load load;
  load.demand = {{1, 100, 10}, {2, 8'000, 10}, {3, 300, 4}};
  CHECK(*ShareOfCapacity(load, 1, 1'000) == Approx(0.01));
  CHECK(*ShareOfCapacity(load, 2, 1'000) == Approx(0.06));
  CHECK(*ShareOfCapacity(load, 3, 1'000) == Approx(0.075));
  CHECK_FALSE(ShareOfCapacity(load, 4, 1'000));
  load.age = std::chrono::seconds(1);
  CHECK_FALSE(ShareOfCapacity(load, 1, 1'000));
}

// An instance cut off from its peers must not admit for a hundred at once.
TEST_CASE("The number of instances falls slowly and rises at once") {
  instance_count count;
  CHECK(count.Update(100) == 100);
  CHECK(count.Update(1) > 95);
  double last = 0;
  for (int i = 0; i < 300; ++i) {
    last = count.Update(1);
  }
  CHECK(last == 1);
  CHECK(count.Update(50) == 50);
}

}  // namespace
}  // namespace rosemaryreach
