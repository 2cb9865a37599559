#include "rosemaryreach/request_router.h"

#include <catch2/catch.hpp>

#include "request_fixture.h"

namespace rosemaryreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a target never runs more requests than it has slots") {
  single_router fixture(MakeRequestConfiguration(1, 2));
  fixture.WarmUpTargets(1);
  const attempt_id first =
      FindAction<dispatch_action>(fixture.SendRequest(1, "POST"))->attempt;
  CHECK(FindAction<dispatch_action>(fixture.SendRequest(2, "POST")) != nullptr);
  CHECK(FindAction<dispatch_action>(fixture.SendRequest(3, "POST")) == nullptr);
  const dispatch_action* next =
      FindAction<dispatch_action>(fixture.Complete(first));
  REQUIRE(next != nullptr);
  CHECK(next->request == request_id{3});
}

TEST_CASE("a cold target gets one request until it has responded") {
  configuration config = MakeRequestConfiguration(1, 4);
  config.services[0].targets[0].warmup_ms = 30'000;
  single_router fixture(config);
  CHECK(FindAction<dispatch_action>(fixture.SendRequest(1, "POST")) != nullptr);
  fixture.SendRequest(2, "POST");
  CHECK(FindAction<dispatch_action>(fixture.Advance(seconds(1))) == nullptr);
}

TEST_CASE("a local reply says not-run only if nothing was sent") {
  single_router fixture(MakeRequestConfiguration(1, 1));
  const attempt_id sent =
      FindAction<dispatch_action>(fixture.SendRequest(1, "POST"))->attempt;
  fixture.SendRequest(2, "POST");
  std::vector<request_action> all = fixture.Advance(seconds(5));
  std::vector<local_reply_action> replies;
  for (const request_action& action : all) {
    if (const local_reply_action* reply =
            std::get_if<local_reply_action>(&action)) {
      replies.push_back(*reply);
    }
  }
  REQUIRE(replies.size() == 2);
  for (const local_reply_action& reply : replies) {
    const bool first = reply.request == request_id{1};
    CHECK(reply.run == (first ? run_state::kUnknown : run_state::kNotRun));
  }
  // A late response to the first request is not relayed.
  CHECK(fixture.router.OnAttemptHeaders(fixture.now, sent, false).empty());
}

TEST_CASE("a request is rejected at once if no target accepts new ones") {
  configuration config = MakeRequestConfiguration(1, 1);
  config.services[0].targets[0].state = target_state::kDraining;
  single_router fixture(config);
  const local_reply_action* reply =
      FindAction<local_reply_action>(fixture.SendRequest(1, "POST"));
  REQUIRE(reply != nullptr);
  CHECK(reply->reason == local_reply_reason::kNoTarget);
  CHECK(reply->run == run_state::kNotRun);
  CHECK(reply->retry_after > duration::zero());
}

TEST_CASE("a lost connection keeps its slot in use up to the deadline") {
  single_router fixture(MakeRequestConfiguration(1, 1));
  const attempt_id sent =
      FindAction<dispatch_action>(fixture.SendRequest(1, "POST"))->attempt;
  const local_reply_action* reply =
      FindAction<local_reply_action>(fixture.router.OnAttemptEnd(
          fixture.now, sent, attempt_outcome::kConnectionLost));
  REQUIRE(reply != nullptr);
  CHECK(reply->run == run_state::kUnknown);
  fixture.SendRequest(2, "POST");
  CHECK(FindAction<dispatch_action>(fixture.Advance(milliseconds(4'900))) ==
        nullptr);
}

TEST_CASE("a request that is not idempotent is not retried after a reset") {
  single_router fixture(MakeRequestConfiguration(2, 1));
  fixture.WarmUpTargets(2);
  for (std::uint64_t id = 1; id <= 20; ++id) {
    const dispatch_action sent =
        *FindAction<dispatch_action>(fixture.SendRequest(id, "POST"));
    const request_router::actions actions = fixture.router.OnAttemptEnd(
        fixture.now, sent.attempt, attempt_outcome::kReset);
    CHECK(FindAction<dispatch_action>(actions) == nullptr);
    CHECK(FindAction<local_reply_action>(actions)->run == run_state::kUnknown);
    fixture.Advance(seconds(10));
  }
}

TEST_CASE("a response reset after its headers is reported as aborted") {
  single_router fixture(MakeRequestConfiguration(1, 1));
  const attempt_id sent =
      FindAction<dispatch_action>(fixture.SendRequest(1, "GET"))->attempt;
  CHECK(FindAction<relay_action>(fixture.router.OnAttemptHeaders(
            fixture.now, sent, false)) != nullptr);
  const local_reply_action* reply = FindAction<local_reply_action>(
      fixture.router.OnAttemptEnd(fixture.now, sent, attempt_outcome::kReset));
  REQUIRE(reply != nullptr);
  CHECK(reply->reason == local_reply_reason::kResponseAborted);
}

TEST_CASE("an owner whose view is not confirmed dispatches nothing") {
  single_router fixture(MakeRequestConfiguration(1, 1));
  fixture.now += seconds(5);
  fixture.router.Tick(fixture.now);
  CHECK(FindAction<dispatch_action>(fixture.SendRequest(1, "POST")) == nullptr);
  CHECK(FindAction<dispatch_action>(fixture.Advance(seconds(1))) != nullptr);
}

TEST_CASE("a shutdown rejects new requests and waits for the running one") {
  single_router fixture(MakeRequestConfiguration(1, 1));
  const attempt_id sent =
      FindAction<dispatch_action>(fixture.SendRequest(1, "POST"))->attempt;
  fixture.router.BeginStop(fixture.now);
  fixture.SendRequest(2, "POST");
  fixture.Advance(seconds(3));
  CHECK_FALSE(fixture.router.IsDrained());
  fixture.Complete(sent);
  fixture.Advance(seconds(3));
  CHECK(fixture.router.IsDrained());
}

}  // namespace
}  // namespace rosemaryreach
