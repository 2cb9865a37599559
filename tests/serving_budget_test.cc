#include "rosemaryreach/serving_budget.h"

#include <catch2/catch.hpp>

#include "entry_fixture.h"

namespace rosemaryreach {
namespace {

constexpr std::size_t kView = 100'000;

TEST_CASE("An idle link accepts a reply of any size") {
  serving_budget budget(10);
  CHECK(budget.TrySpend(10'000'000, At(0)));
  CHECK_FALSE(budget.TrySpend(1, At(0)));
}

TEST_CASE("Replies to 300 peers use half of a slow link") {
  serving_budget budget(10);
  std::size_t served = 0;
  for (std::int64_t ms = 0; ms < 3'000; ms += 10) {
    served += budget.TrySpend(kView, At(ms)) ? kView : 0;
  }
  // 5 Mbit/s for 3 s, and the replies still queued at the end.
  CHECK(served >= 1'800'000);
  CHECK(served <= 2'200'000);
}

TEST_CASE("A fast link serves 300 peers at once") {
  serving_budget budget(1'000);
  int served = 0;
  for (int i = 0; i < 300; ++i) {
    served += budget.TrySpend(kView / 2, At(0)) ? 1 : 0;
  }
  CHECK(served == 300);
}

}  // namespace
}  // namespace rosemaryreach
