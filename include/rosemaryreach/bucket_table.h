// Assigns the hash buckets of a service to weighted entries: a pure function
// of the entries, the same on every instance.
#ifndef ROSEMARYREACH_BUCKET_TABLE_H_
#define ROSEMARYREACH_BUCKET_TABLE_H_

#include <cstdint>
#include <span>
#include <vector>

namespace rosemaryreach {

// One entry to share the buckets among. Entries of weight 0 get none.
struct weighted_entry {
  std::uint64_t id = 0;  // stable across configurations
  std::uint32_t weight = 0;
};

// Marks a bucket that no entry takes.
inline constexpr std::uint16_t kNoEntry = 0xffff;

// Returns for each of `buckets` (a power of two) the index of its entry in
// `entries`, or kNoEntry if all weights are 0. At most 65,535 entries.
std::vector<std::uint16_t> BuildBucketTable(
    std::span<const weighted_entry> entries,
    std::uint32_t buckets);

// Gives `percent` of the buckets to entry `overlay`, evenly taken from all the
// other entries; a change of `percent` moves no other bucket.
void ReassignShare(std::span<std::uint16_t> table,
                   std::uint16_t entry,
                   std::uint32_t percent);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_BUCKET_TABLE_H_
