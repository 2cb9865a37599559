// The set of live instances as one instance sees it.
#ifndef ROSEMARYREACH_FLEET_VIEW_H_
#define ROSEMARYREACH_FLEET_VIEW_H_

#include <cstdint>
#include <string>
#include <vector>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

// Lifecycle of an instance. Only active instances are eligible as owners.
enum class instance_state : std::uint8_t { kJoining, kActive, kLeaving };

struct instance_info {
  instance_id id;
  std::string name;
  std::string data_centre;
  std::string region;
  ip_address address;
  // Ports on `address`, in host byte order.
  std::uint16_t control_port = 0;  // UDP, membership and state
  std::uint16_t detour_port = 0;   // UDP, first of packet_workers ports
  std::uint16_t request_port = 0;  // TCP, forwarded HTTP/2 requests
  std::uint16_t grpc_port = 0;     // TCP, pulls and handover
  // Worker w receives detoured packets on detour_port + w.
  std::uint16_t packet_workers = 1;
  // Higher after each start, to tell a restarted instance from its predecessor.
  std::uint64_t incarnation = 0;
  instance_state state = instance_state::kJoining;
  // The configuration number the instance last reported.
  std::uint64_t configuration_number = 0;

  bool operator==(const instance_info&) const = default;
};

// The live instances, this one included, sorted by id.
struct fleet_view {
  instance_id self;
  std::vector<instance_info> instances;
  // Incremented when an id, incarnation or state in `instances` changes.
  std::uint64_t version = 0;
};

// Returns the instance with `id` in `view`, or nullptr.
const instance_info* FindInstance(const fleet_view& view, instance_id id);

// Returns a digest of the ids, incarnations and states in `view`. Equal views
// have equal digests.
std::uint64_t ViewDigest(const fleet_view& view);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_FLEET_VIEW_H_
