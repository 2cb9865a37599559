#include "rosemaryreach/dropped_cookies.h"

#include <catch2/catch.hpp>

#include "entry_fixture.h"

namespace rosemaryreach {
namespace {

TEST_CASE("A target that is learned late is told once, with the first drop") {
  dropped_cookies cookies;
  cookies.OnDropped(7, At(1'000));
  cookies.OnDropped(7, At(1'200));
  CHECK_FALSE(cookies.OnLearned(8, At(1'500)));
  CHECK(cookies.OnLearned(7, At(1'500)) == std::chrono::milliseconds(500));
  CHECK_FALSE(cookies.OnLearned(7, At(1'600)));
}

TEST_CASE("The earliest dropped cookies are forgotten first") {
  dropped_cookies cookies;
  for (std::uint32_t i = 0; i <= kMaxDroppedCookies; ++i) {
    cookies.OnDropped(1'000'000 - i, At(i));
  }
  CHECK(cookies.size() == kMaxDroppedCookies);
  CHECK_FALSE(cookies.OnLearned(1'000'000, At(9'000)));
  CHECK(cookies.OnLearned(1'000'000 - 1, At(9'000)));
}

}  // namespace
}  // namespace rosemaryreach
