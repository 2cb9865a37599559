// Decides where each request goes and how it ends: events in, actions out.
// Holds no socket and reads no clock.
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
  // Seed of the choice between peers.
  std::uint64_t seed = 1;
  // Time within which a target ends work whose stream or connection closed.
  duration cancel_grace = std::chrono::milliseconds(250);
  // How long a confirmed view lets an owner dispatch.
  duration view_lease = std::chrono::seconds(2);
  // Bound of a graceful stop; what still runs is then answered and cut.
  duration stop_timeout = std::chrono::seconds(60);
  bool hedging = true;
};

// A hint about a target from health checks or its own reports; it may lag or
// be wrong.
struct target_report {
  target_id target;
  bool healthy = true;
};

// One instance's request plane. Each event returns the actions that it causes,
// in order; the span is valid until the next event. Each request gets one end:
// either one local_reply_action, or one relay_action whose attempt then ends
// kDone.
class request_router {
 public:
  using actions = std::span<const request_action>;

  request_router(instance_id self, router_options options, log_sink& log);
  ~request_router();

  actions OnArrival(time_point now, const request_info& info);
  // The caller went away or reset its stream; no answer follows.
  actions OnCancel(time_point now, request_id request);

  // Answer headers arrived; `overloaded` if they say that the target sheds.
  actions OnAttemptHeaders(time_point now, attempt_id attempt, bool overloaded);
  // The attempt is over; `load` is what a peer piggybacked. Of an attempt that
  // the router cancelled, only kCancelConfirmed matters: until it comes, the
  // slot counts as taken up to the request's deadline.
  actions OnAttemptEnd(time_point now,
                       attempt_id attempt,
                       attempt_outcome outcome,
                       std::optional<peer_load> load = std::nullopt);

  // Moves deadlines and timers; to be called at least every kTickPeriod.
  actions Tick(time_point now);

  actions ApplyConfiguration(time_point now, const configuration& config);
  actions ApplyView(time_point now, const fleet_view& view);
  // Membership trusts the view now. An owner dispatches nothing without it,
  // nor without most of the instances that it remembers in its data centre or
  // region; keys are granted only with most of the region's.
  actions ConfirmView(time_point now);
  actions OnTargetReport(time_point now, const target_report& report);
  actions OnMessage(time_point now,
                    instance_id from,
                    const request_message& message);

  // Starts a graceful stop: new work is passed on or refused.
  actions BeginStop(time_point now);
  // Returns whether a stop has begun and no request is left here.
  bool IsDrained() const;

  // Returns this instance's room for `service`, to be piggybacked on answers
  // to forwarded requests.
  peer_load LoadOf(std::string_view service) const;

  static constexpr duration kTickPeriod = std::chrono::milliseconds(10);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_REQUEST_ROUTER_H_
