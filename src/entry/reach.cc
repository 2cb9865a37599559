#include "rosemaryreach/reach.h"

#include <algorithm>
#include <map>
#include <utility>

namespace rosemaryreach {
namespace {

// Targets that may get new flows, and whether one of them is reached.
struct service_reach {
  bool usable = false;
  bool reached = false;
};

}  // namespace

centre_reach::centre_reach(const target_directory& directory,
                           const flow_tracker& tracker,
                           std::string data_centre)
    : directory_(directory),
      tracker_(tracker),
      data_centre_(std::move(data_centre)) {}

std::vector<target_index> centre_reach::Update(time_point now) {
  out_of_reach_.clear();
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
    if (Judge(targets, now, to_suspect)) {
      out_of_reach_.insert(data_centre);
    }
  }
  return to_suspect;
}

bool centre_reach::Judge(const std::vector<target_index>& targets,
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
  const std::size_t sample = std::min(kReachSample, targets.size());
  if (unreachable >= kReachSuspicion && suspected < sample) {
    const std::size_t lacking = std::min(sample - suspected, others.size());
    to_suspect.insert(to_suspect.end(), others.begin(),
                      others.begin() + static_cast<std::ptrdiff_t>(lacking));
  }
  return unreachable > 0 && unreachable >= sample;
}

bool centre_reach::CutOff() const {
  if (!tracker_.AnySuspected()) {
    return false;
  }
  std::map<std::string, service_reach> services;
  bool elsewhere = false;
  for (target_index i = 0; i < directory_.targets().size(); ++i) {
    const known_target* target = directory_.Find(i);
    if (target == nullptr || target->listing == target_listing::kGone) {
      continue;
    }
    const target_record& record = target->record;
    const bool reached =
        !OutOfReach(record.data_centre) && !Unreachable(tracker_.StatusOf(i));
    elsewhere = elsewhere || (reached && record.data_centre != data_centre_);
    if (record.state == target_state::kActive &&
        !directory_.evacuated(record.data_centre)) {
      service_reach& service = services[record.service];
      service.usable = true;
      service.reached = service.reached || reached;
    }
  }
  return !elsewhere &&
         std::any_of(services.begin(), services.end(), [](const auto& one) {
           return one.second.usable && !one.second.reached;
         });
}

}  // namespace rosemaryreach
