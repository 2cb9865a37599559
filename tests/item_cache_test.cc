#include "rosemaryreach/item_cache.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace rosemaryreach {
namespace {

// The part of the value before '#' is the content, the rest a heartbeat.
decoded_item Decode(const store_item& item) {
  if (item.deleted) {
    return removed_target{item.key};
  }
  target_item target;
  target.record.id = item.value.substr(0, item.value.find('#'));
  return target;
}

store_item Item(const std::string& key,
                const std::string& value,
                std::uint64_t revision) {
  return {key, value, revision, false};
}

store_cursor Cursor(std::uint64_t revision, std::uint64_t era = 0) {
  return {era, revision};
}

TEST_CASE("Heartbeats do not count as content changes") {
  item_cache cache(Decode);
  const std::vector<store_item> first = {Item("a", "x#1", 5)};
  CHECK(cache.MergeChanges(first, Cursor(5)).items.size() == 1);
  const std::vector<store_item> heartbeat = {Item("a", "x#2", 7)};
  CHECK(cache.MergeChanges(heartbeat, Cursor(7)).items.empty());
  CHECK(cache.changed() == Cursor(5));
  CHECK(cache.cursor() == Cursor(7));
}

TEST_CASE("Older values never replace newer ones") {
  item_cache cache(Decode);
  const std::vector<store_item> newer = {Item("a", "new", 9)};
  const std::vector<store_item> older = {Item("a", "old", 8)};
  cache.MergeChanges(newer, Cursor(9));
  CHECK(cache.MergeChanges(older, Cursor(8)).items.empty());
  CHECK(cache.ChangedAfter(Cursor(0)).items.at(0).value == "new");
  CHECK(cache.cursor() == Cursor(9));
}

TEST_CASE("A listing deletes missing items that are not newer") {
  item_cache cache(Decode);
  const std::vector<store_item> all = {Item("a", "x", 3), Item("b", "y", 12)};
  cache.MergeChanges(all, Cursor(12));
  const std::vector<changed_item> deleted =
      cache.MergeListing({}, Cursor(10)).items;
  REQUIRE(deleted.size() == 1);
  CHECK(deleted[0].item.key == "a");
  CHECK(deleted[0].item.deleted);
}

TEST_CASE("A listing of an empty store completes the view") {
  item_cache cache(Decode);
  CHECK(!cache.has_view());
  cache.MergeListing({}, Cursor(1));
  CHECK(cache.changed() == Cursor(1));
}

TEST_CASE("A peer that asks again gets no item twice") {
  item_cache one(Decode);
  item_cache two(Decode);
  const std::vector<store_item> all = {Item("a", "x#1", 3),
                                       Item("a", "x#2", 6)};
  one.MergeChanges(all, Cursor(6));
  const store_answer answer = one.ChangedAfter(two.changed());
  CHECK(two.MergePeerAnswer(answer).items.size() == 1);
  CHECK(two.changed() == one.changed());
  CHECK(one.ChangedAfter(two.changed()).items.empty());
}

TEST_CASE("Purging tombstones keeps live items") {
  item_cache cache(Decode);
  const std::vector<store_item> all = {
      Item("a", "x", 3), {"b", "", 5, true}, {"c", "", 9, true}};
  cache.MergeChanges(all, Cursor(9));
  cache.PurgeTombstones(Cursor(6));
  const store_answer left = cache.ChangedAfter(Cursor(0));
  REQUIRE(left.items.size() == 1);
  CHECK(left.items[0].key == "a");
  CHECK(cache.ChangedAfter(Cursor(7)).items.size() == 1);
}

TEST_CASE("Only a peer that may miss a deletion gets a full snapshot") {
  item_cache cache(Decode);
  const std::vector<store_item> all = {Item("a", "x", 3), {"b", "", 5, true}};
  cache.MergeChanges(all, Cursor(5));
  // Only heartbeats raised the revision since then.
  cache.PurgeTombstones(Cursor(90));
  CHECK(cache.ChangedAfter(Cursor(4)).full_snapshot);
  CHECK_FALSE(cache.ChangedAfter(Cursor(5)).full_snapshot);
}

TEST_CASE("A peer that missed a deletion learns of it after the purge") {
  item_cache one(Decode);
  item_cache lagging(Decode);
  const std::vector<store_item> before = {Item("a", "x", 3), Item("b", "y", 4)};
  one.MergeChanges(before, Cursor(4));
  lagging.MergePeerAnswer(one.ChangedAfter(Cursor(0)));
  const std::vector<store_item> deleted = {{"b", "", 8, true}};
  one.MergeChanges(deleted, Cursor(8));
  one.PurgeTombstones(Cursor(8));
  const std::vector<changed_item> learned =
      lagging.MergePeerAnswer(one.ChangedAfter(lagging.changed())).items;
  REQUIRE(learned.size() == 1);
  CHECK(learned[0].item.key == "b");
  CHECK(learned[0].item.deleted);
  CHECK(lagging.changed() == one.changed());
}

// A configuration of the given version, under the key "config".
decoded_item DecodeWithConfig(const store_item& item) {
  if (item.key != "config" || item.deleted) {
    return Decode(item);
  }
  entry_config config;
  config.version = std::stoull(item.value);
  return config;
}

TEST_CASE("A new era is listed, and orders items anew") {
  item_cache cache(Decode);
  const std::vector<store_item> before = {Item("a", "x", 90),
                                          Item("b", "y", 95)};
  cache.MergeListing(before, Cursor(95));
  const std::vector<store_item> copy = {Item("a", "old", 40)};
  CHECK(cache.MergeChanges(copy, Cursor(60, 1)).items.empty());
  const view_change change = cache.MergeListing(copy, Cursor(60, 1));
  REQUIRE(change.era);
  CHECK(change.era->before == Cursor(95));
  CHECK(change.era->after == Cursor(60, 1));
  CHECK(change.era->taken == 1);
  CHECK(change.era->missing == 1);
  REQUIRE(change.items.size() == 2);
  CHECK(change.items[0].item.value == "old");
  CHECK(change.items[1].item.deleted);
  // Revisions are given out again.
  const std::vector<store_item> written = {Item("b", "z", 61)};
  CHECK(cache.MergeChanges(written, Cursor(61, 1)).items.size() == 1);
  CHECK(cache.cursor() == Cursor(61, 1));
}

TEST_CASE("Answers of an older era change nothing") {
  item_cache cache(Decode);
  const std::vector<store_item> copy = {Item("a", "x", 40)};
  cache.MergeListing(copy, Cursor(60, 2));
  const std::vector<store_item> stale = {Item("a", "stale", 900)};
  CHECK(cache.MergeChanges(stale, Cursor(900, 1)).items.empty());
  CHECK(cache.MergeListing(stale, Cursor(900, 1)).items.empty());
  store_answer from_peer;
  from_peer.items = stale;
  from_peer.cursor = Cursor(900, 1);
  from_peer.changed = Cursor(900, 1);
  CHECK(cache.MergePeerAnswer(from_peer).items.empty());
  cache.AdvanceCursor(Cursor(900, 1));
  CHECK(cache.cursor() == Cursor(60, 2));
  CHECK(cache.ChangedAfter({}).items.at(0).value == "x");
}

TEST_CASE("A first view of any era is no change of era") {
  item_cache cache(Decode);
  const std::vector<store_item> all = {Item("a", "x", 3)};
  CHECK_FALSE(cache.MergeListing(all, Cursor(3, 7)).era);
  CHECK(cache.cursor() == Cursor(3, 7));
}

TEST_CASE("Peers of an older era get a full snapshot") {
  item_cache one(Decode);
  item_cache two(Decode);
  const std::vector<store_item> before = {Item("a", "x", 90),
                                          Item("b", "y", 95)};
  one.MergeListing(before, Cursor(95));
  two.MergeListing(before, Cursor(95));
  const std::vector<store_item> copy = {Item("a", "x", 40)};
  one.MergeListing(copy, Cursor(60, 1));
  CHECK(one.changed() > two.changed());
  const view_change change =
      two.MergePeerAnswer(one.ChangedAfter(two.changed()));
  CHECK(change.era->same == 1);
  CHECK(change.era->missing == 1);
  CHECK(two.changed() == one.changed());
  CHECK(two.cursor() == one.cursor());
}

TEST_CASE("A configuration survives a restore, and newcomers get it") {
  item_cache cache(DecodeWithConfig);
  const std::vector<store_item> before = {Item("config", "7", 90)};
  cache.MergeListing(before, Cursor(95));
  const std::vector<store_item> copy = {Item("config", "5", 40)};
  const view_change change = cache.MergeListing(copy, Cursor(60, 1));
  CHECK(change.era->kept == 1);
  CHECK(change.items.empty());
  item_cache newcomer(DecodeWithConfig);
  newcomer.MergeListing(copy, Cursor(60, 1));
  newcomer.MergePeerAnswer(cache.ChangedAfter({}));
  CHECK(newcomer.ChangedAfter({}).items.at(0).value == "7");
  // Versions in between, written again, are not newer either.
  const std::vector<store_item> again = {Item("config", "6", 70)};
  CHECK(cache.MergeChanges(again, Cursor(70, 1)).items.empty());
  const std::vector<store_item> next = {Item("config", "9", 71)};
  CHECK(cache.MergeChanges(next, Cursor(71, 1)).items.size() == 1);
}

TEST_CASE("A configuration that the restored store lacks is kept") {
  item_cache cache(DecodeWithConfig);
  const std::vector<store_item> before = {Item("config", "7", 90)};
  cache.MergeListing(before, Cursor(95));
  CHECK(cache.MergeListing({}, Cursor(60, 1)).era->kept == 1);
  CHECK(cache.ChangedAfter({}).items.at(0).value == "7");
}

using items = std::vector<store_item>;

// Has `listener` receive a beacon of `announcer`, and pull if it is behind.
void Hear(item_cache& listener, const item_cache& announcer) {
  switch (listener.Compare(announcer.changed(), announcer.cursor())) {
    case peer_view_relation::kNewer:
      listener.MergePeerAnswer(announcer.ChangedAfter(listener.changed()));
      break;
    case peer_view_relation::kConfirms:
      listener.ConfirmView(announcer.changed(), announcer.cursor());
      break;
    case peer_view_relation::kOther:
      break;
  }
}

// Returns "KEY=VALUE" of all items that are not deleted.
std::vector<std::string> Live(const item_cache& cache) {
  std::vector<std::string> live;
  for (const store_item& item : cache.ChangedAfter({}).items) {
    if (!item.deleted) {
      live.push_back(item.key + "=" + item.value);
    }
  }
  return live;
}

// Two caches with the same view of items "a" and "z" at revision 10.
struct two_caches {
  two_caches() {
    one.MergeListing(items{Item("a", "1", 3), Item("z", "1", 4)}, Cursor(10));
    Hear(two, one);
  }

