// Maps buckets, targets and keys to their owner instances by rendezvous hashing
// over the fleet view.
#ifndef ROSEMARYREACH_OWNERSHIP_H_
#define ROSEMARYREACH_OWNERSHIP_H_

#include <cstdint>
#include <string>
#include <vector>

#include "rosemaryreach/fleet_view.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

// The owner of a key and the instance that takes over if the owner goes. An id
// is zero if there are too few eligible instances.
struct owner_pair {
  instance_id owner;
  instance_id successor;

  bool operator==(const owner_pair&) const = default;
};

// Ranks the eligible instances of a region or data centre. Copyable; keeps no
// reference to the view.
class owner_ranking {
 public:
  // Selects the active instances in `region` and, unless `data_centre` is
  // empty, in `data_centre`.
  owner_ranking(const fleet_view& view,
                const std::string& region,
                const std::string& data_centre = {});

  // Returns the two highest-ranked instances for `key`.
  owner_pair Owners(std::uint64_t key) const;

  const std::vector<instance_id>& candidates() const { return candidates_; }

 private:
  std::vector<instance_id> candidates_;
};

// Returns the ownership key of a bucket of the service named `service`.
std::uint64_t BucketKey(std::string_view service, std::uint32_t bucket);

// Returns the ownership key of a target of the service named `service`.
std::uint64_t TargetKey(std::string_view service, std::string_view target);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_OWNERSHIP_H_
