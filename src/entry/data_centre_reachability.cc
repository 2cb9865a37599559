#include "rosemaryreach/data_centre_reachability.h"

#include <algorithm>
#include <map>
#include <utility>

namespace rosemaryreach {
namespace {

// Whether a service has targets that may get new flows, and reachable ones.
struct service_reachability {
  bool usable = false;
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
  return to_suspect;
}

bool data_centre_reachability::EvaluateSample(
    const std::vector<target_index>& targets,
    time_point now,
    std::vector<target_index>& to_suspect) const {
  std::size_t unreachable = 0;
  std::size_t suspected = 0;
  std::vector<target_index> others;
  for (const target_index target : targets) {
    const target_status& status = tracker_.StatusOf(target);
    if (Unreachable(status)) {
      ++unreachable;
    } else if (now - status.last_answer < kRecentAnswer) {
      return false;
    }
    suspected += status.suspected ? 1 : 0;
    if (!status.suspected) {
      others.push_back(target);
    }
  }
  const std::size_t sample = std::min(kReachabilitySample, targets.size());
  if (unreachable >= kMinFailuresToProbe && suspected < sample) {
    const std::size_t missing = std::min(sample - suspected, others.size());
    to_suspect.insert(to_suspect.end(), others.begin(),
                      others.begin() + static_cast<std::ptrdiff_t>(missing));
  }
  return unreachable > 0 && unreachable >= sample;
}

bool data_centre_reachability::IsIsolated() const {
  if (!tracker_.AnySuspected()) {
    return false;
  }
  std::map<std::string, service_reachability> services;
  bool reaches_other_centre = false;
  for (target_index i = 0; i < directory_.targets().size(); ++i) {
    const known_target* target = directory_.Find(i);
    if (target == nullptr || target->listing == target_listing::kGone) {
      continue;
    }
    const target_record& record = target->record;
    const bool reached = !DataCentreUnreachable(record.data_centre) &&
                         !Unreachable(tracker_.StatusOf(i));
    reaches_other_centre =
        reaches_other_centre || (reached && record.data_centre != data_centre_);
    if (record.state == target_state::kActive &&
        !directory_.evacuated(record.data_centre)) {
      service_reachability& service = services[record.service];
      service.usable = true;
      service.reached = service.reached || reached;
    }
  }
  return !reaches_other_centre &&
         std::any_of(services.begin(), services.end(), [](const auto& one) {
           return one.second.usable && !one.second.reached;
         });
}

}  // namespace rosemaryreach
