#include "rosemaryreach/ownership.h"

namespace rosemaryreach {

owner_ranking::owner_ranking(const fleet_view& view,
                             const std::string& region,
                             const std::string& data_centre) {
  for (const instance_info& instance : view.instances) {
    const bool in_scope =
        instance.region == region &&
        (data_centre.empty() || instance.data_centre == data_centre);
    if (in_scope && instance.state == instance_state::kActive) {
      candidates_.push_back(instance.id);
    }
  }
}

owner_pair owner_ranking::Owners(std::uint64_t key) const {
  owner_pair best;
  std::uint64_t best_score = 0;
  std::uint64_t second_score = 0;
  for (const instance_id candidate : candidates_) {
    const std::uint64_t score = HashPair(candidate.value, key);
    if (!best.owner || score > best_score) {
      best.successor = best.owner;
      second_score = best_score;
      best.owner = candidate;
      best_score = score;
    } else if (!best.successor || score > second_score) {
      best.successor = candidate;
      second_score = score;
    }
  }
  return best;
}

std::uint64_t BucketKey(std::string_view service, std::uint32_t bucket) {
  return HashPair(HashBytes(service), bucket);
}

std::uint64_t TargetKey(std::string_view service, std::string_view target) {
  return HashPair(HashBytes(service), HashBytes(target, 1));
}

}  // namespace rosemaryreach
