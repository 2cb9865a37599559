// Reads and writes a configuration as JSON. Input is checked against the
// published schema, then against the rules that a schema can't express.
#ifndef ROSEMARYREACH_CONFIG_JSON_H_
#define ROSEMARYREACH_CONFIG_JSON_H_

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "rosemaryreach/config.h"
#include "rosemaryreach/result.h"

namespace rosemaryreach {

// Exclusive size limit of a value on the platform, in octets.
inline constexpr std::size_t kValueLimitBytes = 1'000'000;

// A configuration, or all errors found in its text.
struct configuration_check {
  configuration value;
  std::vector<error> errors;

  bool ok() const { return errors.empty(); }
};

// Parses and checks the text of a configuration. Services, targets and data
// centres are sorted by name. Each error holds a JSON pointer, the value found
// and what is expected.
configuration_check CheckConfiguration(std::string_view text);

// Returns the configuration in `text`, or its first error.
result<configuration> ParseConfiguration(std::string_view text);

// Returns all rule violations in `config`: addresses in two services,
// undeclared data centres, duplicate names, values out of bounds.
std::vector<error> CheckRules(const configuration& config);

// Returns the canonical document of `config`: all members written out, keys
// sorted; equal configurations give equal text.
nlohmann::json ConfigurationToJson(const configuration& config);

// Returns the canonical document of one service.
nlohmann::json ServiceToJson(const service_config& service);

// Returns the canonical document as indented text.
std::string FormatConfiguration(const configuration& config);

// Returns a digest of the content without the number: the sum of one hash for
// each service and one for the rest.
std::uint64_t ConfigurationDigest(const configuration& config);

// Returns the hash of `service` that ConfigurationDigest() adds up.
std::uint64_t ServiceDigest(const service_config& service);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CONFIG_JSON_H_