  item_cache one{Decode};
  item_cache two{Decode};
};

// Peers skipped changes of earlier pages, and used a dropped route for ever.
TEST_CASE("Changes between the pages of a listing are announced in order") {
  two_caches caches;
  const store_cursor before = caches.one.changed();
  // "a" was written after the first page was read, "z" before the last one.
  caches.one.RepairFromListing(items{Item("a", "1", 3), Item("z", "2", 22)},
                               Cursor(20));
  CHECK(caches.one.has_unannounced());
  CHECK(caches.one.changed() == before);
  Hear(caches.two, caches.one);
  CHECK(Live(caches.two) == std::vector<std::string>{"a=1", "z=1"});
  caches.one.MergeChanges(items{Item("a", "2", 21), Item("z", "2", 22)},
                          Cursor(22));
  CHECK_FALSE(caches.one.has_unannounced());
  Hear(caches.two, caches.one);
  CHECK(Live(caches.two) == std::vector<std::string>{"a=2", "z=2"});
}

// A target that had left stayed in use at peers.
TEST_CASE("A heartbeat on a later page hides no change of an earlier one") {
  two_caches caches;
  caches.one.RepairFromListing(items{Item("a", "1", 3), Item("z", "1#7", 22)},
                               Cursor(20));
  CHECK_FALSE(caches.one.has_unannounced());
  caches.one.MergeChanges(items{{"a", "", 21, true}, Item("z", "1#7", 22)},
                          Cursor(22));
  Hear(caches.two, caches.one);
  CHECK(Live(caches.two) == std::vector<std::string>{"z=1"});
}

// A listing told of it too early for peers that had read further.
TEST_CASE("A deletion between the pages of a listing reaches the peers") {
  two_caches caches;
  caches.one.RepairFromListing(items{Item("a", "1", 3)}, Cursor(20));
  CHECK(Live(caches.one) == std::vector<std::string>{"a=1"});
  // The peer has read further than the listing's first page by itself.
  caches.two.MergeChanges(items{Item("a", "2", 21)}, Cursor(21));
  caches.one.MergeChanges(items{Item("a", "2", 21), {"z", "", 22, true}},
                          Cursor(22));
  Hear(caches.two, caches.one);
  CHECK(Live(caches.two) == std::vector<std::string>{"a=2"});
}

// An evacuation that ended and began again was lost at peers.
TEST_CASE("An item that changes and changes back between pages is announced") {
  two_caches caches;
  caches.two.MergeChanges(items{{"z", "", 11, true}}, Cursor(11));
  caches.one.RepairFromListing(items{Item("a", "1", 3), Item("z", "1", 12)},
                               Cursor(11));
  caches.one.MergeChanges(items{{"z", "", 11, true}, Item("z", "1", 12)},
                          Cursor(12));
  Hear(caches.two, caches.one);
  CHECK(Live(caches.two) == std::vector<std::string>{"a=1", "z=1"});
}

// It was taken for no change, so a third instance kept the state between.
TEST_CASE("A change that is undone before a peer pulls is passed on") {
  two_caches caches;
  item_cache deleted(Decode);
  Hear(deleted, caches.one);
  deleted.MergeChanges(items{{"z", "", 11, true}}, Cursor(11));
  caches.one.MergeChanges(items{{"z", "", 11, true}, Item("z", "1", 12)},
                          Cursor(12));
  Hear(caches.two, caches.one);
  Hear(deleted, caches.two);
  CHECK(Live(deleted) == std::vector<std::string>{"a=1", "z=1"});
}

// A third instance was told of the later state only, and missed both.
TEST_CASE("A change that a later page overtook is passed on") {
  two_caches caches;
  item_cache third(Decode);
  Hear(third, caches.one);
  caches.one.RepairFromListing(items{Item("a", "1", 3), Item("z", "3", 13)},
                               Cursor(11));
  caches.one.MergeChanges(items{Item("z", "2", 12)}, Cursor(12));
  Hear(caches.two, caches.one);
  Hear(third, caches.two);
  CHECK(Live(third) == std::vector<std::string>{"a=1", "z=3"});
}

// The same, with the change in the gap that the snapshot covers.
TEST_CASE("A change that is undone after a full snapshot is passed on") {
  two_caches caches;
  item_cache fresh(Decode);
  fresh.MergeListing(items{Item("a", "1", 3), Item("z", "2", 11)}, Cursor(11));
  item_cache third(Decode);
  Hear(third, fresh);
  fresh.RepairFromListing(items{Item("a", "1", 3), Item("z", "1", 12)},
                          Cursor(12));
  Hear(caches.two, fresh);
  caches.two.MergeChanges(items{Item("z", "1", 12)}, Cursor(12));
  Hear(third, caches.two);
  CHECK(Live(third) == std::vector<std::string>{"a=1", "z=1"});
}

// Peers kept targets and evacuations that had ended before it.
TEST_CASE("A first listing tells peers what vanished before it") {
  two_caches caches;
  item_cache fresh(Decode);
  fresh.MergeListing(items{Item("a", "1", 3)}, Cursor(20));
  Hear(caches.two, fresh);
  CHECK(Live(caches.two) == std::vector<std::string>{"a=1"});
  // A newcomer that pulls from it knows no more of the deletion.
  item_cache newcomer(Decode);
  Hear(newcomer, fresh);
  Hear(caches.one, newcomer);
  CHECK(Live(caches.one) == std::vector<std::string>{"a=1"});
}

// Each start of an instance must not cost its peers a full view.
TEST_CASE("Peers that have read as far pull nothing from a first listing") {
  two_caches caches;
  caches.one.AdvanceCursor(Cursor(25));
  item_cache fresh(Decode);
  fresh.MergeListing(items{Item("a", "1", 3), Item("z", "1#9", 19)},
                     Cursor(20));
  CHECK(caches.one.Compare(fresh.changed(), fresh.cursor()) ==
        peer_view_relation::kConfirms);
  Hear(caches.one, fresh);
  CHECK_FALSE(fresh.ChangedAfter(caches.one.changed()).full_snapshot);
}

// It passed the fault of the lister on to its own peers.
TEST_CASE("A newcomer holds, but does not announce, items beyond the cursor") {
  item_cache lister(Decode);
  lister.MergeListing(items{Item("a", "1", 3), Item("z", "1", 22)}, Cursor(20));
  item_cache newcomer(Decode);
  Hear(newcomer, lister);
  CHECK(Live(newcomer) == std::vector<std::string>{"a=1", "z=1"});
  CHECK(newcomer.changed() <= Cursor(20));
  CHECK(newcomer.cursor() == Cursor(20));
  lister.MergeChanges(items{{"a", "", 21, true}, Item("z", "1", 22)},
                      Cursor(22));
  Hear(newcomer, lister);
  CHECK(Live(newcomer) == std::vector<std::string>{"z=1"});
}

// Only the instance that listed the store was repaired.
TEST_CASE("A change that a watch missed is repaired and announced") {
  two_caches caches;
  caches.one.AdvanceCursor(Cursor(15));
  Hear(caches.two, caches.one);
  const view_change repaired =
      caches.one.RepairFromListing(items{Item("a", "2", 12)}, Cursor(20));
  CHECK(repaired.missed == 1);
  CHECK(Live(caches.one) == std::vector<std::string>{"a=2"});
  caches.one.MergeChanges({}, Cursor(23));
  Hear(caches.two, caches.one);
  CHECK(Live(caches.two) == std::vector<std::string>{"a=2"});
}

// Targets that had left were listed again by a peer behind a partition.
TEST_CASE("What was deleted before a purge is not taken back from a peer") {
  two_caches caches;
  caches.one.MergeChanges(items{{"z", "", 12, true}}, Cursor(12));
  caches.one.PurgeTombstones(Cursor(12));
  const store_answer late = caches.two.ChangedAfter({});
  CHECK(caches.one.MergePeerAnswer(late).items.empty());
  CHECK(Live(caches.one) == std::vector<std::string>{"a=1"});
}

// Builds up to 4defb73 announce items of later pages at once.
TEST_CASE("A change announced beyond the cursor is not counted as seen") {
  two_caches caches;
  store_answer old_build;
  old_build.items = items{Item("z", "2", 22)};
  old_build.cursor = Cursor(20);
  old_build.changed = Cursor(22);
  caches.two.MergePeerAnswer(old_build);
  CHECK(caches.two.changed() <= Cursor(20));
  CHECK(caches.two.cursor() == Cursor(20));
  CHECK(caches.two.Compare(Cursor(22), Cursor(20)) !=
        peer_view_relation::kNewer);
  CHECK(caches.two.Compare(Cursor(22), Cursor(22)) ==
        peer_view_relation::kNewer);
}

// Builds up to 4defb73 would count all changes before these as seen.
TEST_CASE("Peers that hold a view get no items beyond the cursor") {
  two_caches caches;
  caches.one.RepairFromListing(
      items{Item("a", "1", 3), Item("y", "1", 22), Item("z", "1", 4)},
      Cursor(20));
  CHECK(caches.one.ChangedAfter(caches.two.changed()).items.empty());
  CHECK(caches.one.ChangedAfter({}).items.size() == 3);
}

// The pages of the first listing of an era are no snapshot either.
TEST_CASE("A new era is announced as far as its first page") {
  two_caches caches;
  caches.one.MergeListing(items{Item("a", "1", 3), Item("z", "2", 9)},
                          Cursor(8, 1));
  CHECK(caches.one.changed() <= Cursor(8, 1));
  Hear(caches.two, caches.one);
  CHECK(Live(caches.two) == std::vector<std::string>{"a=1", "z=2"});
  CHECK(caches.two.changed() <= Cursor(8, 1));
  caches.one.MergeChanges(items{{"a", "", 10, true}}, Cursor(10, 1));
  Hear(caches.two, caches.one);
  CHECK(Live(caches.two) == std::vector<std::string>{"z=2"});
}

TEST_CASE("Caches converge in any order of changes") {
  CHECK(rc::check([](const std::vector<std::uint8_t>& writes) {
    std::vector<store_item> items;
    std::uint64_t revision = 0;
    for (const std::uint8_t write : writes) {
      const std::string key(1, static_cast<char>('a' + write % 4));
      items.push_back(
          {key, std::to_string(write / 8), ++revision, write % 7 == 0});
    }
    item_cache ordered(Decode);
    ordered.MergeChanges(items, Cursor(revision));
    item_cache shuffled(Decode);
    std::vector<store_item> reversed(items.rbegin(), items.rend());
    shuffled.MergeChanges(reversed, Cursor(revision));
    item_cache peer(Decode);
    peer.MergePeerAnswer(ordered.ChangedAfter(Cursor(0)));
    const auto values = [](const item_cache& cache) {
      std::vector<std::pair<std::string, std::string>> all;
      for (const store_item& item : cache.ChangedAfter(Cursor(0)).items) {
        all.emplace_back(item.key, item.deleted ? "-" : item.value);
      }
      return all;
    };
    RC_ASSERT(values(ordered) == values(shuffled));
    RC_ASSERT(values(ordered) == values(peer));
  }));
}

}  // namespace
}  // namespace rosemaryreach
