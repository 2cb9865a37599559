// Implementation of request_router: router_events.cc handles events,
// router_placement.cc chooses owners and dispatches, router_completion.cc ends
// requests.
#ifndef ROSEMARYREACH_REQUESTS_ROUTER_IMPL_H_
#define ROSEMARYREACH_REQUESTS_ROUTER_IMPL_H_

#include <absl/container/flat_hash_map.h>

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "requests/handover.h"
#include "requests/idempotency_service.h"
#include "requests/quorum.h"
#include "requests/router_state.h"
#include "rosemaryreach/request_router.h"

namespace rosemaryreach {

class request_router::impl {
 public:
  impl(instance_id self, router_options options, log_sink& log);

  // Starts an event: clears the actions of the last one and drops the view's
  // confirmation after a pause of the process or the end of the view lease.
  void BeginEvent(time_point now);
  actions CollectedActions() const { return actions_; }

  void HandleArrival(time_point now, const request_info& info);
  void HandleCancel(time_point now, request_id id);
  void HandleHeaders(time_point now, attempt_id attempt, bool overloaded);
  void HandleAttemptEnd(time_point now,
                        attempt_id attempt,
                        attempt_outcome outcome,
                        const std::optional<peer_load>& load);
  void Tick(time_point now);
  void ApplyConfiguration(time_point now, const configuration& config);
  void ApplyView(time_point now, const fleet_view& view);
  void ConfirmView(time_point now);
  void HandleTargetReport(const target_report& report);
  void HandleMessage(time_point now,
                     instance_id from,
                     const request_message& message);
  void BeginStop(time_point now);
  bool IsDrained() const;
  peer_load LoadOf(std::string_view service) const;

 private:
  struct timer {
    time_point due_at;
    request_id request;

    bool operator<(const timer& other) const { return due_at > other.due_at; }
  };

  // Events (router_events.cc).
  request_service* FindService(std::string_view name) const;
  void UpdateOwnership(time_point now);
  void RebuildOwners();
  bool MayDispatch(time_point now) const;
  void OnKeyVerdict(time_point now, request_id id, key_verdict verdict);
  bool AnyActiveInstanceRemoved(const fleet_view& previous) const;
  slot_table* SlotsOf(target_id target);
  void ExpireRequests(time_point now);
  void TickService(time_point now, request_service& service);
  void CancelOutOfServiceAttempts(time_point now);
  void PurgeCancelledAttempts(time_point now);

  // Placement (router_placement.cc).
  bool HasTarget(const request_service& service) const;
  void Route(time_point now, live_request& request);
  void WaitForOwner(time_point now, live_request& request);
  void RetryWaiting(time_point now, request_service& service);
  service_owner* ChooseOwner(time_point now,
                             const live_request& request,
                             bool only_peers);
  // Returns the requests per second that `owner` can handle.
  double OwnerRate(const request_service& service,
                   const service_owner& owner) const;
  // Returns the seconds that `owner` needs for its running and queued requests.
  double OwnerBacklogSeconds(time_point now,
                             const request_service& service,
                             const service_owner& owner) const;
  bool MayHaveCapacity(time_point now,
                       const request_service& service,
                       const service_owner& owner) const;
  void Forward(time_point now, live_request& request, service_owner& owner);
  void EnqueueLocally(time_point now, live_request& request);
  bool CanMeetDeadline(time_point now, const live_request& request) const;
  duration ExpectedQueueWait(time_point now, const live_request& request) const;
  duration ExpectedProcessingTime(const live_request& request) const;
  void RejectLocally(time_point now,
                     live_request& request,
                     local_reply_reason reason);
  void DispatchQueued(time_point now, request_service& service);
  bool MayDispatchBulk(time_point now, const request_service& service) const;
  void Dispatch(time_point now, live_request& request, target_id target);
  void ScheduleHedge(time_point now, live_request& request);
  void SendHedge(time_point now, live_request& request);
  void RejectQueued(time_point now, request_service& service);

  // Completion (router_completion.cc).
  void HandleNotRun(time_point now,
                    live_request& request,
                    const live_attempt& attempt,
                    bool reached_target);
  void HandleUnknownOutcome(time_point now,
                            live_request& request,
                            bool relayed);
  bool TryWithdrawRetry(time_point now, live_request& request);
  void RetryRequest(time_point now, live_request& request);
  void SendLocalReply(time_point now,
                      live_request& request,
                      local_reply_reason reason,
                      run_state run);
  void FailRequest(time_point now,
                   live_request& request,
                   local_reply_reason reason);
  duration RetryAfter(time_point now, const live_request& request) const;
  void Finish(time_point now, live_request& request, run_state run);
  void CancelAttempt(time_point now, attempt_id attempt);
  void CancelOtherAttempts(time_point now,
                           live_request& request,
                           attempt_id kept);
  void ReleaseTargetSlot(time_point now,
                         attempt_id id,
                         const live_attempt& attempt,
                         attempt_outcome outcome);
  void RecordPeerAttemptEnd(time_point now,
                            const live_attempt& attempt,
                            const std::optional<peer_load>& load);
  void LogDecision(const live_request& request,
                   std::string_view chosen,
                   std::string_view rule);

  live_request* FindRequest(request_id id);

  instance_id self_;
  router_options options_;
  log_sink& log_;
  std::mt19937_64 random_;
  std::vector<request_action> actions_;
  configuration config_;
  bool has_config_ = false;
  fleet_view view_;
  bool has_view_ = false;
  std::map<std::string, std::unique_ptr<request_service>, std::less<>>
      services_;
  absl::flat_hash_map<std::uint64_t, request_service*> service_of_target_;
  absl::flat_hash_map<std::uint64_t, std::unique_ptr<live_request>> requests_;
  absl::flat_hash_map<std::uint64_t, live_attempt> attempts_;
  // When the data centre of a target was taken out of service, by target.
  absl::flat_hash_map<std::uint64_t, time_point> out_of_service_since_;
  std::priority_queue<timer> timers_;
  std::uint64_t next_attempt_ = 1;
  std::optional<time_point> last_event_;
  std::optional<time_point> view_confirmed_at_;
  // As view_confirmed_at_, but reset when an active instance leaves the view.
  std::optional<time_point> keys_confirmed_at_;
  std::optional<time_point> stop_began_at_;
  time_point next_slow_tick_at_;
  quorum quorum_;
  handover handover_;
  idempotency_service keys_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_REQUESTS_ROUTER_IMPL_H_
