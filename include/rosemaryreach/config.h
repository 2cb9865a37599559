// The operators' configuration: services, targets and data centres, with a
// version number. Parsing and rules are in config_json.h, patches in patch.h.
#ifndef ROSEMARYREACH_CONFIG_H_
#define ROSEMARYREACH_CONFIG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

enum class transport_protocol : std::uint8_t { kTcp, kUdp };

// Which plane serves a service: forwarding of packets, or of HTTP/2 requests.
enum class service_plane : std::uint8_t { kPackets, kRequests };

enum class target_state : std::uint8_t { kActive, kDraining };

enum class data_centre_state : std::uint8_t { kIn, kOut };

struct data_centre_config {
  std::string name;
  std::string region;
  data_centre_state state = data_centre_state::kIn;

  bool operator==(const data_centre_config&) const = default;
};

struct target_config {
  std::string name;
  endpoint address;
  std::string data_centre;
  std::uint32_t weight = 100;
  // Limit of concurrent requests at the target; request plane only.
  std::uint32_t slots = 1;
  // New connections (or requests) per second that a cold target can handle.
  std::uint32_t cold_rate_per_s = 10;
  // Ramp-up time from cold to full load.
  std::uint32_t warmup_ms = 30'000;
  target_state state = target_state::kActive;
  // Endpoint of the HTTP GET /healthz probe; not probed if empty.
  std::optional<endpoint> probe;

  bool operator==(const target_config&) const = default;
};

// Next hop of the service's traffic that rosemaryreach does not serve yet.
struct legacy_config {
  endpoint next_hop;
  // Share of new connections that rosemaryreach serves, 0 to 100.
  std::uint32_t share_percent = 100;

  bool operator==(const legacy_config&) const = default;
};

// How requests of a service are admitted, retried and timed out.
struct request_policy {
  std::vector<std::string> idempotent_methods;
  // Path prefixes with lower priority than interactive requests (downloads).
  std::vector<std::string> bulk_prefixes;
  // Path prefixes of long-lived streams, which occupy no slot.
  std::vector<std::string> watch_prefixes;
  std::uint32_t queue_limit = 1'000;
  std::uint32_t default_deadline_ms = 5'000;
  std::uint32_t max_deadline_ms = 60'000;
  std::uint32_t retry_budget_percent = 10;
  std::uint32_t idempotency_window_ms = 600'000;

  bool operator==(const request_policy&) const = default;
};

struct service_config {
  std::string name;
  std::vector<endpoint> addresses;
  transport_protocol protocol = transport_protocol::kTcp;
  service_plane plane = service_plane::kPackets;
  // Number of hash buckets, a power of two; immutable once declared.
  std::uint32_t buckets = 4'096;
  std::uint32_t flow_idle_timeout_ms = 900'000;
  std::optional<legacy_config> legacy;
  request_policy requests;
  std::vector<target_config> targets;

  bool operator==(const service_config&) const = default;
};

struct configuration {
  std::uint64_t number = 0;
  std::vector<data_centre_config> data_centres;
  std::vector<service_config> services;
  // Next hop of packets to undeclared services.
  std::optional<endpoint> default_legacy;

  bool operator==(const configuration&) const = default;
};

// Returns the service called `name`, or nullptr.
const service_config* FindService(const configuration& config,
                                  std::string_view name);

// Returns the data centre called `name`, or nullptr.
const data_centre_config* FindDataCentre(const configuration& config,
                                         std::string_view name);

// Returns whether `target` may get new connections or requests: active, with a
// weight above 0, and in a data centre in state kIn.
bool AcceptsNewWork(const configuration& config, const target_config& target);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CONFIG_H_
