#include "rosemaryreach/flow_admission.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace rosemaryreach {
namespace {

// Held no longer than this, whatever the objective: the attempt of a caller
// ends after 1.4 s, and the answer needs time, too.
constexpr duration kMaxHold = std::chrono::milliseconds(1'000);
// The least part of the objective that a first packet may wait. Estimates of
// the response time that leave nothing would refuse everybody.
constexpr double kMinHoldShare = 0.25;
// Part of the admissions for less urgent packets while more urgent ones wait.
constexpr double kLowerShare = 0.1;
// More urgent flows may exceed the limit by this part of it, times the part of
// the admissions that less urgent ones take.
constexpr double kUrgentReserve = 0.6;
// Packets of each priority that estimates do not refuse, so that none is shut
// out by them.
constexpr std::size_t kMinHeld = 2;
// Part of the admissions for callers that were refused before, while others
// wait, and how many may exceed it.
constexpr double kReturningShare = 0.2;
constexpr double kReturningBurst = 2;
// Remaining part of the recent admissions after each kLimitPeriod.
constexpr double kAdmittedDecay = 0.9;
// Recently held packets, decaying likewise, from which on priorities count.
constexpr double kMinContention = 0.5;
// Callers come back 20 to 100 ms after a refusal; the rest is for delays.
constexpr duration kReturnTime = std::chrono::milliseconds(200);
constexpr std::size_t kMaxPlaces = 2'048;
// Callers send copies after 200 and 600 ms and try again after 1.4 s. One that
// is this late went to another instance, which may have opened the flow.
constexpr std::array<duration, kLastCopy + 1> kNextCopy = {
    std::chrono::milliseconds(200), std::chrono::milliseconds(400),
    std::chrono::milliseconds(800)};
constexpr duration kCopySlack = std::chrono::milliseconds(50);
// While the fleet uses less than this part of a service's capacity, an instance
// may exceed its limit by this factor: few requests for each instance arrive
// unevenly, and must not be held for that.
constexpr double kSpareShare = 0.6;
constexpr double kSpareFactor = 2;
constexpr duration kMaxLoadAge = std::chrono::milliseconds(500);
// Cold targets are slower by about this factor.
constexpr double kColdFactor = 2;

bool CopyOverdue(const held_packet& held, time_point now) {
  const std::uint32_t copy = std::min(held.packet.retransmit_count, kLastCopy);
  return now - held.copied > kNextCopy.at(copy) + kCopySlack;
}

// A held packet costs its bytes and about this much to administer.
std::size_t BytesOf(const flow_packet& packet) {
  constexpr std::size_t kHeldOverhead = 128;
  return kHeldOverhead + packet.data_bytes;
}

std::uint32_t PriorityOf(const entry_route& route) {
  return std::min(route.priority.value_or(kLeastUrgent), kLeastUrgent);
}

}  // namespace

bool MayReset(const held_packet& held, time_point now) {
  return held.from_first && !CopyOverdue(held, now);
}

flow_admission::flow_admission(const target_directory& directory,
                               const flow_tracker& tracker,
                               std::uint32_t data_centre,
                               admission_hooks hooks,
                               std::uint64_t seed)
    : directory_(directory),
      tracker_(tracker),
      data_centre_(data_centre),
      hooks_(std::move(hooks)),
      seed_(seed),
      places_(kMaxPlaces) {}

flow_admission::service_state& flow_admission::StateOf(
    const std::string& service) {
  std::unique_ptr<service_state>& state = services_[service];
  if (state == nullptr) {
    state = std::make_unique<service_state>(seed_);
    state->name = service;
  }
  return *state;
}

const flow_admission::service_state* flow_admission::FindState(
    const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : found->second.get();
}

bool flow_admission::HasRoom(const service_state& state,
                             std::uint32_t priority) const {
  constexpr double kRounding = 0.5;
  const std::optional<double> limit = state.limit.limit();
  if (!limit || !Limited(state)) {
    return true;
  }
  double admitted = 0;
  double more_urgent = 0;
  double less_urgent = 0;
  for (std::uint32_t i = 0; i <= kLeastUrgent; ++i) {
    admitted += state.admitted.at(i);
    more_urgent += i < priority ? state.admitted.at(i) : 0;
    less_urgent += i > priority ? state.admitted.at(i) : 0;
  }
  // Room that less urgent flows would take is there for more urgent ones.
  const bool contended = state.contention >= kMinContention;
  const double part = admitted == 0 || !contended
                          ? 1
                          : 1 + (kUrgentReserve * less_urgent -
                                 (1 - kLowerShare) * more_urgent) /
                                    admitted;
  return static_cast<double>(state.in_flight) + kRounding <=
         std::max(1.0, *limit * state.spare_factor * part);
}

admission_decision flow_admission::Report(std::uint32_t priority,
                                          admission_verdict verdict,
                                          const char* rule,
                                          duration waited) const {
  const admission_decision decision{verdict, rule};
  if (hooks_.decided) {
    hooks_.decided(priority, decision, waited);
  }
  return decision;
}

admission_decision flow_admission::Offer(const flow_packet& packet,
                                         const entry_route& route,
                                         const std::string& service,
                                         time_point now) {
  if (directory_.config().version != config_version_) {
    Recompute(now);
  }
  service_state& state = StateOf(service);
  const std::uint32_t priority = PriorityOf(route);
  // Also while admission is disabled: what is held is about to be released.
  if (JoinHeld(packet, now)) {
    return {admission_verdict::kHold, "held_copy"};
  }
  if (!Limited(state)) {
    return {admission_verdict::kAdmit, ""};
  }
  held_packet held = MakeHeld(packet, route, state, now);
  if (state.queue.size() == 0 && HasRoom(state, priority)) {
    CountAdmitted(state, priority, false);
    return {admission_verdict::kAdmit, ""};
  }
  const auto refuse = [&](const char* rule) {
    if (!MayReset(held, now)) {
      return Report(priority, admission_verdict::kDrop, rule, {});
    }
    KeepPlace(held, now);
    return Report(priority, admission_verdict::kRefuse, rule, {});
  };
  if (held.deadline < now) {
    return refuse("no_time_left");
  }
  const double admitted =
      std::accumulate(state.admitted.begin(), state.admitted.end(), 0.0);
  if (held.returning &&
      state.returning > kReturningShare * admitted + kReturningBurst) {
    return refuse("retry_budget");
  }
  const std::size_t before = decided_.size();
  state.queue.Add(held);
  while (state.queue.over_full() || Queued() > kMaxHeldPackets) {
    Decide(*state.queue.TakeLast(state.queue.last_priority()), "queue_full",
           now);
  }
  state.contention += 1;
  RefuseHopeless(state, now);
  for (std::size_t i = before; i < decided_.size(); ++i) {
    if (decided_[i].held.packet.flow == packet.flow) {
      const admission_decision decision = decided_[i].decision;
      decided_.erase(decided_.begin() + static_cast<std::ptrdiff_t>(i));
      return decision;
    }
  }
  return Report(priority, admission_verdict::kHold, "held", {});
}

bool flow_admission::JoinHeld(const flow_packet& packet, time_point now) {
  // A new configuration may have given the flow's address another service.
  return packet.retransmit_count > 0 &&
         std::any_of(services_.begin(), services_.end(),
                     [&packet, now](const auto& entry) {
                       return entry.second->queue.Join(packet, BytesOf(packet),
                                                       now);
                     });
}

held_packet flow_admission::MakeHeld(const flow_packet& packet,
                                     const entry_route& route,
                                     const service_state& state,
                                     time_point now) {
  held_packet held;
  held.packet = packet;
  held.bytes = BytesOf(packet);
  held.from_first = packet.retransmit_count == 0;
  held.priority = PriorityOf(route);
  held.arrived = now;
  held.copied = now;
  held.first_arrival = now;
  std::uint64_t caller = 0;
  kept_place& place = PlaceOf(packet.flow, caller);
  if (place.caller == caller && now - place.refused <= kReturnTime) {
    held.first_arrival = place.first_arrival;
    held.returning = true;
    place = {};
  }
  const duration objective = route.latency_target > duration::zero()
                                 ? route.latency_target
                                 : state.objective;
  const duration most = std::min(
      kMaxHold,
      std::max(objective - state.limit.ExpectedResponse(),
               duration(static_cast<duration::rep>(
                   kMinHoldShare * static_cast<double>(objective.count())))));
  held.deadline = held.first_arrival + most;
  return held;
}

bool flow_admission::Hopeless(const service_state& state,
                              std::uint32_t priority,
                              std::size_t ahead,
                              time_point now) const {
  constexpr double kMicrosPerSecond = 1e6;
  double rate = state.limit.DrainRate();
  if (rate == 0) {
    // Without answers so far, as if they took half of the objective.
    rate = state.limit.limit().value_or(1) * 2 * kMicrosPerSecond /
           static_cast<double>(state.objective.count());
  }
  double admitted = 0;
  double urgent = 0;
  for (std::uint32_t i = 0; i <= kLeastUrgent; ++i) {
    admitted += state.admitted.at(i);
    urgent += i < priority ? state.admitted.at(i) : 0;
  }
  const double left =
      admitted == 0 ? 1 : std::max(kLowerShare, 1 - urgent / admitted);
  const double wait = static_cast<double>(ahead) / (rate * left);
  const duration time_left = state.queue.Last(priority)->deadline - now;
  return wait * kMicrosPerSecond > static_cast<double>(time_left.count());
}

void flow_admission::RefuseHopeless(service_state& state, time_point now) {
  std::size_t ahead = state.queue.size();
  for (std::uint32_t priority = kLeastUrgent + 1; priority-- > 0;) {
    while (state.queue.size(priority) > kMinHeld &&
           Hopeless(state, priority, ahead, now)) {
      Decide(*state.queue.TakeLast(priority), "over_capacity", now);
      --ahead;
    }
    ahead -= state.queue.size(priority);
  }
}

void flow_admission::Decide(const held_packet& held,
                            const char* rule,
                            time_point now) {
  const bool refuse = MayReset(held, now);
  if (refuse) {
    KeepPlace(held, now);
  }
  decided_.push_back({held, Report(held.priority,
                                   refuse ? admission_verdict::kRefuse
                                          : admission_verdict::kDrop,
                                   rule, now - held.arrived)});
}

std::optional<released_packet> flow_admission::Release(bool may_open,
                                                       time_point now) {
  if (decided_.empty()) {
    for (const auto& [name, state] : services_) {
      if (state->queue.size() == 0) {
        continue;
      }
      for (const held_packet& expired : state->queue.TakeExpired(now)) {
        Decide(expired, "not_in_time", now);
      }
      if (decided_.empty() && may_open && state->queue.size() > 0 &&
          HasRoom(*state, state->queue.first_priority())) {
        const held_packet next = *TakeNext(*state);
        if (CopyOverdue(next, now)) {
          Decide(next, "copy_overdue", now);
        } else {
          CountAdmitted(*state, next.priority, next.returning);
          decided_.push_back(
              {next, Report(next.priority, admission_verdict::kAdmit,
                            "admitted_after_wait", now - next.arrived)});
        }
      }
      if (!decided_.empty()) {
        break;
      }
    }
  }
  if (decided_.empty()) {
    return std::nullopt;
  }
  released_packet first = decided_.front();
  decided_.pop_front();
  return first;
}

std::optional<held_packet> flow_admission::TakeNext(service_state& state) {
  std::optional<std::uint32_t> first;
  std::optional<std::uint32_t> lower;
  for (std::uint32_t i = 0; i <= kLeastUrgent; ++i) {
    if (state.queue.size(i) == 0) {
      continue;
    }
    if (!first) {
      first = i;
    } else if (!lower || state.admitted.at(i) < state.admitted.at(*lower)) {
      lower = i;
    }
  }
  if (lower) {
    state.lower_credit += kLowerShare;
    if (state.lower_credit >= 1) {
      state.lower_credit -= 1;
      return state.queue.TakeFirst(*lower);
    }
  }
  return first ? state.queue.TakeFirst(*first) : std::nullopt;
}

void flow_admission::CountAdmitted(service_state& state,
                                   std::uint32_t priority,
                                   bool returning) {
  state.admitted.at(priority) += 1;
  state.returning += returning ? 1 : 0;
}

std::vector<held_packet> flow_admission::TakeAll() {
  std::vector<held_packet> all;
  for (const auto& [name, state] : services_) {
    for (std::uint32_t i = 0; i <= kLeastUrgent; ++i) {
      while (const std::optional<held_packet> held =
                 state->queue.TakeFirst(i)) {
        all.push_back(*held);
      }
    }
  }
  for (const released_packet& released : decided_) {
    all.push_back(released.held);
  }
  decided_.clear();
  return all;
}

void flow_admission::OnInFlight(target_index target, int change) {
  if (target >= state_of_target_.size()) {
    state_of_target_.resize(target + 1, nullptr);
  }
  service_state*& state = state_of_target_[target];
  const known_target* known = directory_.Find(target);
  // A removed target's flows end after it is gone from the directory.
  if (known != nullptr &&
      (state == nullptr || state->name != known->record.service)) {
    state = &StateOf(known->record.service);
  }
  if (state != nullptr) {
    state->in_flight = std::max<std::int64_t>(0, state->in_flight + change);
    state->peak = std::max(state->peak, state->in_flight);
  }
}

void flow_admission::OnAnswered(target_index target, duration elapsed) {
  if (target < state_of_target_.size() && state_of_target_[target] != nullptr) {
    state_of_target_[target]->limit.OnAnswer(elapsed);
  }
}

double flow_admission::ShareOf(const service_state& state,
                               const std::optional<shared_service_load>& load,
                               double instances) const {
  constexpr double kMicrosPerSecond = 1e6;
  const duration work = state.limit.work_time();
  if (load && work > duration::zero()) {
    const double capacity =
        state.slots / static_cast<double>(work.count()) * kMicrosPerSecond;
    const std::optional<double> share =
        ShareOfCapacity(*load, data_centre_, capacity);
    if (share) {
      return *share;
    }
  }
  return 1 / instances;
}

void flow_admission::Recompute(time_point now) {
  config_version_ = directory_.config().version;
  for (const auto& [name, state] : services_) {
    state->objective = {};
  }
  for (const entry_route& route : directory_.config().routes) {
    for (const weighted_service& one : route.services) {
      duration& objective = StateOf(one.service).objective;
      if (route.latency_target > duration::zero() &&
          (objective == duration::zero() || route.latency_target < objective)) {
        objective = route.latency_target;
      }
    }
  }
  const double instances = instances_.Update(hooks_.instances());
  for (const auto& [name, state] : services_) {
    if (state->objective > duration::zero()) {
      ComputeLimit(*state, instances, now);
    }
  }
}

void flow_admission::ComputeLimit(service_state& state,
                                  double instances,
                                  time_point now) {
  double slots = 0;
  std::int64_t in_flight = 0;
  for (const target_index index : directory_.TargetsOf(state.name)) {
    const known_target& target = *directory_.Find(index);
    const target_status& status = tracker_.StatusOf(index);
    const bool usable = target.listing == target_listing::kListed &&
                        target.record.state == target_state::kActive &&
                        !status.suspected && !target.cookie_conflict &&
                        !directory_.evacuated(target.record.data_centre);
    // What waits at a target that does not answer uses no capacity.
    in_flight += status.suspected ? 0 : status.opening + status.running;
    if (usable) {
      const double speed = hooks_.speed ? hooks_.speed(index) : 1;
      slots += target.record.slots * speed /
               (now < target.cold_until ? kColdFactor : 1);
    }
  }
  state.slots = slots;
  state.has_targets = slots > 0;
  state.in_flight = in_flight;
  const std::optional<shared_service_load> load =
      hooks_.service_load ? hooks_.service_load(state.name) : std::nullopt;
  state.spare_factor = 1;
  if (state.has_targets) {
    const double share = ShareOf(state, load, instances);
    state.limit.Recompute({slots, share, state.objective},
                          static_cast<double>(state.peak), now);
    const bool spare =
        load && load->age < kMaxLoadAge &&
        load->in_flight + static_cast<double>(in_flight) <
            kSpareShare * state.limit.limit().value_or(0) / share;
    state.spare_factor = spare ? kSpareFactor : 1;
  }
  state.peak = in_flight;
  for (double& admitted : state.admitted) {
    admitted *= kAdmittedDecay;
  }
  state.returning *= kAdmittedDecay;
  state.contention *= kAdmittedDecay;
}

flow_admission::kept_place& flow_admission::PlaceOf(const flow_key& flow,
                                                    std::uint64_t& caller) {
  flow_key without_port = flow;
  without_port.caller.port = 0;
  caller = HashPair(seed_, HashFlow(without_port));
  return places_[caller % places_.size()];
}

void flow_admission::KeepPlace(const held_packet& held, time_point now) {
  std::uint64_t caller = 0;
  PlaceOf(held.packet.flow, caller) = {caller, held.first_arrival, now};
}

admission_decision flow_admission::Explain(const flow_key& flow,
                                           const entry_route& route,
                                           const std::string& service) const {
  const service_state* state = FindState(service);
  if (state == nullptr || !Limited(*state)) {
    return {admission_verdict::kAdmit, ""};
  }
  if (state->queue.Find(flow) != nullptr) {
    return {admission_verdict::kHold, "held"};
  }
  return state->queue.size() == 0 && HasRoom(*state, PriorityOf(route))
             ? admission_decision{admission_verdict::kAdmit, ""}
             : admission_decision{admission_verdict::kHold, "over_capacity"};
}

std::vector<admission_summary> flow_admission::Summaries() const {
  std::vector<admission_summary> all;
  for (const auto& [name, state] : services_) {
    admission_summary summary;
    summary.service = name;
    summary.limited = Limited(*state);
    summary.limit = state->limit.limit().value_or(0);
    summary.room = state->limit.room();
    summary.in_flight = state->in_flight;
    summary.held = state->queue.size();
    summary.work_time = state->limit.work_time();
    summary.expected_response = state->limit.ExpectedResponse();
    all.push_back(summary);
  }
  return all;
}

std::size_t flow_admission::Queued() const {
  std::size_t count = 0;
  for (const auto& [name, state] : services_) {
    count += state->queue.size();
  }
  return count;
}

}  // namespace rosemaryreach
