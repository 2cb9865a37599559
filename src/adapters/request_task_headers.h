// Headers of the request plane: timeouts, run state, forwarding between
// instances, and local replies.
#ifndef ROSEMARYREACH_ADAPTERS_REQUEST_TASK_HEADERS_H_
#define ROSEMARYREACH_ADAPTERS_REQUEST_TASK_HEADERS_H_

#include <optional>
#include <string>
#include <string_view>

#include "adapters/h2_types.h"
#include "rosemaryreach/request_types.h"

namespace rosemaryreach {

inline constexpr std::string_view kHeaderPrefix = "rosemaryreach-";
inline constexpr std::string_view kTimeoutHeader = "rosemaryreach-timeout-ms";
inline constexpr std::string_view kRunHeader = "rosemaryreach-run";
inline constexpr std::string_view kReasonHeader = "rosemaryreach-reason";
// Between instances only.
inline constexpr std::string_view kHopHeader = "rosemaryreach-hop";
inline constexpr std::string_view kServiceHeader = "rosemaryreach-service";
inline constexpr std::string_view kCallerHeader = "rosemaryreach-caller";
inline constexpr std::string_view kAuthenticatorHeader =
    "rosemaryreach-authenticator";
inline constexpr std::string_view kReachedHeader = "rosemaryreach-reached";
inline constexpr std::string_view kLoadHeader = "rosemaryreach-load";

// Returns whether the headers are those of a gRPC message.
bool IsGrpc(const h2_headers& headers);

// Parses a grpc-timeout ("250m"); nullopt if `text` is malformed.
std::optional<duration> ParseGrpcTimeout(std::string_view text);

// Returns the grpc-timeout for `timeout`, rounded down, at least "1u".
std::string FormatGrpcTimeout(duration timeout);

// Returns the caller's timeout: the shorter of grpc-timeout and
// rosemaryreach-timeout-ms, or zero if neither is set.
duration RequestTimeout(const h2_headers& headers);

// Returns whether a response reports overload: status 429 or 503, or gRPC
// RESOURCE_EXHAUSTED or UNAVAILABLE.
bool IsOverloadedResponse(const h2_headers& headers);

std::string FormatLoad(const peer_load& load);
std::optional<peer_load> ParseLoad(std::string_view text);

// A response that rosemaryreach generates itself.
struct local_reply {
  int status = 0;       // HTTP status
  int grpc_status = 0;  // for gRPC callers, whose HTTP status is 200
  std::string_view reason;
  run_state run = run_state::kNotRun;
  duration retry_after{};  // no header if zero
};

// Why a request is refused before it reaches the router.
enum class request_rejection : std::uint8_t {
  kNoService,
  kHeadersTooLarge,
  kUnauthenticated,
  kBuffersFull,
};

local_reply MakeLocalReply(request_rejection rejection);
local_reply MakeLocalReply(const local_reply_action& action);

// Returns the header fields of `reply`; trailers-only for gRPC.
h2_headers LocalReplyHeaders(const local_reply& reply, bool grpc);

// Returns the outcome that a peer's local reply to a forwarded request reports;
// nullopt for a target's response.
std::optional<attempt_outcome> OutcomeFromPeerReply(const h2_headers& headers);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_REQUEST_TASK_HEADERS_H_
