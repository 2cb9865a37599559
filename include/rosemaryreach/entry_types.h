// Configuration, target records and store items as the packet-forwarding entry
// instance uses them.
#ifndef ROSEMARYREACH_ENTRY_TYPES_H_
#define ROSEMARYREACH_ENTRY_TYPES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "rosemaryreach/config.h"
#include "rosemaryreach/flow_packet.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

// Whether the requests of a route may be retried.
enum class request_kind : std::uint8_t { kIdempotent, kNonIdempotent, kBulk };

// Priorities of routes reach from 0, the most urgent, to this.
inline constexpr std::uint32_t kLeastUrgent = 15;

struct weighted_service {
  std::string service;
  std::uint32_t weight = 1;

  bool operator==(const weighted_service&) const = default;
};

// An address that callers open flows to, and the services that it maps to.
struct entry_route {
  std::string name;
  ipv4_endpoint address;
  std::vector<weighted_service> services;
  request_kind kind = request_kind::kNonIdempotent;
  duration timeout{};  // of a request; 0 if none is declared
  // 0 is the most urgent; nothing if none is declared.
  std::optional<std::uint32_t> priority;
  duration latency_target{};  // of an answer; 0 if none is declared

  bool operator==(const entry_route&) const = default;
};

struct entry_service {
  std::string name;
  // New flows a second that a cold target can take; 0 if none is declared.
  double cold_flows_per_s = 0;
  std::uint32_t max_flows = 0;  // that a target holds; 0 if none is declared

  bool operator==(const entry_service&) const = default;
};

// The configuration published by operators.
struct entry_config {
  std::uint64_t version = 0;
  std::vector<entry_route> routes;
  std::vector<entry_service> services;
  duration idle_timeout{};  // of open flows; 0 if none is declared
  // Invalid values, which count as not declared; empty if there are none.
  std::string ignored;

  bool operator==(const entry_config&) const = default;
};

// The record that a target publishes about itself.
struct target_record {
  std::string id;
  // Numeric form of the id; datagrams to this target start with it.
  std::uint64_t wire_id = 0;
  // Tells starts under the same id apart; 0 if the entry states none. A target
  // whose clock is behind may state a lower one than before.
  std::uint64_t incarnation = 0;
  std::string service;
  ipv4_endpoint address;
  std::string data_centre;
  std::uint32_t slots = 1;  // maximum concurrent requests
  target_state state = target_state::kActive;
  duration cold_left{};  // rest of the warm-up when the record was written
};

// A position in the store's history. A restore of the store from a copy starts
// a new era, in which the revisions since that copy are given out again.
struct store_cursor {
  std::uint64_t era = 0;
  std::uint64_t revision = 0;

  auto operator<=>(const store_cursor&) const = default;
};

// One item of the store; `value` holds arbitrary bytes.
struct store_item {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;  // in the era of the answer that holds the item
  bool deleted = false;

  bool operator==(const store_item&) const = default;
};

// A reply from the store, or from a peer that relays items of the store.
struct store_answer {
  std::vector<store_item> items;
  store_cursor cursor;  // of the store at the time of the reply
  // From peers: that of the last content change, heartbeats excluded.
  store_cursor changed;
  bool has_more = false;       // the listing continues after the last item
  bool full_snapshot = false;  // from peers: missing items are deleted
};

// The decoded forms of an item; `unreadable_item` if decoding fails.
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

// An item whose decoded content changed.
struct changed_item {
  store_item item;
  decoded_item decoded;
  // The last value of the incarnation of a target that this change ends; empty
  // if it ends none.
  std::string departed_value = {};
};

// The last value of the item of a target that is no longer listed.
struct departed_item {
  std::string key;
  std::string value;
  duration age{};  // since it left

  bool operator==(const departed_item&) const = default;
};

// What an instance knows of the targets that have left.
struct departed_answer {
  std::vector<departed_item> items;
  duration known_for{};  // every departure within this time is included
};

// What a new era of the store brought, compared with the view before it.
struct era_change {
  store_cursor before;
  store_cursor after;
  std::size_t same = 0;     // items with the content that was known
  std::size_t taken = 0;    // items with other content, taken from the store
  std::size_t missing = 0;  // known items that the store lacks
  std::size_t kept = 0;     // configurations kept, since the store's is older
};

// Changes of the view that one answer brought.
struct view_change {
  std::vector<changed_item> items = {};
  std::optional<era_change> era = {};  // set if the answer began a new era
  // Of `items`, those that a listing found changed before the cursor.
  std::size_t missed = 0;
};

// Limits that the deployment guarantees, from the settings file.
struct entry_bounds {
  duration grace_period = std::chrono::seconds(6);  // SIGTERM to SIGKILL
  duration flow_lifetime = std::chrono::seconds(60);
  // A cold target may get cold_flows_per_s * cold_factor + cold_slack new flows
  // a second.
  double cold_factor = 1.5;
  double cold_slack = 5;

  bool operator==(const entry_bounds&) const = default;
};

// The settings of one entry instance.
struct entry_settings {
  std::string instance;
  std::string data_centre;
  std::uint32_t cpu_millicores = 1'000;
  double link_mbps = 1'000;     // of this instance's own link
  endpoint packet_endpoint;     // UDP, from the fabric
  endpoint readiness_endpoint;  // HTTP, readiness
  endpoint control_endpoint;    // HTTP, requests of peers and operators
  std::uint16_t peer_port = 0;  // UDP, between instances
  std::vector<endpoint> seeds;  // control endpoints of some instances
  endpoint store_endpoint;
  duration store_history = std::chrono::seconds(20);  // which the store keeps
  entry_bounds bounds;

  bool operator==(const entry_settings&) const = default;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ENTRY_TYPES_H_
