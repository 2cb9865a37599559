#include "rosemaryreach/slot_table.h"

#include <algorithm>

namespace rosemaryreach {

namespace {

constexpr duration kFirstBackoff = std::chrono::milliseconds(100);
constexpr duration kMaxBackoff = std::chrono::seconds(5);
// Share of a cold target's rate that is offered to peers, as their view of it
// lags.
constexpr double kOfferedRampShare = 0.3;
// Slow answers in a row, over all targets, that are the new usual.
constexpr std::uint32_t kSlowForNewUsual = 16;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr std::uint32_t kMaxBackoffDoublings = 6;
// Failures in a row after which a target is left alone for a while.
constexpr std::uint32_t kFailuresForBackoff = 2;

duration Backoff(std::uint32_t failures) {
  const std::uint32_t beyond = failures - kFailuresForBackoff;
  const std::uint32_t doublings = std::min(kMaxBackoffDoublings, beyond);
  return std::min(kMaxBackoff, kFirstBackoff * (1 << doublings));
}

}  // namespace

void slot_table::Configure(time_point now,
                           const std::vector<slot_target>& targets) {
  for (target_state& state : targets_) {
    state.declared_now = false;
  }
  for (const slot_target& target : targets) {
    target_state* known = Get(target.id);
    if (known == nullptr) {
      targets_.emplace_back(target);
      continue;
    }
    const bool returns = target.accepts_work && !known->declared.accepts_work;
    known->declared = target;
    known->declared_now = true;
    known->limit.Configure(target.capacity);
    if (returns) {
      known->limit.RestartRamp();
    }
  }
  std::erase_if(targets_, [now](const target_state& state) {
    return !state.declared_now && state.uses.empty() &&
           (state.inherited == 0 || state.inherited_until <= now);
  });
}

void slot_table::SetHeld(target_id target, bool held) {
  if (target_state* state = Get(target)) {
    state->held = held;
  }
}

void slot_table::Inherit(target_id target,
                         std::uint32_t running,
                         time_point until) {
  if (target_state* state = Get(target)) {
    state->inherited = running;
    state->inherited_until = until;
  }
}

void slot_table::ReleaseInherited(target_id target, std::uint32_t running) {
  if (target_state* state = Get(target)) {
    state->inherited = std::min(state->inherited, running);
  }
}

void slot_table::ResumeRamp(time_point now,
                            target_id target,
                            std::uint32_t percent) {
  if (target_state* state = Get(target)) {
    state->limit.ResumeRamp(now, percent);
  }
}

std::optional<target_id> slot_table::Pick(time_point now,
                                          request_class kind,
                                          target_id avoid) const {
  const target_state* best = nullptr;
  const auto before = [kind, avoid](const target_state& a,
                                    const target_state& b) {
    const bool avoid_a = a.declared.id == avoid;
    const bool avoid_b = b.declared.id == avoid;
    if (avoid_a != avoid_b) {
      return avoid_b;
    }
    const double busy_a = Busyness(a, kind);
    const double busy_b = Busyness(b, kind);
    return busy_a != busy_b ? busy_a < busy_b : a.starts < b.starts;
  };
  for (const target_state& state : targets_) {
    if (HasRoom(now, state, kind) &&
        (best == nullptr || before(state, *best))) {
      best = &state;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->declared.id);
}

void slot_table::Start(time_point now, const slot_use& use) {
  target_state* state = Get(use.target);
  if (state == nullptr) {
    return;
  }
  state->uses.push_back({use, false, false, use.ends_by + cancel_grace_});
  ++state->starts;
  state->limit.OnStart(now);
}

bool slot_table::End(time_point now, attempt_id attempt, attempt_outcome end) {
  target_state* state = WithAttempt(attempt);
  if (state == nullptr) {
    return false;
  }
  const auto found = std::find_if(
      state->uses.begin(), state->uses.end(),
      [attempt](const use_state& one) { return one.use.attempt == attempt; });
  if (!found->detached) {
    NoteEnd(now, *state, found->use, end);
  }
  const bool watch = found->use.kind == request_class::kWatch;
  if (end == attempt_outcome::kConnectionLost && !watch) {
    found->detached = true;
    return false;
  }
  if (end == attempt_outcome::kCancelConfirmed) {
    found->detached = true;
    found->free_at = std::min(found->free_at, now + cancel_grace_);
    return false;
  }
  state->uses.erase(found);
  return !watch;
}

void slot_table::Cancel(time_point now, attempt_id attempt) {
  target_state* state = WithAttempt(attempt);
  if (state == nullptr) {
    return;
  }
  for (use_state& one : state->uses) {
    if (one.use.attempt == attempt && !one.detached) {
      one.detached = true;
      const duration waited = now - one.use.started;
      if (!one.answered &&
          state->limit.IsOverdue(one.use.kind, waited, Work(one.use.kind))) {
        OnFailed(now, *state);
      }
    }
  }
}

void slot_table::OnHeaders(time_point now,
                           attempt_id attempt,
                           bool overloaded) {
  target_state* state = WithAttempt(attempt);
  if (state == nullptr) {
    return;
  }
  for (use_state& one : state->uses) {
    one.answered = one.answered || one.use.attempt == attempt;
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
    freed |= std::erase_if(state.uses, [now](const use_state& one) {
               return one.free_at <= now;
             }) > 0;
  }
  return freed;
}

void slot_table::OnReport(target_id target, bool healthy) {
  if (target_state* state = Get(target)) {
    state->reported_unhealthy = !healthy;
  }
}

std::uint32_t slot_table::Running(target_id target) const {
  const target_state* state = Get(target);
  return state == nullptr ? 0 : Taken(*state);
}

time_point slot_table::EndsBy(time_point now, target_id target) const {
  const target_state* state = Get(target);
  time_point latest = now;
  if (state == nullptr) {
    return latest;
  }
  if (state->inherited > 0) {
    latest = std::max(latest, state->inherited_until);
  }
  for (const use_state& one : state->uses) {
    const bool watch = one.use.kind == request_class::kWatch;
    latest = watch ? latest : std::max(latest, one.free_at);
  }
  return latest;
}

std::uint32_t slot_table::WarmPercent(time_point now, target_id target) const {
  const target_state* state = Get(target);
  return state == nullptr ? 0 : state->limit.WarmPercent(now);
}

peer_load slot_table::Load(time_point now) const {
  peer_load load;
  for (const target_state& state : targets_) {
    if (Usable(now, state)) {
      load.limit += LimitOf(now, state);
      load.running += Taken(state);
    }
  }
  return load;
}

double slot_table::OfferedRate(time_point now, duration work) const {
  const double seconds =
      std::max<double>(1, static_cast<double>(work.count())) /
      kMicrosecondsPerSecond;
  double total = 0;
  for (const target_state& state : targets_) {
    if (!Usable(now, state)) {
      continue;
    }
    const double warm = LimitOf(now, state) / seconds;
    const double ramp = state.limit.StartRate(now) * kOfferedRampShare;
    total += std::min(warm, ramp);
  }
  return total;
}

double slot_table::Throughput(time_point now, duration work) const {
  const double seconds =
      std::max<double>(1, static_cast<double>(work.count())) /
      kMicrosecondsPerSecond;
  double total = 0;
  for (const target_state& state : targets_) {
    if (Usable(now, state)) {
      total +=
          std::min(LimitOf(now, state) / seconds, state.limit.StartRate(now));
    }
  }
  return total;
}

std::uint32_t slot_table::BulkRunning() const {
  std::uint32_t bulk = 0;
  for (const target_state& state : targets_) {
    bulk += static_cast<std::uint32_t>(std::count_if(
        state.uses.begin(), state.uses.end(), [](const use_state& one) {
          return one.use.kind == request_class::kBulk;
        }));
  }
  return bulk;
}

const slot_target* slot_table::Find(target_id target) const {
  const target_state* state = Get(target);
  return state == nullptr ? nullptr : &state->declared;
}

slot_table::target_state* slot_table::Get(target_id target) {
  const auto found = std::find_if(targets_.begin(), targets_.end(),
                                  [target](const target_state& state) {
                                    return state.declared.id == target;
                                  });
  return found == targets_.end() ? nullptr : &*found;
}

const slot_table::target_state* slot_table::Get(target_id target) const {
  return const_cast<slot_table*>(this)->Get(target);
}

slot_table::target_state* slot_table::WithAttempt(attempt_id attempt) {
  for (target_state& state : targets_) {
    for (const use_state& one : state.uses) {
      if (one.use.attempt == attempt) {
        return &state;
      }
    }
  }
  return nullptr;
}

std::uint32_t slot_table::Taken(const target_state& state) {
  const std::uint32_t used = static_cast<std::uint32_t>(state.uses.size());
  return used - Watches(state) + state.inherited;
}

std::uint32_t slot_table::Watches(const target_state& state) {
  return static_cast<std::uint32_t>(std::count_if(
      state.uses.begin(), state.uses.end(), [](const use_state& one) {
        return one.use.kind == request_class::kWatch;
      }));
}

std::uint32_t slot_table::LimitOf(time_point now, const target_state& state) {
  const bool probing = state.reported_unhealthy || state.failures > 0;
  return probing ? 1 : state.limit.Limit(now);
}

bool slot_table::Usable(time_point now, const target_state& state) {
  return state.held && state.declared_now && state.declared.accepts_work &&
         state.retry_at <= now;
}

bool slot_table::HasRoom(time_point now,
                         const target_state& state,
                         request_class kind) {
  if (!Usable(now, state) || !state.limit.WithinStartRate(now)) {
    return false;
  }
  return kind == request_class::kWatch || Taken(state) < LimitOf(now, state);
}

double slot_table::Busyness(const target_state& state, request_class kind) {
  const double slots = std::max(1U, state.declared.capacity.slots);
  const std::uint32_t used =
      kind == request_class::kWatch ? Watches(state) : Taken(state);
  return used / slots;
}

void slot_table::OnAnswered(time_point now,
                            target_state& state,
                            const slot_use& use) {
  state.failures = 0;
  state.reported_unhealthy = false;
  const duration latency = now - use.started;
  latency_estimate& work = work_[static_cast<std::size_t>(use.kind)];
  state.limit.OnResponse(now, use.kind, latency, work);
  std::uint32_t& slow = slow_in_a_row_[static_cast<std::size_t>(use.kind)];
  slow = work.IsOutlier(latency) ? slow + 1 : 0;
  if (slow == 0) {
    work.Add(latency);
  } else if (slow >= kSlowForNewUsual) {
    work = latency_estimate();
    slow = 0;
  }
}

void slot_table::OnFailed(time_point now, target_state& state) {
  state.limit.RestartRamp();
  ++state.failures;
  if (state.failures >= kFailuresForBackoff) {
    state.retry_at = now + Backoff(state.failures);
  }
}

void slot_table::NoteEnd(time_point now,
                         target_state& state,
                         const slot_use& use,
                         attempt_outcome end) {
  switch (end) {
    case attempt_outcome::kDone:
      OnAnswered(now, state, use);
      return;
    case attempt_outcome::kTargetNotReached:
    case attempt_outcome::kConnectionLost:
    case attempt_outcome::kReset:
      OnFailed(now, state);
      return;
    case attempt_outcome::kRefused:
      state.limit.RestartRamp();
      return;
    case attempt_outcome::kCancelConfirmed:
      return;
  }
}

}  // namespace rosemaryreach
