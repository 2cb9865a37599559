// The packet workers of an instance, each on a thread of its own.
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

// Used on the control task's loop; passes everything on as messages.
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
  // Whether the latest view may be acted on.
  void SetTrusted(bool trusted);
  // Drops and counts a payload that is no flow message.
  void OnFlowState(instance_id from, std::string_view payload);
  void ReportTarget(std::string_view service,
                    std::string_view target,
                    target_condition condition);

  // Whether every worker knows all open buckets in the latest view.
  bool synchronized() const;
  // Whether no worker owns a bucket in the latest view.
  bool handed_over() const;
  // The workers' figures added up, as of their last report.
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
