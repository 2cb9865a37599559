// Runs the packet workers of an instance, each on its own thread.
#ifndef ROSEMARYREACH_DAEMON_PACKET_PLANE_H_
#define ROSEMARYREACH_DAEMON_PACKET_PLANE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/event_loop.h"
#include "adapters/packet_worker.h"
#include "rosemaryreach/fleet_view.h"
#include "rosemaryreach/log.h"
#include "rosemaryreach/metrics.h"
#include "rosemaryreach/peer_auth.h"
#include "rosemaryreach/settings.h"

namespace rosemaryreach {

// Used only on the control task's event loop; forwards every call to the
// workers as a message.
class packet_plane {
 public:
  using send_state = std::function<void(instance_id to, std::string payload)>;

  // `send` runs on `control`.
  packet_plane(event_loop& control,
               const settings& settings,
               const peer_keys& keys,
               std::uint64_t first_sequence,
               log_sink& log,
               metrics_registry& metrics,
               send_state send);
  // Stops the workers and joins their threads.
  ~packet_plane();

  // Binds the sockets and starts the threads.
  result<void> Start();

  void ApplyConfiguration(std::shared_ptr<const configuration> config);
  void ApplyView(const fleet_view& view);
  // Sets whether the workers may act on the latest view.
  void SetTrusted(bool trusted);
  // Forwards a flow message to the workers; drops and counts malformed
  // payloads.
  void OnFlowState(instance_id from, std::string_view payload);
  void ReportTarget(std::string_view service,
                    std::string_view target,
                    target_condition condition);

  // Returns whether every worker has the state of all open buckets in the
  // latest view.
  bool synchronized() const;
  // Returns whether no worker owns a bucket in the latest view.
  bool handed_over() const;
  // Returns the sum of the workers' last reported statistics.
  packet_worker_stats stats() const;

 private:
  struct worker_thread;
  struct plane_metrics;

  void PostToAll(const std::function<void(packet_worker&)>& run);
  void OnReport(std::size_t worker, const packet_worker_stats& stats);

  event_loop& control_;
  log_sink& log_;
  send_state send_;
  std::unique_ptr<plane_metrics> metrics_;
  std::uint64_t view_version_ = 0;
  std::vector<packet_worker_stats> reports_;
  std::vector<std::unique_ptr<worker_thread>> threads_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_DAEMON_PACKET_PLANE_H_
