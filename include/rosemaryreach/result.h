// Errors as return values: result<T> holds a value or an error.
#ifndef ROSEMARYREACH_RESULT_H_
#define ROSEMARYREACH_RESULT_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>
#include <cstdint>
#include <string>

namespace rosemaryreach {

// Error codes; error::detail has a text for operators.
enum class errc : std::uint8_t {
  kInvalidAddress,
  kInvalidJson,
  kSchemaViolation,
  kRuleViolation,
  kWrongBase,
  kTooLarge,
  kTruncated,
  kUnsupported,
  kNotFound,
  kUnavailable,
  kTimeout,
  kUnauthenticated,
  kStale,
  kIo,
  kLimit,
};

// Returns the stable lower-case name of `code` used in logs and JSON.
const char* ErrcName(errc code);

// One error. `path` is a JSON pointer or file name, or empty.
struct error {
  errc code = errc::kIo;
  std::string path;
  std::string detail;
};

// Returns "code at path: detail".
std::string FormatError(const error& error);

template <typename T>
using result = boost::outcome_v2::
    basic_result<T, error, boost::outcome_v2::policy::all_narrow>;

using boost::outcome_v2::success;

// Returns a failure that converts to any result<T>.
inline boost::outcome_v2::failure_type<error> Fail(errc code,
                                                   std::string detail,
                                                   std::string path = {}) {
  return boost::outcome_v2::failure(
      error{code, std::move(path), std::move(detail)});
}

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_RESULT_H_
