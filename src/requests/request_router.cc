#include "rosemaryreach/request_router.h"

#include "requests/router_impl.h"

namespace rosemaryreach {

std::string_view LocalReplyReasonName(local_reply_reason reason) {
  switch (reason) {
    case local_reply_reason::kOverloaded:
      return "overloaded";
    case local_reply_reason::kNoTarget:
      return "no-target";
    case local_reply_reason::kDeadline:
      return "deadline";
    case local_reply_reason::kTargetRefused:
      return "target-refused";
    case local_reply_reason::kTargetFailed:
      return "target-failed";
    case local_reply_reason::kResponseAborted:
      return "answer-cut";
    case local_reply_reason::kKeyInProgress:
      return "key-in-progress";
    case local_reply_reason::kKeyDone:
      return "key-done";
    case local_reply_reason::kKeyUnknown:
      return "key-unknown";
    case local_reply_reason::kKeyUnavailable:
      return "key-unavailable";
    case local_reply_reason::kStopping:
      return "stopping";
  }
  return "unknown";
}

std::string_view RunStateName(run_state state) {
  switch (state) {
    case run_state::kNotRun:
      return "not-run";
    case run_state::kRun:
      return "run";
    case run_state::kUnknown:
      break;
  }
  return "unknown";
}

request_router::request_router(instance_id self,
                               router_options options,
                               log_sink& log)
    : impl_(std::make_unique<impl>(self, options, log)) {}

request_router::~request_router() = default;

request_router::actions request_router::OnArrival(time_point now,
                                                  const request_info& info) {
  impl_->BeginEvent(now);
  impl_->HandleArrival(now, info);
  return impl_->CollectedActions();
}

request_router::actions request_router::OnCancel(time_point now,
                                                 request_id request) {
  impl_->BeginEvent(now);
  impl_->HandleCancel(now, request);
  return impl_->CollectedActions();
}

request_router::actions request_router::OnAttemptHeaders(time_point now,
                                                         attempt_id attempt,
                                                         bool overloaded) {
  impl_->BeginEvent(now);
  impl_->HandleHeaders(now, attempt, overloaded);
  return impl_->CollectedActions();
}

request_router::actions request_router::OnAttemptEnd(
    time_point now,
    attempt_id attempt,
    attempt_outcome outcome,
    std::optional<peer_load> load) {
  impl_->BeginEvent(now);
  impl_->HandleAttemptEnd(now, attempt, outcome, load);
  return impl_->CollectedActions();
}

request_router::actions request_router::Tick(time_point now) {
  impl_->BeginEvent(now);
  impl_->Tick(now);
  return impl_->CollectedActions();
}

request_router::actions request_router::ApplyConfiguration(
    time_point now,
    const configuration& config) {
  impl_->BeginEvent(now);
  impl_->ApplyConfiguration(now, config);
  return impl_->CollectedActions();
}

request_router::actions request_router::ApplyView(time_point now,
                                                  const fleet_view& view) {
  impl_->BeginEvent(now);
  impl_->ApplyView(now, view);
  return impl_->CollectedActions();
}

request_router::actions request_router::ConfirmView(time_point now) {
  impl_->BeginEvent(now);
  impl_->ConfirmView(now);
  return impl_->CollectedActions();
}

request_router::actions request_router::OnTargetReport(
    time_point now,
    const target_report& report) {
  impl_->BeginEvent(now);
  impl_->HandleTargetReport(report);
  return impl_->CollectedActions();
}

request_router::actions request_router::OnMessage(
    time_point now,
    instance_id from,
    const request_message& message) {
  impl_->BeginEvent(now);
  impl_->HandleMessage(now, from, message);
  return impl_->CollectedActions();
}

request_router::actions request_router::BeginStop(time_point now) {
  impl_->BeginEvent(now);
  impl_->BeginStop(now);
  return impl_->CollectedActions();
}

bool request_router::IsDrained() const {
  return impl_->IsDrained();
}

peer_load request_router::LoadOf(std::string_view service) const {
  return impl_->LoadOf(service);
}

}  // namespace rosemaryreach
