// soak: runs rosemaryreach-entry as separate processes in a testbed and injects
// random faults drawn from a seed. Checks the guarantees that callers and
// targets can observe, and that all calls succeed after the faults.
#include <popt.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <optional>
#include <vector>

#include "standins/entry_process.h"
#include "standins/entry_testbed.h"
#include "standins/rolling_upgrade.h"
#include "standins/tcp_proxy.h"

namespace rosemaryreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct soak_options {
  std::string program;
  std::string previous_program;  // empty without a rolling upgrade
  std::string directory;
  std::uint64_t seed = 1;
  int seconds = 60;
  int processes = 9;
  int flows_per_second = 40;
  bool check_time_bounds = true;
  bool hard_faults = false;
  bool planned_faults_only = false;
  bool flow_faults = false;
};

class soak {
 public:
  explicit soak(const soak_options& options)
      : options_(options),
        random_(options.seed),
        testbed_(loop_,
                 static_cast<std::size_t>(options.processes),
                 4,
                 options.seed),
        flow_timer_(loop_, [this] { OpenFlows(); }),
        fault_timer_(loop_, [this] { InjectNextFault(); }),
        restart_timer_(loop_, [this] { RestartEndedProcesses(); }) {
    testbed_.SetCheckTimeBounds(options.check_time_bounds);
    // Earlier builds may lose flows when all instances restart.
    testbed_.KeepFlowsAfterTimeouts(options.previous_program.empty());
    proxy_ = std::make_unique<tcp_proxy>(loop_, testbed_.ProxyAddress(),
                                         testbed_.StoreAddress());
    testbed_.PublishConfiguration();
    for (int i = 0; i < 12; ++i) {
      AddTarget(i % 4 == 3 ? "files" : "ledger", i);
    }
    for (int i = 0; i < options.processes; ++i) {
      processes_.push_back(std::make_unique<entry_process>(
          options_.previous_program.empty() ? options_.program
                                            : options_.previous_program,
          testbed_.WriteSettings(static_cast<std::size_t>(i),
                                 options.directory),
          options.directory + "/e" + std::to_string(i)));
    }
  }

