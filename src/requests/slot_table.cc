#include "rosemaryreach/slot_table.h"

#include <algorithm>

namespace rosemaryreach {

namespace {

constexpr duration kInitialBackoff = std::chrono::milliseconds(100);
constexpr duration kMaxBackoff = std::chrono::seconds(5);
// Share of a cold target's start rate that is advertised to peers, as their
// view of it lags.
constexpr double kAdvertisedRampShare = 0.3;
// Consecutive slow responses, over all targets, after which the latency
// baseline is measured anew.
constexpr std::uint32_t kSlowForNewBaseline = 16;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr std::uint32_t kMaxBackoffDoublings = 6;
// Consecutive failures after which a target is backed off.
constexpr std::uint32_t kFailuresForBackoff = 2;

duration Backoff(std::uint32_t failures) {
  const std::uint32_t beyond = failures - kFailuresForBackoff;
  const std::uint32_t doublings = std::min(kMaxBackoffDoublings, beyond);
  return std::min(kMaxBackoff, kInitialBackoff * (1 << doublings));
}

}  // namespace

void slot_table::Configure(time_point now,
                           const std::vector<slot_target>& targets) {
  for (target_state& state : targets_) {
    state.still_declared = false;
  }
  for (const slot_target& target : targets) {
    target_state* state = FindState(target.id);
    if (state == nullptr) {
      targets_.emplace_back(target);
      continue;
    }
    const bool reactivated =
        target.accepts_work && !state->declared.accepts_work;
    state->declared = target;
    state->still_declared = true;
    state->limit.Configure(target.capacity);
    if (reactivated) {
      state->limit.RestartRamp();
    }
  }
  std::erase_if(targets_, [now](const target_state& state) {
    return !state.still_declared && state.attempts.empty() &&
           (state.inherited == 0 || state.inherited_until <= now);
  });
}

void slot_table::SetHeld(target_id target, bool held) {
  if (target_state* state = FindState(target)) {
    state->held = held;
  }
}

void slot_table::Inherit(target_id target,
                         std::uint32_t running,
                         time_point until) {
  if (target_state* state = FindState(target)) {
    state->inherited = running;
    state->inherited_until = until;
  }
}

void slot_table::ReleaseInherited(target_id target, std::uint32_t running) {
  if (target_state* state = FindState(target)) {
    state->inherited = std::min(state->inherited, running);
  }
}

void slot_table::ResumeRamp(time_point now,
                            target_id target,
                            std::uint32_t percent) {
  if (target_state* state = FindState(target)) {
    state->limit.ResumeRamp(now, percent);
  }
}

std::optional<target_id> slot_table::Pick(time_point now,
                                          request_class kind,
                                          target_id avoid) const {
  const target_state* best = nullptr;
  const auto is_better = [kind, avoid](const target_state& a,
                                       const target_state& b) {
    const bool avoid_a = a.declared.id == avoid;
    const bool avoid_b = b.declared.id == avoid;
    if (avoid_a != avoid_b) {
      return avoid_b;
    }
    const double utilization_a = Utilization(a, kind);
    const double utilization_b = Utilization(b, kind);
    return utilization_a != utilization_b ? utilization_a < utilization_b
                                          : a.starts < b.starts;
  };
  for (const target_state& state : targets_) {
    if (CanAccept(now, state, kind) &&
        (best == nullptr || is_better(state, *best))) {
      best = &state;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->declared.id);
}

void slot_table::Start(time_point now, const slot_attempt& attempt) {
  target_state* state = FindState(attempt.target);
  if (state == nullptr) {
    return;
  }
  state->attempts.push_back(
      {attempt, false, false, attempt.deadline + cancel_grace_});
  ++state->starts;
  state->limit.OnStart(now);
}

bool slot_table::End(time_point now, attempt_id id, attempt_outcome end) {
  target_state* state = FindStateByAttempt(id);
  if (state == nullptr) {
    return false;
  }
  const auto found = std::find_if(
      state->attempts.begin(), state->attempts.end(),
      [id](const attempt_entry& entry) { return entry.attempt.id == id; });
  if (!found->detached) {
    RecordEnd(now, *state, found->attempt, end);
  }
  const bool watch = found->attempt.kind == request_class::kWatch;
  if (end == attempt_outcome::kConnectionLost && !watch) {
    found->detached = true;
    return false;
  }
  if (end == attempt_outcome::kCancelConfirmed) {
    found->detached = true;
    found->free_at = std::min(found->free_at, now + cancel_grace_);
    return false;
  }
  state->attempts.erase(found);
  return !watch;
}

void slot_table::Cancel(time_point now, attempt_id id) {
  target_state* state = FindStateByAttempt(id);
  if (state == nullptr) {
    return;
  }
  for (attempt_entry& entry : state->attempts) {
    if (entry.attempt.id == id && !entry.detached) {
      entry.detached = true;
      const duration waited = now - entry.attempt.started;
      if (!entry.headers_received &&
          state->limit.IsOverdue(entry.attempt.kind, waited,
                                 ServiceLatency(entry.attempt.kind))) {
        OnFailure(now, *state);
      }
    }
  }
}

void slot_table::OnHeaders(time_point now, attempt_id id, bool overloaded) {
  target_state* state = FindStateByAttempt(id);
  if (state == nullptr) {
    return;
  }
  for (attempt_entry& entry : state->attempts) {
    entry.headers_received = entry.headers_received || entry.attempt.id == id;
  }
  if (overloaded) {
    state->limit.RestartRamp();
  } else {
    state->limit.OnResponseStarted(now);
  }
}

bool slot_table::Expire(time_point now) {
  bool freed = false;
  for (target_state& state : targets_) {
    if (state.inherited > 0 && state.inherited_until <= now) {
      state.inherited = 0;
      freed = true;
    }
    freed |= std::erase_if(state.attempts, [now](const attempt_entry& entry) {
               return entry.free_at <= now;
             }) > 0;
  }
  return freed;
}

void slot_table::OnHealthReport(target_id target, bool healthy) {
  if (target_state* state = FindState(target)) {
    state->reported_unhealthy = !healthy;
  }
}

std::uint32_t slot_table::Running(target_id target) const {
  const target_state* state = FindState(target);
  return state == nullptr ? 0 : UsedSlots(*state);
}

time_point slot_table::LatestEnd(time_point now, target_id target) const {
  const target_state* state = FindState(target);
  time_point latest = now;
  if (state == nullptr) {
    return latest;
  }
  if (state->inherited > 0) {
    latest = std::max(latest, state->inherited_until);
  }
  for (const attempt_entry& entry : state->attempts) {
    const bool watch = entry.attempt.kind == request_class::kWatch;
    latest = watch ? latest : std::max(latest, entry.free_at);
  }
  return latest;
}

std::uint32_t slot_table::WarmPercent(time_point now, target_id target) const {
  const target_state* state = FindState(target);
  return state == nullptr ? 0 : state->limit.WarmPercent(now);
}

peer_load slot_table::Load(time_point now) const {
  peer_load load;
  for (const target_state& state : targets_) {
    if (IsUsable(now, state)) {
      load.limit += LimitOf(now, state);
      load.running += UsedSlots(state);
    }
  }
  return load;
}

double slot_table::AdvertisedRate(time_point now, duration latency) const {
  const double seconds =
      std::max<double>(1, static_cast<double>(latency.count())) /
      kMicrosecondsPerSecond;
  double total = 0;
  for (const target_state& state : targets_) {
    if (!IsUsable(now, state)) {
      continue;
    }
    const double warm = LimitOf(now, state) / seconds;
    const double ramp = state.limit.StartRate(now) * kAdvertisedRampShare;
    total += std::min(warm, ramp);
  }
  return total;
}

double slot_table::Throughput(time_point now, duration latency) const {
  const double seconds =
      std::max<double>(1, static_cast<double>(latency.count())) /
      kMicrosecondsPerSecond;
  double total = 0;
  for (const target_state& state : targets_) {
    if (IsUsable(now, state)) {
      total +=
          std::min(LimitOf(now, state) / seconds, state.limit.StartRate(now));
    }
  }
  return total;
}

std::uint32_t slot_table::BulkRunning() const {
  std::uint32_t bulk = 0;
  for (const target_state& state : targets_) {
    bulk += static_cast<std::uint32_t>(
        std::count_if(state.attempts.begin(), state.attempts.end(),
                      [](const attempt_entry& entry) {
                        return entry.attempt.kind == request_class::kBulk;
                      }));
  }
  return bulk;
}

const slot_target* slot_table::Find(target_id target) const {
  const target_state* state = FindState(target);
  return state == nullptr ? nullptr : &state->declared;
}

slot_table::target_state* slot_table::FindState(target_id target) {
  const auto found = std::find_if(targets_.begin(), targets_.end(),
                                  [target](const target_state& state) {
                                    return state.declared.id == target;
                                  });
  return found == targets_.end() ? nullptr : &*found;
}

const slot_table::target_state* slot_table::FindState(target_id target) const {
  return const_cast<slot_table*>(this)->FindState(target);
}

slot_table::target_state* slot_table::FindStateByAttempt(attempt_id id) {
  for (target_state& state : targets_) {
    for (const attempt_entry& entry : state.attempts) {
      if (entry.attempt.id == id) {
        return &state;
      }
    }
  }
  return nullptr;
}

std::uint32_t slot_table::UsedSlots(const target_state& state) {
  const std::uint32_t used = static_cast<std::uint32_t>(state.attempts.size());
  return used - CountWatches(state) + state.inherited;
}

std::uint32_t slot_table::CountWatches(const target_state& state) {
  return static_cast<std::uint32_t>(
      std::count_if(state.attempts.begin(), state.attempts.end(),
                    [](const attempt_entry& entry) {
                      return entry.attempt.kind == request_class::kWatch;
                    }));
}

std::uint32_t slot_table::LimitOf(time_point now, const target_state& state) {
  const bool probing =
      state.reported_unhealthy || state.consecutive_failures > 0;
  return probing ? 1 : state.limit.Limit(now);
}

bool slot_table::IsUsable(time_point now, const target_state& state) {
  return state.held && state.still_declared && state.declared.accepts_work &&
         state.backoff_until <= now;
}

bool slot_table::CanAccept(time_point now,
                           const target_state& state,
                           request_class kind) {
  if (!IsUsable(now, state) || !state.limit.WithinStartRate(now)) {
    return false;
  }
  return kind == request_class::kWatch ||
         UsedSlots(state) < LimitOf(now, state);
}

double slot_table::Utilization(const target_state& state, request_class kind) {
  const double slots = std::max(1U, state.declared.capacity.slots);
  const std::uint32_t used =
      kind == request_class::kWatch ? CountWatches(state) : UsedSlots(state);
  return used / slots;
}

void slot_table::OnResponse(time_point now,
                            target_state& state,
                            const slot_attempt& attempt) {
  state.consecutive_failures = 0;
  state.reported_unhealthy = false;
  const duration latency = now - attempt.started;
  latency_estimate& service_latency =
      service_latency_[static_cast<std::size_t>(attempt.kind)];
  state.limit.OnResponse(now, attempt.kind, latency, service_latency);
  std::uint32_t& slow =
      consecutive_slow_[static_cast<std::size_t>(attempt.kind)];
  slow = service_latency.IsOutlier(latency) ? slow + 1 : 0;
  if (slow == 0) {
    service_latency.Add(latency);
  } else if (slow >= kSlowForNewBaseline) {
    service_latency = latency_estimate();
    slow = 0;
  }
}

void slot_table::OnFailure(time_point now, target_state& state) {
  state.limit.RestartRamp();
  ++state.consecutive_failures;
  if (state.consecutive_failures >= kFailuresForBackoff) {
    state.backoff_until = now + Backoff(state.consecutive_failures);
  }
}

void slot_table::RecordEnd(time_point now,
                           target_state& state,
                           const slot_attempt& attempt,
                           attempt_outcome end) {
  switch (end) {
    case attempt_outcome::kDone:
      OnResponse(now, state, attempt);
      return;
    case attempt_outcome::kTargetNotReached:
    case attempt_outcome::kConnectionLost:
    case attempt_outcome::kReset:
      OnFailure(now, state);
      return;
    case attempt_outcome::kRefused:
      state.limit.RestartRamp();
      return;
    case attempt_outcome::kCancelConfirmed:
      return;
  }
}

}  // namespace rosemaryreach
