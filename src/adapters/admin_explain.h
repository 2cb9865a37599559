// Explains how a packet or request would be routed under the current
// configuration and live instances, for the admin interface.
#ifndef ROSEMARYREACH_ADAPTERS_ADMIN_EXPLAIN_H_
#define ROSEMARYREACH_ADAPTERS_ADMIN_EXPLAIN_H_

#include <nlohmann/json.hpp>

#include "adapters/admin_server.h"
#include "rosemaryreach/config.h"
#include "rosemaryreach/fleet_view.h"
#include "rosemaryreach/result.h"

namespace rosemaryreach {

// Returns service, bucket, rule, target, next hop, owner and successor of a
// new flow in the steady state. While its bucket is in transition, the owner
// decides and may hold a pin for the flow. kNotFound if the query names a
// service that does not have the destination address.
result<nlohmann::json> ExplainFlow(const configuration& config,
                                   const fleet_view& view,
                                   const flow_query& query);

// Returns the targets of the request's service, each with its owner, which
// dispatches requests to it. kNotFound if no such service handles requests.
result<nlohmann::json> ExplainRequest(const configuration& config,
                                      const fleet_view& view,
                                      const request_query& query);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_ADMIN_EXPLAIN_H_
