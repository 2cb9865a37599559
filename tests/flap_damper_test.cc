#include "rosemaryreach/flap_damper.h"

#include <catch2/catch.hpp>

#include "entry_fixture.h"

namespace rosemaryreach {
namespace {

TEST_CASE("A first doubt ends with the first probe") {
  flap_damper history;
  CHECK(history.OnSuspected(7, At(1'000)) == duration(0));
}

TEST_CASE("Relapses are held back longer and longer") {
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

TEST_CASE("A target that did well for a while starts anew") {
  flap_damper history;
  history.OnRecovered(7, At(1'000));
  CHECK(history.OnSuspected(7, At(1'060)) == kInitialHold);
  history.OnRecovered(7, At(2'000));
  CHECK(history.OnSuspected(7, At(2'000) + kFlapWindow) == duration(0));
  CHECK(history.OnSuspected(8, At(2'000)) == duration(0));
}

// A host of another service answers probes at a dead target's address while
// the store is away: each flow sent there costs its caller 200 ms.
TEST_CASE("Few flows meet a target that only probes reach") {
  constexpr std::int64_t kSeconds = 7;
  flap_damper history;
  int met = 0;
  std::int64_t held_until = 0;
  for (std::int64_t ms = 1'000; ms < 1'000 + kSeconds * 1'000; ms += 20) {
    if (ms < held_until) {
      continue;
    }
    ++met;
    const std::int64_t suspected = ms + 60;
    held_until =
        suspected + 3 + history.OnSuspected(7, At(suspected)).count() / 1'000;
    history.OnRecovered(7, At(held_until));
  }
  CHECK(met <= 6);
}

}  // namespace
}  // namespace rosemaryreach
