#include "adapters/request_task_headers.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace rosemaryreach {
namespace {

constexpr std::size_t kMaxTimeoutDigits = 8;
constexpr std::int64_t kMaxTimeoutMs = 24LL * 3'600 * 1'000;
constexpr std::string_view kOverloadedGrpcStatus = "8";    // RESOURCE_EXHAUSTED
constexpr std::string_view kUnavailableGrpcStatus = "14";  // UNAVAILABLE

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t value = 0;
  const char* const end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value < 0) {
    return std::nullopt;
  }
  return value;
}

std::optional<duration> GrpcUnit(char unit) {
  switch (unit) {
    case 'H':
      return std::chrono::hours(1);
    case 'M':
      return std::chrono::minutes(1);
    case 'S':
      return std::chrono::seconds(1);
    case 'm':
      return std::chrono::milliseconds(1);
    case 'u':
      return std::chrono::microseconds(1);
    default:
      return std::nullopt;
  }
}

// Rounded up, so that a caller never retries too early.
std::string RetryAfterSeconds(duration retry_after) {
  return std::to_string(
      std::chrono::ceil<std::chrono::seconds>(retry_after).count());
}

std::string Milliseconds(duration span) {
  return std::to_string(
      std::chrono::ceil<std::chrono::milliseconds>(span).count());
}

struct reply_status {
  int http;
  int grpc;
};

reply_status StatusOf(local_reply_reason reason, run_state run) {
  constexpr int kUnknown = 2;
  constexpr int kDeadlineExceeded = 4;
  constexpr int kAlreadyExists = 6;
  constexpr int kAborted = 10;
  constexpr int kUnavailable = 14;
  switch (reason) {
    case local_reply_reason::kDeadline:
      return {504, kDeadlineExceeded};
    case local_reply_reason::kTargetFailed:
      // Clients retry UNAVAILABLE, so it is only used if the request has not
      // run.
      return {502, run == run_state::kNotRun ? kUnavailable : kUnknown};
    case local_reply_reason::kResponseAborted:
      return {502, kUnknown};
    case local_reply_reason::kKeyInProgress:
      return {409, kAborted};
    case local_reply_reason::kKeyDone:
      return {409, kAlreadyExists};
    case local_reply_reason::kKeyUnknown:
      return {409, kUnknown};
    case local_reply_reason::kOverloaded:
    case local_reply_reason::kNoTarget:
    case local_reply_reason::kTargetRefused:
    case local_reply_reason::kKeyUnavailable:
    case local_reply_reason::kStopping:
      break;
  }
  return {503, run == run_state::kNotRun ? kUnavailable : kUnknown};
}

}  // namespace

bool IsGrpc(const h2_headers& headers) {
  return FindHeader(headers, "content-type").starts_with("application/grpc");
}

std::optional<duration> ParseGrpcTimeout(std::string_view text) {
  if (text.size() < 2 || text.size() > kMaxTimeoutDigits + 1) {
    return std::nullopt;
  }
  const std::optional<std::int64_t> count =
      ParseNumber(text.substr(0, text.size() - 1));
  if (!count) {
    return std::nullopt;
  }
  if (text.back() == 'n') {
    return std::chrono::ceil<duration>(std::chrono::nanoseconds(*count));
  }
  const std::optional<duration> unit = GrpcUnit(text.back());
  if (!unit) {
    return std::nullopt;
  }
  // 8 digits of hours fit into 64 bits of microseconds.
  const duration limit = std::chrono::milliseconds(kMaxTimeoutMs);
  return std::min(limit, *unit * *count);
}

