#include <algorithm>
#include <cmath>

#include "requests/router_impl.h"

namespace rosemaryreach {

namespace {

constexpr std::size_t kMaxOwnersTried = 3;
constexpr duration kOwnerRetryDelay = std::chrono::milliseconds(20);
// Age up to which a piggybacked load is used.
constexpr duration kMaxLoadAge = std::chrono::seconds(1);
// How long an owner that reported no usable target is skipped.
constexpr duration kNoTargetRetryDelay = std::chrono::milliseconds(100);
// Subtracted from the timeout of a forwarded request, so that the owner's reply
// arrives before the deadline on this instance.
constexpr duration kHopAllowance = 2 * request_router::kTickPeriod;
// Maximum share of a request's remaining time that it may spend queued.
constexpr double kQueueShareOfDeadline = 0.5;
// While no processing time was measured, a request is assumed to take its
// timeout divided by this.
constexpr int kUnknownProcessingDivisor = 4;
constexpr duration kInteractiveWindow = std::chrono::seconds(5);
constexpr std::uint32_t kBulkShareDivisor = 2;
constexpr duration kMinHedgeDelay = std::chrono::milliseconds(20);
constexpr std::uint32_t kMinHedgeSamples = 8;
constexpr double kMicrosecondsPerSecond = 1e6;

struct weighted_owner {
  service_owner* owner = nullptr;
  double weight = 0;
};

}  // namespace

// Returns whether any target of the service is configured to accept new
// requests.
bool request_router::impl::HasTarget(const request_service& service) const {
  const std::vector<target_config>& targets = service.config.targets;
  return std::any_of(targets.begin(), targets.end(),
                     [this](const target_config& target) {
                       return AcceptsNewWork(config_, target);
                     });
}

void request_router::impl::Route(time_point now, live_request& request) {
  request_service& service = *request.service;
  if (!HasTarget(service)) {
    FailRequest(now, request, local_reply_reason::kNoTarget);
    return;
  }
  if (request.tried_owners.size() < kMaxOwnersTried) {
    service_owner* owner = ChooseOwner(now, request, false);
    if (owner != nullptr && owner->instance == self_) {
      EnqueueLocally(now, request);
      return;
    }
    if (owner != nullptr) {
      Forward(now, request, *owner);
      return;
    }
  }
  const bool any_capacity =
      std::any_of(service.owners.begin(), service.owners.end(),
                  [this, now, &service](const service_owner& owner) {
                    return MayHaveCapacity(now, service, owner);
                  });
  // Owners that have capacity but rejected the request are overloaded; owners
  // without a usable target may get one soon.
  if (any_capacity && !request.tried_owners.empty()) {
    FailRequest(now, request, local_reply_reason::kOverloaded);
    return;
  }
  WaitForOwner(now, request);
}

void request_router::impl::WaitForOwner(time_point now, live_request& request) {
  request_service& service = *request.service;
  if (service.waiting.size() >= service.config.requests.queue_limit) {
    FailRequest(now, request, local_reply_reason::kOverloaded);
    return;
  }
  request.stage = request_stage::kWaitingForOwner;
  request.tried_owners.clear();
  request.retry_at = now + kOwnerRetryDelay;
  service.waiting.push_back(request.id);
}

void request_router::impl::RetryWaiting(time_point now,
                                        request_service& service) {
  const std::vector<request_id> waiting = std::move(service.waiting);
  service.waiting.clear();
  for (const request_id id : waiting) {
    live_request* request = FindRequest(id);
    if (request == nullptr ||
        request->stage != request_stage::kWaitingForOwner) {
      continue;
    }
    if (request->retry_at > now) {
      service.waiting.push_back(id);
    } else if (request->deadline - now <= ExpectedProcessingTime(*request)) {
      FailRequest(now, *request, local_reply_reason::kNoTarget);
    } else {
      Route(now, *request);
    }
  }
}

service_owner* request_router::impl::ChooseOwner(time_point now,
                                                 const live_request& request,
                                                 bool only_peers) {
  request_service& service = *request.service;
  std::vector<weighted_owner> candidates;
  double total = 0;
  for (service_owner& owner : service.owners) {
    const bool allowed = !request.HasTried(owner.instance) &&
                         !(only_peers && owner.instance == self_);
    if (allowed && MayHaveCapacity(now, service, owner)) {
      candidates.push_back({&owner, OwnerRate(service, owner)});
      total += candidates.back().weight;
    }
  }
  if (candidates.empty()) {
    return nullptr;
  }
  std::uniform_real_distribution<double> tickets(0, total);
  const auto draw = [this, &candidates, &tickets] {
    double ticket = tickets(random_);
    for (const weighted_owner& candidate : candidates) {
      if (ticket < candidate.weight) {
        return candidate.owner;
      }
      ticket -= candidate.weight;
    }
    return candidates.back().owner;
  };
  service_owner* first = draw();
  service_owner* second = draw();
  return OwnerBacklogSeconds(now, service, *second) <
                 OwnerBacklogSeconds(now, service, *first)
             ? second
             : first;
}

double request_router::impl::OwnerRate(const request_service& service,
                                       const service_owner& owner) const {
  if (owner.instance == self_) {
    return std::max(1U, LoadOf(service.config.name).rate_per_s);
  }
  const std::uint32_t rate =
      owner.has_load ? owner.load.rate_per_s : owner.cold_rate_per_s;
  return std::max(1U, rate);
}

double request_router::impl::OwnerBacklogSeconds(
    time_point now,
    const request_service& service,
    const service_owner& owner) const {
  peer_load load;
  if (owner.instance == self_) {
    load = LoadOf(service.config.name);
  } else if (owner.has_load && now - owner.load_at < kMaxLoadAge) {
    load = owner.load;
    load.running += owner.sent_since_load;
  } else {
    load.running = owner.outstanding;
  }
  return (load.running + load.queued) / OwnerRate(service, owner);
}

bool request_router::impl::MayHaveCapacity(time_point now,
                                           const request_service& service,
                                           const service_owner& owner) const {
  if (owner.instance == self_) {
    return LoadOf(service.config.name).limit > 0;
  }
  return !owner.has_load || owner.load.limit > 0 ||
         now - owner.load_at >= kNoTargetRetryDelay;
}

void request_router::impl::Forward(time_point now,
                                   live_request& request,
                                   service_owner& owner) {
  const attempt_id id{next_attempt_++};
  live_attempt attempt;
  attempt.request = request.id;
  attempt.service = request.service;
  attempt.instance = owner.instance;
  attempt.started = now;
  attempt.deadline = request.deadline;
  attempts_[id.value] = attempt;
  ++owner.outstanding;
  ++owner.sent_since_load;
  request.stage = request_stage::kRunning;
  request.tried_owners.push_back(owner.instance);
  request.attempts.push_back(id);
  const duration remaining = request.deadline - now;
  const duration timeout = std::max(remaining / 2, remaining - kHopAllowance);
  actions_.emplace_back(
      forward_action{request.id, id, owner.instance, timeout});
  LogDecision(request, "peer", "forward-to-owner");
  ScheduleHedge(now, request);
}

void request_router::impl::EnqueueLocally(time_point now,
                                          live_request& request) {
  request_service& service = *request.service;
  if (stop_began_at_) {
    RejectLocally(now, request, local_reply_reason::kStopping);
    return;
  }
  if (LoadOf(service.config.name).limit == 0) {
    RejectLocally(now, request, local_reply_reason::kNoTarget);
    return;
  }
  if (!CanMeetDeadline(now, request)) {
    RejectLocally(now, request, local_reply_reason::kOverloaded);
    return;
  }
  request.stage = request_stage::kQueued;
  const queued_request queued{
      request.id, request.caller, request.kind,
      request.deadline - ExpectedProcessingTime(request)};
  const std::optional<request_id> evicted = service.queue.Push(queued);
  if (evicted) {
    RejectLocally(now, *FindRequest(*evicted), local_reply_reason::kOverloaded);
  }
  DispatchQueued(now, service);
}

bool request_router::impl::CanMeetDeadline(time_point now,
                                           const live_request& request) const {
  const duration remaining =
      request.deadline - now - ExpectedProcessingTime(request);
  const double max_wait =
      kQueueShareOfDeadline * static_cast<double>(remaining.count());
  return remaining > duration::zero() &&
         static_cast<double>(ExpectedQueueWait(now, request).count()) <=
             max_wait;
}

duration request_router::impl::ExpectedQueueWait(
    time_point now,
    const live_request& request) const {
  const request_service& service = *request.service;
  const peer_load load = LoadOf(service.config.name);
  const std::size_t queued_ahead =
      service.queue.CountAhead(request.kind, request.caller);
  if (queued_ahead == 0 && load.running < load.limit) {
    return duration::zero();
  }
  const latency_estimate& processing_time =
      service.slots.ServiceLatency(request.kind);
  const duration mean_time = processing_time.samples() == 0
                                 ? kDefaultProcessingTime
                                 : processing_time.mean();
  const double rate = std::max(0.1, service.slots.Throughput(now, mean_time));
  const double seconds = static_cast<double>(queued_ahead + 1) / rate;
  return duration(static_cast<long>(seconds * kMicrosecondsPerSecond));
}

duration request_router::impl::ExpectedProcessingTime(
    const live_request& request) const {
  if (request.kind == request_class::kWatch) {
    return duration::zero();
  }
  const latency_estimate& processing_time =
      request.service->slots.ServiceLatency(request.kind);
  return processing_time.samples() == 0
             ? (request.deadline - request.arrived) / kUnknownProcessingDivisor
             : processing_time.UpperBound();
}

void request_router::impl::RejectLocally(time_point now,
                                         live_request& request,
                                         local_reply_reason reason) {
  if (request.forwarded_by) {
    FailRequest(now, request, reason);
    return;
  }
  request.stage = request_stage::kWaitingForOwner;
  request.tried_owners.push_back(self_);
  Route(now, request);
}

void request_router::impl::DispatchQueued(time_point now,
                                          request_service& service) {
  if (!MayDispatch(now)) {
    return;
  }
  while (service.queue.size(request_class::kWatch) > 0) {
    const std::optional<target_id> target =
        service.slots.Pick(now, request_class::kWatch);
    if (!target) {
      break;
    }
    Dispatch(now, *FindRequest(service.queue.PopWatch()->id), *target);
  }
  while (service.slots.Pick(now, request_class::kInteractive)) {
    const std::optional<queued_request> next =
        service.queue.Pop(MayDispatchBulk(now, service));
    if (!next) {
      return;
    }
    live_request& request = *FindRequest(next->id);
    if (next->start_by < now) {
      RejectLocally(now, request, local_reply_reason::kOverloaded);
      continue;
    }
    const std::optional<target_id> target =
        service.slots.Pick(now, request.kind, request.last_target);
    Dispatch(now, request, *target);
  }
}

bool request_router::impl::MayDispatchBulk(
    time_point now,
    const request_service& service) const {
  const bool interactive_active =
      service.has_interactive &&
      now - service.last_interactive_at < kInteractiveWindow;
  const std::uint32_t limit = service.slots.Load(now).limit;
  const std::uint32_t max_bulk = std::max(1U, limit / kBulkShareDivisor);
  return !interactive_active || service.slots.BulkRunning() < max_bulk;
}

void request_router::impl::Dispatch(time_point now,
                                    live_request& request,
                                    target_id target) {
  request_service& service = *request.service;
  const attempt_id id{next_attempt_++};
  live_attempt attempt;
  attempt.request = request.id;
  attempt.service = request.service;
  attempt.target = target;
  attempt.started = now;
  attempt.deadline = request.deadline;
  attempts_[id.value] = attempt;
  service.slots.Start(now, {id, target, request.kind, now, request.deadline});
  request.stage = request_stage::kRunning;
  request.last_target = target;
  request.attempts.push_back(id);
  actions_.emplace_back(dispatch_action{request.id, id, target,
                                        service.slots.Find(target)->address,
                                        request.deadline - now});
  LogDecision(request, "target", "least-busy-target");
  ScheduleHedge(now, request);
}

void request_router::impl::ScheduleHedge(time_point now,
                                         live_request& request) {
  const latency_estimate& time_to_headers = request.service->time_to_headers;
  const bool eligible = options_.hedging && request.idempotent &&
                        request.kind == request_class::kInteractive &&
                        !request.forwarded_by && request.attempts.size() == 1 &&
                        time_to_headers.samples() >= kMinHedgeSamples;
  if (!eligible) {
    return;
  }
  request.hedge_scheduled = true;
  request.hedge_at =
      now + std::max(kMinHedgeDelay, time_to_headers.UpperBound());
  timers_.push({request.hedge_at, request.id});
}

void request_router::impl::SendHedge(time_point now, live_request& request) {
  request.hedge_scheduled = false;
  request_service& service = *request.service;
  const bool single_attempt =
      request.attempts.size() == 1 && !request.relayed_attempt;
  if (request.stage != request_stage::kRunning || !single_attempt) {
    return;
  }
  service_owner* owner = ChooseOwner(now, request, true);
  if (owner != nullptr && service.budget.TryWithdraw()) {
    Forward(now, request, *owner);
  }
}

void request_router::impl::RejectQueued(time_point now,
                                        request_service& service) {
  const local_reply_reason reason = stop_began_at_
                                        ? local_reply_reason::kStopping
                                        : local_reply_reason::kNoTarget;
  for (const request_id id : service.queue.Clear()) {
    if (live_request* request = FindRequest(id)) {
      RejectLocally(now, *request, reason);
    }
  }
}

}  // namespace rosemaryreach
