// Routes packets to targets so that no change of configuration, fleet or
// target health breaks a connection. One router for each packet worker.
#ifndef ROSEMARYREACH_FLOW_ROUTER_H_
#define ROSEMARYREACH_FLOW_ROUTER_H_

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "rosemaryreach/config.h"
#include "rosemaryreach/detour_frame.h"
#include "rosemaryreach/fleet_view.h"
#include "rosemaryreach/flow_messages.h"
#include "rosemaryreach/log.h"
#include "rosemaryreach/packet.h"
#include "rosemaryreach/target_health.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

enum class flow_action : std::uint8_t {
  kDrop,
  kTarget,  // to next_hop, the target
  kLegacy,  // to next_hop, the system that rosemaryreach replaces
  kDetour,  // to next_hop, an instance's worker, behind the header in `detour`
  kReset,   // answer the caller with BuildReset()
};

// What to do with one packet. Views are valid until the next call of the
// router.
struct flow_decision {
  flow_action action = flow_action::kDrop;
  endpoint next_hop;
  detour_info detour;
  std::string_view service;
  std::string_view target;
  std::string_view rule;  // stable name of the rule that decided
};

struct flow_router_options {
  std::uint16_t worker = 0;
  std::uint16_t workers = 1;
  // Maximum number of pinned flows, over all services.
  std::size_t max_pins = 1'000'000;
  // Rate limit for messages, averaged over kMessageBurst.
  std::uint32_t message_bytes_per_s = 1'500;
};

// Counters of one router since its start, and current gauges.
struct flow_router_stats {
  std::uint64_t pins = 0;
  std::uint64_t open_buckets = 0;
  std::uint64_t owned_buckets = 0;
  std::uint64_t pins_refused = 0;  // new flows not pinned because of max_pins
  std::uint64_t dropped = 0;
  std::uint64_t resets = 0;
  std::uint64_t detours = 0;
};

class flow_router {
 public:
  flow_router(const flow_router_options& options, log_sink& log);
  ~flow_router();
  flow_router(const flow_router&) = delete;
  flow_router& operator=(const flow_router&) = delete;

  // Puts `config` in force; ignores one without a higher number.
  void ApplyConfiguration(std::shared_ptr<const configuration> config,
                          time_point now);

  // Replaces the view of the fleet. Call it also if only configuration numbers
  // changed.
  void ApplyView(const fleet_view& view, time_point now);

  // Sets whether the view is reliable. While it is not, new flows and packets
  // without a pin are dropped for a bounded time if their bucket is open, as
  // another instance may own it; retransmits can reach other instances.
  void SetTrusted(bool trusted, time_point now);

  // Reports a condition that this instance observed by itself. Another kCold
  // restarts the ramp.
  void ReportTarget(std::string_view service,
                    std::string_view target,
                    target_condition condition,
                    time_point now);

  // Routes one packet; `detour` is null if it came from the fabric. Allocates
  // memory only if the packet opens a pinned flow.
  flow_decision Route(const packet_info& packet,
                      const detour_info* detour,
                      time_point now);

  // Handles a message from another instance. Pass each message to all workers.
  void OnMessage(instance_id from, const flow_message& message, time_point now);

  // Runs timers and returns the messages to send; call it every kFlowTickMs and
  // after OnMessage().
  std::vector<outgoing_flow_message> Tick(time_point now);

  // Returns whether a leaving instance has handed over all its open buckets.
  bool handed_over() const;

  // Returns whether the router knows all open buckets. An instance may only
  // become active after that.
  bool synchronized() const;

  flow_router_stats stats() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

// Time between two calls of flow_router::Tick().
inline constexpr int kFlowTickMs = 50;

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_FLOW_ROUTER_H_
