#include "rosemaryreach/request_router.h"

#include <catch2/catch.hpp>

#include "request_fixture.h"

namespace rosemaryreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("never more requests run on a target than it has slots") {
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

TEST_CASE("a cold target gets one request until it has answered") {
  configuration config = MakeRequestConfiguration(1, 4);
  config.services[0].targets[0].warmup_ms = 30'000;
  single_router fixture(config);
  CHECK(FindAction<dispatch_action>(fixture.SendRequest(1, "POST")) != nullptr);
  fixture.SendRequest(2, "POST");
  CHECK(FindAction<dispatch_action>(fixture.Advance(seconds(1))) == nullptr);
}

TEST_CASE("a refusal says not-run only if nothing was sent") {
  single_router fixture(MakeRequestConfiguration(1, 1));
  const attempt_id sent =
      FindAction<dispatch_action>(fixture.SendRequest(1, "POST"))->attempt;
  fixture.SendRequest(2, "POST");
  std::vector<request_action> all = fixture.Advance(seconds(5));
  std::vector<local_reply_action> answers;
  for (const request_action& action : all) {
    if (const local_reply_action* answer =
            std::get_if<local_reply_action>(&action)) {
      answers.push_back(*answer);
    }
  }
  REQUIRE(answers.size() == 2);
  for (const local_reply_action& answer : answers) {
    const bool first = answer.request == request_id{1};
    CHECK(answer.run == (first ? run_state::kUnknown : run_state::kNotRun));
  }
  // The late answer of the first is not relayed to anybody.
  CHECK(fixture.router.OnAttemptHeaders(fixture.now, sent, false).empty());
}

TEST_CASE("a service without a target for new work refuses at once") {
  configuration config = MakeRequestConfiguration(1, 1);
  config.services[0].targets[0].state = target_state::kDraining;
  single_router fixture(config);
  const local_reply_action* answer =
      FindAction<local_reply_action>(fixture.SendRequest(1, "POST"));
  REQUIRE(answer != nullptr);
  CHECK(answer->reason == local_reply_reason::kNoTarget);
  CHECK(answer->run == run_state::kNotRun);
  CHECK(answer->retry_after > duration::zero());
}

TEST_CASE("a lost connection keeps the slot until the work has ended") {
  single_router fixture(MakeRequestConfiguration(1, 1));
  const attempt_id sent =
      FindAction<dispatch_action>(fixture.SendRequest(1, "POST"))->attempt;
  const local_reply_action* answer =
      FindAction<local_reply_action>(fixture.router.OnAttemptEnd(
          fixture.now, sent, attempt_outcome::kConnectionLost));
  REQUIRE(answer != nullptr);
  CHECK(answer->run == run_state::kUnknown);
  fixture.SendRequest(2, "POST");
  CHECK(FindAction<dispatch_action>(fixture.Advance(milliseconds(4'900))) ==
        nullptr);
}

TEST_CASE("a request that may not repeat is not sent again when reset") {
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

TEST_CASE("an answer that is reset after its headers is reported as cut") {
  single_router fixture(MakeRequestConfiguration(1, 1));
  const attempt_id sent =
      FindAction<dispatch_action>(fixture.SendRequest(1, "GET"))->attempt;
  CHECK(FindAction<relay_action>(fixture.router.OnAttemptHeaders(
            fixture.now, sent, false)) != nullptr);
  const local_reply_action* answer = FindAction<local_reply_action>(
      fixture.router.OnAttemptEnd(fixture.now, sent, attempt_outcome::kReset));
  REQUIRE(answer != nullptr);
  CHECK(answer->reason == local_reply_reason::kResponseAborted);
}

TEST_CASE("an owner whose view is not confirmed dispatches nothing") {
  single_router fixture(MakeRequestConfiguration(1, 1));
  fixture.now += seconds(5);
  fixture.router.Tick(fixture.now);
  CHECK(FindAction<dispatch_action>(fixture.SendRequest(1, "POST")) == nullptr);
  CHECK(FindAction<dispatch_action>(fixture.Advance(seconds(1))) != nullptr);
}

TEST_CASE("a stop refuses new work truly and ends when the last has ended") {
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
