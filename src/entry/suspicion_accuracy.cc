#include "rosemaryreach/suspicion_accuracy.h"

#include <algorithm>

namespace rosemaryreach {
namespace {

// Disproved suspicions kept for a service; more than targets fail at a time.
constexpr std::size_t kMaxDisproved = 512;
// Failed probes after which a pending suspicion counts as a true one.
constexpr std::uint32_t kFailingProbes = 2;

}  // namespace

suspicion_accuracy::suspicion_accuracy(const target_directory& directory,
                                       const flow_tracker& tracker)
    : directory_(directory), tracker_(tracker) {}

void suspicion_accuracy::OnDisproved(target_index target, time_point now) {
  const known_target* known = directory_.Find(target);
  if (known == nullptr) {
    return;
  }
  std::deque<time_point>& ends = disproved_[known->record.service];
  ends.push_back(now);
  while (ends.size() > kMaxDisproved || now - ends.front() > kSuspicionWindow) {
    ends.pop_front();
  }
}

bool suspicion_accuracy::ProvesUnreachable(target_index target,
                                           time_point now) const {
  const known_target* known = directory_.Find(target);
  if (known == nullptr || !MostlyDisproved(known->record.service, now) ||
      DataCentreSilent(known->record.data_centre, now)) {
    return true;
  }
  const target_status& status = tracker_.StatusOf(target);
  return status.failed_probes >= kDistrustedProbes &&
         now - status.last_reached >= kDistrustedSilence;
}

bool suspicion_accuracy::MostlyDisproved(const std::string& service,
                                         time_point now) const {
  const auto found = disproved_.find(service);
  if (found == disproved_.end()) {
    return false;
  }
  const auto disproved = std::count_if(
      found->second.begin(), found->second.end(),
      [now](time_point end) { return now - end <= kSuspicionWindow; });
  if (static_cast<std::size_t>(disproved) < kMinDisproved) {
    return false;
  }
  const std::span<const target_index> targets = directory_.TargetsOf(service);
  const auto failing = std::count_if(
      targets.begin(), targets.end(), [this](target_index target) {
        const target_status& status = tracker_.StatusOf(target);
        return status.suspected && status.failed_probes >= kFailingProbes;
      });
  return disproved > failing;
}

bool suspicion_accuracy::DataCentreSilent(const std::string& data_centre,
                                          time_point now) const {
  for (target_index i = 0; i < directory_.targets().size(); ++i) {
    const known_target* target = directory_.Find(i);
    if (target != nullptr && target->record.data_centre == data_centre &&
        now - tracker_.StatusOf(i).last_reached < kSilentDataCentre) {
      return false;
    }
  }
  return true;
}

}  // namespace rosemaryreach
