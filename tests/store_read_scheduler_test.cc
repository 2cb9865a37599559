#include "rosemaryreach/store_read_scheduler.h"

#include <catch2/catch.hpp>

#include "entry_fixture.h"

namespace rosemaryreach {
namespace {

constexpr double kFastLink = 1'000;
constexpr double kSlowLink = 10;

TEST_CASE("The first read is a listing soon after the start") {
  const store_read_scheduler scheduler(At(0), kFastLink, 1);
  CHECK(scheduler.NextReadKind(At(0)) == read_kind::kList);
  CHECK(scheduler.NextRead(0) > At(0));
  CHECK(scheduler.NextRead(9) <= At(60));
}

TEST_CASE("Instances on slow links read later") {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    const store_read_scheduler slow(At(0), kSlowLink, seed);
    const store_read_scheduler fast(At(0), kFastLink, seed);
    CHECK(slow.NextRead(0) >= At(30));
    CHECK(slow.NextRead(0) <= At(90));
    CHECK(fast.NextRead(0) <= At(20));
  }
}

TEST_CASE("Few of 300 instances continue a large first listing at once") {
  const auto early = [](double link) {
    int count = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
      store_read_scheduler scheduler(At(0), link, seed);
      count +=
          scheduler.PageDelay(1, true) < std::chrono::milliseconds(30) ? 1 : 0;
    }
    return count;
  };
  CHECK(early(kFastLink) < 100);
  CHECK(early(kSlowLink) < 30);
}

TEST_CASE("Later pages and later listings have no delay") {
  store_read_scheduler scheduler(At(0), kSlowLink, 1);
  CHECK(scheduler.PageDelay(2, true) == duration(0));
  scheduler.OnReadSuccess(read_kind::kList, At(0), At(4));
  CHECK(scheduler.PageDelay(1, true) == duration(0));
}

// Two pages hold some hundred targets; without them an instance whose seeds are
// down would wait for a peer that it can't hear.
TEST_CASE("An instance that knows no peer reads two pages without delay") {
  for (const double link : {kFastLink, kSlowLink}) {
    store_read_scheduler scheduler(At(0), link, 1);
    CHECK(scheduler.PageDelay(1, false) == duration(0));
    CHECK(scheduler.PageDelay(2, false) > duration(0));
    CHECK(scheduler.PageDelay(3, false) == duration(0));
  }
}

TEST_CASE("Only the first instance reads while it succeeds") {
  store_read_scheduler first(At(0), kFastLink, 1);
  store_read_scheduler second(At(0), kFastLink, 2);
  std::vector<std::int64_t> reads;
  first.OnReadSuccess(read_kind::kList, At(0), At(4));
  second.OnPeerSync(At(0));
  for (std::int64_t ms = 0; ms < 10'000; ++ms) {
    if (first.NextRead(0) <= At(ms)) {
      first.OnReadSuccess(read_kind::kWatch, At(ms), At(ms + 4));
      second.OnPeerSync(At(ms));
      reads.push_back(ms);
    }
    CHECK(second.NextRead(1) > At(ms));
  }
  CHECK(reads.size() == 19);
}

TEST_CASE("The next instance reads when no update arrives") {
  store_read_scheduler scheduler(At(0), kFastLink, 1);
  scheduler.OnPeerSync(At(1'000));
  CHECK(scheduler.NextRead(1) == At(1'700));
  CHECK(scheduler.NextRead(2) == At(1'900));
}

TEST_CASE("Failed reads back off") {
  store_read_scheduler scheduler(At(0), kFastLink, 1);
  scheduler.OnReadSuccess(read_kind::kList, At(0), At(4));
  duration longest{};
  for (std::int64_t ms = 1'000; ms < 60'000; ms += 4'000) {
    scheduler.OnReadFailure(false, At(ms));
    const duration wait = scheduler.NextRead(0) - At(ms);
    CHECK(wait >= std::chrono::milliseconds(100));
    CHECK(wait <= std::chrono::seconds(2));
    longest = std::max(longest, wait);
  }
  CHECK(longest >= std::chrono::seconds(1));
}

TEST_CASE("A compacted history causes a listing at once") {
  store_read_scheduler scheduler(At(0), kFastLink, 1);
  scheduler.OnReadSuccess(read_kind::kList, At(0), At(4));
  CHECK(scheduler.NextReadKind(At(500)) == read_kind::kWatch);
  scheduler.OnReadFailure(true, At(500));
  CHECK(scheduler.NextReadKind(At(500)) == read_kind::kList);
  CHECK(scheduler.NextRead(5) <= At(500));
}

TEST_CASE("A required listing does not shorten the wait after a failure") {
  store_read_scheduler scheduler(At(0), kFastLink, 1);
  scheduler.OnReadSuccess(read_kind::kList, At(0), At(4));
  scheduler.RequireListing(At(500));
  scheduler.OnReadFailure(false, At(500));
  CHECK(scheduler.NextReadKind(At(500)) == read_kind::kList);
  CHECK(scheduler.NextRead(0) > At(500));
}

TEST_CASE("The store is unavailable after a time without updates") {
  store_read_scheduler scheduler(At(0), kFastLink, 1);
  scheduler.OnReadSuccess(read_kind::kList, At(0), At(4));
  CHECK_FALSE(scheduler.store_unavailable(At(1'799)));
  CHECK(scheduler.store_unavailable(At(1'800)));
  scheduler.OnPeerSync(At(1'750));
  CHECK_FALSE(scheduler.store_unavailable(At(1'800)));
}

}  // namespace
}  // namespace rosemaryreach
