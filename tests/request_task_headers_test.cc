#include "adapters/request_task_headers.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace rosemaryreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("grpc-timeout is parsed in all its units") {
  CHECK(ParseGrpcTimeout("1H") == duration(std::chrono::hours(1)));
  CHECK(ParseGrpcTimeout("2M") == duration(std::chrono::minutes(2)));
  CHECK(ParseGrpcTimeout("3S") == duration(seconds(3)));
  CHECK(ParseGrpcTimeout("4m") == duration(milliseconds(4)));
  CHECK(ParseGrpcTimeout("5u") == duration(5));
  CHECK(ParseGrpcTimeout("1500n") == duration(2));
}

TEST_CASE("a malformed grpc-timeout is rejected") {
  for (const char* const text :
       {"", "S", "1", "-1S", "1x", "1.5S", "123456789S", "+1S", " 1S"}) {
    CHECK_FALSE(ParseGrpcTimeout(text));
  }
}

TEST_CASE("a long grpc-timeout does not overflow") {
  CHECK(ParseGrpcTimeout("99999999H") == duration(std::chrono::hours(24)));
}

TEST_CASE("a formatted grpc-timeout is never longer than the timeout") {
  CHECK(rc::check("round trip", [] {
    const duration timeout(*rc::gen::inRange<std::int64_t>(1, 86'400'000'000));
    const std::string text = FormatGrpcTimeout(timeout);
    const std::optional<duration> parsed = ParseGrpcTimeout(text);
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(*parsed <= timeout);
    RC_ASSERT(timeout - *parsed < duration(milliseconds(1)));
  }));
}

TEST_CASE("the shorter of the two timeouts is used") {
  CHECK(RequestTimeout(
            {{"grpc-timeout", "1S"}, {"rosemaryreach-timeout-ms", "300"}}) ==
        duration(milliseconds(300)));
  CHECK(RequestTimeout({}) == duration::zero());
  CHECK(RequestTimeout({{"rosemaryreach-timeout-ms", "0"}}) == duration(1));
}

TEST_CASE("only a not-run reply has a retryable gRPC status") {
  for (int i = 0; i <= static_cast<int>(local_reply_reason::kStopping); ++i) {
    const local_reply_reason reason = static_cast<local_reply_reason>(i);
    const local_reply unknown =
        MakeLocalReply({{}, reason, run_state::kUnknown, true, {}});
    CHECK(unknown.grpc_status != 14);
    const local_reply not_run =
        MakeLocalReply({{}, reason, run_state::kNotRun, false, seconds(2)});
    const h2_headers headers = LocalReplyHeaders(not_run, false);
    CHECK(FindHeader(headers, "rosemaryreach-run") == "not-run");
    CHECK(FindHeader(headers, "retry-after") == "2");
  }
}

TEST_CASE("a peer's refusal tells whether it reached the target") {
  const local_reply refused = MakeLocalReply(
      {{}, local_reply_reason::kOverloaded, run_state::kNotRun, {}, {}});
  h2_headers headers = LocalReplyHeaders(refused, true);
  CHECK(OutcomeFromPeerReply(headers) == attempt_outcome::kTargetNotReached);
  headers.push_back({"rosemaryreach-reached", "1"});
  CHECK(OutcomeFromPeerReply(headers) == attempt_outcome::kRefused);
  const local_reply unknown = MakeLocalReply(
      {{}, local_reply_reason::kTargetFailed, run_state::kUnknown, true, {}});
  CHECK(OutcomeFromPeerReply(LocalReplyHeaders(unknown, false)) ==
        attempt_outcome::kReset);
  CHECK_FALSE(OutcomeFromPeerReply({{":status", "503"}}));
}

TEST_CASE("a load header round-trips and malformed ones are rejected") {
  const peer_load load{7, 3, 12};
  CHECK(ParseLoad(FormatLoad(load)) == load);
  for (const char* const text : {"", "1,2", "1,2,3,", "1,2,x", "1;2;3"}) {
    CHECK_FALSE(ParseLoad(text));
  }
}

}  // namespace
}  // namespace rosemaryreach
