// Splits, recognizes and merges the parts of a snapshot.
#ifndef ROSEMARYREACH_CONFIG_SNAPSHOT_H_
#define ROSEMARYREACH_CONFIG_SNAPSHOT_H_

#include <cstdint>
#include <nlohmann/json.hpp>

#include "rosemaryreach/patch_log.h"

namespace rosemaryreach {

// Returns the members that all parts of one snapshot repeat (kind, number,
// digest, parts), or an error if `body` is not the part that `entry` states.
result<nlohmann::json> ReadPartHeader(const log_entry& entry,
                                      const nlohmann::json& body);

// Adds the services, data centres and legacy next hop of a part to `document`.
void MergePart(const nlohmann::json& body, nlohmann::json& document);

// Returns whether `entry` is a part of a peer state.
bool IsPeerStateEntry(const log_entry& entry);

// Returns the hash of everything but the services, a summand of
// ConfigurationDigest().
std::uint64_t GlobalSectionsDigest(const configuration& config);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CONFIG_SNAPSHOT_H_
