#include "rosemaryreach/result.h"

namespace rosemaryreach {

const char* ErrcName(errc code) {
  switch (code) {
    case errc::kInvalidAddress:
      return "invalid_address";
    case errc::kInvalidJson:
      return "invalid_json";
    case errc::kSchemaViolation:
      return "schema_violation";
    case errc::kRuleViolation:
      return "rule_violation";
    case errc::kWrongBase:
      return "wrong_base";
    case errc::kTooLarge:
      return "too_large";
    case errc::kTruncated:
      return "truncated";
    case errc::kUnsupported:
      return "unsupported";
    case errc::kNotFound:
      return "not_found";
    case errc::kUnavailable:
      return "unavailable";
    case errc::kTimeout:
      return "timeout";
    case errc::kUnauthenticated:
      return "unauthenticated";
    case errc::kStale:
      return "stale";
    case errc::kIo:
      return "io";
    case errc::kLimit:
      return "limit";
  }
  return "unknown";
}

std::string FormatError(const error& error) {
  std::string text = ErrcName(error.code);
  if (!error.path.empty()) {
    text += " at " + error.path;
  }
  return text + ": " + error.detail;
}

}  // namespace rosemaryreach
