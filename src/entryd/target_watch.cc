#include "entryd/target_watch.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace rosemaryreach {
namespace {

// Each costs a descriptor for a moment.
constexpr std::size_t kMaxProbes = 32;
// Ten round trips between the data centres of a region.
constexpr duration kProbeDeadline = std::chrono::milliseconds(120);
constexpr duration kFirstPause = std::chrono::milliseconds(40);
constexpr duration kHighestPause = std::chrono::seconds(1);

// Returns the pause before the next probe: doubling, so that a target that
// stays away costs one a second.
duration PauseAfter(std::uint32_t failures) {
  const std::uint32_t shift = std::min<std::uint32_t>(failures, 6) - 1;
  return std::min(kHighestPause, kFirstPause * (1U << shift));
}

}  // namespace

target_watch::target_watch(event_loop& loop,
                           const target_directory& directory,
                           flow_tracker& ledger,
                           std::function<bool()> late,
                           std::function<void(target_index)> unreachable,
                           entry_log& log,
                           entry_metrics& metrics)
    : directory_(directory),
      ledger_(ledger),
      late_(std::move(late)),
      unreachable_(std::move(unreachable)),
      log_(log),
      metrics_(metrics),
      prober_(loop, kMaxProbes) {}

void target_watch::Doubt(target_index target, const char* reason) {
  const known_target* known = directory_.Find(target);
  if (known == nullptr || doubts_.contains(target)) {
    return;
  }
  const time_point now = BootTimeNow();
  doubt& added = doubts_[target];
  added.cookie = known->cookie;
  added.since = now;
  added.next = now;
  added.held_until = now + history_.OnSuspected(known->cookie, now);
  Log(target, "target_doubted", reason, duration(0));
  Probe(target, added);
}

void target_watch::Tick() {
  const time_point now = BootTimeNow();
  for (auto one = doubts_.begin(); one != doubts_.end();) {
    if (!one->second.probing && IsOver(one->first, one->second)) {
      one = doubts_.erase(one);
      continue;
    }
    if (!one->second.probing && !IsParked(one->first) &&
        now >= one->second.next) {
      Probe(one->first, one->second);
    }
    ++one;
  }
}

bool target_watch::IsOver(target_index index, const doubt& doubt) const {
  const known_target* known = directory_.Find(index);
  return known == nullptr || known->cookie != doubt.cookie ||
         !ledger_.StatusOf(index).suspected;
}

bool target_watch::IsParked(target_index index) const {
  return directory_.Find(index)->listing == target_listing::kGone &&
         Unreachable(ledger_.StatusOf(index));
}

void target_watch::Probe(target_index index, doubt& doubt) {
  const known_target& target = *directory_.Find(index);
  const std::uint32_t cookie = doubt.cookie;
  doubt.probing = prober_.Probe(
      ToEndpoint(target.record.address), kProbeDeadline,
      [this, index, cookie](bool reached) { OnProbe(index, cookie, reached); });
  if (doubt.probing) {
    metrics_.probes.Add();
  }
}

void target_watch::OnProbe(target_index index,
                           std::uint32_t cookie,
                           bool reached) {
  const auto found = doubts_.find(index);
  if (found == doubts_.end() || found->second.cookie != cookie) {
    return;
  }
  const time_point now = BootTimeNow();
  found->second.probing = false;
  if (IsOver(index, found->second)) {
    doubts_.erase(found);
    return;
  }
  if (!reached && late_()) {
    found->second.next = now + kHighestPause;
    return;
  }
  if (reached && now < found->second.held_until) {
    found->second.next = found->second.held_until;
    return;
  }
  ledger_.OnProbeResult(index, reached, now);
  const std::uint32_t failures = ledger_.StatusOf(index).failed_probes;
  const duration doubted_for = now - found->second.since;
  const std::string data_centre = directory_.Find(index)->record.data_centre;
  if (reached) {
    doubts_.erase(found);
    history_.OnRecovered(cookie, now);
    ProbeDataCentre(data_centre, now);
    Log(index, "target_trusted", "a probe reached it", doubted_for);
    return;
  }
  found->second.next = now + PauseAfter(failures);
  if (failures == kUnreachableProbes) {
    Log(index, "target_unreachable", "probes got no answer", doubted_for);
    unreachable_(index);
  }
}

void target_watch::ProbeDataCentre(const std::string& data_centre,
                                   time_point now) {
  for (auto& [index, doubt] : doubts_) {
    const known_target* target = directory_.Find(index);
    if (target != nullptr && target->record.data_centre == data_centre) {
      doubt.next = now;
    }
  }
}

void target_watch::Log(target_index index,
                       const char* outcome,
                       const char* reason,
                       duration doubted_for) {
  const known_target& target = *directory_.Find(index);
  const target_status& contact = ledger_.StatusOf(index);
  const std::string address = FormatIpv4Endpoint(target.record.address);
  const std::array<log_field, 8> fields = {
      log_field{"target", target.record.id},
      log_field{"address", address},
      log_field{"data_centre", target.record.data_centre},
      log_field{"outcome", outcome},
      log_field{"reason", reason},
      log_field{"opening", contact.opening},
      log_field{"running", contact.running},
      log_field{"doubted_ms", ToMillis(doubted_for)}};
  log_.LogStateChange("target", fields);
}

}  // namespace rosemaryreach