  // Runs the whole test; returns whether it passed.
  bool Run() {
    restart_timer_.StartEvery(milliseconds(50));
    if (!WaitFor(seconds(30), [this] { return AllReady(); })) {
      std::printf("not all instances became ready\n");
      return false;
    }
    testbed_.SetFaultsActive(false);
    flow_timer_.StartEvery(milliseconds(1'000 / options_.flows_per_second));
    fault_timer_.Start(milliseconds(500));
    if (!options_.previous_program.empty()) {
      StartUpgrade();
    }
    const time_point end = loop_.now() + seconds(options_.seconds);
    WaitFor(seconds(options_.seconds + 1), [&] { return loop_.now() >= end; });
    faults_over_ = true;
    const bool faults_cleared =
        WaitFor(seconds(30), [this] { return pending_ == 0 && AllReady(); });
    const bool upgraded = !upgrade_ || EndUpgrade();
    const bool recovered = faults_cleared && Recovers();
    return Report(recovered && upgraded);
  }

 private:
  using action = std::function<void()>;

  struct fault {
    const char* name;
    bool planned;                     // time bounds apply during the fault
    std::function<duration()> begin;  // returns the duration of the fault
    action end;
  };

  bool AllReady() const {
    return testbed_.fabric().ready() == processes_.size();
  }

  bool WaitFor(duration limit, const std::function<bool()>& done) {
    const time_point end = loop_.now() + limit;
    while (!done() && loop_.now() < end) {
      loop_.RunOnce();
    }
    return done();
  }

  void StartUpgrade() {
    upgrade_ = std::make_unique<rolling_upgrade>(
        loop_, processes_,
        fleet_builds{options_.previous_program, options_.program},
        [this] { return AllReady(); },
        [this] {
          const call_counts& counts = testbed_.counts();
          return counts.timeouts + counts.reset_open;
        });
    upgrade_->Start();
  }

  // Waits for the end of the upgrade, which leaves both builds running, and
  // returns whether all instances have the same view.
  bool EndUpgrade() {
    const bool done =
        WaitFor(seconds(kUpgradeSeconds), [this] { return upgrade_->done(); });
    WaitFor(kViewBound, [] { return false; });
    const bool same = done && ViewsAgree();
    std::printf(
        "{\"replaced\":%zu,\"failed_while_replacing\":%lu,\"done\":%s,"
        "\"same_view\":%s}\n",
        upgrade_->replaced(), upgrade_->failed_calls(), done ? "true" : "false",
        same ? "true" : "false");
    return same;
  }

  bool ViewsAgree() {
    std::vector<std::unique_ptr<view_reader>> readers;
    std::vector<std::optional<instance_view>> views;
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      readers.push_back(
          std::make_unique<view_reader>(loop_, testbed_.ControlAddress(i)));
      readers.back()->Read([&views](std::optional<instance_view> view) {
        views.push_back(std::move(view));
      });
    }
    WaitFor(seconds(3), [&] {
      for (const std::unique_ptr<view_reader>& reader : readers) {
        reader->Continue();
      }
      return views.size() == readers.size();
    });
    return views.size() == readers.size() && views.front() &&
           std::all_of(views.begin(), views.end(),
                       [&](const auto& view) { return view == views.front(); });
  }

  // Returns whether all calls opened some seconds after the faults are
  // answered.
  bool Recovers() {
    WaitFor(options_.flow_faults ? 2 * kIdleTime + seconds(2) : seconds(5),
            [] { return false; });
    const call_counts before = testbed_.counts();
    WaitFor(seconds(3), [] { return false; });
    flow_timer_.Stop();
    WaitFor(seconds(10), [this] { return testbed_.open_flows() == 0; });
    const call_counts after = testbed_.counts();
    const std::uint64_t failed = after.timeouts - before.timeouts +
                                 after.reset_open - before.reset_open +
                                 after.reset_opening - before.reset_opening;
    std::printf("after the faults: %lu answered, %lu failed\n",
                after.answered - before.answered, failed);
    return after.answered > before.answered &&
           (failed == 0 || !options_.check_time_bounds);
  }

  bool Report(bool recovered) {
    for (const std::string& violation : testbed_.violations()) {
      std::printf("violation: %s\n", violation.c_str());
    }
    const call_counts& counts = testbed_.counts();
    std::printf(
        "{\"seed\":%lu,\"faults\":%d,\"answered\":%lu,\"timeouts\":%lu,"
        "\"reset_opening\":%lu,\"reset_open\":%lu,\"broken\":%zu,"
        "\"bad_ends\":%d,\"recovered\":%s}\n",
        options_.seed, faults_injected_, counts.answered, counts.timeouts,
        counts.reset_opening, counts.reset_open, testbed_.violations().size(),
        abnormal_ends_, recovered ? "true" : "false");
    return recovered && abnormal_ends_ == 0 && testbed_.violations().empty();
  }

  void OpenFlows() {
    for (int i = 0; i < (surge_ ? kSurgeFactor : 1); ++i) {
      testbed_.OpenFlow();
    }
    if (options_.flow_faults && !faults_over_ &&
        ++flow_ticks_ % kIdleFlowShare == 0) {
      testbed_.OpenIdleFlow(kIdleTime);
    }
  }

  void RunAfter(duration delay, action run) {
    ++pending_;
    timers_.push_back(
        std::make_unique<loop_timer>(loop_, [this, run = std::move(run)] {
          --pending_;
          run();
        }));
    timers_.back()->Start(delay);
  }

  // Calls `run` with the target `id` after `delay` if it is still alive.
  void RunAfter(duration delay,
                const std::string& id,
                std::function<void(entry_target&)> run) {
    RunAfter(delay, [this, id, run = std::move(run)] {
      const auto found = testbed_.targets().find(id);
      if (found != testbed_.targets().end() && !found->second->silent()) {
        run(*found->second);
      }
    });
  }

  void RestartEndedProcesses() {
    for (const std::unique_ptr<entry_process>& process : processes_) {
      if (process->RestartIfEnded() && process->ended_abnormally()) {
        ++abnormal_ends_;
      }
    }
  }

  std::uint64_t Draw(std::uint64_t below) { return random_() % below; }

  duration RandomDuration(int lowest_ms, int highest_ms) {
    return milliseconds(
        lowest_ms + static_cast<int>(Draw(
                        static_cast<std::uint64_t>(highest_ms - lowest_ms))));
  }

  entry_process& RandomProcess() {
    return *processes_[Draw(processes_.size())];
  }

  void AddTarget(const std::string& service, int i) {
    static constexpr std::array<const char*, 3> kCentres = {"dc-a", "dc-b",
                                                            "dc-c"};
    testbed_.AddTarget(service, kCentres.at(static_cast<std::size_t>(i) % 3));
  }

  // Returns a random target that is neither draining nor silent nor full.
  entry_target& RandomTarget() {
    std::vector<entry_target*> usable;
    for (const auto& [id, target] : testbed_.targets()) {
      if (!target->draining() && !target->silent() && !target->full()) {
        usable.push_back(target.get());
      }
    }
    return *usable[Draw(usable.size())];
  }

  void InjectNextFault() {
    if (faults_over_) {
      return;
    }
    fault_timer_.Start(RandomDuration(300, 2'500));
    if (active_faults_ >= kMaxActiveFaults) {
      return;
    }
    const fault drawn = DrawFault();
    if (drawn.planned || !options_.planned_faults_only) {
      InjectFault(drawn);
    }
  }

  void InjectFault(const fault& drawn) {
    ++faults_injected_;
    ++active_faults_;
    active_unplanned_faults_ += drawn.planned ? 0 : 1;
    testbed_.SetFaultsActive(active_unplanned_faults_ > 0);
    const duration length = drawn.begin();
    std::printf("%s for %ld ms\n", drawn.name, length.count() / 1'000);
    RunAfter(length, [this, drawn] {
      drawn.end();
      --active_faults_;
      active_unplanned_faults_ -= drawn.planned ? 0 : 1;
      testbed_.SetFaultsActive(active_unplanned_faults_ > 0);
    });
  }

  fault DrawFault() {
    // Schedules that were kept before the hard faults stay as they are.
    if (options_.hard_faults && Draw(2) == 0) {
      return DrawHardFault();
    }
    if (options_.flow_faults && Draw(2) == 0) {
      return DrawFlowFault();
    }
    switch (Draw(12)) {
      case 0:
        return SignalFault("kill", false, SIGKILL, 0, 300, 800);
      case 1:
        return SignalFault("freeze", false, SIGSTOP, SIGCONT, 300, 4'000);
      case 2:
        return SignalFault("stop", true, SIGTERM, 0, 4'000, 7'000);
      case 3:
        return SignalFault("reload", true, SIGHUP, 0, 100, 200);
      case 4:
        return LinkFault();
      case 5:
        return StoreFault();
      case 6:
        return DrainFault();
      case 7:
        return SilenceFault();
      case 8:
        return EvacuationFault();
      case 9:
        return ClockFault();
      case 10:
        return RestoreFault();
      default:
        return {"configuration", true,
                [this] {
                  testbed_.PublishConfiguration();
                  return duration(milliseconds(100));
                },
                [] {}};
    }
  }

  fault DrawHardFault() {
    switch (Draw(4)) {
      case 0:
        return {"surge", true,
                [this] {
                  surge_ = true;
                  return RandomDuration(2'000, 5'000);
                },
                [this] { surge_ = false; }};
      case 1:
        return FullFault();
      case 2:
        return AddressFault();
      default:
        return RestartAllFault();
    }
  }

  // Faults of single targets and entries. The testbed checks the open flows of
  // all targets that are not cut off, so they count as planned.
  fault DrawFlowFault() {
    const std::string id = RandomTarget().options().id;
    using begin_hook = duration (soak::*)(const std::string&);
    static constexpr std::array<std::pair<const char*, begin_hook>, 6> kFaults =
        {{{"roll", &soak::Roll},
          {"target lingers", &soak::Linger},
          {"target cut off", &soak::CutOff},
          {"entry lapse", &soak::Lapse},
          {"foreign entries", &soak::WriteForeignEntries},
          {"address reused", &soak::ReuseAddress}}};
    const auto& [name, begin] = kFaults.at(Draw(kFaults.size()));
    return {name, true, [this, id, hook = begin] { return (this->*hook)(id); },
            [] {}};
  }

  // Stops several instances one after the other, each before the last one has
  // ended, among a series of configurations and reloads.
  duration Roll(const std::string&) {
    const std::size_t first = Draw(processes_.size());
    for (int i = 0; i < kRolledProcesses; ++i) {
      const std::size_t index = first + static_cast<std::size_t>(i);
      entry_process& rolled = *processes_[index % processes_.size()];
      entry_process& other = RandomProcess();
      RunAfter(i * kRollPause, [&rolled] { rolled.Signal(SIGTERM); });
      RunAfter(i * kRollPause + kRollPause / 2, [&rolled, &other] {
        rolled.Signal(SIGHUP);
        other.Signal(SIGHUP);
      });
    }
    for (int i = 0; i < kStormConfigurations; ++i) {
      RunAfter(i * kStormPause, [this] { testbed_.PublishConfiguration(); });
    }
    return kRolledProcesses * kRollPause;
  }

  // Drains the target and deletes its entry; it serves its flows until later.
  // Among hard faults, all instances are killed meanwhile: they must learn of
  // the target again before callers give up.
  duration Linger(const std::string& id) {
    entry_target& target = *testbed_.targets().at(id);
    testbed_.AddTarget(target.options().service, target.options().data_centre);
    target.Drain();
    const duration drained = RandomDuration(1'000, 4'000);
    RunAfter(drained, id, [this](entry_target& left) {
      left.Deregister();
      if (options_.hard_faults) {
        RunAfter(kLingerBeforeKill, [this] { KillAll(); });
      }
    });
    RunAfter(drained + RandomDuration(8'000, 15'000), id,
             [this, id](entry_target&) { testbed_.RemoveTarget(id); });
    return drained;
  }

  // Cuts off the target, or half of the time one that drains or lingers.
  duration CutOff(const std::string& drawn) {
    std::string id = drawn;
    const bool leaving = Draw(2) == 0;
    for (const auto& [other, target] : testbed_.targets()) {
      id = leaving && target->draining() && !target->silent() ? other : id;
    }
    const duration length = RandomDuration(1'000, 5'000);
    testbed_.targets().at(id)->CutOff(Draw(2) == 0);
    RunAfter(length, id, [](entry_target& target) { target.EndCut(); });
    return length;
  }

  duration Lapse(const std::string& id) {
    testbed_.targets().at(id)->Deregister();
    RunAfter(seconds(2), id, [](entry_target& target) {
      if (!target.draining()) {
        target.Renew();
      }
    });
    return seconds(2);
  }

  // Writes entries that name no target, one in place of the target's own until
  // its next heartbeat.
  duration WriteForeignEntries(const std::string& id) {
    testbed_.store().Put("servers/i-f1", R"({"service":"ledger"})");
    testbed_.store().Put("servers/i-f2", R"({"address":7,"state":"lost"})");
    testbed_.store().Put("servers/" + id, "\xff\xfe");
    return RandomDuration(500, 2'000);
  }

  // Ends the target; another service's gets its address two seconds later.
  duration ReuseAddress(const std::string& id) {
    const entry_target_options left = testbed_.targets().at(id)->options();
    testbed_.AddTarget(left.service, left.data_centre);
    testbed_.RemoveTarget(id);
    RunAfter(seconds(2), [this, left] {
      testbed_.AddTarget(left.service == "ledger" ? "files" : "ledger",
                         left.data_centre, left.address);
    });
    return seconds(2);
  }

  // The target lives, so that none of its open flows may be reset. A planned
  // fault, so that the testbed checks this.
  fault FullFault() {
    entry_target& target = RandomTarget();
    return {"target full", true,
            [this, &target] {
              target.SetFull(true);
              return RandomDuration(1'000, 4'000);
            },
            [&target] { target.SetFull(false); }};
  }

  fault AddressFault() {
    const std::string id = RandomTarget().options().id;
    return {"address taken", false,
            [this, id] {
              testbed_.ReplaceAtAddress(id);
              return RandomDuration(1'000, 2'000);
            },
            [] {}};
  }

  // Kills all instances and replaces the targets of one data centre.
  fault RestartAllFault() {
    const std::string data_centre = "dc-" + std::string(1, "abc"[Draw(3)]);
    return {"all killed", false,
            [this, data_centre] {
              KillAll();
              testbed_.ReplaceDataCentre(data_centre);
              return RandomDuration(1'000, 2'000);
            },
            [] {}};
  }

  void KillAll() {
    for (const std::unique_ptr<entry_process>& process : processes_) {
      process->Signal(SIGKILL);
    }
  }

  fault SignalFault(const char* name,
                    bool planned,
                    int first,
                    int last,
                    int lowest_ms,
                    int highest_ms) {
    entry_process& process = RandomProcess();
    return {name, planned,
            [this, &process, first, lowest_ms, highest_ms] {
              process.Signal(first);
              return RandomDuration(lowest_ms, highest_ms);
            },
            [&process, last] {
              if (last != 0) {
                process.Signal(last);
              }
            }};
  }

  // Kills the process; its clock has an offset after the restart.
  fault ClockFault() {
    entry_process& process = RandomProcess();
    const int offset_ms = static_cast<int>(Draw(60'000)) - 30'000;
    return {"clock step", false,
            [this, &process, offset_ms] {
              if (process.program() == options_.program) {
                process.SetClockOffset(offset_ms);
              }
              process.Signal(SIGKILL);
              return RandomDuration(300, 800);
            },
            [] {}};
  }

  fault LinkFault() {
    const link_fault injected = static_cast<link_fault>(1 + Draw(4));
    return {"store link", false,
            [this, injected] {
              proxy_->SetFault(injected);
              return RandomDuration(500, 4'000);
            },
            [this] { proxy_->SetFault(link_fault::kNone); }};
  }

  fault StoreFault() {
    const bool compacts = Draw(2) == 0;
    return {"store", false,
            [this, compacts] {
              testbed_.store().SetFault(store_fault::kUnavailable);
              if (compacts) {
                testbed_.store().Compact();
              }
              return RandomDuration(500, 4'000);
            },
            [this] { testbed_.store().SetFault(store_fault::kNone); }};
  }

  // The store comes back from a copy some seconds old.
  fault RestoreFault() {
    return {"store restored", false,
            [this] {
              testbed_.RestoreStore(RandomDuration(1'000, 10'000));
              return RandomDuration(1'000, 1'500);
            },
            [] {}};
  }

  // Adds a replacement, drains the target and removes it.
  fault DrainFault() {
    entry_target& target = RandomTarget();
    const std::string id = target.options().id;
    return {"drain", true,
            [this, &target] {
              testbed_.AddTarget(target.options().service,
                                 target.options().data_centre);
              target.Drain();
              return RandomDuration(4'500, 6'000);
            },
            [this, id] { testbed_.RemoveTarget(id); }};
  }

  fault SilenceFault() {
    entry_target& target = RandomTarget();
    const std::string id = target.options().id;
    return {"target silent", false,
            [this, &target] {
              testbed_.AddTarget(target.options().service,
                                 target.options().data_centre);
              target.Silence();
              return RandomDuration(800, 3'000);
            },
            [this, id] { testbed_.RemoveTarget(id); }};
  }

  fault EvacuationFault() {
    const std::string data_centre = "dc-" + std::string(1, "abc"[Draw(3)]);
    return {"data centre out", true,
            [this, data_centre] {
              testbed_.Evacuate(data_centre, true);
              return RandomDuration(5'500, 8'000);
            },
            [this, data_centre] { testbed_.Evacuate(data_centre, false); }};
  }

  // The store's changes are known everywhere this long after the last one.
  static constexpr duration kViewBound = seconds(3);
  static constexpr int kUpgradeSeconds = 240;
  static constexpr int kMaxActiveFaults = 3;
  static constexpr int kSurgeFactor = 8;
  static constexpr std::uint64_t kIdleFlowShare = 4;
  static constexpr duration kIdleTime = seconds(8);
  static constexpr duration kLingerBeforeKill = seconds(2);
  static constexpr int kRolledProcesses = 4;
  static constexpr duration kRollPause = milliseconds(1'200);
  static constexpr int kStormConfigurations = 20;
  static constexpr duration kStormPause = milliseconds(190);

  soak_options options_;
  std::mt19937_64 random_;
  event_loop loop_;
  entry_testbed testbed_;
  std::unique_ptr<tcp_proxy> proxy_;
  std::vector<std::unique_ptr<entry_process>> processes_;
  std::unique_ptr<rolling_upgrade> upgrade_;  // if there are two builds
  std::vector<std::unique_ptr<loop_timer>> timers_;
  loop_timer flow_timer_;
  loop_timer fault_timer_;
  loop_timer restart_timer_;
  int faults_injected_ = 0;
  int active_faults_ = 0;
  std::uint64_t flow_ticks_ = 0;
  int pending_ = 0;  // ends of faults that are still to come
  int active_unplanned_faults_ = 0;
  int abnormal_ends_ = 0;
  bool faults_over_ = false;
  bool surge_ = false;
};

int Main(int argc, const char** argv) {
  soak_options options;
  char* program = nullptr;
  char* previous = nullptr;
  char* directory = nullptr;
  long seed = 1;
  int skip_time_bounds = 0;
  int hard_faults = 0;
  int planned_only = 0;
  int flow_faults = 0;
  const std::vector<poptOption> table = {
      {"program", 'p', POPT_ARG_STRING, &program, 0,
       "path of rosemaryreach-entry", ""},
      {"previous", 0, POPT_ARG_STRING, &previous, 0,
       "path of an earlier build, which runs first and is replaced", ""},
      {"directory", 'd', POPT_ARG_STRING, &directory, 0, "directory for logs",
       ""},
      {"seed", 's', POPT_ARG_LONG, &seed, 0, "seed of the random faults", ""},
      {"seconds", 't', POPT_ARG_INT, &options.seconds, 0,
       "duration of the faults", ""},
      {"processes", 'n', POPT_ARG_INT, &options.processes, 0, "instances", ""},
      {"no-times", 0, POPT_ARG_NONE, &skip_time_bounds, 0,
       "do not check time bounds, for a busy machine", nullptr},
      {"hard", 0, POPT_ARG_NONE, &hard_faults, 0,
       "also surges, full targets, addresses taken over, all instances killed",
       nullptr},
      {"planned", 0, POPT_ARG_NONE, &planned_only, 0,
       "planned faults only, which must fail no call", nullptr},
      {"flows", 0, POPT_ARG_NONE, &flow_faults, 0,
       "also idle flows, rolls in a storm of configurations, targets that "
       "linger or are cut off, lapsed and foreign entries, addresses reused",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("soak", argc, argv, table.data(), 0);
  const int parsed = poptGetNextOpt(context);
  poptFreeContext(context);
  if (parsed != -1 || program == nullptr || directory == nullptr) {
    std::fprintf(stderr, "soak: --program and --directory are required\n");
    return 2;
  }
  options.program = program;
  options.previous_program = previous == nullptr ? "" : previous;
  options.planned_faults_only = planned_only != 0;
  options.directory = directory;
  options.seed = static_cast<std::uint64_t>(seed);
  options.flow_faults = flow_faults != 0;
  options.hard_faults = hard_faults != 0;
  options.check_time_bounds = skip_time_bounds == 0;
  std::filesystem::create_directories(options.directory);
  return soak(options).Run() ? 0 : 1;
}

}  // namespace
}  // namespace rosemaryreach

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  return rosemaryreach::Main(argc, const_cast<const char**>(argv));
}