std::string FormatGrpcTimeout(duration timeout) {
  constexpr std::int64_t kMaxCount = 99'999'999;
  const std::int64_t micros = std::max<std::int64_t>(timeout.count(), 1);
  if (micros <= kMaxCount) {
    return std::to_string(micros) + "u";
  }
  return std::to_string(std::min(micros / 1'000, kMaxCount)) + "m";
}

duration RequestTimeout(const h2_headers& headers) {
  duration timeout{};
  const auto consider = [&timeout](duration given) {
    // Zero means that no timeout is set; the shortest one replaces it.
    const duration counted = std::max(given, duration(1));
    timeout =
        timeout == duration::zero() ? counted : std::min(timeout, counted);
  };
  const std::optional<duration> grpc =
      ParseGrpcTimeout(FindHeader(headers, "grpc-timeout"));
  if (grpc) {
    consider(*grpc);
  }
  const std::optional<std::int64_t> plain =
      ParseNumber(FindHeader(headers, kTimeoutHeader));
  if (plain) {
    consider(std::chrono::milliseconds(std::min(*plain, kMaxTimeoutMs)));
  }
  return timeout;
}

bool IsOverloadedResponse(const h2_headers& headers) {
  const std::string_view status = FindHeader(headers, ":status");
  const std::string_view grpc_status = FindHeader(headers, "grpc-status");
  return status == "503" || status == "429" ||
         grpc_status == kOverloadedGrpcStatus ||
         grpc_status == kUnavailableGrpcStatus;
}

std::string FormatLoad(const peer_load& load) {
  return std::to_string(load.limit) + "," + std::to_string(load.running) + "," +
         std::to_string(load.queued) + "," + std::to_string(load.rate_per_s);
}

std::optional<peer_load> ParseLoad(std::string_view text) {
  std::array<std::uint32_t, 4> parts{};
  const char* next = text.data();
  const char* const end = text.data() + text.size();
  for (std::size_t i = 0; i < parts.size(); ++i) {
    if (i > 0 && (next == end || *next++ != ',')) {
      return std::nullopt;
    }
    const std::from_chars_result parsed = std::from_chars(next, end, parts[i]);
    if (parsed.ec != std::errc()) {
      return std::nullopt;
    }
    next = parsed.ptr;
  }
  if (next != end) {
    return std::nullopt;
  }
  return peer_load{parts[0], parts[1], parts[2], parts[3]};
}

local_reply MakeLocalReply(request_rejection rejection) {
  switch (rejection) {
    case request_rejection::kNoService:
      return {404, 12, "no-service", run_state::kNotRun, {}};
    case request_rejection::kHeadersTooLarge:
      return {431, 8, "headers-too-large", run_state::kNotRun, {}};
    case request_rejection::kUnauthenticated:
      return {403, 16, "unauthenticated", run_state::kNotRun, {}};
    case request_rejection::kBuffersFull:
      break;
  }
  return {503, 14, "buffers-full", run_state::kNotRun, std::chrono::seconds(1)};
}

local_reply MakeLocalReply(const local_reply_action& action) {
  const reply_status status = StatusOf(action.reason, action.run);
  return {status.http, status.grpc, LocalReplyReasonName(action.reason),
          action.run, action.retry_after};
}

h2_headers LocalReplyHeaders(const local_reply& reply, bool grpc) {
  h2_headers headers = {
      {":status", std::to_string(grpc ? 200 : reply.status)},
      {std::string(kRunHeader), std::string(RunStateName(reply.run))},
      {std::string(kReasonHeader), std::string(reply.reason)}};
  if (reply.retry_after > duration::zero()) {
    headers.push_back({"retry-after", RetryAfterSeconds(reply.retry_after)});
  }
  if (!grpc) {
    headers.push_back({"content-length", "0"});
    return headers;
  }
  headers.push_back({"content-type", "application/grpc"});
  headers.push_back({"grpc-status", std::to_string(reply.grpc_status)});
  headers.push_back({"grpc-message", std::string(reply.reason)});
  if (reply.retry_after > duration::zero()) {
    headers.push_back(
        {"grpc-retry-pushback-ms", Milliseconds(reply.retry_after)});
  }
  return headers;
}

std::optional<attempt_outcome> OutcomeFromPeerReply(const h2_headers& headers) {
  if (FindHeader(headers, kReasonHeader).empty()) {
    return std::nullopt;
  }
  if (FindHeader(headers, kRunHeader) != RunStateName(run_state::kNotRun)) {
    return attempt_outcome::kReset;
  }
  return FindHeader(headers, kReachedHeader) == "1"
             ? attempt_outcome::kRefused
             : attempt_outcome::kTargetNotReached;
}

}  // namespace rosemaryreach
