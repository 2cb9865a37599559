#include "adapters/platform_budget.h"
#include "rosemaryreach/retry_backoff.h"

#include <catch2/catch.hpp>

namespace rosemaryreach {
namespace {

time_point At(int ms) {
  return time_point(std::chrono::milliseconds(ms));
}

TEST_CASE("The read rate limiter refills over a minute") {
  read_rate_limiter limiter(60);
  int acquired = 0;
  while (limiter.TryAcquire(At(1'000))) {
    ++acquired;
  }
  CHECK(acquired == 60);
  CHECK_FALSE(limiter.TryAcquire(At(1'900)));
  CHECK(limiter.TryAcquire(At(2'100)));
  CHECK_FALSE(limiter.TryAcquire(At(2'200)));
}

TEST_CASE("The backoff doubles up to its limit and resets on success") {
  const duration first = std::chrono::milliseconds(100);
  const duration highest = std::chrono::milliseconds(400);
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    retry_backoff backoff(first, highest, seed);
    CHECK(backoff.Ready(At(0)));
    for (const int limit : {100, 200, 400, 400}) {
      backoff.OnFailure(At(0));
      CHECK_FALSE(backoff.Ready(At(limit / 2 - 1)));
      CHECK(backoff.Ready(At(limit)));
    }
    backoff.OnSuccess();
    CHECK(backoff.Ready(At(0)));
  }
}

}  // namespace
}  // namespace rosemaryreach
