// What operators and targets publish, as the packet-forwarding entry instance
// uses it.
#ifndef ROSEMARYREACH_ENTRY_TYPES_H_
#define ROSEMARYREACH_ENTRY_TYPES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "rosemaryreach/config.h"
#include "rosemaryreach/flow_packet.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

// Whether a request may be repeated.
enum class request_kind : std::uint8_t { kIdempotent, kNonIdempotent, kBulk };

struct weighted_service {
  std::string service;
  std::uint32_t weight = 1;

  bool operator==(const weighted_service&) const = default;
};

// An address that callers open flows to, and the services behind it.
struct entry_route {
  std::string name;
  ipv4_endpoint address;
  std::vector<weighted_service> services;
  request_kind kind = request_kind::kNonIdempotent;

  bool operator==(const entry_route&) const = default;
};

struct entry_service {
  std::string name;
  // New flows a second that a cold target bears; 0 if none is declared.
  double cold_flows_per_s = 0;

  bool operator==(const entry_service&) const = default;
};

// The configuration that operators published last.
struct entry_config {
  std::uint64_t version = 0;
  std::vector<entry_route> routes;
  std::vector<entry_service> services;

  bool operator==(const entry_config&) const = default;
};

// What a target says of itself.
struct target_record {
  std::string id;
  // The id as the number that datagrams for this target start with.
  std::uint64_t wire_id = 0;
  // Tells starts under the same id apart; later ones are higher.
  std::uint64_t incarnation = 0;
  std::string service;
  ipv4_endpoint address;
  std::string data_centre;
  std::uint32_t slots = 1;  // requests that it runs at a time
  target_state state = target_state::kActive;
  duration cold_left{};  // how long it stays cold, when it said so
};

// One published item: `value` is what its writer wrote, any bytes.
struct store_item {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
  bool deleted = false;

  bool operator==(const store_item&) const = default;
};

// An answer of the store, or of a peer that passes on what the store said.
struct store_answer {
  std::vector<store_item> items;
  std::uint64_t revision = 0;  // the store's when it answered
  std::uint64_t changed_revision =
      0;                       // last change in meaning, from peers only
  bool has_more = false;       // a listing goes on after the last item
  bool full_snapshot = false;  // from peers: items it lacks are deleted
};

// What an item means. Items that can't be read are `unreadable_item`.
struct unreadable_item {
  std::string reason;
};
struct unrelated_item {};
struct target_item {
  target_record record;
};
struct removed_target {
  std::string id;
};
struct evacuation_item {
  std::string data_centre;
  bool evacuated = false;
};
using decoded_item = std::variant<unrelated_item,
                                  unreadable_item,
                                  entry_config,
                                  target_item,
                                  removed_target,
                                  evacuation_item>;

// An item whose meaning changed.
struct changed_item {
  store_item item;
  decoded_item decoded;
};

// Bounds that the deployment promises, from its settings.
struct entry_bounds {
  duration grace_period = std::chrono::seconds(6);  // SIGTERM to SIGKILL
  duration flow_lifetime = std::chrono::seconds(60);
  double cold_factor = 1.5;  // allowed over cold_flows_per_s
  double cold_slack = 5;     // flows a second allowed beside that

  bool operator==(const entry_bounds&) const = default;
};

// The settings of one entry instance.
struct entry_settings {
  std::string instance;
  std::string data_centre;
  std::uint32_t cpu_millicores = 1'000;  // thousandths of a core
  double link_mbps = 1'000;              // of this instance's own link
  endpoint packet_endpoint;              // UDP, from the fabric
  endpoint readiness_endpoint;           // HTTP, readiness
  endpoint control_endpoint;             // HTTP, what peers and operators ask
  std::uint16_t peer_port = 0;           // UDP, between instances
  std::vector<endpoint> seeds;           // control addresses of some instances
  endpoint store_endpoint;
  entry_bounds bounds;

  bool operator==(const entry_settings&) const = default;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ENTRY_TYPES_H_
