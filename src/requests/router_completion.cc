#include <algorithm>
#include <string>

#include "requests/router_impl.h"

namespace rosemaryreach {

namespace {

constexpr duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr duration kMaxRetryAfter = std::chrono::seconds(10);
constexpr duration kDefaultRetryAfter = std::chrono::seconds(1);
constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

void request_router::impl::HandleAttemptEnd(
    time_point now,
    attempt_id id,
    attempt_outcome outcome,
    const std::optional<peer_load>& load) {
  const auto found = attempts_.find(id.value);
  if (found == attempts_.end()) {
    return;
  }
  const live_attempt attempt = found->second;
  // Unless the target is known to have read the cancel, it may continue with
  // the request after the stream was closed.
  const bool closed = outcome == attempt_outcome::kConnectionLost ||
                      outcome == attempt_outcome::kReset;
  attempts_.erase(found);
  if (attempt.cancelled && attempt.target && closed) {
    attempt.service->slots.End(now, id, attempt_outcome::kConnectionLost);
    return;
  }
  if (attempt.target) {
    ReleaseTargetSlot(now, id, attempt, outcome);
  } else if (!attempt.cancelled) {
    RecordPeerAttemptEnd(now, attempt, load);
  }
  live_request* request = FindRequest(attempt.request);
  if (!attempt.cancelled && request != nullptr) {
    std::erase(request->attempts, id);
    switch (outcome) {
      case attempt_outcome::kDone:
        CancelOtherAttempts(now, *request, id);
        Finish(now, *request, run_state::kRun);
        break;
      case attempt_outcome::kTargetNotReached:
        HandleNotRun(now, *request, attempt, false);
        break;
      case attempt_outcome::kRefused:
        HandleNotRun(now, *request, attempt, true);
        break;
      case attempt_outcome::kReset:
      case attempt_outcome::kConnectionLost:
      case attempt_outcome::kCancelConfirmed:
        HandleUnknownOutcome(now, *request, request->relayed_attempt == id);
        break;
    }
  }
  DispatchQueued(now, *attempt.service);
}

void request_router::impl::HandleNotRun(time_point now,
                                        live_request& request,
                                        const live_attempt& attempt,
                                        bool reached_target) {
  request.reached_target = request.reached_target || reached_target;
  if (!request.attempts.empty()) {
    return;
  }
  if (request.forwarded_by) {
    FailRequest(now, request, local_reply_reason::kTargetRefused);
    return;
  }
  if (!reached_target) {
    if (attempt.target) {
      request.tried_owners.push_back(self_);
    }
    Route(now, request);
  } else if (TryWithdrawRetry(now, request)) {
    RetryRequest(now, request);
  } else {
    FailRequest(now, request, local_reply_reason::kTargetRefused);
  }
}

void request_router::impl::HandleUnknownOutcome(time_point now,
                                                live_request& request,
                                                bool relayed) {
  request.reached_target = true;
  request.may_have_run = true;
  if (relayed) {
    SendLocalReply(now, request, local_reply_reason::kResponseAborted,
                   run_state::kUnknown);
    return;
  }
  if (!request.attempts.empty()) {
    return;
  }
  const bool may_repeat = request.idempotent && !request.forwarded_by;
  if (may_repeat && TryWithdrawRetry(now, request)) {
    RetryRequest(now, request);
    return;
  }
  FailRequest(now, request, local_reply_reason::kTargetFailed);
}

bool request_router::impl::TryWithdrawRetry(time_point now,
                                            live_request& request) {
  const bool in_time = request.deadline - now > ExpectedProcessingTime(request);
  return in_time && request.service->budget.TryWithdraw();
}

void request_router::impl::RetryRequest(time_point now, live_request& request) {
  if (ChooseOwner(now, request, false) == nullptr) {
    request.tried_owners.clear();
  }
  Route(now, request);
}

void request_router::impl::FailRequest(time_point now,
                                       live_request& request,
                                       local_reply_reason reason) {
  const bool may_run = request.may_have_run || !request.attempts.empty();
  if (request.relayed_attempt) {
    SendLocalReply(now, request, local_reply_reason::kResponseAborted,
                   run_state::kUnknown);
    return;
  }
  SendLocalReply(now, request, reason,
                 may_run ? run_state::kUnknown : run_state::kNotRun);
}

void request_router::impl::SendLocalReply(time_point now,
                                          live_request& request,
                                          local_reply_reason reason,
                                          run_state run) {
  const std::vector<attempt_id> attempts = request.attempts;
  for (const attempt_id attempt : attempts) {
    CancelAttempt(now, attempt);
  }
  const duration retry_after =
      run == run_state::kNotRun ? RetryAfter(now, request) : duration::zero();
  actions_.emplace_back(local_reply_action{
      request.id, reason, run, request.reached_target, retry_after});
  LogDecision(request, RunStateName(run), LocalReplyReasonName(reason));
  Finish(now, request, run);
}

duration request_router::impl::RetryAfter(time_point now,
                                          const live_request& request) const {
  const request_service& service = *request.service;
  const duration processing_time =
      service.slots.ServiceLatency(request.kind).mean();
  const double rate = service.slots.Throughput(now, processing_time);
  if (processing_time == duration::zero() || rate <= 0) {
    return kDefaultRetryAfter;
  }
  const double seconds = static_cast<double>(service.queue.size() + 1) / rate;
  const duration queue_delay(
      static_cast<long>(seconds * kMicrosecondsPerSecond));
  return std::clamp(queue_delay, kMinRetryAfter, kMaxRetryAfter);
}

void request_router::impl::Finish(time_point now,
                                  live_request& request,
                                  run_state run) {
  const request_id id = request.id;
  const std::uint64_t key = request.key;
  if (request.stage == request_stage::kQueued) {
    request.service->queue.Remove(id, request.kind, request.caller);
  }
  if (request.stage == request_stage::kWaitingForOwner) {
    std::erase(request.service->waiting, id);
  }
  requests_.erase(id.value);
  if (key != 0) {
    keys_.Finish(now, id, key, run);
  }
}

void request_router::impl::CancelAttempt(time_point now, attempt_id id) {
  const auto found = attempts_.find(id.value);
  if (found == attempts_.end() || found->second.cancelled) {
    return;
  }
  live_attempt& attempt = found->second;
  attempt.cancelled = true;
  if (attempt.target) {
    attempt.service->slots.Cancel(now, id);
  } else {
    RecordPeerAttemptEnd(now, attempt, std::nullopt);
  }
  actions_.emplace_back(cancel_action{id});
  if (live_request* request = FindRequest(attempt.request)) {
    std::erase(request->attempts, id);
  }
}

void request_router::impl::CancelOtherAttempts(time_point now,
                                               live_request& request,
                                               attempt_id kept) {
  const std::vector<attempt_id> attempts = request.attempts;
  for (const attempt_id attempt : attempts) {
    if (attempt != kept) {
      CancelAttempt(now, attempt);
    }
  }
}

void request_router::impl::ReleaseTargetSlot(time_point now,
                                             attempt_id id,
                                             const live_attempt& attempt,
                                             attempt_outcome outcome) {
  request_service& service = *attempt.service;
  if (service.slots.End(now, id, outcome)) {
    handover_.OnSlotFreed(attempt.target);
  }
}

void request_router::impl::RecordPeerAttemptEnd(
    time_point now,
    const live_attempt& attempt,
    const std::optional<peer_load>& load) {
  for (service_owner& owner : attempt.service->owners) {
    if (owner.instance != attempt.instance) {
      continue;
    }
    owner.outstanding -= std::min(owner.outstanding, 1U);
    if (load) {
      owner.load = *load;
      owner.load_at = now;
      owner.has_load = true;
      owner.sent_since_load = 0;
    }
  }
}

void request_router::impl::LogDecision(const live_request& request,
                                       std::string_view chosen,
                                       std::string_view rule) {
  if (!log_.ShouldLogDecision()) {
    return;
  }
  const std::string subject = std::to_string(request.id.value);
  log_decision record;
  record.plane = "requests";
  record.service = request.service->config.name;
  record.subject = subject;
  record.target = chosen;
  record.rule = rule;
  record.number = config_.number;
  log_.WriteDecision(record);
}

}  // namespace rosemaryreach
