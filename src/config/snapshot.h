// The parts of a snapshot: how they are cut, recognized and put together.
#ifndef ROSEMARYREACH_CONFIG_SNAPSHOT_H_
#define ROSEMARYREACH_CONFIG_SNAPSHOT_H_

#include <cstdint>
#include <nlohmann/json.hpp>

#include "rosemaryreach/patch_log.h"

namespace rosemaryreach {

// Returns the members that all parts of one snapshot repeat (kind, number,
// digest, parts), or why `body` is not the part that `entry` names.
result<nlohmann::json> ReadPartHeader(const log_entry& entry,
                                      const nlohmann::json& body);

// Adds the services, data centres and legacy next hop of a part.
void MergePart(const nlohmann::json& body, nlohmann::json& document);

// Returns whether `entry` is a part of a state that a peer gave.
bool IsPeerStateEntry(const log_entry& entry);

// Returns the part of ConfigurationDigest() that is no service's.
std::uint64_t GlobalSectionsDigest(const configuration& config);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CONFIG_SNAPSHOT_H_
