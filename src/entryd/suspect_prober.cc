#include "entryd/suspect_prober.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace rosemaryreach {
namespace {

// Each uses a file descriptor while it runs.
constexpr std::size_t kMaxConcurrentProbes = 32;
// Ten round trips between the data centres of a region.
constexpr duration kProbeDeadline = std::chrono::milliseconds(120);
constexpr duration kInitialBackoff = std::chrono::milliseconds(40);
constexpr duration kMaxBackoff = std::chrono::seconds(1);

probe_outcome OutcomeOf(connect_outcome connected) {
  switch (connected) {
    case connect_outcome::kNoAnswer:
      return probe_outcome::kNoAnswer;
    case connect_outcome::kRefused:
      return probe_outcome::kRefused;
    case connect_outcome::kConnected:
      return probe_outcome::kReached;
  }
  return probe_outcome::kNoAnswer;
}

// Returns the delay before the next probe. It doubles up to one second, which
// bounds the cost of a target that stays unreachable.
duration BackoffAfter(std::uint32_t failures) {
  const std::uint32_t shift = std::min<std::uint32_t>(failures, 6) - 1;
  return std::min(kMaxBackoff, kInitialBackoff * (1U << shift));
}

}  // namespace

suspect_prober::suspect_prober(event_loop& loop,
                               const target_directory& directory,
                               flow_tracker& tracker,
                               std::function<bool()> process_late,
                               std::function<void(target_index)> on_unreachable,
                               std::function<void(target_index)> on_reached,
                               entry_log& log,
                               entry_metrics& metrics)
    : directory_(directory),
      tracker_(tracker),
      process_late_(std::move(process_late)),
      on_unreachable_(std::move(on_unreachable)),
      on_reached_(std::move(on_reached)),
      log_(log),
      metrics_(metrics),
      prober_(loop, kMaxConcurrentProbes) {}

void suspect_prober::OnSuspected(target_index target, const char* reason) {
  const known_target* known = directory_.Find(target);
  if (known == nullptr || suspects_.contains(target)) {
    return;
  }
  const time_point now = BootTimeNow();
  suspect& added = suspects_[target];
  added.cookie = known->cookie;
  added.since = now;
  added.next_probe = now;
  added.hold_down_until = now + flap_damper_.OnSuspected(known->cookie, now);
  Log(target, "target_doubted", reason, duration(0));
  Probe(target, added);
}

void suspect_prober::Tick() {
  const time_point now = BootTimeNow();
  std::erase_if(suspects_, [this](const auto& one) {
    return !one.second.probing && IsResolved(one.first, one.second);
  });
  std::vector<std::pair<time_point, target_index>> due;
  for (const auto& [index, suspect] : suspects_) {
    if (!suspect.probing && !IsProbingSuspended(index) &&
        now >= suspect.next_probe) {
      due.emplace_back(suspect.next_probe, index);
    }
  }
  // Those that have waited longest come first, as probes are limited.
  std::sort(due.begin(), due.end());
  for (const auto& [since, index] : due) {
    Probe(index, suspects_[index]);
  }
}

bool suspect_prober::TakeProbe(time_point now) {
  const std::chrono::duration<double> elapsed =
      now - std::exchange(probes_refilled_, now);
  probes_left_ =
      std::min(kProbeBurst, probes_left_ + elapsed.count() * kProbesPerSecond);
  if (probes_left_ < 1) {
    metrics_.deferred_probes.Add();
    return false;
  }
  probes_left_ -= 1;
  return true;
}

bool suspect_prober::IsResolved(target_index index,
                                const suspect& suspect) const {
  const known_target* known = directory_.Find(index);
  return known == nullptr || known->cookie != suspect.cookie ||
         !tracker_.StatusOf(index).suspected;
}

bool suspect_prober::IsProbingSuspended(target_index index) const {
  return directory_.Find(index)->listing == target_listing::kGone &&
         Unreachable(tracker_.StatusOf(index));
}

void suspect_prober::Probe(target_index index, suspect& suspect) {
  if (!TakeProbe(BootTimeNow())) {
    return;
  }
  const known_target& target = *directory_.Find(index);
  const std::uint32_t cookie = suspect.cookie;
  suspect.probing =
      prober_.Probe(ToEndpoint(target.record.address), kProbeDeadline,
                    [this, index, cookie](connect_outcome connected) {
                      OnProbe(index, cookie, OutcomeOf(connected));
                    });
  if (suspect.probing) {
    metrics_.probes.Add();
  }
}

void suspect_prober::OnProbe(target_index index,
                             std::uint32_t cookie,
                             probe_outcome outcome) {
  const bool reached = outcome == probe_outcome::kReached;
  const auto found = suspects_.find(index);
  if (found == suspects_.end() || found->second.cookie != cookie) {
    return;
  }
  const time_point now = BootTimeNow();
  found->second.probing = false;
  if (IsResolved(index, found->second)) {
    suspects_.erase(found);
    return;
  }
  if (!reached && process_late_()) {
    found->second.next_probe = now + kMaxBackoff;
    return;
  }
  if (reached && now < found->second.hold_down_until) {
    tracker_.OnReachedWhileSuspected(index, now);
    found->second.next_probe = found->second.hold_down_until;
    return;
  }
  const bool was_unreachable = Unreachable(tracker_.StatusOf(index));
  tracker_.OnProbeResult(index, outcome, now);
  const std::uint32_t failures = tracker_.StatusOf(index).failed_probes;
  const duration suspected_for = now - found->second.since;
  const std::string data_centre = directory_.Find(index)->record.data_centre;
  if (reached) {
    if (was_unreachable) {
      // The limit bounds probes of targets that stay suspected or get suspected
      // again; after a cut, all of them are to be trusted again soon.
      probes_left_ = std::min(kProbeBurst, probes_left_ + 1);
    }
    suspects_.erase(found);
    flap_damper_.OnRecovered(cookie, now);
    ExpediteDataCentreProbes(data_centre, now);
    Log(index, "target_trusted", "a probe reached it", suspected_for);
    on_reached_(index);
    return;
  }
  found->second.next_probe = now + BackoffAfter(failures);
  if (!was_unreachable && Unreachable(tracker_.StatusOf(index))) {
    Log(index, "target_unreachable",
        outcome == probe_outcome::kRefused ? "probes were refused"
                                           : "probes got no answer",
        suspected_for);
    on_unreachable_(index);
  } else if (!was_unreachable && failures == kUnreachableProbes) {
    Log(index, "target_not_lost",
        "probes got no answer, but most doubts were disproved", suspected_for);
  }
}

void suspect_prober::ExpediteDataCentreProbes(const std::string& data_centre,
                                              time_point now) {
  for (auto& [index, suspect] : suspects_) {
    const known_target* target = directory_.Find(index);
    if (target != nullptr && target->record.data_centre == data_centre) {
      suspect.next_probe = now;
    }
  }
}

void suspect_prober::Log(target_index index,
                         const char* outcome,
                         const char* reason,
                         duration suspected_for) {
  const known_target& target = *directory_.Find(index);
  const target_status& status = tracker_.StatusOf(index);
  const std::string address = FormatIpv4Endpoint(target.record.address);
  const std::array<log_field, 8> fields = {
      log_field{"target", target.record.id},
      log_field{"address", address},
      log_field{"data_centre", target.record.data_centre},
      log_field{"outcome", outcome},
      log_field{"reason", reason},
      log_field{"opening", status.opening},
      log_field{"running", status.running},
      log_field{"doubted_ms", ToMillis(suspected_for)}};
  log_.LogStateChange("target", fields);
}

}  // namespace rosemaryreach
