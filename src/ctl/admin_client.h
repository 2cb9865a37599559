// Sends requests to the admin interfaces of several instances concurrently.
#ifndef ROSEMARYREACH_CTL_ADMIN_CLIENT_H_
#define ROSEMARYREACH_CTL_ADMIN_CLIENT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "ctl/ctl_options.h"
#include "rosemaryreach/result.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

// The response of one instance. HTTP statuses other than 200 are errors.
struct admin_reply {
  endpoint admin;
  result<std::string> body;
};

// Sends GET `path` to all of options.admins concurrently and waits for the
// responses, at most options.timeout. Replies are in the order of
// options.admins.
std::vector<admin_reply> QueryAllInstances(const ctl_options& options,
                                           const std::string& path);

// Sends GET `path` to all instances and returns the first valid JSON document
// in the order of options.admins, or the error of the last instance.
result<nlohmann::json> QueryAnyInstance(const ctl_options& options,
                                        const std::string& path);

// Parses `body` as JSON; returns its error if it holds one.
result<nlohmann::json> ParseReply(const result<std::string>& body);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CTL_ADMIN_CLIENT_H_
