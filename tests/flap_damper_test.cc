#include "rosemaryreach/flap_damper.h"

#include <catch2/catch.hpp>

#include "entry_fixture.h"

namespace rosemaryreach {
namespace {

TEST_CASE("A first suspicion is not held") {
  flap_damper history;
  CHECK(history.OnSuspected(7, At(1'000)) == duration(0));
}

TEST_CASE("Each flap is held longer up to the maximum") {
  flap_damper history;
  std::int64_t ms = 1'000;
  duration last{};
  for (int i = 0; i < 10; ++i) {
    history.OnRecovered(7, At(ms));
    ms += 60;
    const duration hold = history.OnSuspected(7, At(ms));
    CHECK(hold >= last);
    CHECK(hold <= kMaxHold);
    last = hold;
    ms += hold.count() / 1'000;
  }
  CHECK(last == kMaxHold);
}

TEST_CASE("A target that was stable for the flap window starts over") {
  flap_damper history;
  history.OnRecovered(7, At(1'000));
  CHECK(history.OnSuspected(7, At(1'060)) == kInitialHold);
  history.OnRecovered(7, At(2'000));
  CHECK(history.OnSuspected(7, At(2'000) + kFlapWindow) == duration(0));
  CHECK(history.OnSuspected(8, At(2'000)) == duration(0));
}

// While the store is unavailable, a host of another service may answer probes
// at the address of a dead target. Each flow sent there costs its caller 200
// ms.
TEST_CASE("Few flows go to a target that only probes reach") {
  constexpr std::int64_t kSeconds = 7;
  flap_damper history;
  int sent_flows = 0;
  std::int64_t held_until = 0;
  for (std::int64_t ms = 1'000; ms < 1'000 + kSeconds * 1'000; ms += 20) {
    if (ms < held_until) {
      continue;
    }
    ++sent_flows;
    const std::int64_t suspected_at = ms + 60;
    held_until = suspected_at + 3 +
                 history.OnSuspected(7, At(suspected_at)).count() / 1'000;
    history.OnRecovered(7, At(held_until));
  }
  CHECK(sent_flows <= 6);
}

}  // namespace
}  // namespace rosemaryreach
