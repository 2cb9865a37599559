// Strict reading of JSON text and short forms of values for messages.
#ifndef ROSEMARYREACH_CONFIG_JSON_TEXT_H_
#define ROSEMARYREACH_CONFIG_JSON_TEXT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "rosemaryreach/result.h"

namespace rosemaryreach {

// Deepest nesting accepted in any document.
inline constexpr int kMaxJsonDepth = 32;

// Parses `text`; returns kInvalidJson for anything but one JSON value without
// repeated members and not nested deeper than kMaxJsonDepth.
result<nlohmann::json> ParseJson(std::string_view text);

// Returns `value` as JSON text, shortened if long; "an object" and "an array"
// for those.
std::string DescribeValue(const nlohmann::json& value);

// Returns compact JSON text; octets that are no UTF-8 are replaced.
std::string DumpJson(const nlohmann::json& value);

// Returns 16 hexadecimal digits.
std::string FormatHex(std::uint64_t value);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CONFIG_JSON_TEXT_H_
