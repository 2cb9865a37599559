#include "rosemaryreach/bucket_table.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "rosemaryreach/types.h"

namespace rosemaryreach {
namespace {

std::vector<weighted_entry> MakeEntries(std::size_t count) {
  std::vector<weighted_entry> entries;
  for (std::size_t i = 0; i < count; ++i) {
    entries.push_back({HashPair(i, 17), 100});
  }
  return entries;
}

std::vector<std::uint32_t> CountBuckets(const std::vector<std::uint16_t>& table,
                                        std::size_t entries) {
  std::vector<std::uint32_t> shares(entries);
  for (const std::uint16_t entry : table) {
    ++shares.at(entry);
  }
  return shares;
}

double MaxOverMean(std::size_t entries, std::uint32_t buckets) {
  const std::vector<std::uint32_t> shares =
      CountBuckets(BuildBucketTable(MakeEntries(entries), buckets), entries);
  return *std::max_element(shares.begin(), shares.end()) *
         static_cast<double>(entries) / buckets;
}

double MovedFraction(const std::vector<std::uint16_t>& before,
                     const std::vector<std::uint16_t>& after) {
  std::size_t moved = 0;
  for (std::size_t i = 0; i < before.size(); ++i) {
    moved += before[i] != after[i] ? 1 : 0;
  }
  return static_cast<double>(moved) / static_cast<double>(before.size());
}

TEST_CASE("equal weights get equal shares of the buckets") {
  CHECK(MaxOverMean(15, 4'096) <= 1.05);
  CHECK(MaxOverMean(15, 65'536) <= 1.05);
  CHECK(MaxOverMean(1'000, 65'536) <= 1.05);
}

TEST_CASE("removing one of 15 entries moves little more than its share") {
  for (std::size_t removed = 0; removed < 15; ++removed) {
    std::vector<weighted_entry> entries = MakeEntries(15);
    const std::vector<std::uint16_t> before = BuildBucketTable(entries, 4'096);
    entries[removed].weight = 0;
    const std::vector<std::uint16_t> after = BuildBucketTable(entries, 4'096);
    CHECK(MovedFraction(before, after) <= 1.0 / 15 + 0.02);
    CHECK(CountBuckets(after, 15)[removed] == 0);
  }
}

TEST_CASE("the number of buckets is proportional to the weight") {
  std::vector<weighted_entry> entries = MakeEntries(3);
  entries[1].weight = 50;
  const std::vector<std::uint32_t> shares =
      CountBuckets(BuildBucketTable(entries, 4'096), 3);
  CHECK(shares[1] == Approx(4'096 / 5).margin(2));
  CHECK(shares[0] == Approx(4'096 * 2 / 5).margin(2));
}

TEST_CASE("the table does not depend on the order of the entries") {
  std::vector<weighted_entry> entries = MakeEntries(15);
  const std::vector<std::uint16_t> table = BuildBucketTable(entries, 1'024);
  std::reverse(entries.begin(), entries.end());
  const std::vector<std::uint16_t> reversed = BuildBucketTable(entries, 1'024);
  for (std::size_t i = 0; i < table.size(); ++i) {
    REQUIRE(table[i] == 14 - reversed[i]);
  }
}

TEST_CASE("no bucket is assigned if all weights are 0") {
  std::vector<weighted_entry> entries = MakeEntries(2);
  entries[0].weight = 0;
  entries[1].weight = 0;
  CHECK(BuildBucketTable(entries, 16) ==
        std::vector<std::uint16_t>(16, 0xffff));
}

TEST_CASE("a larger reassigned share moves only the additional buckets") {
  const std::vector<std::uint16_t> table =
      BuildBucketTable(MakeEntries(15), 4'096);
  std::vector<std::uint16_t> at50 = table;
  std::vector<std::uint16_t> at60 = table;
  ReassignShare(at50, 15, 50);
  ReassignShare(at60, 15, 60);
  CHECK(CountBuckets(at50, 16)[15] == 2'048);
  CHECK(CountBuckets(at60, 16)[15] == 4'096 * 60 / 100);
  CHECK(MovedFraction(at50, at60) <= 0.105);
}

}  // namespace
}  // namespace rosemaryreach
