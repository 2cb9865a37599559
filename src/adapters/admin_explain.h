// Answers where a packet or a request goes by the configuration and the live
// instances, for the admin interface.
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
// decides and may know a pin. kNotFound if the question names a service that
// does not have the destination.
result<nlohmann::json> ExplainFlow(const configuration& config,
                                   const fleet_view& view,
                                   const flow_query& query);

// Returns the targets that the request may go to, each with the instance that
// dispatches to it. kNotFound if no such service takes requests.
result<nlohmann::json> ExplainRequest(const configuration& config,
                                      const fleet_view& view,
                                      const request_query& query);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_ADMIN_EXPLAIN_H_
