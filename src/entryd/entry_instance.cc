#include "entryd/entry_instance.h"

#include <sys/stat.h>

#include <algorithm>
#include <array>
#include <utility>

#include "platform_settings_file.h"
#include "rosemaryreach/data_centre_reachability.h"
#include "store_documents.h"

namespace rosemaryreach {
namespace {

constexpr std::size_t kMaxFlows = 50'000;  // 5 MB
constexpr duration kTickPeriod = std::chrono::milliseconds(100);
// A tick this late, half the time limit of a probe, means that the process
// lacks CPU time.
constexpr duration kLateThreshold = std::chrono::milliseconds(60);
// Probes sent while the process ran late have ended after this time.
constexpr duration kLateWindow = std::chrono::milliseconds(500);
// Log lines for one batch of changes. Logging a listing of hundreds of targets
// in full would keep a small instance from serving for its first tenths of a
// second.
constexpr std::size_t kMaxChangeLines = 24;
// Flows listed by name in the line on an unreachable target; the rest are only
// counted.
constexpr std::size_t kMaxFlowsPerLine = 64;
// A gap of at least this length between two wake-ups counts as a pause of the
// process.
constexpr duration kPauseThreshold = std::chrono::seconds(1);
// Packets that arrive before the first view are held at most this long, which
// is less than the time until callers send them a third time.
constexpr duration kStartupHoldTime = std::chrono::milliseconds(300);
// Limit for the packets that wait in the socket when the first view arrives.
constexpr duration kFirstPacketsTime = std::chrono::milliseconds(50);
// After a pause, the old view is used again if no newer one arrives in time.
constexpr duration kRefreshTimeout = std::chrono::milliseconds(400);
// An older view may lack a route that callers already use.
constexpr duration kMaxRecentViewAge = std::chrono::seconds(2);
// Limit for the packets that wait in the socket at the end of a stop; reading a
// full buffer takes a fraction of it on a core of its own.
constexpr duration kLastPacketsTime = std::chrono::milliseconds(50);
// A target that is gone is kept for the lifetime of flows plus this margin.
constexpr duration kRetentionSlack = std::chrono::seconds(15);

std::int64_t ModificationTime(const std::string& path) {
  constexpr std::int64_t kNanosPerSecond = 1'000'000'000;
  struct stat info {};
  if (stat(path.c_str(), &info) != 0) {
    return 0;
  }
  return info.st_mtim.tv_sec * kNanosPerSecond + info.st_mtim.tv_nsec;
}

}  // namespace

entry_instance::entry_instance(const entry_settings& settings,
                               const entry_options& options,
                               signal_descriptor& signals,
                               log_sink& log,
                               std::uint64_t seed,
                               std::function<void()> on_serving)
    : settings_(settings),
      options_(options),
      signals_(signals),
      log_(log),
      registry_(MakeMetricsRegistry()),
      metrics_(*registry_),
      directory_(
          settings.bounds.flow_lifetime + kRetentionSlack,
          [this](const directory_change& change) { OnDirectoryChange(change); },
          [this](target_index target) { tracker_.ResetTarget(target); }),
      tracker_(
          kMaxFlows,
          {[this](target_index target, const char* reason) {
             suspect_prober_.OnSuspected(target, reason);
           },
           [this](target_index /*target*/, duration elapsed) {
             metrics_.open_seconds.Observe(
                 std::chrono::duration<double>(elapsed).count());
           },
           [this](const flow_key& key, target_index target, duration waited) {
             OnRequestStalled(key, target, waited);
           },
           [this](target_index target, duration elapsed, time_point now) {
             metrics_.request_seconds.Observe(
                 std::chrono::duration<double>(elapsed).count());
             const target_record& record = directory_.Find(target)->record;
             guard_.OnAnswered(record.service, record.data_centre, elapsed,
                               now);
           },
           [this](target_index target, time_point now) {
             metrics_.disproved_suspicions.Add();
             accuracy_.OnDisproved(target, now);
           },
           [this](target_index target, time_point now) {
             return accuracy_.ProvesUnreachable(target, now);
           },
           [this](target_index target) {
             return Unreachable(tracker_.StatusOf(target)) ||
                    reachability_.DataCentreUnreachable(
                        directory_.Find(target)->record.data_centre);
           }}),
      sync_(
          loop_,
          settings,
          DecodeItem,
          [this](const view_change& change) { OnViewChanged(change); },
          settings.bounds.flow_lifetime + kRetentionSlack,
          [this](std::span<const departed_target> targets) {
            OnTargetsDeparted(targets);
          },
          log_,
          metrics_,
          seed,
          options.clock_offset),
      accuracy_(directory_, tracker_),
      reachability_(directory_, tracker_, settings.data_centre),
      suspect_prober_(
          loop_,
          directory_,
          tracker_,
          [this] { return BootTimeNow() < late_until_; },
          [this](target_index target) { OnTargetUnreachable(target); },
          [this](target_index target) { OnTargetReached(target); },
          log_,
          metrics_),
      picker_(
          directory_,
          tracker_,
          reachability_,
          settings.data_centre,
          settings.bounds,
          {[this] { return sync_.peers().LocalInstances(); },
           [this] { return sync_.peers().size() + 1; },
           [this](std::uint32_t cookie) { return sync_.peers().Owns(cookie); }},
          seed),
      director_(directory_, tracker_, reachability_, picker_, guard_),
      packet_forwarder_(
          loop_,
          settings.packet_endpoint,
          directory_,
          director_,
          [this] { return CheckFreshness(); },
          [this](std::uint32_t cookie) { OnUnknownCookie(cookie); },
          log_,
          metrics_),
      admin_(loop_, "", AdminHooks()),
      signal_watch_(loop_,
                    signals_.fd(),
                    io_event::kRead,
                    [this] { OnSignal(); }),
      tick_timer_(loop_, [this] { OnTick(); }),
      second_timer_(loop_, [this] { OnSecond(); }),
      started_(BootTimeNow()),
      last_wake_(started_),
      last_tick_(started_),
      on_serving_(std::move(on_serving)),
      random_(seed),
      settings_mtime_(ModificationTime(options.settings_file)) {}

result<void> entry_instance::Start() {
  loop_.SetErrorHandler([this](std::string_view what) {
    const std::array<log_field, 1> fields = {log_field{"detail", what}};
    log_.LogWarning("callback_failed", fields);
  });
  BOOST_OUTCOME_TRYV(packet_forwarder_.Start());
  BOOST_OUTCOME_TRYV(sync_.Start());
  BOOST_OUTCOME_TRYV(admin_.Listen(settings_.readiness_endpoint));
  BOOST_OUTCOME_TRYV(admin_.Listen(settings_.control_endpoint));
  if (options_.metrics_port != 0) {
    const endpoint metrics{settings_.control_endpoint.address,
                           options_.metrics_port};
    BOOST_OUTCOME_TRYV(admin_.Listen(metrics));
  }
  tick_timer_.StartEvery(kTickPeriod);
  second_timer_.StartEvery(std::chrono::seconds(1));
  metrics_.Build(options_.build).Set(1);
  LogLifecycle("started", settings_.data_centre + ", packets at " +
                              FormatEndpoint(settings_.packet_endpoint) +
                              ", build " + options_.build);
  return success();
}

admin_hooks entry_instance::AdminHooks() {
  admin_hooks hooks;
  hooks.ready = [this] { return Readiness(); };
  hooks.metrics = [this] { return MetricsText(); };
  hooks.status = [this] { return StatusDocument(Components(), Readiness()); };
  hooks.targets = [this] { return TargetsDocument(Components()); };
  hooks.explain_flow = [this](const flow_query& question) {
    return FlowExplanationDocument(Components(), CheckFreshness(), question);
  };
  hooks.items = [this](std::uint64_t era, std::uint64_t after) {
    return sync_.ItemsAfter({era, after});
  };
  hooks.departed = [this] { return sync_.DepartedTargets(); };
  return hooks;
}

readiness entry_instance::Readiness() const {
  if (stopping_) {
    return {false, "stopping"};
  }
  if (!directory_.complete()) {
    return {false, "configuration and targets"};
  }
  const bool confirmed = reach_confirmed_ || reachability_.Confirmed();
  if (!confirmed || reachability_.IsIsolated()) {
    return {false, "a way to the targets"};
  }
  return {true, ""};
}

view_freshness entry_instance::CheckFreshness() {
  const time_point now = BootTimeNow();
  DetectPause(now);
  if (refreshing_after_pause_ && (sync_.synced_at() > pause_ended_ ||
                                  now - pause_ended_ >= kRefreshTimeout)) {
    refreshing_after_pause_ = false;
  }
  return {!refreshing_after_pause_, sync_.age() < kMaxRecentViewAge,
          now >= packets_late_until_};
}

void entry_instance::DetectPause(time_point now) {
  const duration gap = now - std::exchange(last_wake_, now);
  if (gap >= kFirstRetransmission) {
    packets_late_until_ = now + kFirstRetransmission;
  }
  if (gap < kPauseThreshold) {
    return;
  }
  refreshing_after_pause_ = true;
  pause_ended_ = now;
  tracker_.ResetWaitTimes(now);
  sync_.Refresh();
  LogLifecycle("paused", "the process did not run for " +
                             std::to_string(ToMillis(gap)) + " ms");
}

void entry_instance::DetectLateness(time_point now) {
  const duration late = now - std::exchange(last_tick_, now) - kTickPeriod;
  stop_schedule_.OnTimer(late, now);
  if (late < kLateThreshold) {
    return;
  }
  if (now >= late_until_) {
    LogLifecycle(
        "late", "a timer fired " + std::to_string(ToMillis(late)) + " ms late");
  }
  late_until_ = now + kLateWindow;
}

void entry_instance::UpdateReachability(time_point now) {
  for (const target_index target : reachability_.Update(now)) {
    tracker_.MarkSuspected(target,
                           "others of its data centre are out of reach");
  }
}

void entry_instance::ConfirmReachability() {
  if (reach_confirmed_ || !directory_.complete()) {
    return;
  }
  reach_confirmed_ = reachability_.Confirmed();
  for (const target_index target : reachability_.TargetsToConfirm(random_())) {
    tracker_.MarkSuspected(target, "not reached since the start");
  }
}

void entry_instance::OnViewChanged(const view_change& change) {
  const time_point now = BootTimeNow();
  const bool first = !directory_.complete();
  change_lines_left_ = kMaxChangeLines;
  taking_first_view_ = first;
  directory_.ApplyBatch(change, now);
  taking_first_view_ = false;
  for (const changed_item& changed : change.items) {
    if (const auto* listed = std::get_if<target_item>(&changed.decoded)) {
      OnTargetLearned(listed->record, now);
    }
  }
  if (directory_.complete() && !packet_forwarder_.receiving() &&
      sync_.age() >= kMaxRecentViewAge) {
    // The peers are as stale as an instance after a pause: no flow is opened
    // before the store was read, or could not be read in time.
    refreshing_after_pause_ = true;
    pause_ended_ = now;
    sync_.Refresh();
  }
  if (directory_.complete()) {
    StartForwarding("configuration and targets are loaded");
  }
  ConfirmReachability();
  if (first) {
    LogFirstView();
  } else if (change.items.size() > kMaxChangeLines) {
    LogLifecycle("changes_taken",
                 std::to_string(change.items.size()) +
                     " items changed; only the first ones are logged");
  }
  change_lines_left_ = kMaxChangeLines;
}

void entry_instance::OnTargetsDeparted(
    std::span<const departed_target> targets) {
  const time_point now = BootTimeNow();
  change_lines_left_ = kMaxChangeLines;
  for (const departed_target& target : targets) {
    directory_.ApplyDeparted(target.record, target.age, now);
    OnTargetLearned(target.record, now);
  }
  change_lines_left_ = kMaxChangeLines;
}

void entry_instance::OnUnknownCookie(std::uint32_t cookie) {
  dropped_cookies_.OnDropped(cookie, BootTimeNow());
  sync_.OnUnknownCookie();
}

void entry_instance::StartForwarding(const char* reason) {
  if (!packet_forwarder_.receiving()) {
    packet_forwarder_.StartReceiving();
    LogLifecycle("serving", reason);
    // Packets wait since the socket was bound.
    packets_late_until_ = BootTimeNow() + kFirstRetransmission;
    packet_forwarder_.HandleWaiting(BootTimeNow() + kFirstPacketsTime);
  }
}

void entry_instance::OnTargetUnreachable(target_index target) {
  const std::vector<flow_key> flows = tracker_.FlowsAt(target);
  std::string names;
  for (std::size_t i = 0; i < std::min(flows.size(), kMaxFlowsPerLine); ++i) {
    names += (i == 0 ? "" : " ") + FormatFlow(flows[i]);
  }
  const std::array<log_field, 3> fields = {
      log_field{"target", directory_.Find(target)->record.id},
      log_field{"count", static_cast<std::int64_t>(flows.size())},
      log_field{"flows", names}};
  log_.LogStateChange("flows_at_lost_target", fields);
  // Until the next tick, callers would be refused that are about to move.
  UpdateReachability(BootTimeNow());
}

void entry_instance::OnTargetReached(target_index target) {
  const std::string& data_centre = directory_.Find(target)->record.data_centre;
  if (reachability_.DataCentreUnreachable(data_centre)) {
    // Until the next tick, callers would be refused that routers have just
    // brought back.
    UpdateReachability(BootTimeNow());
  }
}

void entry_instance::OnSignal() {
  for (int signal = signals_.Read(); signal != 0; signal = signals_.Read()) {
    if (signal == SIGHUP) {
      Reload("signal");
    } else if (!stopping_) {
      BeginStop();
    }
  }
}

void entry_instance::BeginStop() {
  stopping_ = true;
  stop_schedule_.Begin(last_tick_, BootTimeNow());
  LogLifecycle("stopping",
               "not ready; forwarding until no more packets arrive");
  sync_.AnnounceLeaving();
}

void entry_instance::FinishStopWhenDue(time_point now) {
  if (!stopping_) {
    return;
  }
  const stop_verdict verdict = stop_schedule_.Check(
      settings_.bounds.grace_period, packet_forwarder_.last_packet(), now);
  if (verdict != stop_verdict::kServe) {
    LogLifecycle("stopped", verdict == stop_verdict::kQuiet
                                ? "no more packets arrive"
                                : "the grace period is nearly over");
    loop_.Stop();
  }
}

void entry_instance::HandleWaitingPackets() {
  packet_forwarder_.HandleWaiting(BootTimeNow() + kLastPacketsTime);
}

void entry_instance::Reload(const char* reason) {
  const result<entry_settings> loaded =
      LoadEntrySettings(options_.settings_file);
  if (!loaded) {
    LogLifecycle("reload_failed", FormatError(loaded.error()));
    return;
  }
  const bool addresses_changed =
      loaded.value().packet_endpoint != settings_.packet_endpoint ||
      loaded.value().readiness_endpoint != settings_.readiness_endpoint ||
      loaded.value().control_endpoint != settings_.control_endpoint;
  settings_ = loaded.value();
  sync_.Reload(settings_);
  LogLifecycle(
      "reloaded",
      std::string(reason) +
          (addresses_changed ? "; changed addresses take effect after a restart"
                             : ""));
}

void entry_instance::CheckSettingsFile() {
  const std::int64_t changed = ModificationTime(options_.settings_file);
  if (changed != std::exchange(settings_mtime_, changed)) {
    Reload("the settings file changed");
  }
}

void entry_instance::OnTick() {
  const time_point now = BootTimeNow();
  DetectPause(now);
  DetectLateness(now);
  if (now - started_ >= kStartupHoldTime) {
    StartForwarding("no view of the store arrived in time");
  }
  if (on_serving_ && packet_forwarder_.receiving()) {
    std::exchange(on_serving_, nullptr)();
  }
  directory_.Tick(sync_.store_unavailable(), now);
  tracker_.CheckOpenTimeouts(now);
  suspect_prober_.Tick();
  sync_.Tick();
  UpdateReachability(now);
  ConfirmReachability();
  FinishStopWhenDue(now);
  const readiness state = Readiness();
  if (state.ready != std::exchange(was_ready_, state.ready)) {
    LogLifecycle(state.ready ? "ready" : "not_ready", state.waiting_for);
  }
}

void entry_instance::OnSecond() {
  change_lines_left_ = kMaxChangeLines;
  sync_.LogPeers();
  tracker_.Sweep(BootTimeNow());
  log_.LogSkippedLines();
  CheckSettingsFile();
}

entry_components entry_instance::Components() const {
  return {settings_, options_.build, sync_,    directory_,
          tracker_,  picker_,        director_};
}

}  // namespace rosemaryreach
