// The instances of a region, as known to one of its flow routers.
#ifndef ROSEMARYREACH_PACKETS_PEER_TABLE_H_
#define ROSEMARYREACH_PACKETS_PEER_TABLE_H_

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <vector>

#include "rosemaryreach/fleet_view.h"
#include "rosemaryreach/ownership.h"

namespace rosemaryreach {

// One other live instance of the region.
struct peer {
  instance_id id;
  std::uint64_t incarnation = 0;
  instance_state state = instance_state::kJoining;
  ip_address address;
  std::uint16_t detour_port = 0;
  std::uint16_t packet_workers = 1;
  std::uint64_t configuration_number = 0;  // highest reported by the peer
};

class peer_table {
 public:
  // Replaces the view, and keeps the ranking of the previous one. Returns
  // whether there is an active peer that the previous view did not have.
  bool Apply(const fleet_view& view, time_point now);

  // Records the configuration number that a peer reported.
  void RecordConfigurationNumber(instance_id id,
                                 std::uint64_t configuration_number);

  // Returns the live peer `id`, or nullptr.
  const peer* Find(instance_id id) const;

  // Returns whether the configuration numbers of all peers are from `lowest` to
  // `highest`.
  bool ConfigurationNumbersWithin(std::uint64_t lowest,
                                  std::uint64_t highest) const;

  // Returns whether a live peer has not restarted since the previous view and
  // is not joining, so that it may still own its buckets.
  bool IsSameProcess(instance_id id) const;

  owner_pair Owners(std::uint64_t key) const { return ranking_.Owners(key); }

  // Returns the owners by the previous view, if the view changed recently.
  std::optional<owner_pair> PreviousOwners(std::uint64_t key,
                                           time_point now) const;

  // Returns the detour address of the worker for `bucket` on an instance.
  endpoint DetourEndpoint(instance_id id, std::uint32_t bucket) const;

  instance_id self() const { return self_.id; }
  const instance_info& self_info() const { return self_; }
  const std::vector<peer>& peers() const { return peers_; }
  std::uint64_t digest() const { return digest_; }

 private:
  instance_info self_;
  std::vector<peer> peers_;
  absl::flat_hash_map<std::uint64_t, std::uint64_t> previous_incarnations_;
  owner_ranking ranking_{fleet_view{}, {}};
  owner_ranking previous_ranking_{fleet_view{}, {}};
  std::optional<time_point> changed_at_;
  std::uint64_t digest_ = 0;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_PACKETS_PEER_TABLE_H_
