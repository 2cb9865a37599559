#include "rosemaryreach/store_follower.h"

#include <catch2/catch.hpp>

#include "entry_fixture.h"

namespace rosemaryreach {
namespace {

constexpr double kWideLink = 1'000;
constexpr double kThinLink = 10;

TEST_CASE("The first read is a listing, soon after the start") {
  const store_follower follower(At(0), kWideLink, 1);
  CHECK(follower.NextKind(At(0)) == read_kind::kList);
  CHECK(follower.NextRead(0) > At(0));
  CHECK(follower.NextRead(9) <= At(60));
}

TEST_CASE("A thin link waits for others to read first") {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    const store_follower thin(At(0), kThinLink, seed);
    const store_follower wide(At(0), kWideLink, seed);
    CHECK(thin.NextRead(0) >= At(30));
    CHECK(thin.NextRead(0) <= At(90));
    CHECK(wide.NextRead(0) <= At(20));
  }
}

TEST_CASE("Few of 300 instances go on with a large first listing at once") {
  const auto early = [](double link) {
    int count = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
      store_follower follower(At(0), link, seed);
      count += follower.PagePause(1) < std::chrono::milliseconds(30) ? 1 : 0;
    }
    return count;
  };
  CHECK(early(kWideLink) < 100);
  CHECK(early(kThinLink) < 30);
}

TEST_CASE("Later pages and later listings don't wait") {
  store_follower follower(At(0), kThinLink, 1);
  CHECK(follower.PagePause(2) == duration(0));
  follower.TakeAnswer(read_kind::kList, At(0), At(4));
  CHECK(follower.PagePause(1) == duration(0));
}

TEST_CASE("One instance reads while the others follow") {
  store_follower first(At(0), kWideLink, 1);
  store_follower second(At(0), kWideLink, 2);
  std::vector<std::int64_t> reads;
  first.TakeAnswer(read_kind::kList, At(0), At(4));
  second.TakePeer(At(0));
  for (std::int64_t ms = 0; ms < 10'000; ++ms) {
    if (first.NextRead(0) <= At(ms)) {
      first.TakeAnswer(read_kind::kWatch, At(ms), At(ms + 4));
      second.TakePeer(At(ms));
      reads.push_back(ms);
    }
    CHECK(second.NextRead(1) > At(ms));
  }
  CHECK(reads.size() == 19);
}

TEST_CASE("The next one reads when nothing new is heard") {
  store_follower follower(At(0), kWideLink, 1);
  follower.TakePeer(At(1'000));
  CHECK(follower.NextRead(1) == At(1'700));
  CHECK(follower.NextRead(2) == At(1'900));
}

TEST_CASE("Failures back off, so that another one reads") {
  store_follower follower(At(0), kWideLink, 1);
  follower.TakeAnswer(read_kind::kList, At(0), At(4));
  duration longest{};
  for (std::int64_t ms = 1'000; ms < 60'000; ms += 4'000) {
    follower.TakeFailure(false, At(ms));
    const duration wait = follower.NextRead(0) - At(ms);
    CHECK(wait >= std::chrono::milliseconds(100));
    CHECK(wait <= std::chrono::seconds(2));
    longest = std::max(longest, wait);
  }
  CHECK(longest >= std::chrono::seconds(1));
}

TEST_CASE("A history that is gone is listed at once") {
  store_follower follower(At(0), kWideLink, 1);
  follower.TakeAnswer(read_kind::kList, At(0), At(4));
  CHECK(follower.NextKind(At(500)) == read_kind::kWatch);
  follower.TakeFailure(true, At(500));
  CHECK(follower.NextKind(At(500)) == read_kind::kList);
  CHECK(follower.NextRead(5) <= At(500));
}

TEST_CASE("The store counts as away when nobody hears of it") {
  store_follower follower(At(0), kWideLink, 1);
  follower.TakeAnswer(read_kind::kList, At(0), At(4));
  CHECK_FALSE(follower.away(At(1'799)));
  CHECK(follower.away(At(1'800)));
  follower.TakePeer(At(1'750));
  CHECK_FALSE(follower.away(At(1'800)));
}

}  // namespace
}  // namespace rosemaryreach
