// Consistent hashing with weights: assigns the hash buckets of a service to
// weighted entries. Depends on the entries only, so that every instance builds
// the same table.
#ifndef ROSEMARYREACH_BUCKET_TABLE_H_
#define ROSEMARYREACH_BUCKET_TABLE_H_

#include <cstdint>
#include <span>
#include <vector>

namespace rosemaryreach {

// One entry, with a share of the buckets by weight; none for weight 0.
struct weighted_entry {
  std::uint64_t id = 0;  // same in every configuration
  std::uint32_t weight = 0;
};

// Table value of a bucket that is assigned to no entry.
inline constexpr std::uint16_t kNoEntry = 0xffff;

// Returns the index in `entries` for each of `buckets`, or kNoEntry if all
// weights are 0. `buckets` is a power of two; at most 65,535 entries.
std::vector<std::uint16_t> BuildBucketTable(
    std::span<const weighted_entry> entries,
    std::uint32_t buckets);

// Reassigns `percent` of the buckets to `entry`, in proportion from all other
// entries. Another `percent` moves only the buckets that make the difference.
void ReassignShare(std::span<std::uint16_t> table,
                   std::uint16_t entry,
                   std::uint32_t percent);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_BUCKET_TABLE_H_
