// The task of the request plane: owns its listeners, the connections to
// targets and peers, and a request_router that decides where requests go.
#ifndef ROSEMARYREACH_ADAPTERS_REQUEST_TASK_H_
#define ROSEMARYREACH_ADAPTERS_REQUEST_TASK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/event_loop.h"
#include "adapters/h2_types.h"
#include "rosemaryreach/config.h"
#include "rosemaryreach/fleet_view.h"
#include "rosemaryreach/log.h"
#include "rosemaryreach/request_router.h"
#include "rosemaryreach/request_types.h"

namespace rosemaryreach {

struct request_task_settings {
  // Endpoints that callers connect to; port 0 selects a free port.
  std::vector<endpoint> callers{};
  // Endpoint for requests that peers forward.
  endpoint peers{};
  router_options router{};
  h2_limits caller_limits{};
  h2_limits peer_limits{.max_streams = 4'096};
  h2_limits upstream_limits{.stream_window_bytes = 128 * 1'024,
                            .idle_timeout = std::chrono::minutes(1),
                            .ping_interval = std::chrono::seconds(1),
                            .ping_timeout = std::chrono::seconds(1)};
  std::size_t max_connections = 20'000;
  // New requests are refused while more body bytes than this are buffered.
  std::size_t max_buffered_bytes = 64 * 1'024 * 1'024;
  // A request's body is kept for retries up to this size.
  std::size_t max_replay_bytes = 64 * 1'024;
  // How long a caller may take to read the rest of a complete response.
  duration response_read_timeout = std::chrono::minutes(1);
};

// Callbacks, run on the loop's thread.
struct request_task_hooks {
  // Returns the authenticator of `text`.
  std::function<std::string(std::string_view text)> sign;
  std::function<bool(std::string_view text, std::string_view authenticator)>
      verify;
  // Sends a message of the router to a peer.
  std::function<void(instance_id to, const request_message& message)> send;
  // The graceful stop is complete: no request is open.
  std::function<void()> on_stopped;
};

struct request_task_stats {
  std::size_t caller_connections = 0;
  std::size_t upstream_connections = 0;
  std::size_t requests = 0;
  std::uint64_t requests_total = 0;
  std::uint64_t refused_total = 0;
  std::uint64_t aborted_total = 0;
  std::size_t buffered_bytes = 0;
  std::size_t peak_buffered_bytes = 0;
  // Queued for the sockets of callers and peers.
  std::size_t output_bytes = 0;
};

// Not thread-safe: all calls are made on the loop's thread; other threads use
// event_loop::Post().
class request_task {
 public:
  request_task(event_loop& loop,
               instance_id self,
               request_task_settings settings,
               request_task_hooks hooks,
               log_sink& log);
  ~request_task();
  request_task(const request_task&) = delete;
  request_task& operator=(const request_task&) = delete;

  // Opens the listeners; returns errc::kIo if one fails to open.
  result<void> Start();

  void ApplyConfiguration(std::shared_ptr<const configuration> config);
  void ApplyView(const fleet_view& view);
  // Reports that membership considers the view current; see
  // request_router::ConfirmView().
  void ConfirmView();
  void OnTargetReport(const target_report& report);
  void OnMessage(instance_id from, const request_message& message);

  // Starts a graceful stop; on_stopped follows.
  void BeginStop();

  request_task_stats stats() const;
  // Returns the bound endpoints, in the order of the settings.
  std::vector<endpoint> caller_endpoints() const;
  endpoint peer_endpoint() const;

  class impl;

 private:
  std::unique_ptr<impl> impl_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_REQUEST_TASK_H_
