#include "rosemaryreach/target_directory.h"

#include <catch2/catch.hpp>
#include <set>

#include "entry_fixture.h"

namespace rosemaryreach {
namespace {

TEST_CASE("Cookies differ by id and by incarnation, and are never zero") {
  std::set<std::uint32_t> cookies;
  constexpr std::uint32_t kTargets = 12'000;
  for (std::uint32_t i = 0; i < kTargets; ++i) {
    const std::uint32_t cookie = MakeCookie("i-" + std::to_string(i), 1);
    CHECK(cookie != 0);
    cookies.insert(cookie);
  }
  // About 0.02 collisions are expected among so many.
  CHECK(cookies.size() >= kTargets - 1);
  CHECK(MakeCookie("i-1", 1) != MakeCookie("i-1", 2));
}

TEST_CASE("A configuration never reverts") {
  entry_fixture fixture;
  fixture.directory.Apply({}, Config(7), At(0));
  entry_config older = Config(6);
  older.routes.clear();
  fixture.directory.Apply({}, older, At(1));
  CHECK(fixture.directory.config().version == 7);
  CHECK(fixture.directory.FindRoute(kWatchAddress) != nullptr);
}

TEST_CASE("A target born again under its id is another target") {
  entry_fixture fixture;
  const target_index first = fixture.Add(Target("l1", 1));
  target_record again = Target("l1", 1);
  again.incarnation = 2;
  const target_index second = fixture.Add(again, At(10));
  CHECK(first != second);
  CHECK(fixture.directory.Find(first)->listing == target_listing::kGone);
  REQUIRE(fixture.directory.TargetsOf("ledger").size() == 1);
  CHECK(fixture.directory.TargetsOf("ledger")[0] == second);
}

TEST_CASE("News of an earlier incarnation is ignored") {
  entry_fixture fixture;
  target_record again = Target("l1", 1);
  again.incarnation = 2;
  const target_index target = fixture.Add(again);
  fixture.directory.Apply({}, target_item{Target("l1", 1)}, At(1));
  CHECK(fixture.directory.TargetsOf("ledger")[0] == target);
}

TEST_CASE("Missing entries are kept while the store is away and after it") {
  entry_fixture fixture;
  const target_index target = fixture.Add(Target("l1", 1));
  fixture.Remove("l1", At(1'000));
  const auto listing = [&] { return fixture.directory.Find(target)->listing; };
  fixture.directory.Tick(true, At(60'000));
  CHECK(listing() == target_listing::kMissing);
  fixture.directory.Tick(false, At(61'000));
  fixture.directory.Tick(false, At(63'500));
  CHECK(listing() == target_listing::kMissing);
  fixture.directory.Tick(false, At(63'600));
  CHECK(listing() == target_listing::kGone);
}

TEST_CASE("An entry that comes back is listed again under the same cookie") {
  entry_fixture fixture;
  const target_index target = fixture.Add(Target("l1", 1));
  fixture.Remove("l1", At(1'000));
  fixture.Add(Target("l1", 1), At(2'000));
  CHECK(fixture.directory.Find(target)->listing == target_listing::kListed);
  CHECK(fixture.directory.FindCookie(MakeCookie("l1", 1)) == target);
}

TEST_CASE("A draining target that leaves is gone at once") {
  entry_fixture fixture;
  const target_index target = fixture.Add(Target("l1", 1));
  fixture.Drain(Target("l1", 1), At(1'000));
  fixture.Remove("l1", At(4'000));
  CHECK(fixture.directory.Find(target)->listing == target_listing::kGone);
}

TEST_CASE("A target that is gone is forgotten after its flows") {
  entry_fixture fixture;
  const target_index target = fixture.Add(Target("l1", 1));
  fixture.Drain(Target("l1", 1), At(0));
  fixture.Remove("l1", At(0));
  fixture.directory.Tick(false, At(74'999));
  CHECK(fixture.directory.Find(target) != nullptr);
  fixture.directory.Tick(false, At(75'000));
  CHECK(fixture.directory.Find(target) == nullptr);
  CHECK(fixture.directory.FindCookie(MakeCookie("l1", 1)) == kNoTarget);
  CHECK(fixture.Add(Target("l2", 2), At(75'001)) == target);
}

// Taken in quadratic time these would keep a small instance from serving for
// minutes after a start.
TEST_CASE("A listing of twelve thousand targets is taken in") {
  entry_fixture fixture;
  constexpr std::uint32_t kTargets = 12'000;
  for (std::uint32_t i = 1; i <= kTargets; ++i) {
    fixture.Add(Target("l" + std::to_string(i), i));
  }
  CHECK(fixture.directory.TargetsOf("ledger").size() == kTargets);
}

TEST_CASE("An entry that another writer spoilt names no target") {
  entry_fixture fixture;
  const target_index target = fixture.Add(Target("l1", 1));
  store_item spoilt;
  spoilt.key = "servers/l1";
  fixture.directory.Apply(spoilt, unreadable_item{"no address"}, At(10));
  CHECK(fixture.directory.Find(target)->listing == target_listing::kMissing);
  CHECK(fixture.changes.back().outcome == "target_missing");
}

TEST_CASE("Turning cold again without a restart changes the meaning") {
  target_record warm = Target("l1", 1);
  target_record cold = warm;
  cold.cold_left = std::chrono::seconds(2);
  CHECK(FingerprintOf(target_item{warm}) != FingerprintOf(target_item{cold}));
  target_record less_cold = cold;
  less_cold.cold_left = std::chrono::seconds(1);
  CHECK(FingerprintOf(target_item{cold}) ==
        FingerprintOf(target_item{less_cold}));
}

}  // namespace
}  // namespace rosemaryreach
