// Log lines and metrics of an entry instance.
#include <array>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "entryd/entry_instance.h"

namespace rosemaryreach {

void entry_instance::OnDirectoryChange(const directory_change& change) {
  const bool summarized = taking_first_view_ && change.outcome == kTargetAdded;
  if (change_lines_left_ == 0 || summarized) {
    return;
  }
  --change_lines_left_;
  const std::array<log_field, 5> fields = {
      log_field{"subject", change.subject},
      log_field{"outcome", change.outcome}, log_field{"detail", change.detail},
      log_field{"revision", static_cast<std::int64_t>(sync_.cursor().revision)},
      log_field{"age_ms", ToMillis(sync_.age())}};
  log_.LogStateChange("directory", fields);
}

void entry_instance::LogFirstView() {
  // Active targets by service and data centre.
  std::map<std::pair<std::string, std::string>, std::size_t> counts;
  for (const std::optional<known_target>& target : directory_.targets()) {
    if (target && target->record.state == target_state::kActive) {
      ++counts[{target->record.service, target->record.data_centre}];
    }
  }
  std::string targets;
  for (const auto& [where, count] : counts) {
    targets += (targets.empty() ? "" : ", ") + std::to_string(count) + " of " +
               where.first + " in " + where.second;
  }
  const std::array<log_field, 5> fields = {
      log_field{"outcome", "first_view"},
      log_field{"configuration",
                static_cast<std::int64_t>(directory_.config().version)},
      log_field{"targets", targets},
      log_field{"revision", static_cast<std::int64_t>(sync_.cursor().revision)},
      log_field{"age_ms", ToMillis(sync_.age())}};
  log_.LogStateChange("instance", fields);
}

void entry_instance::LogOutlier(const outlier_change& change) {
  if (change_lines_left_ == 0) {
    return;
  }
  --change_lines_left_;
  constexpr double kPercent = 100;
  const std::array<log_field, 7> fields = {
      log_field{"target", directory_.Find(change.target)->record.id},
      log_field{"outcome",
                change.ejected ? "target_ejected" : "target_returned"},
      log_field{"reason", change.reason},
      log_field{"speed_percent",
                static_cast<std::int64_t>(change.speed * kPercent)},
      log_field{"usual_percent",
                static_cast<std::int64_t>(change.usual_speed * kPercent)},
      log_field{"answers", static_cast<std::int64_t>(change.answers)},
      log_field{"ejected_ms", ToMillis(change.ejected_for)}};
  log_.LogStateChange("target", fields);
}

void entry_instance::OnRequestStalled(const flow_key& key,
                                      target_index target,
                                      duration waited) {
  metrics_.stalled_requests.Add();
  load_sync_.OnStalled(target);
  if (!log_.ShouldLogFlow(true, BootTimeNow())) {
    return;
  }
  const std::string flow = FormatFlow(key);
  const std::array<log_field, 5> fields = {
      log_field{"flow", flow},
      log_field{"target", directory_.Find(target)->record.id},
      log_field{"rule", "no_answer"}, log_field{"outcome", "stalled"},
      log_field{"waited_ms", ToMillis(waited)}};
  log_.LogFlow(fields);
}

void entry_instance::OnAdmissionDecided(std::uint32_t priority,
                                        const admission_decision& decision,
                                        duration waited) {
  metrics_.Admissions(priority, settings_.data_centre, decision.rule).Add();
  admission_held_ += decision.verdict == admission_verdict::kHold ? 1 : 0;
  admission_refused_ += decision.verdict == admission_verdict::kRefuse ||
                                decision.verdict == admission_verdict::kDrop
                            ? 1
                            : 0;
  if (decision.verdict != admission_verdict::kHold) {
    metrics_.hold_seconds.Observe(
        std::chrono::duration<double>(waited).count());
  }
}

void entry_instance::LogAdmission() {
  if (admission_held_ + admission_refused_ == 0) {
    return;
  }
  std::string limits;
  for (const admission_summary& service : admission_.Summaries()) {
    if (service.limited) {
      limits += (limits.empty() ? "" : "; ") + service.service + ": " +
                std::to_string(service.in_flight) + " in flight of " +
                std::to_string(static_cast<std::int64_t>(service.limit)) +
                ", answers take " +
                std::to_string(ToMillis(service.expected_response)) + " ms";
    }
  }
  const std::array<log_field, 3> fields = {
      log_field{"held",
                static_cast<std::int64_t>(std::exchange(admission_held_, 0))},
      log_field{"refused", static_cast<std::int64_t>(
                               std::exchange(admission_refused_, 0))},
      log_field{"limits", limits}};
  log_.LogWarning("over_capacity", fields);
}

std::string entry_instance::MetricsText() {
  for (const admission_summary& service : admission_.Summaries()) {
    if (service.limited) {
      metrics_
          .OfService("rosemaryreach_entry_limit",
                     "Requests in flight that this instance may have.",
                     service.service)
          .Set(static_cast<std::int64_t>(service.limit));
      metrics_
          .OfService("rosemaryreach_entry_in_flight",
                     "Requests in flight by this instance.", service.service)
          .Set(service.in_flight);
      metrics_
          .OfService("rosemaryreach_entry_held_packets",
                     "First packets that wait for room.", service.service)
          .Set(static_cast<std::int64_t>(service.held));
    }
  }
  metrics_.configuration_version.Set(
      static_cast<std::int64_t>(directory_.config().version));
  metrics_.view_age_ms.Set(ToMillis(sync_.age()));
  metrics_.store_era.Set(static_cast<std::int64_t>(sync_.cursor().era));
  metrics_.held_items.Set(static_cast<std::int64_t>(directory_.held_items()));
  metrics_.held_ms.Set(ToMillis(directory_.HeldFor(BootTimeNow())));
  metrics_.departed_targets.Set(
      static_cast<std::int64_t>(directory_.departed()));
  metrics_.unknown_cookies.Set(
      static_cast<std::int64_t>(unknown_cookies_.size()));
  metrics_.shed_permille.Set(
      static_cast<std::int64_t>(load_.shed_share() * 1'000));
  metrics_.peers.Set(static_cast<std::int64_t>(sync_.peers().size()));
  load_sync_.UpdateMetrics();
  metrics_.spilled_flows.Set(
      static_cast<std::int64_t>(picker_.spilled_flows()));
  metrics_.flows.Set(static_cast<std::int64_t>(tracker_.size()));
  return registry_->PrometheusText();
}

void entry_instance::LogLifecycle(const char* event,
                                  const std::string& detail) {
  const std::array<log_field, 3> fields = {
      log_field{"outcome", event}, log_field{"detail", detail},
      log_field{"uptime_ms", ToMillis(BootTimeNow() - started_)}};
  log_.LogStateChange("instance", fields);
}

}  // namespace rosemaryreach
