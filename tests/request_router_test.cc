#include "rosemaryreach/request_router.h"

#include <catch2/catch.hpp>

#include "request_fixture.h"

namespace rosemaryreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("never more requests run on a target than it has slots") {
  lone_router lone(MakeRequestConfiguration(1, 2));
  lone.WarmUp(1);
  const attempt_id first =
      First<dispatch_action>(lone.Arrive(1, "POST"))->attempt;
  CHECK(First<dispatch_action>(lone.Arrive(2, "POST")) != nullptr);
  CHECK(First<dispatch_action>(lone.Arrive(3, "POST")) == nullptr);
  const dispatch_action* next = First<dispatch_action>(lone.Complete(first));
  REQUIRE(next != nullptr);
  CHECK(next->request == request_id{3});
}

TEST_CASE("a cold target gets one request until it has answered") {
  configuration config = MakeRequestConfiguration(1, 4);
  config.services[0].targets[0].warmup_ms = 30'000;
  lone_router lone(config);
  CHECK(First<dispatch_action>(lone.Arrive(1, "POST")) != nullptr);
  lone.Arrive(2, "POST");
  CHECK(First<dispatch_action>(lone.Pass(seconds(1))) == nullptr);
}

TEST_CASE("a refusal says not-run only if nothing was sent") {
  lone_router lone(MakeRequestConfiguration(1, 1));
  const attempt_id sent =
      First<dispatch_action>(lone.Arrive(1, "POST"))->attempt;
  lone.Arrive(2, "POST");
  std::vector<request_action> all = lone.Pass(seconds(5));
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
  CHECK(lone.router.OnAttemptHeaders(lone.now, sent, false).empty());
}

TEST_CASE("a service without a target for new work refuses at once") {
  configuration config = MakeRequestConfiguration(1, 1);
  config.services[0].targets[0].state = target_state::kDraining;
  lone_router lone(config);
  const local_reply_action* answer =
      First<local_reply_action>(lone.Arrive(1, "POST"));
  REQUIRE(answer != nullptr);
  CHECK(answer->reason == local_reply_reason::kNoTarget);
  CHECK(answer->run == run_state::kNotRun);
  CHECK(answer->retry_after > duration::zero());
}

TEST_CASE("a lost connection keeps the slot until the work has ended") {
  lone_router lone(MakeRequestConfiguration(1, 1));
  const attempt_id sent =
      First<dispatch_action>(lone.Arrive(1, "POST"))->attempt;
  const local_reply_action* answer =
      First<local_reply_action>(lone.router.OnAttemptEnd(
          lone.now, sent, attempt_outcome::kConnectionLost));
  REQUIRE(answer != nullptr);
  CHECK(answer->run == run_state::kUnknown);
  lone.Arrive(2, "POST");
  CHECK(First<dispatch_action>(lone.Pass(milliseconds(4'900))) == nullptr);
}

TEST_CASE("a request that may not repeat is not sent again when reset") {
  lone_router lone(MakeRequestConfiguration(2, 1));
  lone.WarmUp(2);
  for (std::uint64_t id = 1; id <= 20; ++id) {
    const dispatch_action sent =
        *First<dispatch_action>(lone.Arrive(id, "POST"));
    const request_router::actions actions = lone.router.OnAttemptEnd(
        lone.now, sent.attempt, attempt_outcome::kReset);
    CHECK(First<dispatch_action>(actions) == nullptr);
    CHECK(First<local_reply_action>(actions)->run == run_state::kUnknown);
    lone.Pass(seconds(10));
  }
}

TEST_CASE("an answer that is reset after its headers is reported as cut") {
  lone_router lone(MakeRequestConfiguration(1, 1));
  const attempt_id sent =
      First<dispatch_action>(lone.Arrive(1, "GET"))->attempt;
  CHECK(First<relay_action>(
            lone.router.OnAttemptHeaders(lone.now, sent, false)) != nullptr);
  const local_reply_action* answer = First<local_reply_action>(
      lone.router.OnAttemptEnd(lone.now, sent, attempt_outcome::kReset));
  REQUIRE(answer != nullptr);
  CHECK(answer->reason == local_reply_reason::kResponseAborted);
}

TEST_CASE("an owner whose view is not confirmed dispatches nothing") {
  lone_router lone(MakeRequestConfiguration(1, 1));
  lone.now += seconds(5);
  lone.router.Tick(lone.now);
  CHECK(First<dispatch_action>(lone.Arrive(1, "POST")) == nullptr);
  CHECK(First<dispatch_action>(lone.Pass(seconds(1))) != nullptr);
}

TEST_CASE("a stop refuses new work truly and ends when the last has ended") {
  lone_router lone(MakeRequestConfiguration(1, 1));
  const attempt_id sent =
      First<dispatch_action>(lone.Arrive(1, "POST"))->attempt;
  lone.router.BeginStop(lone.now);
  lone.Arrive(2, "POST");
  lone.Pass(seconds(3));
  CHECK_FALSE(lone.router.IsDrained());
  lone.Complete(sent);
  lone.Pass(seconds(3));
  CHECK(lone.router.IsDrained());
}

}  // namespace
}  // namespace rosemaryreach
