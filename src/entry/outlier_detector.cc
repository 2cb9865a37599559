#include "rosemaryreach/outlier_detector.h"

#include <algorithm>

namespace rosemaryreach {
namespace {

// Targets with enough answers that a comparison needs.
constexpr std::size_t kMinCompared = 3;
// Answers of a target for it to count in the median.
constexpr double kMedianAnswers = 2;

}  // namespace

outlier_detector::outlier_detector(const target_directory& directory,
                                   flow_tracker& tracker,
                                   response_times& times,
                                   const wait_estimator& waits)
    : directory_(directory), tracker_(tracker), times_(times), waits_(waits) {}

std::vector<outlier_change> outlier_detector::Update(time_point now) {
  std::vector<outlier_change> changes;
  ReturnDue(now, changes);
  for (const entry_service& service : directory_.config().services) {
    if (!waits_.Applies(service.name)) {
      continue;
    }
    service_state state = Evaluate(service.name, now);
    for (const outlier_change& outlier : state.outliers) {
      Eject(outlier, state, now, changes);
    }
  }
  return changes;
}

void outlier_detector::ReturnDue(time_point now,
                                 std::vector<outlier_change>& changes) {
  std::erase_if(records_, [this, now](const auto& one) {
    const known_target* known = directory_.Find(one.second.target);
    return known == nullptr || known->cookie != one.first ||
           now - one.second.until > 2 * kMaxEjection;
  });
  for (auto& [cookie, record] : records_) {
    if (!record.ejected || now < record.until) {
      continue;
    }
    record.ejected = false;
    outlier_change change;
    change.target = record.target;
    change.reason = "its time is over";
    change.speed = times_.EvidenceOf(cookie, now).Speed();
    change.ejected_for = record.length;
    changes.push_back(change);
    // It is judged by new answers, and gets few flows at first.
    times_.Forget(cookie);
    tracker_.MarkReturned(record.target, now);
  }
}

outlier_detector::service_state outlier_detector::Evaluate(
    const std::string& service,
    time_point now) const {
  service_state state;
  std::vector<double> speeds;
  std::size_t refusing = 0;
  for (const target_index index : directory_.TargetsOf(service)) {
    const known_target& target = *directory_.Find(index);
    const target_status& status = tracker_.StatusOf(index);
    state.in_flight += waits_.InFlight(index);
    if (target.record.state != target_state::kActive || status.suspected ||
        directory_.evacuated(target.record.data_centre)) {
      continue;
    }
    ++state.targets;
    if (Ejected(index)) {
      ++state.ejected;
      continue;
    }
    state.capacity +=
        target.record.slots *
        std::min(1.0, times_.AllEvidenceOf(target.cookie, now).Speed());
    const speed_evidence evidence = times_.EvidenceOf(target.cookie, now);
    if (evidence.answers >= kMedianAnswers) {
      speeds.push_back(evidence.Speed());
    }
    const bool refuses = evidence.fast_in_a_row >= kOutlierRefusals;
    refusing += refuses ? 1 : 0;
    if (refuses || evidence.answers >= kOutlierAnswers) {
      outlier_change candidate;
      candidate.target = index;
      candidate.reason = refuses ? "fast answers only" : "slow answers";
      candidate.speed = evidence.Speed();
      candidate.answers = evidence.answers;
      state.outliers.push_back(candidate);
    }
  }
  if (speeds.size() < kMinCompared) {
    state.outliers.clear();
    return state;
  }
  const auto middle =
      speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
  std::nth_element(speeds.begin(), middle, speeds.end());
  const bool service_refuses =
      static_cast<double>(refusing) >
      kServiceFailsShare * static_cast<double>(speeds.size());
  std::erase_if(state.outliers, [&](outlier_change& one) {
    one.usual_speed = *middle;
    const bool refuses =
        times_.EvidenceOf(directory_.Find(one.target)->cookie, now)
            .fast_in_a_row >= kOutlierRefusals;
    return refuses ? service_refuses : one.speed * kOutlierFactor >= *middle;
  });
  std::sort(state.outliers.begin(), state.outliers.end(),
            [](const outlier_change& a, const outlier_change& b) {
              return a.speed < b.speed;
            });
  return state;
}

void outlier_detector::Eject(const outlier_change& outlier,
                             service_state& state,
                             time_point now,
                             std::vector<outlier_change>& changes) {
  const known_target& target = *directory_.Find(outlier.target);
  const double lost = target.record.slots * std::min(1.0, outlier.speed);
  const double allowed =
      std::max(1.0, kMaxEjectedShare * static_cast<double>(state.targets));
  if (static_cast<double>(state.ejected + 1) > allowed ||
      state.capacity - lost < kEjectionHeadroom * state.in_flight) {
    return;
  }
  ++state.ejected;
  state.capacity -= lost;
  record& entry = records_[target.cookie];
  entry.length = entry.length == duration(0)
                     ? kFirstEjection
                     : std::min(kMaxEjection, entry.length * 2);
  entry.target = outlier.target;
  entry.until = now + entry.length;
  entry.ejected = true;
  changes.push_back(outlier);
  changes.back().ejected = true;
  changes.back().ejected_for = entry.length;
}

bool outlier_detector::Ejected(target_index target) const {
  const known_target* known = directory_.Find(target);
  if (known == nullptr) {
    return false;
  }
  const auto found = records_.find(known->cookie);
  return found != records_.end() && found->second.ejected;
}

std::size_t outlier_detector::ejected() const {
  return static_cast<std::size_t>(
      std::count_if(records_.begin(), records_.end(),
                    [](const auto& one) { return one.second.ejected; }));
}

}  // namespace rosemaryreach
