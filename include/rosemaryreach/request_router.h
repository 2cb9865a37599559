// Routing of requests as a state machine: events in, actions out. Does no I/O
// and reads no clock.
#ifndef ROSEMARYREACH_REQUEST_ROUTER_H_
#define ROSEMARYREACH_REQUEST_ROUTER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

#include "rosemaryreach/config.h"
#include "rosemaryreach/fleet_view.h"
#include "rosemaryreach/log.h"
#include "rosemaryreach/request_types.h"

namespace rosemaryreach {

struct router_options {
  // Seed of the random choice between the owners of a service.
  std::uint64_t seed = 1;
  // Time within which a target stops a request whose stream or connection
  // was closed.
  duration cancel_grace = std::chrono::milliseconds(250);
  // How long an owner may dispatch after its view was last confirmed.
  duration view_lease = std::chrono::seconds(2);
  // Limit of a graceful shutdown; requests that still run are then failed and
  // cancelled.
  duration stop_timeout = std::chrono::seconds(60);
  bool hedging = true;
};

// The health of a target according to health checks or to the target itself.
// A hint: it may be late or wrong.
struct target_report {
  target_id target;
  bool healthy = true;
};

// Routes the requests of one instance. Each event returns its actions in order;
// the span is valid until the next event. A request ends once: with one
// local_reply_action, or one relay_action whose attempt then ends with kDone.
class request_router {
 public:
  using actions = std::span<const request_action>;

  request_router(instance_id self, router_options options, log_sink& log);
  ~request_router();

  actions OnArrival(time_point now, const request_info& info);
  // The caller disconnected or reset its stream; no response follows.
  actions OnCancel(time_point now, request_id request);

  // Response headers arrived; `overloaded` if they say that the target sheds
  // load.
  actions OnAttemptHeaders(time_point now, attempt_id attempt, bool overloaded);
  // The attempt ended; `load` is what a peer piggybacked on its response. For
  // an attempt that the router cancelled, kCancelConfirmed frees the slot
  // early; until then the slot counts as used up to the request's deadline.
  actions OnAttemptEnd(time_point now,
                       attempt_id attempt,
                       attempt_outcome outcome,
                       std::optional<peer_load> load = std::nullopt);

  // Runs expired timers; must be called at least every kTickPeriod.
  actions Tick(time_point now);

  actions ApplyConfiguration(time_point now, const configuration& config);
  actions ApplyView(time_point now, const fleet_view& view);
  // Membership has confirmed the view. An owner dispatches only with a
  // confirmed view and a majority of the known instances of its data centre or
  // region; keys are granted only with a majority of the region's.
  actions ConfirmView(time_point now);
  actions OnTargetReport(time_point now, const target_report& report);
  actions OnMessage(time_point now,
                    instance_id from,
                    const request_message& message);

  // Starts a graceful shutdown: new requests are forwarded or rejected.
  actions BeginStop(time_point now);
  // Returns whether a shutdown has begun, no request is left on this instance,
  // and the time for handing over targets is over.
  bool IsDrained() const;

  // Returns this instance's load and limit for `service`, to be piggybacked on
  // responses to forwarded requests.
  peer_load LoadOf(std::string_view service) const;

  static constexpr duration kTickPeriod = std::chrono::milliseconds(10);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_REQUEST_ROUTER_H_
