// Asks the admin interfaces of instances, all at once.
#ifndef ROSEMARYREACH_CTL_ADMIN_CLIENT_H_
#define ROSEMARYREACH_CTL_ADMIN_CLIENT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "ctl/ctl_options.h"
#include "rosemaryreach/result.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

// What one instance answered. Statuses other than 200 are errors.
struct admin_reply {
  endpoint admin;
  result<std::string> body;
};

// Asks all of options.admins for `path` and waits for them, at most
// options.timeout. Replies come in the order of the options.
std::vector<admin_reply> QueryAllInstances(const ctl_options& options,
                                           const std::string& path);

// Returns the JSON document of the first instance that answers.
result<nlohmann::json> QueryAnyInstance(const ctl_options& options,
                                        const std::string& path);

// Returns the JSON document in `body`.
result<nlohmann::json> ParseReply(const result<std::string>& body);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CTL_ADMIN_CLIENT_H_
