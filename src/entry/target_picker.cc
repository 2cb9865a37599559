#include "rosemaryreach/target_picker.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace rosemaryreach {
namespace {

// Load penalty, in requests per slot, for targets in another data centre: a
// round trip to them costs about a millisecond, a queued request tens.
constexpr double kRemotePenalty = 1.0;
// Fraction of a slot that an open flow uses: about one request a second of tens
// of milliseconds.
constexpr double kOpenFlowLoad = 0.03;
// Cold targets are slower by about this factor.
constexpr double kColdFactor = 2.0;
// Random tie-breaker, smaller than the weight of one request.
constexpr double kJitter = 0.2;
// A draining target may get new flows for the first second after this instance
// learned of it; the limit is three times that.
constexpr duration kDrainingGrace = std::chrono::seconds(1);
// The load of a service with more targets is summed up this often, that of
// others for each flow.
constexpr std::size_t kMaxSummedTargets = 256;
constexpr duration kLoadPeriod = std::chrono::milliseconds(10);
// Over this time, the flows of an instance in a data centre are averaged: it
// has a few at a time, and the number varies by half.
constexpr std::chrono::duration<double> kLoadAverageTime(0.25);
// Requests at a target that answers none for this long say nothing about the
// load of its data centre.
constexpr duration kStuckTime = std::chrono::seconds(1);
// Two instances may own a cold target while their views of the fleet differ.
constexpr double kMaxColdOwners = 2;

constexpr std::array<const char*, 7> kRules = {
    "least_load", "entry_missing",       "tried_before", "leaving",
    "doubted",    "targets_unreachable", "no_target"};

}  // namespace

target_picker::target_picker(const target_directory& directory,
                             flow_tracker& tracker,
                             const data_centre_reachability& reachability,
                             std::string data_centre,
                             entry_bounds bounds,
                             fleet_hooks fleet,
                             std::uint64_t seed)
    : directory_(directory),
      tracker_(tracker),
      reachability_(reachability),
      data_centre_(std::move(data_centre)),
      bounds_(bounds),
      fleet_(std::move(fleet)),
      random_(seed) {}

pick_result target_picker::Pick(const std::string& service,
                                std::span<const target_index> tried,
                                time_point now) {
  service_load& load = UpdateLoad(service, now);
  const std::span<const target_index> all = directory_.TargetsOf(service);
  const std::size_t count = std::min(all.size(), kMaxCandidates);
  const std::size_t start = all.empty() ? 0 : random_() % all.size();
  grade best_grade = grade::kExcluded;
  std::vector<candidate> best(load.data_centres.size());
  for (std::size_t i = 0; i < count; ++i) {
    const target_index index =
        all[(start + i * all.size() / count) % all.size()];
    tracker_.CheckOpenTimeout(index, now);
    const grade graded = Grade(index, tried, now);
    if (graded > best_grade || graded == grade::kExcluded) {
      continue;
    }
    if (graded < best_grade) {
      best_grade = graded;
      std::fill(best.begin(), best.end(), candidate{});
    }
    if (graded == grade::kUnreachable) {
      continue;
    }
    const double score = Score(index, now);
    const std::size_t data_centre = DataCentreOf(index, load);
    // The load may have been summed up before this data centre had targets.
    best.resize(std::max(best.size(), data_centre + 1));
    candidate& there = best[data_centre];
    if (there.target == kNoTarget || score < there.score) {
      there = {index, score};
    }
  }
  pick_result picked;
  picked.target = ChooseDataCentre(best, load);
  picked.rule = RuleOf(best_grade);
  picked.unreachable = best_grade == grade::kUnreachable;
  if (picked.target != kNoTarget) {
    RecordColdFlow(*directory_.Find(picked.target), now);
  }
  return picked;
}

std::size_t target_picker::DataCentreOf(target_index index,
                                        service_load& load) const {
  const std::string& data_centre = directory_.Find(index)->record.data_centre;
  const auto found =
      std::find_if(load.data_centres.begin(), load.data_centres.end(),
                   [&data_centre](const data_centre_load& one) {
                     return one.data_centre == data_centre;
                   });
  if (found == load.data_centres.end()) {
    load.data_centres.push_back({data_centre});
    return load.data_centres.size() - 1;
  }
  return static_cast<std::size_t>(found - load.data_centres.begin());
}

