#include "rosemaryreach/target_directory.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <utility>

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

TEST_CASE("An older configuration is ignored") {
  entry_fixture fixture;
  fixture.directory.Apply({}, Config(7), At(0));
  entry_config older = Config(6);
  older.routes.clear();
  fixture.directory.Apply({}, older, At(1));
  CHECK(fixture.directory.config().version == 7);
  CHECK(fixture.directory.FindRoute(kWatchAddress) != nullptr);
}

TEST_CASE("A restarted target gets a new index") {
  entry_fixture fixture;
  const target_index first = fixture.Add(Target("l1", 1));
  target_record restarted = Target("l1", 1);
  restarted.incarnation = 2;
  const target_index second = fixture.Add(restarted, At(10));
  CHECK(first != second);
  CHECK(fixture.directory.Find(first)->listing == target_listing::kGone);
  REQUIRE(fixture.directory.TargetsOf("ledger").size() == 1);
  CHECK(fixture.directory.TargetsOf("ledger")[0] == second);
}

// Its clock may be behind that of its former start.
TEST_CASE("A target that starts again with an earlier clock gets a new index") {
  const bool lapsed = GENERATE(false, true);
  entry_fixture fixture;
  target_record former = Target("l1", 1);
  former.incarnation = 1'000;
  const target_index first = fixture.Add(former);
  if (lapsed) {
    fixture.Remove("l1", At(59'000));
    fixture.directory.Tick(false, At(59'500));
  }
  target_record restarted = former;
  restarted.incarnation = 400;
  const target_index second = fixture.Add(restarted, At(60'000));
  REQUIRE(second != kNoTarget);
  CHECK(second != first);
  CHECK(fixture.directory.Find(first)->listing == target_listing::kGone);
  CHECK(fixture.directory.Find(second)->listing == target_listing::kListed);
  REQUIRE(fixture.directory.TargetsOf("ledger").size() == 1);
  CHECK(fixture.directory.TargetsOf("ledger")[0] == second);
  const packet_decision opening =
      fixture.Direct(FirstPacket(Flow(1)), At(60'001));
  CHECK(opening.cookie == MakeCookie("l1", 400));
  // Its clock is set, and it starts once more.
  restarted.incarnation = 1'002;
  const target_index third = fixture.Add(restarted, At(62'000));
  REQUIRE(fixture.directory.TargetsOf("ledger").size() == 1);
  CHECK(fixture.directory.TargetsOf("ledger")[0] == third);
  for (const std::uint64_t start : {1'000, 400, 1'002}) {
    CHECK(fixture.directory.FindCookie(MakeCookie("l1", start)) != kNoTarget);
  }
}

TEST_CASE("Missing entries are kept until some time after a store outage") {
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

TEST_CASE("An entry that returns is listed again with the same cookie") {
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

TEST_CASE("A gone target is removed after the retention time") {
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

// A target that has ended.
target_record Dead() {
  target_record record = Target("l2", 1);
  record.incarnation = 1'000;
  return record;
}
TEST_CASE(
    "A departed target whose entry returns is listed, and shares no cookie") {
  for (const bool restored : {false, true}) {
    entry_fixture fixture;
    if (restored) {
      // A store that was restored lists the former incarnation.
      fixture.Add(Target("l2", 1));
    }
    fixture.directory.ApplyDeparted(Dead(), std::chrono::seconds(1), At(1'000));
    CHECK(fixture.directory.departed() == 1);
    CHECK(fixture.directory.complete() == restored);
    const target_index back = fixture.Add(Dead(), At(2'000));
    CHECK(fixture.directory.Find(back)->listing == target_listing::kListed);
    CHECK_FALSE(fixture.directory.Find(back)->shares_cookie);
    CHECK(fixture.directory.departed() == 0);
    CHECK(fixture.directory.TargetsOf("ledger").size() == 1);
  }
}

TEST_CASE("The former incarnation of a listed target keeps its flows") {
  entry_fixture fixture;
  target_record now = Target("l1", 1);
  now.incarnation = 2;
  fixture.Add(now);
  fixture.directory.ApplyDeparted(Target("l1", 1), {}, At(0));
  const target_index before = fixture.directory.FindCookie(MakeCookie("l1", 1));
  REQUIRE(before != kNoTarget);
  CHECK(fixture
            .Direct(LaterPacket(Flow(1), MakeCookie("l1", 1), 1'001, 5'001, 9),
                    At(1))
            .target == before);
  CHECK(fixture.directory.Find(before)->record.address == now.address);
  CHECK(fixture.directory.TargetsOf("ledger").size() == 1);
  // What is listed is no departed target, whatever a peer says.
  fixture.directory.ApplyDeparted(now, {}, At(0));
  CHECK(fixture.directory.departed() == 1);
}

// Removes the entries of targets l1 to l`count` in one batch.
void Lapse(entry_fixture& fixture, int count, time_point now) {
  view_change batch;
  for (int i = 1; i <= count; ++i) {
    batch.items.push_back({{}, removed_target{"l" + std::to_string(i)}});
  }
  fixture.directory.ApplyBatch(batch, now);
}

TEST_CASE("Entries that vanish are excused after an outage and in a wave") {
  const auto excused = [](int lapsed, bool outage) {
    entry_fixture fixture;
    for (std::uint32_t i = 1; i <= 6; ++i) {
      fixture.Add(Target("l" + std::to_string(i), i));
    }
    fixture.directory.Tick(outage, At(60'000));
    fixture.directory.Tick(false, At(61'000));
    Lapse(fixture, lapsed, At(62'000));
    const target_index first =
        fixture.directory.FindCookie(MakeCookie("l1", 1));
    return fixture.directory.Find(first)->lapse_excused;
  };
  CHECK_FALSE(excused(1, false));
  CHECK_FALSE(excused(2, false));
  CHECK(excused(3, false));
  CHECK(excused(1, true));
}

TEST_CASE("An excused target is gone all the same if it does not return") {
  entry_fixture fixture;
  for (std::uint32_t i = 1; i <= 3; ++i) {
    fixture.Add(Target("l" + std::to_string(i), i));
  }
  fixture.directory.Tick(false, At(60'000));
  Lapse(fixture, 3, At(60'000));
  const target_index first = fixture.directory.FindCookie(MakeCookie("l1", 1));
  CHECK(std::string(fixture.picker.RuleFor(first, At(60'001))) == "least_load");
  fixture.directory.Tick(false, At(62'600));
  CHECK(fixture.directory.Find(first)->listing == target_listing::kGone);
}

// Returns the first listing of a new era with this content.
view_change Restored(const std::vector<decoded_item>& decoded) {
  view_change change;
  change.era = era_change{};
  for (const decoded_item& one : decoded) {
    const std::string key = std::to_string(change.items.size());
    change.items.push_back({{key, "", 1, false}, one});
  }
  return change;
}

TEST_CASE("A restored store does not make a draining target usable") {
  entry_fixture fixture;
  const target_index target = fixture.Add(Target("l1", 1));
  fixture.Drain(Target("l1", 1), At(60'000));
  fixture.directory.ApplyBatch(Restored({target_item{Target("l1", 1)}}),
                               At(62'000));
  const auto state = [&] {
    return fixture.directory.Find(target)->record.state;
  };
  fixture.directory.Tick(false, At(64'599));
  CHECK(state() == target_state::kDraining);
  CHECK(fixture.directory.HeldFor(At(64'599)) ==
        std::chrono::milliseconds(2'599));
  // Nobody said so again: the restored store is the truth.
  fixture.directory.Tick(false, At(64'600));
  CHECK(state() == target_state::kActive);
  CHECK(fixture.directory.held_items() == 0);
}

TEST_CASE("A restored store does not bring back a target that is gone") {
  entry_fixture fixture;
  const target_index target = fixture.Add(Target("l1", 1));
  fixture.Drain(Target("l1", 1), At(60'000));
  fixture.Remove("l1", At(61'000));
  fixture.directory.ApplyBatch(Restored({target_item{Target("l1", 1)}}),
                               At(62'000));
  CHECK(fixture.directory.Find(target)->listing == target_listing::kGone);
  // Its lease in the restored store runs out.
  view_change lapse;
  lapse.items = {{{"0", "", 9, true}, removed_target{"l1"}}};
  fixture.directory.ApplyBatch(lapse, At(64'400));
  fixture.directory.Tick(false, At(64'600));
  CHECK(fixture.directory.Find(target)->listing == target_listing::kGone);
}

// A copy of the store may list a former start of a target that lives.
TEST_CASE("A restored store does not bring back a former start at once") {
  entry_fixture fixture;
  target_record restarted = Target("l1", 1);
  restarted.incarnation = 2;
  const target_index target = fixture.Add(restarted);
  fixture.directory.ApplyBatch(Restored({target_item{Target("l1", 1)}}),
                               At(62'000));
  const auto first = [&] { return fixture.directory.TargetsOf("ledger")[0]; };
  fixture.directory.Tick(false, At(64'599));
  CHECK(first() == target);
  // Written again by its target, as that lives.
  view_change written;
  written.items = {{{"0", "", 9, false}, target_item{restarted}}};
  fixture.directory.ApplyBatch(written, At(64'599));
  fixture.directory.Tick(false, At(70'000));
  CHECK(first() == target);
  CHECK(fixture.directory.Find(target)->listing == target_listing::kListed);
}

// Which start lives, nobody knows yet: neither one's flows may be dropped.
TEST_CASE("Cookies of a start that a restored store lists are known at once") {
  const std::uint64_t listed = GENERATE(400, 2'000);
  entry_fixture fixture;
  target_record known = Target("l1", 1);
  known.incarnation = 1'000;
  fixture.Add(known);
  target_record restored = known;
  restored.incarnation = listed;
  fixture.directory.ApplyBatch(Restored({target_item{restored}}), At(62'000));
  for (const std::uint64_t start : {std::uint64_t{1'000}, listed}) {
    CHECK(fixture
              .Direct(LaterPacket(Flow(1), MakeCookie("l1", start), 1'001,
                                  5'001, 9),
                      At(62'001))
              .verdict == packet_verdict::kForward);
  }
}

TEST_CASE("A target that a restored store lacks is missing, not gone") {
  for (const bool drained : {false, true}) {
    entry_fixture fixture;
    const target_index target = fixture.Add(Target("l1", 1));
    if (drained) {
      fixture.Drain(Target("l1", 1), At(60'000));
    }
    fixture.directory.ApplyBatch(Restored({removed_target{"l1"}}), At(62'000));
    CHECK(fixture.directory.Find(target)->listing == target_listing::kMissing);
    CHECK(fixture.directory.Find(target)->lapse_excused);
    fixture.directory.Tick(false, At(64'600));
    CHECK(fixture.directory.Find(target)->listing == target_listing::kGone);
  }
}

TEST_CASE("A data centre stays evacuated while a restored store differs") {
  entry_fixture fixture;
  fixture.Evacuate("dc-a", true, At(60'000));
  const std::vector<decoded_item> copy = {evacuation_item{"dc-a", false},
                                          evacuation_item{"dc-b", true}};
  fixture.directory.ApplyBatch(Restored(copy), At(62'000));
  CHECK(fixture.directory.evacuated("dc-a"));
  CHECK(fixture.directory.evacuated("dc-b"));
  fixture.directory.Tick(false, At(64'600));
  CHECK_FALSE(fixture.directory.evacuated("dc-a"));
  CHECK(fixture.directory.evacuated("dc-b"));
}

TEST_CASE("A later write replaces what is held of a restored store") {
  entry_fixture fixture;
  fixture.Evacuate("dc-a", true, At(60'000));
  fixture.directory.ApplyBatch(Restored({evacuation_item{"dc-a", false}}),
                               At(62'000));
  view_change written;
  written.items = {{{"0", "", 9, false}, evacuation_item{"dc-a", true}}};
  fixture.directory.ApplyBatch(written, At(62'500));
  fixture.directory.Tick(false, At(70'000));
  CHECK(fixture.directory.evacuated("dc-a"));
}

// Returns the ids of two targets whose first starts have the same cookie.
std::pair<std::string, std::string> IdsOfOneCookie() {
  std::map<std::uint32_t, std::string> ids;
  for (std::uint32_t i = 0;; ++i) {
    const std::string id = "i-" + std::to_string(10'000'000 + i);
    const auto [known, added] = ids.emplace(MakeCookie(id, 1), id);
    if (!added) {
      return {known->second, id};
    }
  }
}

// A packet holds nothing else that tells whose flow it is.
TEST_CASE("A packet whose cookie two targets share reaches neither") {
  const auto [first, second] = IdsOfOneCookie();
  const bool in_order = GENERATE(true, false);
  entry_fixture fixture;
  const target_index one = fixture.Add(Target(in_order ? first : second, 1));
  REQUIRE(one != kNoTarget);
  const packet_decision opened = fixture.Direct(FirstPacket(Flow(1)), At(0));
  REQUIRE(opened.target == one);
  fixture.Add(Target(in_order ? second : first, 2), At(10));
  CHECK(fixture.changes.back().outcome == "target_added");
  const packet_decision later = fixture.Direct(
      LaterPacket(Flow(1), opened.cookie, 1'001, 5'001, 100), At(20));
  CHECK(later.verdict == packet_verdict::kDrop);
  CHECK(std::string(later.rule) == "shared_cookie");
  CHECK(fixture.Direct(FirstPacket(Flow(2)), At(30)).target == kNoTarget);
}

TEST_CASE("A cookie that was shared names the target that is left") {
  const auto [first, second] = IdsOfOneCookie();
  const bool first_leaves = GENERATE(true, false);
  const std::string& leaver = first_leaves ? first : second;
  const std::string& stays = first_leaves ? second : first;
  entry_fixture fixture;
  fixture.Add(Target(first, 1));
  fixture.Add(Target(second, 2), At(10));
  fixture.Drain(Target(leaver, 1), At(1'000));
  fixture.Remove(leaver, At(5'000));
  // Flows of the one that left may go on until the retention time has passed.
  fixture.directory.Tick(false, At(79'000));
  CHECK(fixture.directory.FindCookie(MakeCookie(stays, 1)) == kNoTarget);
  fixture.directory.Tick(false, At(80'000));
  const target_index left = fixture.directory.FindCookie(MakeCookie(stays, 1));
  REQUIRE(left != kNoTarget);
  CHECK(fixture.directory.Find(left)->record.id == stays);
  CHECK(fixture.Direct(FirstPacket(Flow(1)), At(80'001)).target == left);
}

TEST_CASE("What a peer says twice of a shared cookie adds no target") {
  const auto [first, second] = IdsOfOneCookie();
  entry_fixture fixture;
  fixture.Add(Target(first, 1));
  for (int i = 0; i < 2; ++i) {
    fixture.directory.ApplyDeparted(Target(second, 2), {}, At(10));
  }
  CHECK(fixture.directory.departed() == 1);
}

// Whichever target has the address would take packets for the number 0.
TEST_CASE("An entry without the number of a target names none") {
  entry_fixture fixture;
  target_record record = Target("l1", 1);
  record.wire_id = 0;
  CHECK(fixture.Add(record) == kNoTarget);
  CHECK(fixture.changes.back().outcome == "entry_without_number_ignored");
  fixture.directory.ApplyDeparted(record, {}, At(0));
  CHECK(fixture.directory.departed() == 0);
}

// It comes from another writer and names no host; the flows of the target, and
// its address, are as before.
TEST_CASE("An entry of an unknown service moves no target that is known") {
  const bool address_of_another = GENERATE(false, true);
  entry_fixture fixture;
  const target_index target = fixture.Add(Target("l1", 1));
  fixture.Add(Target("l2", 2));
  target_record odd = Target("l1", 1, "dc-a", "of nobody");
  odd.address = Target("l2", address_of_another ? 2 : 9).address;
  fixture.Add(odd, At(60'000));
  const packet_decision decision = fixture.Direct(
      LaterPacket(Flow(1), MakeCookie("l1", 1), 1'001, 5'001, 100), At(60'001));
  CHECK(decision.verdict == packet_verdict::kForward);
  CHECK(decision.target == target);
  CHECK(fixture.directory.Find(target)->record.address ==
        Target("l1", 1).address);
}

// Decoders state 0 for an entry that lacks the time; it names no start.
TEST_CASE("An entry without a start time replaces no start that is known") {
  entry_fixture fixture;
  const target_index target = fixture.Add(Target("l1", 1));
  target_record without = Target("l1", 1);
  without.incarnation = 0;
  fixture.Add(without, At(60'000));
  REQUIRE(fixture.directory.TargetsOf("ledger").size() == 1);
  CHECK(fixture.directory.TargetsOf("ledger")[0] == target);
  CHECK(fixture.directory.Find(target)->listing != target_listing::kGone);
  fixture.directory.Tick(false, At(200'000));
  CHECK(fixture.directory.FindCookie(MakeCookie("l1", 1)) == target);
}

TEST_CASE("An index that is used again takes no flows of the former target") {
  entry_fixture fixture;
  const target_index before = fixture.Add(Target("l1", 1));
  const packet_decision opened = fixture.Direct(FirstPacket(Flow(1)), At(0));
  fixture.Direct(LaterPacket(Flow(1), opened.cookie, 1'001, 5'001, 100), At(5));
  fixture.Direct(FirstPacket(Flow(2)), At(6));
  fixture.Drain(Target("l1", 1), At(10));
  fixture.Remove("l1", At(20));
  fixture.directory.Tick(false, At(75'020));
  const target_index after = fixture.Add(Target("l2", 2), At(75'030));
  REQUIRE(after == before);
  CHECK(fixture.tracker.Find(Flow(1)) == nullptr);
  CHECK(fixture.tracker.Find(Flow(2)) == nullptr);
  CHECK(fixture
            .Direct(LaterPacket(Flow(1), opened.cookie, 1'101, 5'501, 100),
                    At(75'040))
            .verdict == packet_verdict::kDrop);
}

// In quadratic time this would keep a small instance from serving for minutes
// after its start.
TEST_CASE("A listing of twelve thousand targets is applied") {
  entry_fixture fixture;
  constexpr std::uint32_t kTargets = 12'000;
  for (std::uint32_t i = 1; i <= kTargets; ++i) {
    fixture.Add(Target("l" + std::to_string(i), i));
  }
  CHECK(fixture.directory.TargetsOf("ledger").size() == kTargets);
}

TEST_CASE("A corrupted entry makes its target missing") {
  entry_fixture fixture;
  const target_index target = fixture.Add(Target("l1", 1));
  store_item corrupted;
  corrupted.key = "servers/l1";
  fixture.directory.Apply(corrupted, unreadable_item{"no address"}, At(10));
  CHECK(fixture.directory.Find(target)->listing == target_listing::kMissing);
  CHECK(fixture.changes.back().outcome == "target_missing");
}

TEST_CASE("Turning cold without a restart changes the fingerprint") {
  target_record warm = Target("l1", 1);
  target_record cold = warm;
  cold.cold_left = std::chrono::seconds(2);
  CHECK(FingerprintOf(target_item{warm}) != FingerprintOf(target_item{cold}));
  target_record less_cold = cold;
  less_cold.cold_left = std::chrono::seconds(1);
  CHECK(FingerprintOf(target_item{cold}) ==
        FingerprintOf(target_item{less_cold}));
}

// Operators must learn of values that count as not declared, once.
TEST_CASE("Ignored values of a configuration are reported once") {
  entry_fixture fixture;
  entry_config config = Config(2);
  config.ignored = "route r: sloMs 0";
  fixture.directory.Apply({}, config, At(1));
  fixture.directory.Apply({}, config, At(2));
  CHECK(std::count_if(fixture.changes.begin(), fixture.changes.end(),
                      [](const directory_change& change) {
                        return change.outcome == "values_ignored";
                      }) == 1);
}

}  // namespace
}  // namespace rosemaryreach
