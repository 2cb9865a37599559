// Builds the JSON documents of the admin interface.
#ifndef ROSEMARYREACH_DAEMON_STATUS_JSON_H_
#define ROSEMARYREACH_DAEMON_STATUS_JSON_H_

#include <nlohmann/json.hpp>

#include "adapters/control_task.h"
#include "adapters/packet_worker.h"
#include "adapters/request_task.h"
#include "rosemaryreach/config.h"

namespace rosemaryreach {

// Returns the fleet and configuration members of /v1/status.
nlohmann::json FleetStatusToJson(const control_status& status);

// Returns the statistics of the packet plane.
nlohmann::json PacketStatsToJson(const packet_worker_stats& stats);

// Returns the statistics of the request plane.
nlohmann::json RequestStatsToJson(const request_task_stats& stats);

// Returns an array with one object for each target: service, name, address,
// data centre, weight, state, and whether it gets new work.
nlohmann::json TargetsToJson(const configuration& config);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_DAEMON_STATUS_JSON_H_
