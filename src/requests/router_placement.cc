#include <algorithm>
#include <cmath>

#include "requests/router_impl.h"

namespace rosemaryreach {

namespace {

constexpr std::size_t kMaxPlacesTried = 3;
constexpr duration kWaitPeriod = std::chrono::milliseconds(20);
// How long a piggybacked load is believed.
constexpr duration kLoadLifetime = std::chrono::seconds(1);
// How long an owner that had no usable target is left alone.
constexpr duration kNoRoomLifetime = std::chrono::milliseconds(100);
// Taken off the deadline of a forwarded request, so that the owner's answer
// comes before ours is due.
constexpr duration kHopAllowance = 2 * request_router::kTickPeriod;
// Queues hold no more than this share of the time a request has left.
constexpr double kQueueShareOfDeadline = 0.5;
// Share of a request's time that its work is assumed to take if unknown.
constexpr int kUnknownWorkDivisor = 4;
constexpr duration kInteractiveMemory = std::chrono::seconds(5);
constexpr std::uint32_t kBulkShareDivisor = 2;
constexpr duration kMinHedgeDelay = std::chrono::milliseconds(20);
constexpr std::uint32_t kMinHedgeSamples = 8;
constexpr double kMicrosecondsPerSecond = 1e6;

struct weighted_place {
  request_place* place = nullptr;
  double weight = 0;
};

}  // namespace

// Whether the configuration gives the service a target for new work at all.
bool request_router::impl::HasTarget(const request_service& service) const {
  const std::vector<target_config>& targets = service.config.targets;
  return std::any_of(targets.begin(), targets.end(),
                     [this](const target_config& target) {
                       return AcceptsNewWork(config_, target);
                     });
}

void request_router::impl::Place(time_point now, live_request& request) {
  request_service& service = *request.service;
  if (!HasTarget(service)) {
    AnswerTruly(now, request, local_reply_reason::kNoTarget);
    return;
  }
  if (request.tried.size() < kMaxPlacesTried) {
    request_place* place = ChoosePlace(now, request, false);
    if (place != nullptr && place->instance == self_) {
      EnqueueHere(now, request);
      return;
    }
    if (place != nullptr) {
      Forward(now, request, *place);
      return;
    }
  }
  const bool any_room =
      std::any_of(service.places.begin(), service.places.end(),
                  [this, now, &service](const request_place& place) {
                    return HasRoomHint(now, service, place);
                  });
  // Owners that had room but took nothing are full; owners without any usable
  // target may get some soon.
  if (any_room && !request.tried.empty()) {
    AnswerTruly(now, request, local_reply_reason::kOverloaded);
    return;
  }
  Wait(now, request);
}

void request_router::impl::Wait(time_point now, live_request& request) {
  request_service& service = *request.service;
  if (service.waiting.size() >= service.config.requests.queue_limit) {
    AnswerTruly(now, request, local_reply_reason::kOverloaded);
    return;
  }
  request.stage = request_stage::kWaiting;
  request.tried.clear();
  request.try_again_at = now + kWaitPeriod;
  service.waiting.push_back(request.id);
}

void request_router::impl::RetryWaiting(time_point now,
                                        request_service& service) {
  const std::vector<request_id> waiting = std::move(service.waiting);
  service.waiting.clear();
  for (const request_id id : waiting) {
    live_request* request = FindRequest(id);
    if (request == nullptr || request->stage != request_stage::kWaiting) {
      continue;
    }
    if (request->try_again_at > now) {
      service.waiting.push_back(id);
    } else if (request->deadline - now <= ExpectedWork(*request)) {
      AnswerTruly(now, *request, local_reply_reason::kNoTarget);
    } else {
      Place(now, *request);
    }
  }
}

request_place* request_router::impl::ChoosePlace(time_point now,
                                                 const live_request& request,
                                                 bool only_peers) {
  request_service& service = *request.service;
  std::vector<weighted_place> open;
  double total = 0;
  for (request_place& place : service.places) {
    const bool allowed = !request.Tried(place.instance) &&
                         !(only_peers && place.instance == self_);
    if (allowed && HasRoomHint(now, service, place)) {
      open.push_back({&place, RateAt(service, place)});
      total += open.back().weight;
    }
  }
  if (open.empty()) {
    return nullptr;
  }
  std::uniform_real_distribution<double> tickets(0, total);
  const auto draw = [this, &open, &tickets] {
    double ticket = tickets(random_);
    for (const weighted_place& one : open) {
      if (ticket < one.weight) {
        return one.place;
      }
      ticket -= one.weight;
    }
    return open.back().place;
  };
  request_place* first = draw();
  request_place* second = draw();
  return WaitAt(now, service, *second) < WaitAt(now, service, *first) ? second
                                                                      : first;
}

double request_router::impl::RateAt(const request_service& service,
                                    const request_place& place) const {
  if (place.instance == self_) {
    return std::max(1U, LoadOf(service.config.name).rate_per_s);
  }
  const std::uint32_t rate =
      place.has_load ? place.load.rate_per_s : place.cold_rate_per_s;
  return std::max(1U, rate);
}

double request_router::impl::WaitAt(time_point now,
                                    const request_service& service,
                                    const request_place& place) const {
  peer_load load;
  if (place.instance == self_) {
    load = LoadOf(service.config.name);
  } else if (place.has_load && now - place.load_at < kLoadLifetime) {
    load = place.load;
    load.running += place.sent_since_load;
  } else {
    load.running = place.outstanding;
  }
  return (load.running + load.queued) / RateAt(service, place);
}

bool request_router::impl::HasRoomHint(time_point now,
                                       const request_service& service,
                                       const request_place& place) const {
  if (place.instance == self_) {
    return LoadOf(service.config.name).limit > 0;
  }
  return !place.has_load || place.load.limit > 0 ||
         now - place.load_at >= kNoRoomLifetime;
}

void request_router::impl::Forward(time_point now,
                                   live_request& request,
                                   request_place& place) {
  const attempt_id id{next_attempt_++};
  live_attempt attempt;
  attempt.request = request.id;
  attempt.service = request.service;
  attempt.instance = place.instance;
  attempt.started = now;
  attempt.ends_by = request.deadline;
  attempts_[id.value] = attempt;
  ++place.outstanding;
  ++place.sent_since_load;
  request.stage = request_stage::kRunning;
  request.tried.push_back(place.instance);
  request.attempts.push_back(id);
  const duration left = request.deadline - now;
  const duration timeout = std::max(left / 2, left - kHopAllowance);
  actions_.emplace_back(
      forward_action{request.id, id, place.instance, timeout});
  LogDecision(request, "peer", "forward-to-owner");
  ScheduleHedge(now, request);
}

void request_router::impl::EnqueueHere(time_point now, live_request& request) {
  request_service& service = *request.service;
  if (stop_began_at_) {
    RefuseHere(now, request, local_reply_reason::kStopping);
    return;
  }
  if (LoadOf(service.config.name).limit == 0) {
    RefuseHere(now, request, local_reply_reason::kNoTarget);
    return;
  }
  if (!CanFinishHere(now, request)) {
    RefuseHere(now, request, local_reply_reason::kOverloaded);
    return;
  }
  request.stage = request_stage::kQueued;
  const queued_request queued{request.id, request.caller, request.kind,
                              request.deadline - ExpectedWork(request)};
  const std::optional<request_id> evicted = service.queue.Push(queued);
  if (evicted) {
    RefuseHere(now, *FindRequest(*evicted), local_reply_reason::kOverloaded);
  }
  Drain(now, service);
}

bool request_router::impl::CanFinishHere(time_point now,
                                         const live_request& request) const {
  const duration left = request.deadline - now - ExpectedWork(request);
  const double allowed =
      kQueueShareOfDeadline * static_cast<double>(left.count());
  return left > duration::zero() &&
         static_cast<double>(ExpectedWait(now, request).count()) <= allowed;
}

duration request_router::impl::ExpectedWait(time_point now,
                                            const live_request& request) const {
  const request_service& service = *request.service;
  const peer_load load = LoadOf(service.config.name);
  const std::size_t ahead = service.queue.Ahead(request.kind, request.caller);
  if (ahead == 0 && load.running < load.limit) {
    return duration::zero();
  }
  const latency_estimate& work = service.slots.Work(request.kind);
  const duration each = work.samples() == 0 ? kDefaultWork : work.mean();
  const double rate = std::max(0.1, service.slots.Throughput(now, each));
  const double seconds = static_cast<double>(ahead + 1) / rate;
  return duration(static_cast<long>(seconds * kMicrosecondsPerSecond));
}

duration request_router::impl::ExpectedWork(const live_request& request) const {
  if (request.kind == request_class::kWatch) {
    return duration::zero();
  }
  const latency_estimate& work = request.service->slots.Work(request.kind);
  return work.samples() == 0
             ? (request.deadline - request.arrived) / kUnknownWorkDivisor
             : work.High();
}

void request_router::impl::RefuseHere(time_point now,
                                      live_request& request,
                                      local_reply_reason reason) {
  if (request.forwarded_by) {
    AnswerTruly(now, request, reason);
    return;
  }
  request.stage = request_stage::kWaiting;
  request.tried.push_back(self_);
  Place(now, request);
}

void request_router::impl::Drain(time_point now, request_service& service) {
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
        service.queue.Pop(BulkAllowed(now, service));
    if (!next) {
      return;
    }
    live_request& request = *FindRequest(next->id);
    if (next->start_by < now) {
      RefuseHere(now, request, local_reply_reason::kOverloaded);
      continue;
    }
    const std::optional<target_id> target =
        service.slots.Pick(now, request.kind, request.last_target);
    Dispatch(now, request, *target);
  }
}

