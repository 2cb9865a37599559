// Runs the request task of an instance on its own thread.
#ifndef ROSEMARYREACH_DAEMON_REQUEST_PLANE_H_
#define ROSEMARYREACH_DAEMON_REQUEST_PLANE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

#include "adapters/event_loop.h"
#include "adapters/request_task.h"
#include "rosemaryreach/fleet_view.h"
#include "rosemaryreach/log.h"
#include "rosemaryreach/metrics.h"
#include "rosemaryreach/peer_auth.h"
#include "rosemaryreach/settings.h"
#include "rosemaryreach/target_health.h"

namespace rosemaryreach {

// Used only on the control task's event loop; forwards every call to the
// request task as a message.
class request_plane {
 public:
  using send_state = std::function<void(instance_id to, std::string payload)>;

  // `send` runs on `control`.
  request_plane(event_loop& control,
                const settings& settings,
                const peer_keys& keys,
                std::uint64_t seed,
                log_sink& log,
                metrics_registry& metrics,
                send_state send);
  // Stops the task and joins its thread.
  ~request_plane();

  // Binds the listeners and starts the thread.
  result<void> Start();

  void ApplyConfiguration(std::shared_ptr<const configuration> config);
  void ApplyView(const fleet_view& view);
  void ConfirmView();
  // Forwards a request message to the task; drops and counts malformed
  // payloads.
  void OnRequestState(instance_id from, std::string_view payload);
  void ReportTarget(std::string_view service,
                    std::string_view target,
                    target_condition condition);

  // Starts a graceful stop.
  void BeginStop();
  // Returns whether a graceful stop has completed and no request is open.
  bool drained() const { return drained_; }
  // Returns the task's last reported statistics.
  const request_task_stats& stats() const { return stats_; }

 private:
  struct plane_metrics;

  request_task_hooks MakeTaskHooks();
  void Post(std::function<void(request_task&)> run);
  void OnReport(const request_task_stats& stats);

  event_loop& control_;
  log_sink& log_;
  send_state send_;
  std::unique_ptr<plane_metrics> metrics_;
  bool drained_ = false;
  request_task_stats stats_;
  event_loop loop_;
  // Signs and verifies forwarded requests; used only on loop_.
  peer_auth auth_;
  request_task task_;
  loop_timer report_timer_;
  std::thread thread_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_DAEMON_REQUEST_PLANE_H_
