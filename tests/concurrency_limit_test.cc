#include "rosemaryreach/concurrency_limit.h"

#include <catch2/catch.hpp>

#include "rosemaryreach/retry_budget.h"

namespace rosemaryreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kNormalLatency = milliseconds(40);

struct limited_target {
  concurrency_limit limit{{4, 10, seconds(10)}};
  latency_estimate service_latency;
  time_point now{seconds(100)};

  bool Respond(duration latency) {
    return limit.OnResponse(now, request_class::kInteractive, latency,
                            service_latency);
  }

  void WarmUp() {
    for (int i = 0; i < 20; ++i) {
      Respond(kNormalLatency);
    }
    now += seconds(10);
  }
};

TEST_CASE("the ramp raises the limit from one to the slots") {
  limited_target target;
  CHECK(target.limit.Limit(target.now) == 1);
  target.Respond(kNormalLatency);
  CHECK(target.limit.Limit(target.now) == 1);
  target.now += seconds(5);
  CHECK(target.limit.Limit(target.now) == 2);
  target.now += seconds(5);
  CHECK(target.limit.Limit(target.now) == 4);
}

TEST_CASE("a cold target starts no more than its cold rate") {
  limited_target target;
  int started = 0;
  for (int i = 0; i < 1'000; ++i) {
    target.now += milliseconds(1);
    if (target.limit.Admits(target.now, 0)) {
      target.limit.OnStart(target.now);
      ++started;
    }
  }
  CHECK(started == 10);
}

TEST_CASE("one slow response limits to one, a second restarts the ramp") {
  limited_target target;
  target.WarmUp();
  CHECK_FALSE(target.Respond(3 * kNormalLatency));
  CHECK(target.limit.Limit(target.now) == 1);
  CHECK(target.Respond(3 * kNormalLatency));
  CHECK(target.limit.WarmPercent(target.now) == 0);
}

TEST_CASE("responses of normal latency lift the limit of one") {
  limited_target target;
  target.WarmUp();
  target.Respond(3 * kNormalLatency);
  target.Respond(kNormalLatency);
  CHECK(target.limit.Limit(target.now) == 1);
  target.Respond(kNormalLatency);
  CHECK(target.limit.Limit(target.now) > 1);
}

TEST_CASE("a permanently slower target warms up again") {
  limited_target target;
  target.WarmUp();
  for (int i = 0; i < 40; ++i) {
    target.Respond(3 * kNormalLatency);
  }
  target.now += seconds(10);
  CHECK(target.limit.Limit(target.now) == 4);
}

TEST_CASE("retries never exceed their share of the requests") {
  retry_budget budget(10);
  int requests = 0;
  int retries = 0;
  CHECK_FALSE(budget.TryWithdraw());
  while (requests < 1'000) {
    budget.Deposit();
    ++requests;
    retries += budget.TryWithdraw() ? 1 : 0;
    REQUIRE(retries * 10 <= requests);
  }
  CHECK(retries == 100);
}

}  // namespace
}  // namespace rosemaryreach