bool request_router::impl::BulkAllowed(time_point now,
                                       const request_service& service) const {
  const bool shared = service.has_interactive &&
                      now - service.interactive_at < kInteractiveMemory;
  const std::uint32_t limit = service.slots.Load(now).limit;
  const std::uint32_t share = std::max(1U, limit / kBulkShareDivisor);
  return !shared || service.slots.BulkRunning() < share;
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
  attempt.ends_by = request.deadline;
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
  const latency_estimate& first = request.service->first_answer;
  const bool wanted = options_.hedging && request.idempotent &&
                      request.kind == request_class::kInteractive &&
                      !request.forwarded_by && request.attempts.size() == 1 &&
                      first.samples() >= kMinHedgeSamples;
  if (!wanted) {
    return;
  }
  request.may_hedge = true;
  request.hedge_at = now + std::max(kMinHedgeDelay, first.High());
  timers_.push({request.hedge_at, request.id});
}

void request_router::impl::Hedge(time_point now, live_request& request) {
  request.may_hedge = false;
  request_service& service = *request.service;
  const bool alone = request.attempts.size() == 1 && !request.relayed;
  if (request.stage != request_stage::kRunning || !alone) {
    return;
  }
  request_place* place = ChoosePlace(now, request, true);
  if (place != nullptr && service.budget.TryWithdraw()) {
    Forward(now, request, *place);
  }
}

void request_router::impl::EmptyQueue(time_point now,
                                      request_service& service) {
  const local_reply_reason reason = stop_began_at_
                                        ? local_reply_reason::kStopping
                                        : local_reply_reason::kNoTarget;
  for (const request_id id : service.queue.Clear()) {
    if (live_request* request = FindRequest(id)) {
      RefuseHere(now, *request, reason);
    }
  }
}

}  // namespace rosemaryreach
