// Decides which instance owns a bucket, target or key: a pure function of the
// fleet view, by rendezvous hashing.
#ifndef ROSEMARYREACH_OWNERSHIP_H_
#define ROSEMARYREACH_OWNERSHIP_H_

#include <cstdint>
#include <string>
#include <vector>

#include "rosemaryreach/fleet_view.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

// The owner of a key and the instance that takes over from it. Either is zero
// when there are too few eligible instances.
struct owner_pair {
  instance_id owner;
  instance_id successor;

  bool operator==(const owner_pair&) const = default;
};

// Ranks the eligible instances of one scope. Copyable; holds no view.
class owner_ranking {
 public:
  // Takes the active instances of `view` whose region is `region` and, unless
  // `data_centre` is empty, whose data centre is `data_centre`.
  owner_ranking(const fleet_view& view,
                const std::string& region,
                const std::string& data_centre = {});

  // Returns the two best-ranked instances for `key`.
  owner_pair Owners(std::uint64_t key) const;

  const std::vector<instance_id>& candidates() const { return candidates_; }

 private:
  std::vector<instance_id> candidates_;
};

// Returns the ownership key of `bucket` of the service called `service`.
std::uint64_t BucketKey(std::string_view service, std::uint32_t bucket);

// Returns the ownership key of a target of a service.
std::uint64_t TargetKey(std::string_view service, std::string_view target);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_OWNERSHIP_H_
