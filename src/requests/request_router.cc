#include "rosemaryreach/request_router.h"

#include "requests/router_impl.h"

namespace rosemaryreach {

std::string_view ConditionName(answer_condition condition) {
  switch (condition) {
    case answer_condition::kOverloaded:
      return "overloaded";
    case answer_condition::kNoTarget:
      return "no-target";
    case answer_condition::kDeadline:
      return "deadline";
    case answer_condition::kTargetRefused:
      return "target-refused";
    case answer_condition::kTargetFailed:
      return "target-failed";
    case answer_condition::kAnswerCut:
      return "answer-cut";
    case answer_condition::kKeyInProgress:
      return "key-in-progress";
    case answer_condition::kKeyDone:
      return "key-done";
    case answer_condition::kKeyUnknown:
      return "key-unknown";
    case answer_condition::kKeyUnavailable:
      return "key-unavailable";
    case answer_condition::kStopping:
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
  impl_->Begin(now);
  impl_->Arrive(now, info);
  return impl_->Taken();
}

request_router::actions request_router::OnCancel(time_point now,
                                                 request_id request) {
  impl_->Begin(now);
  impl_->CancelByCaller(now, request);
  return impl_->Taken();
}

request_router::actions request_router::OnAttemptHeaders(time_point now,
                                                         attempt_id attempt,
                                                         bool overloaded) {
  impl_->Begin(now);
  impl_->TakeHeaders(now, attempt, overloaded);
  return impl_->Taken();
}

request_router::actions request_router::OnAttemptEnd(
    time_point now,
    attempt_id attempt,
    attempt_outcome end,
    std::optional<peer_load> load) {
  impl_->Begin(now);
  impl_->TakeEnd(now, attempt, end, load);
  return impl_->Taken();
}

request_router::actions request_router::Tick(time_point now) {
  impl_->Begin(now);
  impl_->Tick(now);
  return impl_->Taken();
}

request_router::actions request_router::ApplyConfiguration(
    time_point now,
    const configuration& config) {
  impl_->Begin(now);
  impl_->ApplyConfiguration(now, config);
  return impl_->Taken();
}

request_router::actions request_router::ApplyView(time_point now,
                                                  const fleet_view& view) {
  impl_->Begin(now);
  impl_->ApplyView(now, view);
  return impl_->Taken();
}

request_router::actions request_router::ConfirmView(time_point now) {
  impl_->Begin(now);
  impl_->ConfirmView(now);
  return impl_->Taken();
}

request_router::actions request_router::OnTargetReport(
    time_point now,
    const target_report& report) {
  impl_->Begin(now);
  impl_->TakeReport(report);
  return impl_->Taken();
}

request_router::actions request_router::OnMessage(
    time_point now,
    instance_id from,
    const request_message& message) {
  impl_->Begin(now);
  impl_->TakeMessage(now, from, message);
  return impl_->Taken();
}

request_router::actions request_router::BeginStop(time_point now) {
  impl_->Begin(now);
  impl_->BeginStop(now);
  return impl_->Taken();
}

bool request_router::IsDrained() const {
  return impl_->IsDrained();
}

peer_load request_router::LoadOf(std::string_view service) const {
  return impl_->LoadOf(service);
}

}  // namespace rosemaryreach
