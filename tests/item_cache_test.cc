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

TEST_CASE("Heartbeats do not count as content changes") {
  item_cache cache(Decode);
  const std::vector<store_item> first = {Item("a", "x#1", 5)};
  CHECK(cache.MergeChanges(first, 5).size() == 1);
  const std::vector<store_item> heartbeat = {Item("a", "x#2", 7)};
  CHECK(cache.MergeChanges(heartbeat, 7).empty());
  CHECK(cache.changed_revision() == 5);
  CHECK(cache.revision() == 7);
}

TEST_CASE("Older values never replace newer ones") {
  item_cache cache(Decode);
  const std::vector<store_item> newer = {Item("a", "new", 9)};
  const std::vector<store_item> older = {Item("a", "old", 8)};
  cache.MergeChanges(newer, 9);
  CHECK(cache.MergeChanges(older, 8).empty());
  CHECK(cache.ChangedAfter(0).items.at(0).value == "new");
  CHECK(cache.revision() == 9);
}

TEST_CASE("A listing deletes missing items that are not newer") {
  item_cache cache(Decode);
  const std::vector<store_item> all = {Item("a", "x", 3), Item("b", "y", 12)};
  cache.MergeChanges(all, 12);
  const std::vector<changed_item> deleted = cache.MergeListing({}, 10);
  REQUIRE(deleted.size() == 1);
  CHECK(deleted[0].item.key == "a");
  CHECK(deleted[0].item.deleted);
}

TEST_CASE("A listing of an empty store completes the view") {
  item_cache cache(Decode);
  CHECK(cache.changed_revision() == 0);
  cache.MergeListing({}, 1);
  CHECK(cache.changed_revision() == 1);
}

TEST_CASE("A peer that asks again gets no item twice") {
  item_cache one(Decode);
  item_cache two(Decode);
  const std::vector<store_item> all = {Item("a", "x#1", 3),
                                       Item("a", "x#2", 6)};
  one.MergeChanges(all, 6);
  const store_answer answer = one.ChangedAfter(two.changed_revision());
  CHECK(two.MergePeerAnswer(answer).size() == 1);
  CHECK(two.changed_revision() == one.changed_revision());
  CHECK(one.ChangedAfter(two.changed_revision()).items.empty());
}

TEST_CASE("Purging tombstones keeps live items") {
  item_cache cache(Decode);
  const std::vector<store_item> all = {
      Item("a", "x", 3), {"b", "", 5, true}, {"c", "", 9, true}};
  cache.MergeChanges(all, 9);
  cache.PurgeTombstones(6);
  const store_answer left = cache.ChangedAfter(0);
  REQUIRE(left.items.size() == 1);
  CHECK(left.items[0].key == "a");
  CHECK(cache.ChangedAfter(7).items.size() == 1);
}

TEST_CASE("Only a peer that may miss a deletion gets a full snapshot") {
  item_cache cache(Decode);
  const std::vector<store_item> all = {Item("a", "x", 3), {"b", "", 5, true}};
  cache.MergeChanges(all, 5);
  // Only heartbeats raised the revision since then.
  cache.PurgeTombstones(90);
  CHECK(cache.ChangedAfter(4).full_snapshot);
  CHECK_FALSE(cache.ChangedAfter(5).full_snapshot);
}

TEST_CASE("A peer that missed a deletion learns of it after the purge") {
  item_cache one(Decode);
  item_cache lagging(Decode);
  const std::vector<store_item> before = {Item("a", "x", 3), Item("b", "y", 4)};
  one.MergeChanges(before, 4);
  lagging.MergePeerAnswer(one.ChangedAfter(0));
  const std::vector<store_item> deleted = {{"b", "", 8, true}};
  one.MergeChanges(deleted, 8);
  one.PurgeTombstones(8);
  const std::vector<changed_item> learned =
      lagging.MergePeerAnswer(one.ChangedAfter(lagging.changed_revision()));
  REQUIRE(learned.size() == 1);
  CHECK(learned[0].item.key == "b");
  CHECK(learned[0].item.deleted);
  CHECK(lagging.changed_revision() == one.changed_revision());
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
    ordered.MergeChanges(items, revision);
    item_cache shuffled(Decode);
    std::vector<store_item> reversed(items.rbegin(), items.rend());
    shuffled.MergeChanges(reversed, revision);
    item_cache peer(Decode);
    peer.MergePeerAnswer(ordered.ChangedAfter(0));
    const auto values = [](const item_cache& cache) {
      std::vector<std::pair<std::string, std::string>> all;
      for (const store_item& item : cache.ChangedAfter(0).items) {
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
