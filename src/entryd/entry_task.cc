#include "entryd/entry_task.h"

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
// A tick late by half a probe's time: the process is short of processor.
constexpr duration kLate = std::chrono::milliseconds(60);
// Probes that were sent while the process ran late have ended after this.
constexpr duration kLateMemory = std::chrono::milliseconds(500);
// Lines for one batch of changes: a listing of hundreds of targets would keep
// a small instance from serving for its first tenths of a second.
constexpr std::size_t kLinesForChanges = 24;
// Flows named when their target is lost; the rest is counted.
constexpr std::size_t kFlowsInLine = 64;
// Ticks late by more than this mean that the process stood still.
constexpr duration kPause = std::chrono::seconds(1);
// Packets that come before the first view wait this long for it: less than
// until their callers send them again, twice.
constexpr duration kHoldAtStart = std::chrono::milliseconds(300);
// After a pause old knowledge is used again if nothing newer comes.
constexpr duration kSettleTime = std::chrono::milliseconds(400);
// A view older than this may lack a route that callers know already.
constexpr duration kRecentView = std::chrono::seconds(2);
// Routers take an instance out after two misses, 500 ms apart.
constexpr duration kLeaveRotation = std::chrono::milliseconds(2'000);
// Without a packet for this long, none is on the way.
constexpr duration kQuietBeforeEnd = std::chrono::milliseconds(1'200);
// Left of the grace period when the process ends in any case.
constexpr duration kEndBeforeKill = std::chrono::milliseconds(700);
// Flows may outlive a target's entry this much longer than their lifetime.
constexpr duration kForgetSlack = std::chrono::seconds(15);

std::int64_t ChangeTime(const std::string& path) {
  constexpr std::int64_t kNanosPerSecond = 1'000'000'000;
  struct stat info {};
  if (stat(path.c_str(), &info) != 0) {
    return 0;
  }
  return info.st_mtim.tv_sec * kNanosPerSecond + info.st_mtim.tv_nsec;
}

}  // namespace

entry_task::entry_task(const entry_settings& settings,
                       const entry_options& options,
                       signal_descriptor& signals,
                       log_sink& log,
                       std::uint64_t seed)
    : settings_(settings),
      options_(options),
      signals_(signals),
      log_(log),
      registry_(MakeMetricsRegistry()),
      metrics_(*registry_),
      directory_(
          settings.bounds.flow_lifetime + kForgetSlack,
          [this](const directory_change& change) { OnDirectoryChange(change); },
          [this](target_index target) { ledger_.ResetTarget(target); }),
      ledger_(
          kMaxFlows,
          {[this](target_index target, const char* reason) {
             targets_.Doubt(target, reason);
           },
           [this](duration time) {
             metrics_.open_seconds.Observe(
                 std::chrono::duration<double>(time).count());
           },
           [this](const flow_key& key, target_index target, duration waited) {
             OnStalled(key, target, waited);
           },
           [this](duration time) {
             metrics_.request_seconds.Observe(
                 std::chrono::duration<double>(time).count());
           }}),
      reach_(directory_, ledger_, settings.data_centre),
      targets_(
          loop_,
          directory_,
          ledger_,
          [this] { return BootTimeNow() < late_until_; },
          [this](target_index target) { OnUnreachable(target); },
          log_,
          metrics_),
      sync_(
          loop_,
          settings,
          DecodeItem,
          [this](std::span<const changed_item> items) { OnChanged(items); },
          log_,
          metrics_,
          seed,
          options.clock_offset),
      picker_(
          directory_,
          ledger_,
          reach_,
          settings.data_centre,
          settings.bounds,
          {[this] { return sync_.peers().LocalInstances(); },
           [this](std::uint32_t cookie) { return sync_.peers().Owns(cookie); }},
          seed),
      director_(directory_, ledger_, picker_),
      packets_(
          loop_,
          settings.packet_endpoint,
          directory_,
          director_,
          [this] { return Trust(); },
          log_,
          metrics_),
      admin_(loop_, "", AdminHooks()),
      signal_watch_(loop_,
                    signals_.fd(),
                    watch_for::kRead,
                    [this] { OnSignal(); }),
      tick_(loop_, [this] { OnTick(); }),
      second_(loop_, [this] { OnSecond(); }),
      started_(BootTimeNow()),
      last_turn_(started_),
      last_tick_(started_),
      settings_changed_(ChangeTime(options.settings_file)) {}

result<void> entry_task::Start() {
  BOOST_OUTCOME_TRYV(packets_.Start());
  BOOST_OUTCOME_TRYV(sync_.Start());
  BOOST_OUTCOME_TRYV(admin_.Listen(settings_.readiness_endpoint));
  BOOST_OUTCOME_TRYV(admin_.Listen(settings_.control_endpoint));
  if (options_.metrics_port != 0) {
    const endpoint metrics{settings_.control_endpoint.address,
                           options_.metrics_port};
    BOOST_OUTCOME_TRYV(admin_.Listen(metrics));
  }
  tick_.StartEvery(kTickPeriod);
  second_.StartEvery(std::chrono::seconds(1));
  LogLife("started", settings_.data_centre + ", packets at " +
                         FormatEndpoint(settings_.packet_endpoint));
  return success();
}

admin_hooks entry_task::AdminHooks() {
  admin_hooks hooks;
  hooks.ready = [this] { return Readiness(); };
  hooks.metrics = [this] { return MetricsText(); };
  hooks.status = [this] { return StatusDocument(Parts(), Readiness()); };
  hooks.targets = [this] { return TargetsDocument(Parts()); };
  hooks.explain_flow = [this](const flow_question& question) {
    return FlowDocument(Parts(), Trust(), question);
  };
  hooks.items = [this](std::uint64_t after) { return sync_.ItemsAfter(after); };
  return hooks;
}

readiness entry_task::Readiness() const {
  if (stopping_) {
    return {false, "stopping"};
  }
  if (!directory_.complete()) {
    return {false, "configuration and targets"};
  }
  if (reach_.IsIsolated()) {
    return {false, "a way to the targets"};
  }
  return {true, ""};
}

view_freshness entry_task::Trust() {
  const time_point now = BootTimeNow();
  NotePause(now);
  if (untrusted_ && (sync_.known_at() > untrusted_since_ ||
                     now - untrusted_since_ >= kSettleTime)) {
    untrusted_ = false;
  }
  return {!untrusted_, sync_.age() < kRecentView};
}

void entry_task::NotePause(time_point now) {
  const duration turn = now - std::exchange(last_turn_, now);
  if (turn < kPause) {
    return;
  }
  untrusted_ = true;
  untrusted_since_ = now;
  ledger_.ResetWaitTimes(now);
  sync_.Refresh();
  LogLife("paused",
          "stood still for " + std::to_string(ToMillis(turn)) + " ms");
}

void entry_task::NoteLateness(time_point now) {
  const duration late = now - std::exchange(last_tick_, now) - kTickPeriod;
  if (late < kLate) {
    return;
  }
  if (now >= late_until_) {
    LogLife("late", "ran " + std::to_string(ToMillis(late)) + " ms late");
  }
  late_until_ = now + kLateMemory;
}

void entry_task::NoteReach(time_point now) {
  for (const target_index target : reach_.Update(now)) {
    ledger_.MarkSuspected(target, "others of its data centre are out of reach");
  }
}

void entry_task::OnChanged(std::span<const changed_item> items) {
  const time_point now = BootTimeNow();
  lines_left_ = kLinesForChanges;
  for (const changed_item& one : items) {
    directory_.Apply(one.item, one.decoded, now);
  }
  if (directory_.complete()) {
    ReleasePackets("configuration and targets are known");
  }
  if (items.size() > kLinesForChanges) {
    LogLife("changes_taken",
            std::to_string(items.size()) + " items, the first are logged");
  }
  lines_left_ = kLinesForChanges;
}

void entry_task::ReleasePackets(const char* why) {
  if (!packets_.released()) {
    packets_.Release();
    LogLife("serving", why);
  }
}

void entry_task::OnDirectoryChange(const directory_change& change) {
  if (lines_left_ == 0) {
    return;
  }
  --lines_left_;
  const std::array<log_field, 5> fields = {
      log_field{"subject", change.subject},
      log_field{"outcome", change.outcome}, log_field{"detail", change.detail},
      log_field{"revision", static_cast<std::int64_t>(sync_.revision())},
      log_field{"age_ms", ToMillis(sync_.age())}};
  log_.Belief("directory", fields);
}

void entry_task::OnUnreachable(target_index target) {
  const std::vector<flow_tracker::placed_flow> flows = ledger_.FlowsAt(target);
  std::string names;
  for (std::size_t i = 0; i < std::min(flows.size(), kFlowsInLine); ++i) {
    names += (i == 0 ? "" : " ") + FormatFlow(flows[i].key);
  }
  const std::array<log_field, 3> fields = {
      log_field{"target", directory_.Find(target)->record.id},
      log_field{"count", static_cast<std::int64_t>(flows.size())},
      log_field{"flows", names}};
  log_.Belief("flows_at_lost_target", fields);
  packets_.GiveUpWaiting(target);
}

void entry_task::OnStalled(const flow_key& key,
                           target_index target,
                           duration waited) {
  metrics_.stalled.Add();
  if (!log_.WantsFlow(true, BootTimeNow())) {
    return;
  }
  const std::string flow = FormatFlow(key);
  const std::array<log_field, 5> fields = {
      log_field{"flow", flow},
      log_field{"target", directory_.Find(target)->record.id},
      log_field{"rule", "no_answer"}, log_field{"outcome", "stalled"},
      log_field{"waited_ms", ToMillis(waited)}};
  log_.Flow(fields);
}

void entry_task::OnSignal() {
  for (int signal = signals_.Read(); signal != 0; signal = signals_.Read()) {
    if (signal == SIGHUP) {
      Reload("signal");
    } else if (!stopping_) {
      BeginStop();
    }
  }
}

void entry_task::BeginStop() {
  stopping_ = true;
  stop_began_ = BootTimeNow();
  LogLife("stopping", "not ready; packets are forwarded until they end");
  sync_.Leave();
}

void entry_task::CheckStop(time_point now) {
  if (!stopping_) {
    return;
  }
  const duration since = now - stop_began_;
  const bool quiet = since >= kLeaveRotation &&
                     now - packets_.last_packet() >= kQuietBeforeEnd;
  if (quiet || since >= settings_.bounds.grace_period - kEndBeforeKill) {
    LogLife("stopped", quiet ? "no packets come any more"
                             : "the grace period is nearly over");
    loop_.Stop();
  }
}

void entry_task::Reload(const char* why) {
  const result<entry_settings> loaded =
      LoadEntrySettings(options_.settings_file);
  if (!loaded) {
    LogLife("reload_failed", FormatError(loaded.error()));
    return;
  }
  const bool moved =
      loaded.value().packet_endpoint != settings_.packet_endpoint ||
      loaded.value().readiness_endpoint != settings_.readiness_endpoint ||
      loaded.value().control_endpoint != settings_.control_endpoint;
  settings_ = loaded.value();
  sync_.Reload(settings_);
  LogLife("reloaded",
          std::string(why) + (moved ? "; new addresses need a restart" : ""));
}

void entry_task::CheckSettingsFile() {
  const std::int64_t changed = ChangeTime(options_.settings_file);
  if (changed != std::exchange(settings_changed_, changed)) {
    Reload("the file changed");
  }
}

void entry_task::OnTick() {
  const time_point now = BootTimeNow();
  NotePause(now);
  NoteLateness(now);
  if (now - started_ >= kHoldAtStart) {
    ReleasePackets("no view of the store came in time");
  }
  directory_.Tick(sync_.store_away(), now);
  targets_.Tick();
  sync_.Tick();
  NoteReach(now);
  CheckStop(now);
  const readiness state = Readiness();
  if (state.ready != std::exchange(was_ready_, state.ready)) {
    LogLife(state.ready ? "ready" : "not_ready", state.waiting_for);
  }
}

void entry_task::OnSecond() {
  lines_left_ = kLinesForChanges;
  sync_.LogPeers();
  ledger_.Sweep(BootTimeNow());
  log_.ReportSkipped();
  CheckSettingsFile();
}

std::string entry_task::MetricsText() {
  metrics_.configuration_version.Set(
      static_cast<std::int64_t>(directory_.config().version));
  metrics_.view_age_ms.Set(ToMillis(sync_.age()));
  metrics_.peers.Set(static_cast<std::int64_t>(sync_.peers().size()));
  metrics_.flows.Set(static_cast<std::int64_t>(ledger_.size()));
  return registry_->PrometheusText();
}

entry_parts entry_task::Parts() const {
  return {settings_, sync_, directory_, ledger_, picker_, director_};
}

void entry_task::LogLife(const char* event, const std::string& detail) {
  const std::array<log_field, 3> fields = {
      log_field{"outcome", event}, log_field{"detail", detail},
      log_field{"uptime_ms", ToMillis(BootTimeNow() - started_)}};
  log_.Belief("instance", fields);
}

}  // namespace rosemaryreach
