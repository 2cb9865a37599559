// What a flow router knows of the instances of its region.
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
  std::uint64_t configuration_number =
      0;  // highest configuration number heard of
};

class peer_table {
 public:
  // Takes a new view; remembers the ranking of the one before. Returns whether
  // an active peer appeared that the view before did not have.
  bool Apply(const fleet_view& view, time_point now);

  // Takes the configuration number that a peer said it has.
  void RecordConfigurationNumber(instance_id id,
                                 std::uint64_t configuration_number);

  // Returns the live peer `id`, or nullptr.
  const peer* Find(instance_id id) const;

  // Returns whether the numbers of all peers are from `lowest` to `highest`.
  bool ConfigurationNumbersWithin(std::uint64_t lowest,
                                  std::uint64_t highest) const;

  // Returns whether a live peer is the process that it was in the last view
  // and may still hold what it owned.
  bool IsSameProcess(instance_id id) const;

  owner_pair Owners(std::uint64_t key) const { return ranking_.Owners(key); }

  // Returns the owners by the view before, if it changed lately.
  std::optional<owner_pair> PreviousOwners(std::uint64_t key,
                                           time_point now) const;

  // Returns where worker `bucket` mod workers of an instance gets detours.
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