target_picker::service_load& target_picker::UpdateLoad(
    const std::string& service,
    time_point now) {
  const std::span<const target_index> targets = directory_.TargetsOf(service);
  service_load& load = loads_[service];
  if (targets.size() > kMaxSummedTargets && now - load.at < kLoadPeriod) {
    return load;
  }
  for (data_centre_load& one : load.data_centres) {
    one.flows = 0;
    one.slots = 0;
    one.stuck_slots = 0;
  }
  for (const target_index index : targets) {
    const known_target& target = *directory_.Find(index);
    const target_status& status = tracker_.StatusOf(index);
    data_centre_load& there = load.data_centres[DataCentreOf(index, load)];
    const bool stuck =
        status.running > 0 && now - status.waiting_since >= kStuckTime;
    const bool usable =
        target.record.state == target_state::kActive && !status.suspected &&
        !directory_.evacuated(target.record.data_centre) &&
        !reachability_.DataCentreUnreachable(target.record.data_centre);
    if (!usable) {
      continue;
    }
    if (stuck) {
      there.stuck_slots += target.record.slots;
      continue;
    }
    there.flows +=
        status.running + status.opening + status.open * kOpenFlowLoad;
    there.slots +=
        target.record.slots / (now < target.cold_until ? kColdFactor : 1.0);
  }
  const std::chrono::duration<double> elapsed = now - load.at;
  const double weight = 1 - std::exp(-elapsed / kLoadAverageTime);
  for (data_centre_load& one : load.data_centres) {
    one.smoothed += (one.flows - one.smoothed) * weight;
  }
  load.at = now;
  return load;
}

service_load_estimate target_picker::EstimateLoad(const std::string& service,
                                                  time_point now) {
  // Where flows of this instance spill over to other data centres, as many of
  // theirs are taken to come here.
  const double instances = fleet_.local_instances();
  service_load_estimate estimate;
  for (const data_centre_load& one : UpdateLoad(service, now).data_centres) {
    // Without the slots of stuck targets, a few flows that their callers have
    // left would look like a queue, and refusals would keep it so.
    const double slots = one.slots + one.stuck_slots;
    if (slots > 0) {
      estimate.data_centres.push_back(
          {one.data_centre, one.flows * instances / slots});
    }
  }
  return estimate;
}

double target_picker::ExpectedLoad(const data_centre_load& load,
                                   double best_score) const {
  // Assumes that all instances of this data centre load the other one as this
  // one does. In large fleets one target says little, as it has few flows of
  // one instance; in small ones it tells at once.
  const double instances = fleet_.local_instances();
  const double average =
      (load.smoothed * instances + 1) / std::max(load.slots, 1.0);
  const double penalty = load.data_centre == data_centre_ ? 0 : kRemotePenalty;
  return std::max(average, best_score) + penalty;
}

target_index target_picker::ChooseDataCentre(std::span<const candidate> best,
                                             const service_load& load) const {
  target_index chosen = kNoTarget;
  double least = 0;
  for (std::size_t i = 0; i < best.size(); ++i) {
    if (best[i].target == kNoTarget) {
      continue;
    }
    const double expected = ExpectedLoad(load.data_centres[i], best[i].score);
    if (chosen == kNoTarget || expected < least) {
      chosen = best[i].target;
      least = expected;
    }
  }
  return chosen;
}

target_picker::grade target_picker::Grade(target_index index,
                                          std::span<const target_index> tried,
                                          time_point now) const {
  const known_target& target = *directory_.Find(index);
  if (target.shares_cookie || directory_.evacuated(target.record.data_centre) ||
      !ColdRateAllows(target, now)) {
    return grade::kExcluded;
  }
  if (target.record.state == target_state::kDraining) {
    return now - target.draining_since < kDrainingGrace ? grade::kDraining
                                                        : grade::kExcluded;
  }
  if (Unreachable(tracker_.StatusOf(index)) ||
      reachability_.DataCentreUnreachable(target.record.data_centre)) {
    return grade::kUnreachable;
  }
  if (tracker_.StatusOf(index).suspected) {
    return grade::kSuspected;
  }
  if (std::find(tried.begin(), tried.end(), index) != tried.end()) {
    return grade::kTried;
  }
  const bool avoid = target.listing == target_listing::kMissing &&
                     !target.lapse_excused &&
                     ListedTargetsSuffice(target.record.service, now);
  return avoid ? grade::kMissing : grade::kGood;
}

