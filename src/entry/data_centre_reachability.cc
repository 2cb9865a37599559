#include "rosemaryreach/data_centre_reachability.h"

#include <algorithm>
#include <map>
#include <utility>

namespace rosemaryreach {
namespace {

// A data centre of which a target was reached this recently is not cut off;
// longer than the time that the probes of a sample take.
constexpr duration kRecentReach = std::chrono::milliseconds(600);

// Whether a service has targets that may get new flows, and reachable ones.
struct service_reachability {
  bool usable = false;
  bool usable_elsewhere = false;  // in other data centres
  bool reached = false;
};

}  // namespace

data_centre_reachability::data_centre_reachability(
    const target_directory& directory,
    const flow_tracker& tracker,
    std::string data_centre)
    : directory_(directory),
      tracker_(tracker),
      data_centre_(std::move(data_centre)) {}

std::vector<target_index> data_centre_reachability::Update(time_point now) {
  unreachable_data_centres_.clear();
  if (!tracker_.AnySuspected()) {
    stranded_since_.reset();
    return {};
  }
  std::map<std::string, std::vector<target_index>> centres;
  for (target_index i = 0; i < directory_.targets().size(); ++i) {
    const known_target* target = directory_.Find(i);
    if (target != nullptr && target->listing != target_listing::kGone) {
      centres[target->record.data_centre].push_back(i);
    }
  }
  std::vector<target_index> to_suspect;
  for (const auto& [data_centre, targets] : centres) {
    if (EvaluateSample(targets, now, to_suspect)) {
      unreachable_data_centres_.insert(data_centre);
    }
  }
  if (DependsOnOthers()) {
    EvaluateOthers(centres, now, to_suspect);
  }
  UpdateStranded(now, to_suspect);
  return to_suspect;
}

bool data_centre_reachability::DependsOnOthers() const {
  std::map<std::string, service_reachability> services;
  for (target_index i = 0; i < directory_.targets().size(); ++i) {
    const known_target* target = directory_.Find(i);
    if (target != nullptr && IsUsable(*target)) {
      service_reachability& service = services[target->record.service];
      const bool elsewhere = target->record.data_centre != data_centre_;
      service.usable_elsewhere = service.usable_elsewhere || elsewhere;
      service.usable = service.usable || !elsewhere;
    }
  }
  return std::any_of(services.begin(), services.end(), [](const auto& one) {
    return one.second.usable_elsewhere && !one.second.usable;
  });
}

void data_centre_reachability::EvaluateOthers(
    const std::map<std::string, std::vector<target_index>>& centres,
    time_point now,
    std::vector<target_index>& to_suspect) {
  const std::size_t other_centres =
      centres.size() - (centres.contains(data_centre_) ? 1 : 0);
  if (other_centres < 2) {
    return;
  }
  // In turns, so that a sample has targets of each data centre.
  std::vector<target_index> others;
  for (std::size_t turn = 0, added = 1; added > 0; ++turn) {
    added = 0;
    for (const auto& [data_centre, targets] : centres) {
      if (data_centre != data_centre_ && turn < targets.size()) {
        others.push_back(targets[turn]);
        ++added;
      }
    }
  }
  if (!EvaluateSample(others, now, to_suspect)) {
    return;
  }
  for (const auto& [data_centre, targets] : centres) {
    if (data_centre != data_centre_) {
      unreachable_data_centres_.insert(data_centre);
    }
  }
}

void data_centre_reachability::UpdateStranded(
    time_point now,
    std::vector<target_index>& to_suspect) {
  if (!Summarize().served_elsewhere) {
    stranded_since_.reset();
    return;
  }
  std::map<std::string, std::vector<target_index>> unprobed;
  for (target_index i = 0; i < directory_.targets().size(); ++i) {
    const known_target* target = directory_.Find(i);
    if (target == nullptr || target->listing == target_listing::kGone ||
        target->record.data_centre == data_centre_) {
      continue;
    }
    const target_status& status = tracker_.StatusOf(i);
    if (now - status.last_reached < kRecentReach) {
      stranded_since_.reset();
      return;
    }
    if (!status.suspected) {
      unprobed[target->record.data_centre].push_back(i);
    }
  }
  stranded_since_ = stranded_since_.value_or(now);
  for (auto& [data_centre, targets] : unprobed) {
    targets.resize(std::min(targets.size(), kReachabilitySample));
    to_suspect.insert(to_suspect.end(), targets.begin(), targets.end());
  }
}

bool data_centre_reachability::IsUsable(const known_target& target) const {
  return target.listing != target_listing::kGone &&
         target.record.state == target_state::kActive &&
         !directory_.evacuated(target.record.data_centre);
}

bool data_centre_reachability::Confirmed() const {
  bool usable = false;
  for (target_index i = 0; i < directory_.targets().size(); ++i) {
    const known_target* target = directory_.Find(i);
    if (target != nullptr && IsUsable(*target)) {
      usable = true;
      if (tracker_.StatusOf(i).last_reached != time_point{}) {
        return true;
      }
    }
  }
  return !usable;
}

std::vector<target_index> data_centre_reachability::TargetsToConfirm(
    std::uint64_t random) const {
  if (Confirmed()) {
    return {};
  }
  std::vector<target_index> unprobed;
  std::size_t pending = 0;  // their first probe has not ended
  std::size_t probed = 0;
  for (target_index i = 0; i < directory_.targets().size(); ++i) {
    const known_target* target = directory_.Find(i);
    if (target == nullptr || !IsUsable(*target)) {
      continue;
    }
    const target_status& status = tracker_.StatusOf(i);
    pending += status.suspected && status.failed_probes == 0 ? 1 : 0;
    probed += status.suspected ? 1 : 0;
    if (!status.suspected) {
      unprobed.push_back(i);
    }
  }
  std::vector<target_index> chosen;
  while (!unprobed.empty() && pending + chosen.size() < kConfirmProbes &&
         probed + chosen.size() < kMaxConfirmTargets) {
    const std::size_t at = random % unprobed.size();
    chosen.push_back(unprobed[at]);
    unprobed.erase(unprobed.begin() + static_cast<std::ptrdiff_t>(at));
  }
  return chosen;
}

bool data_centre_reachability::Reaches(target_index index,
                                       const target_record& record) const {
  return !DataCentreUnreachable(record.data_centre) &&
         !Unreachable(tracker_.StatusOf(index));
}

bool data_centre_reachability::EvaluateSample(
    const std::vector<target_index>& targets,
    time_point now,
    std::vector<target_index>& to_suspect) const {
  std::size_t failing = 0;     // targets of which at least one probe failed
  std::uint32_t failures = 0;  // failed probes of all targets
  std::size_t suspected = 0;
  time_point last_reached{};
  std::vector<target_index> others;
  for (const target_index target : targets) {
    const target_status& status = tracker_.StatusOf(target);
    last_reached = std::max(last_reached, status.last_reached);
    if (!status.suspected) {
      others.push_back(target);
      continue;
    }
    ++suspected;
    failing += status.failed_probes > 0 ? 1 : 0;
    failures += std::min(status.failed_probes, kUnreachableProbes);
  }
  const std::size_t sample = std::min(kReachabilitySample, targets.size());
  if (now - last_reached >= kSilenceToProbe && failing >= kMinFailuresToProbe &&
      suspected < sample) {
    const std::size_t missing = std::min(sample - suspected, others.size());
    to_suspect.insert(to_suspect.end(), others.begin(),
                      others.begin() + static_cast<std::ptrdiff_t>(missing));
  }
  const std::size_t enough =
      std::min(kReachabilitySample, kUnreachableProbes * targets.size());
  return now - last_reached >= kRecentAnswer && failing >= sample &&
         failures >= enough;
}

data_centre_reachability::reach_summary data_centre_reachability::Summarize()
    const {
  reach_summary summary;
  std::map<std::string, service_reachability> services;
  for (target_index i = 0; i < directory_.targets().size(); ++i) {
    const known_target* target = directory_.Find(i);
    if (target == nullptr || target->listing == target_listing::kGone) {
      continue;
    }
    const target_record& record = target->record;
    const bool reached = Reaches(i, record);
    summary.reaches_other_centre =
        summary.reaches_other_centre ||
        (reached && record.data_centre != data_centre_);
    if (IsUsable(*target)) {
      service_reachability& service = services[record.service];
      service.usable = true;
      service.usable_elsewhere =
          service.usable_elsewhere || record.data_centre != data_centre_;
      service.reached = service.reached || reached;
    }
  }
  for (const auto& [name, service] : services) {
    const bool unreached = service.usable && !service.reached;
    summary.service_unreached = summary.service_unreached || unreached;
    summary.served_elsewhere =
        summary.served_elsewhere || (unreached && service.usable_elsewhere);
  }
  return summary;
}

bool data_centre_reachability::IsIsolated() const {
  if (!tracker_.AnySuspected()) {
    return false;
  }
  const reach_summary summary = Summarize();
  return !summary.reaches_other_centre && summary.service_unreached;
}

}  // namespace rosemaryreach
