// Patches: RFC 6902 operations against one configuration number, applied
// atomically.
#ifndef ROSEMARYREACH_PATCH_H_
#define ROSEMARYREACH_PATCH_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "rosemaryreach/config.h"
#include "rosemaryreach/result.h"

namespace rosemaryreach {

// A change that applies only to the configuration with number `base`.
struct patch {
  std::uint64_t base = 0;
  // Author and purpose, free text.
  std::string author;
  // RFC 6902 operations on the canonical document, an array.
  nlohmann::json operations = nlohmann::json::array();

  bool operator==(const patch&) const = default;
};

// Returns `config` with `patch` applied and its number raised by one. Errors:
// kWrongBase, kSchemaViolation, kRuleViolation, kNotFound (an operation whose
// path doesn't exist or whose test fails) or kTooLarge.
result<configuration> ApplyPatch(const configuration& config,
                                 const patch& patch);

// Parses the text that FormatPatch() writes; returns kTooLarge, kInvalidJson
// or kSchemaViolation.
result<patch> ParsePatch(std::string_view text);

// Returns `patch` as the text of a published entry, with its checksum.
std::string FormatPatch(const patch& patch);

// Returns the patch that changes the content of `from` to that of `to`.
patch DiffConfigurations(const configuration& from,
                         const configuration& to,
                         std::string author);

// Returns a patch that takes a data centre out or back in.
result<patch> SetDataCentreState(const configuration& config,
                                 std::string_view data_centre,
                                 data_centre_state state);

// Returns a patch that drains a target or makes it active again.
result<patch> SetTargetState(const configuration& config,
                             std::string_view service,
                             std::string_view target,
                             target_state state);

// Returns a patch that adds `target` to a service.
result<patch> AddTarget(const configuration& config,
                        std::string_view service,
                        const target_config& target);

// Returns a patch that removes a target.
result<patch> RemoveTarget(const configuration& config,
                           std::string_view service,
                           std::string_view target);

// Returns a patch that sets the percentage of new connections that
// rosemaryreach serves, for a service with a legacy next hop.
result<patch> SetServiceShare(const configuration& config,
                              std::string_view service,
                              std::uint32_t share_percent);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_PATCH_H_
