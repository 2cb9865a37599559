// Placement of new flows by expected wait.
#include <algorithm>

#include "rosemaryreach/target_picker.h"

namespace rosemaryreach {
namespace {

// The candidates of one data centre, or of all others.
struct candidate_group {
  pick_result best;
  std::size_t compared = 0;
  duration sum{};  // of the expected waits

  duration mean() const {
    return sum / static_cast<duration::rep>(std::max<std::size_t>(1, compared));
  }
};

// Adds a candidate; `work` is the time of a request at a target without a
// queue.
void Compare(candidate_group& group,
             target_index index,
             const wait_estimate& estimate,
             duration work) {
  ++group.compared;
  group.sum += std::max(estimate.wait, work);
  if (!group.best.estimate || estimate.wait < group.best.estimate->wait) {
    group.best.target = index;
    group.best.estimate = estimate;
  }
}

}  // namespace

bool target_picker::ComparesByWait(const std::string& service) const {
  return placement_.waits != nullptr && placement_.waits->Applies(service);
}

double target_picker::OwnLoad(target_index index) const {
  const target_status& status = tracker_.StatusOf(index);
  return static_cast<double>(status.running + status.opening) /
         std::max(1U, directory_.Find(index)->record.slots);
}

std::vector<target_index> target_picker::Sample(const std::string& service,
                                                std::size_t start) const {
  const std::span<const target_index> all = directory_.TargetsOf(service);
  const std::size_t count = std::min(all.size(), kMaxCandidates);
  std::vector<target_index> sample;
  for (std::size_t i = 0; i < count; ++i) {
    sample.push_back(all[(start + i * all.size() / count) % all.size()]);
  }
  return sample;
}

pick_result target_picker::PickByWait(const std::string& service,
                                      std::span<const target_index> tried,
                                      time_point now) {
  std::vector<target_index> sample = Sample(service, random_());
  std::shuffle(sample.begin(), sample.end(), random_);
  grade best = grade::kExcluded;
  std::vector<target_index> candidates;
  for (const target_index index : sample) {
    tracker_.CheckOpenTimeout(index, now);
    const grade graded = Grade(index, tried, now);
    if (graded == grade::kSilent && placement_.silent_elsewhere) {
      placement_.silent_elsewhere(index);
    }
    if (graded < best) {
      best = graded;
      candidates.clear();
    }
    if (graded == best && best < grade::kUnreachable) {
      candidates.push_back(index);
    }
  }
  if (candidates.empty()) {
    pick_result none;
    none.rule = RuleOf(best);
    none.unreachable = best == grade::kUnreachable;
    return none;
  }
  // This instance knows its own requests at once, the others' with a delay.
  std::stable_sort(candidates.begin(), candidates.end(),
                   [this](target_index a, target_index b) {
                     return OwnLoad(a) < OwnLoad(b);
                   });
  pick_result chosen = ShortestWait(service, candidates,
                                    placement_.waits->Averages(sample), now);
  chosen.rule = RuleOf(best);
  RecordColdFlow(*directory_.Find(chosen.target), now);
  return chosen;
}

pick_result target_picker::ShortestWait(
    const std::string& service,
    std::span<const target_index> candidates,
    const service_averages& averages,
    time_point now) {
  const duration work = placement_.waits->WorkTime(service, averages);
  candidate_group here;
  candidate_group elsewhere;
  for (const target_index index : candidates) {
    candidate_group& group =
        directory_.Find(index)->record.data_centre == data_centre_ ? here
                                                                   : elsewhere;
    if (group.compared < kWaitCandidates) {
      Compare(group, index, placement_.waits->Estimate(index, averages, now),
              work);
    }
  }
  spillover& spill = spill_[service];
  if (here.compared == 0 || elsewhere.compared == 0) {
    spill.Stop();
    return here.compared == 0 ? elsewhere.best : here.best;
  }
  spill.Update(here.mean(), elsewhere.mean(), now);
  std::uniform_real_distribution<double> draw(0, 1);
  const bool may_spill = draw(random_) < spill.share();
  if (may_spill && elsewhere.best.estimate->wait + kLocalPreference <
                       here.best.estimate->wait) {
    ++spilled_flows_;
    return elsewhere.best;
  }
  return here.best;
}

std::optional<wait_estimate> target_picker::EstimateOf(target_index index,
                                                       time_point now) const {
  const std::string& service = directory_.Find(index)->record.service;
  if (!ComparesByWait(service)) {
    return std::nullopt;
  }
  return placement_.waits->Estimate(
      index, placement_.waits->Averages(Sample(service, 0)), now);
}

double target_picker::SpillShare(const std::string& service) const {
  const auto found = spill_.find(service);
  return found == spill_.end() ? 0 : found->second.share();
}

}  // namespace rosemaryreach
