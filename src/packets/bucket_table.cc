#include "rosemaryreach/bucket_table.h"

#include <algorithm>
#include <numeric>

#include "rosemaryreach/types.h"

namespace rosemaryreach {
namespace {

// The order in which one entry claims buckets, as in Maglev hashing: starts at
// a hash of the entry and advances by an odd step, so it visits all of them.
struct bucket_permutation {
  std::uint32_t next = 0;
  std::uint32_t step = 1;
  std::uint64_t credit = 0;
  std::uint32_t weight = 0;
  std::uint16_t entry = 0;
};

std::vector<bucket_permutation> MakePermutations(
    std::span<const weighted_entry> entries,
    std::uint32_t mask) {
  std::vector<std::uint16_t> order;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (entries[i].weight > 0) {
      order.push_back(static_cast<std::uint16_t>(i));
    }
  }
  // Sorts by id, so that the table does not depend on the order of `entries`.
  std::sort(order.begin(), order.end(), [&](std::uint16_t a, std::uint16_t b) {
    return entries[a].id < entries[b].id;
  });
  std::vector<bucket_permutation> permutations;
  permutations.reserve(order.size());
  for (const std::uint16_t index : order) {
    const std::uint64_t id = entries[index].id;
    bucket_permutation permutation;
    permutation.next = static_cast<std::uint32_t>(HashPair(id, 1)) & mask;
    permutation.step =
        (static_cast<std::uint32_t>(HashPair(id, 2)) & mask) | 1U;
    permutation.weight = entries[index].weight;
    permutation.entry = index;
    permutations.push_back(permutation);
  }
  return permutations;
}

}  // namespace

std::vector<std::uint16_t> BuildBucketTable(
    std::span<const weighted_entry> entries,
    std::uint32_t buckets) {
  std::vector<std::uint16_t> table(buckets, kNoEntry);
  const std::uint32_t mask = buckets - 1;
  std::vector<bucket_permutation> permutations =
      MakePermutations(entries, mask);
  if (permutations.empty()) {
    return table;
  }
  std::uint64_t max_weight = 0;
  for (const bucket_permutation& permutation : permutations) {
    max_weight = std::max<std::uint64_t>(max_weight, permutation.weight);
  }
  std::uint32_t assigned = 0;
  while (assigned < buckets) {
    for (bucket_permutation& permutation : permutations) {
      permutation.credit += permutation.weight;
      if (permutation.credit < max_weight) {
        continue;
      }
      permutation.credit -= max_weight;
      while (table[permutation.next] != kNoEntry) {
        permutation.next = (permutation.next + permutation.step) & mask;
      }
      table[permutation.next] = permutation.entry;
      if (++assigned == buckets) {
        break;
      }
    }
  }
  return table;
}

void ReassignShare(std::span<std::uint16_t> table,
                   std::uint16_t entry,
                   std::uint32_t percent) {
  std::vector<std::uint32_t> order(table.size());
  std::iota(order.begin(), order.end(), 0U);
  // Groups the buckets by entry, in a fixed order within each group, and
  // reassigns the first `percent` of each. The rounding error carries over to
  // the next group.
  std::sort(order.begin(), order.end(), [&](std::uint32_t a, std::uint32_t b) {
    if (table[a] != table[b]) {
      return table[a] < table[b];
    }
    return HashPair(a, 0) < HashPair(b, 0);
  });
  std::uint64_t visited = 0;
  std::uint64_t reassigned = 0;
  std::size_t at = 0;
  while (at < order.size()) {
    const std::uint16_t previous_entry = table[order[at]];
    std::size_t end = at;
    while (end < order.size() && table[order[end]] == previous_entry) {
      ++end;
    }
    visited += end - at;
    const std::uint64_t quota = visited * percent / 100 - reassigned;
    for (std::size_t i = at; i < end; ++i) {
      if (i - at < quota) {
        table[order[i]] = entry;
      }
    }
    reassigned += std::min<std::uint64_t>(quota, end - at);
    at = end;
  }
}

}  // namespace rosemaryreach
