// State of services, requests and attempts in request_router.
#ifndef ROSEMARYREACH_REQUESTS_ROUTER_STATE_H_
#define ROSEMARYREACH_REQUESTS_ROUTER_STATE_H_

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "rosemaryreach/admission_queue.h"
#include "rosemaryreach/concurrency_limit.h"
#include "rosemaryreach/config.h"
#include "rosemaryreach/request_types.h"
#include "rosemaryreach/retry_budget.h"
#include "rosemaryreach/slot_table.h"

namespace rosemaryreach {

// An instance that owns usable targets of a service; possibly this instance.
struct service_owner {
  instance_id instance;
  std::uint32_t slots = 0;            // declared for its usable targets
  std::uint32_t cold_rate_per_s = 0;  // of the same targets
  peer_load load;                     // last piggybacked load
  time_point load_at;
  bool has_load = false;
  std::uint32_t outstanding = 0;  // forwarded by this instance and not ended
  std::uint32_t sent_since_load = 0;
};

// Assumed processing time at a target before the first response.
inline constexpr duration kDefaultProcessingTime =
    std::chrono::milliseconds(20);

struct request_service {
  request_service(const service_config& declared, duration cancel_grace)
      : config(declared),
        slots(cancel_grace),
        queue(declared.requests.queue_limit),
        budget(declared.requests.retry_budget_percent) {}

  service_config config;
  bool declared = true;
  slot_table slots;
  admission_queue queue;
  retry_budget budget;
  std::vector<service_owner> owners;
  std::set<target_id> reported_unhealthy;
  // Requests that wait for an owner with capacity, each until its retry_at.
  std::vector<request_id> waiting;
  // Time from the request's arrival to the response headers.
  latency_estimate time_to_headers;
  time_point last_interactive_at;
  bool has_interactive = false;

  // Returns the mean processing time at a target: of interactive requests if
  // there were any, otherwise of bulk requests.
  duration MeanProcessingTime() const {
    const latency_estimate& interactive =
        slots.ServiceLatency(request_class::kInteractive);
    const latency_estimate& bulk = slots.ServiceLatency(request_class::kBulk);
    const latency_estimate& estimate =
        interactive.samples() > 0 ? interactive : bulk;
    return estimate.samples() > 0 ? estimate.mean() : kDefaultProcessingTime;
  }
};

enum class request_stage : std::uint8_t {
  kReservingKey,
  kWaitingForOwner,
  kQueued,
  kRunning,
};

struct live_request {
  request_id id;
  request_service* service = nullptr;
  request_class kind = request_class::kInteractive;
  request_stage stage = request_stage::kWaitingForOwner;
  bool idempotent = false;
  std::uint64_t caller = 0;
  std::uint64_t key = 0;
  instance_id forwarded_by;
  time_point arrived;
  time_point deadline;
  time_point hedge_at;
  bool hedge_scheduled = false;
  bool reached_target = false;
  bool may_have_run = false;
  std::vector<attempt_id> attempts;
  attempt_id relayed_attempt;
  target_id last_target;
  std::vector<instance_id> tried_owners;
  time_point retry_at;

  bool HasTried(instance_id instance) const {
    return std::find(tried_owners.begin(), tried_owners.end(), instance) !=
           tried_owners.end();
  }
};

// An attempt at a target or, if `instance` is not zero, at a peer.
struct live_attempt {
  request_id request;
  request_service* service = nullptr;
  target_id target;
  instance_id instance;
  time_point started;
  time_point deadline;
  bool cancelled = false;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_REQUESTS_ROUTER_STATE_H_