bool target_picker::ListedTargetsSuffice(const std::string& service,
                                         time_point now) const {
  if (sufficiency_.service == service && sufficiency_.at == now) {
    return sufficiency_.suffices;
  }
  double running = 0;
  double slots = 0;
  for (const target_index index : directory_.TargetsOf(service)) {
    const known_target& target = *directory_.Find(index);
    const target_status& status = tracker_.StatusOf(index);
    running += status.running + status.opening;
    const bool usable = target.listing == target_listing::kListed &&
                        target.record.state == target_state::kActive &&
                        !status.suspected &&
                        !directory_.evacuated(target.record.data_centre);
    if (usable) {
      slots +=
          target.record.slots / (now < target.cold_until ? kColdFactor : 1);
    }
  }
  // Assumes that all instances run as many requests as this one.
  const double load = running * static_cast<double>(fleet_.instances()) + 1;
  sufficiency_ = {service, now, load <= slots};
  return sufficiency_.suffices;
}

const char* target_picker::RuleOf(grade graded) {
  return kRules.at(static_cast<std::size_t>(graded));
}

const char* target_picker::RuleFor(target_index index, time_point now) const {
  return RuleOf(Grade(index, {}, now));
}

std::vector<rule_count> target_picker::CountByRule(const std::string& service,
                                                   time_point now) const {
  std::array<std::size_t, kRules.size()> counts{};
  for (const target_index index : directory_.TargetsOf(service)) {
    ++counts.at(static_cast<std::size_t>(Grade(index, {}, now)));
  }
  std::vector<rule_count> found;
  for (std::size_t i = 0; i < counts.size(); ++i) {
    if (counts.at(i) > 0) {
      found.push_back({kRules.at(i), counts.at(i),
                       static_cast<grade>(i) < grade::kUnreachable,
                       static_cast<grade>(i) == grade::kUnreachable});
    }
  }
  return found;
}

double target_picker::Score(target_index index, time_point now) {
  const known_target& target = *directory_.Find(index);
  const target_status& status = tracker_.StatusOf(index);
  // Assumes that all instances of this data centre load the target equally.
  const double instances = fleet_.local_instances();
  const double load = (status.running + status.opening) * instances + 1 +
                      status.open * kOpenFlowLoad * instances;
  double score = load / target.record.slots;
  if (now < target.cold_until) {
    score *= kColdFactor;
  }
  std::uniform_real_distribution<double> jitter(0, kJitter);
  return score + jitter(random_);
}

duration target_picker::ColdInterval(const std::string& service) const {
  const entry_service* declared = directory_.FindService(service);
  if (declared == nullptr || declared->cold_flows_per_s <= 0) {
    return duration::zero();
  }
  const double allowed =
      declared->cold_flows_per_s * bounds_.cold_factor + bounds_.cold_slack;
  const double mine = std::max(1.0, std::floor(allowed / kMaxColdOwners) - 1);
  constexpr double kMicrosPerSecond = 1e6;
  return duration(std::llround(kMicrosPerSecond / mine));
}

bool target_picker::ColdRateAllows(const known_target& target,
                                   time_point now) const {
  if (now >= target.cold_until ||
      ColdInterval(target.record.service) == duration::zero()) {
    return true;
  }
  const auto next = cold_next_.find(target.cookie);
  return fleet_.owns(target.cookie) &&
         (next == cold_next_.end() || now >= next->second);
}

void target_picker::RecordColdFlow(const known_target& target, time_point now) {
  std::erase_if(cold_next_,
                [now](const auto& entry) { return entry.second <= now; });
  if (now < target.cold_until) {
    cold_next_[target.cookie] = now + ColdInterval(target.record.service);
  }
}

}  // namespace rosemaryreach
