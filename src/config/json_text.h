// Parses JSON text strictly and formats values for messages.
#ifndef ROSEMARYREACH_CONFIG_JSON_TEXT_H_
#define ROSEMARYREACH_CONFIG_JSON_TEXT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "rosemaryreach/result.h"

namespace rosemaryreach {

// Maximum nesting depth of a document.
inline constexpr int kMaxJsonDepth = 32;

// Parses `text`; returns kInvalidJson unless it is one JSON value without
// duplicate members and nested at most kMaxJsonDepth deep.
result<nlohmann::json> ParseJson(std::string_view text);

// Returns `value` as JSON text, truncated if long; "an object" or "an array"
// for structured values.
std::string DescribeValue(const nlohmann::json& value);

// Returns compact JSON text; invalid UTF-8 is replaced.
std::string DumpJson(const nlohmann::json& value);

// Returns `value` as 16 hexadecimal digits.
std::string FormatHex(std::uint64_t value);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CONFIG_JSON_TEXT_H_
