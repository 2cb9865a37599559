// An entry instance on the platform: owns its components and runs them from
// start to graceful stop.
#ifndef ROSEMARYREACH_ENTRYD_ENTRY_INSTANCE_H_
#define ROSEMARYREACH_ENTRYD_ENTRY_INSTANCE_H_

#include <functional>
#include <memory>
#include <random>
#include <string>

#include "adapters/admin_server.h"
#include "adapters/event_loop.h"
#include "adapters/signal_descriptor.h"
#include "entryd/entry_documents.h"
#include "entryd/entry_log.h"
#include "entryd/entry_metrics.h"
#include "entryd/packet_forwarder.h"
#include "entryd/store_sync.h"
#include "entryd/suspect_prober.h"
#include "rosemaryreach/dropped_cookies.h"
#include "rosemaryreach/entry_types.h"
#include "rosemaryreach/overload_guard.h"
#include "rosemaryreach/packet_director.h"
#include "rosemaryreach/stop_schedule.h"
#include "rosemaryreach/suspicion_accuracy.h"

namespace rosemaryreach {

struct entry_options {
  std::string settings_file;
  std::uint16_t metrics_port = 0;  // on the control address; 0 disables it
  duration clock_offset{};         // added to the time of day, for tests
  std::string build;               // version and commit of this program
};

class entry_instance {
 public:
  // `on_serving` is called soon after the first packets were handled, for work
  // that can wait until then.
  entry_instance(const entry_settings& settings,
                 const entry_options& options,
                 signal_descriptor& signals,
                 log_sink& log,
                 std::uint64_t seed,
                 std::function<void()> on_serving = nullptr);

  result<void> Start();

  // Serves until a graceful stop has ended or Stop() is called.
  void Run() { loop_.Run(); }

  // Handles the packets that wait in the socket, after Run() has returned. They
  // would be lost with the process.
  void HandleWaitingPackets();

  // Makes Run() return without a graceful stop. Thread-safe.
  void Stop() { loop_.Stop(); }

 private:
  admin_hooks AdminHooks();
  readiness Readiness() const;
  entry_components Components() const;
  view_freshness CheckFreshness();
  void DetectPause(time_point now);
  void DetectLateness(time_point now);
  void UpdateReachability(time_point now);
  // Probes targets after the start, until one of them is reached.
  void ConfirmReachability();
  void StartForwarding(const char* reason);
  // Logs what the first view lists, in one line.
  void LogFirstView();
  void OnViewChanged(const view_change& change);
  void OnTargetsDeparted(std::span<const departed_target> targets);
  // Counts and logs a target that packets were dropped for until now.
  void OnTargetLearned(const target_record& record, time_point now);
  void OnUnknownCookie(std::uint32_t cookie);
  void OnDirectoryChange(const directory_change& change);
  void OnTargetUnreachable(target_index target);
  void OnTargetReached(target_index target);
  void OnRequestStalled(const flow_key& key,
                        target_index target,
                        duration waited);
  void OnSignal();
  void BeginStop();
  void FinishStopWhenDue(time_point now);
  void Reload(const char* reason);
  void CheckSettingsFile();
  void OnTick();
  void OnSecond();
  std::string MetricsText();
  void LogLifecycle(const char* event, const std::string& detail);

  entry_settings settings_;
  entry_options options_;
  signal_descriptor& signals_;
  event_loop loop_;
  entry_log log_;
  std::unique_ptr<metrics_registry> registry_;
  entry_metrics metrics_;
  target_directory directory_;
  dropped_cookies dropped_cookies_;
  flow_tracker tracker_;
  store_sync sync_;
  suspicion_accuracy accuracy_;
  data_centre_reachability reachability_;
  suspect_prober suspect_prober_;
  target_picker picker_;
  overload_guard guard_;
  packet_director director_;
  packet_forwarder packet_forwarder_;
  admin_server admin_;
  descriptor_watch signal_watch_;
  loop_timer tick_timer_;
  loop_timer second_timer_;
  time_point started_;
  time_point last_wake_;
  // Until then, packets may have waited in the socket until copies were sent.
  time_point packets_late_until_{};
  time_point last_tick_;
  time_point late_until_{};
  time_point pause_ended_{};
  bool refreshing_after_pause_ = false;
  bool stopping_ = false;
  bool was_ready_ = false;
  std::function<void()> on_serving_;   // empty after its call
  bool reach_confirmed_ = false;       // a target was reached since the start
  bool taking_first_view_ = false;     // one line states all added targets
  std::size_t change_lines_left_ = 0;  // for the current batch of changes
  stop_schedule stop_schedule_;
  std::mt19937_64 random_;
  std::int64_t settings_mtime_ = 0;  // modification time, Unix nanoseconds
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ENTRYD_ENTRY_INSTANCE_H_
