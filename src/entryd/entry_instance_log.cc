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

void entry_instance::OnTargetLearned(const target_record& record,
                                     time_point now) {
  const std::optional<duration> dropped = dropped_cookies_.OnLearned(
      MakeCookie(record.id, record.incarnation), now);
  if (!dropped) {
    return;
  }
  metrics_.late_targets.Add();
  const std::array<log_field, 3> fields = {
      log_field{"subject", record.id}, log_field{"outcome", "learned_late"},
      log_field{"dropped_for_ms", ToMillis(*dropped)}};
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

void entry_instance::OnRequestStalled(const flow_key& key,
                                      target_index target,
                                      duration waited) {
  metrics_.stalled_requests.Add();
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

std::string entry_instance::MetricsText() {
  metrics_.configuration_version.Set(
      static_cast<std::int64_t>(directory_.config().version));
  metrics_.view_age_ms.Set(ToMillis(sync_.age()));
  metrics_.store_era.Set(static_cast<std::int64_t>(sync_.cursor().era));
  metrics_.held_items.Set(static_cast<std::int64_t>(directory_.held_items()));
  metrics_.held_ms.Set(ToMillis(directory_.HeldFor(BootTimeNow())));
  std::int64_t unreachable = 0;
  std::int64_t unprobed = 0;
  for (target_index i = 0; i < directory_.targets().size(); ++i) {
    if (directory_.Find(i) != nullptr && Unreachable(tracker_.StatusOf(i))) {
      ++unreachable;
      unprobed += suspect_prober_.IsProbingSuspended(i) ? 1 : 0;
    }
  }
  metrics_.unreachable_targets.Set(unreachable);
  metrics_.unprobed_targets.Set(unprobed);
  metrics_.departed_targets.Set(
      static_cast<std::int64_t>(directory_.departed()));
  metrics_.peers.Set(static_cast<std::int64_t>(sync_.peers().size()));
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
