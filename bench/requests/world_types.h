// What request_world and its callers share: requests, their ends, instances
// and targets.
#ifndef ROSEMARYREACH_BENCH_REQUESTS_WORLD_TYPES_H_
#define ROSEMARYREACH_BENCH_REQUESTS_WORLD_TYPES_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "requests/fake_target.h"
#include "rosemaryreach/fleet_view.h"
#include "rosemaryreach/request_router.h"

namespace rosemaryreach::bench {

inline constexpr duration kMeanInteractiveWork = std::chrono::milliseconds(40);
inline constexpr duration kMeanBulkWork = std::chrono::milliseconds(200);

// Returns the longest work of a warm target.
inline duration LongestWork(request_class kind) {
  return (kind == request_class::kBulk ? kMeanBulkWork : kMeanInteractiveWork) *
         3 / 2;
}

// A request as its caller sends it.
struct caller_request {
  std::uint64_t uid = 0;
  std::string service;
  std::string method;
  std::string path;
  request_class kind = request_class::kInteractive;
  std::uint64_t caller = 0;
  std::uint64_t key = 0;
  duration timeout{};
  duration service_time{};
};

// The one end that a caller sees.
struct caller_end {
  bool whole = false;
  bool cut = false;
  std::uint64_t body_uid = 0;  // whose answer it is
  run_state run = run_state::kUnknown;
  local_reply_reason condition = local_reply_reason::kOverloaded;
  duration retry_after{};
  bool instance_lost = false;
};

// One instance of the fleet.
struct world_node {
  instance_info info;
  std::unique_ptr<request_router> router;
  bool alive = true;
  bool paused = false;
  bool in_rotation = true;
  // Parts of a split network: among instances, and towards targets.
  int part = 0;
  int targets_part = 0;
  std::uint64_t epoch = 0;
  std::uint64_t next_request = 1;
  std::vector<std::function<void()>> held;
  // What runs here, by local request id.
  struct local_request {
    caller_request request;
    std::uint64_t peer_stream = 0;  // zero if a caller sent it
  };
  std::unordered_map<std::uint64_t, local_request> requests;
  // Requests whose answer is passed on, by attempt id.
  std::unordered_map<std::uint64_t, std::uint64_t> relays;
  // Streams opened here, by attempt id.
  std::unordered_map<std::uint64_t, std::uint64_t> streams;
};

struct world_target {
  std::string service;
  std::string name;
  target_id id;
  std::string data_centre;
  std::unique_ptr<fake_target> fake;
  int part = 0;
  // When the owner could first see that the target had turned cold.
  std::optional<time_point> signed_at;
  bool watch_for_sign = false;
  std::uint64_t above_bearing_after_sign = 0;
};

}  // namespace rosemaryreach::bench

#endif  // ROSEMARYREACH_BENCH_REQUESTS_WORLD_TYPES_H_
