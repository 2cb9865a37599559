#include "rosemaryreach/stop_schedule.h"

#include <catch2/catch.hpp>

#include "entry_fixture.h"

namespace rosemaryreach {
namespace {

constexpr duration kGrace = std::chrono::seconds(6);

// Returns when an instance ends that was asked to stop at 0 and gets packets
// until `packets_end`; it checks every 100 ms.
std::int64_t EndOf(const stop_schedule& schedule, std::int64_t packets_end) {
  std::int64_t now = 0;
  while (schedule.Check(kGrace, At(std::min(now, packets_end)), At(now)) ==
         stop_verdict::kServe) {
    now += 100;
  }
  return now;
}

TEST_CASE("An instance serves until routers have moved its callers") {
  stop_schedule schedule;
  schedule.Begin(At(0), At(0));
  CHECK(EndOf(schedule, 100) == 2'000);
  CHECK(EndOf(schedule, 3'000) == 4'200);
}

TEST_CASE("Continuous traffic does not delay the end beyond the grace period") {
  stop_schedule schedule;
  schedule.Begin(At(0), At(0));
  CHECK(EndOf(schedule, 60'000) == 5'300);
}

// The grace period counts from when the signal was sent. A process that waited
// 900 ms for the processor and counted from when it read the signal ended 200
// ms too late.
TEST_CASE("A signal read late may have been sent after the last tick") {
  stop_schedule schedule;
  schedule.Begin(At(-900), At(0));
  CHECK(EndOf(schedule, 60'000) == 4'400);
}

// The timer that ends the process may be as late as earlier ones were.
TEST_CASE("Late timers bring the end forward, up to a limit") {
  stop_schedule schedule;
  schedule.OnTimer(std::chrono::milliseconds(800), At(-11'000));
  schedule.OnTimer(std::chrono::milliseconds(100), At(0));
  schedule.Begin(At(0), At(0));
  CHECK(EndOf(schedule, 60'000) == 5'200);
  schedule.OnTimer(std::chrono::milliseconds(900), At(100));
  CHECK(EndOf(schedule, 60'000) == 4'400);
  schedule.OnTimer(std::chrono::seconds(30), At(200));
  CHECK(EndOf(schedule, 60'000) == 2'000);
}

}  // namespace
}  // namespace rosemaryreach
