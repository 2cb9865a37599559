#include "entryd/departed_sync.h"

#include <catch2/catch.hpp>

#include "entry_fixture.h"
#include "loopback_address.h"

namespace rosemaryreach {
namespace {

// An instance with a view whose only peer does not answer the call, like one of
// an older build.
struct departed_sync_fixture {
  departed_sync_fixture() {
    beacon heard;
    heard.from.address = ToIpv4Endpoint({UniqueLoopbackAddress(), 1}).address;
    peers.ApplyBeacon(heard, BootTimeNow());
  }

  event_loop loop;
  null_log_sink silent;
  entry_log log{silent};
  peer_group peers{{}, {}, 1, [](std::uint32_t, const char*) {}};
  departed_sync departed{loop,
                         peers,
                         7'002,
                         [](const store_item& item) -> decoded_item {
                           return target_item{Target(item.key, 1)};
                         },
                         std::chrono::seconds(75),
                         [](std::span<const departed_target>) {},
                         log};
};

// The peer may know a live target whose entry has expired; its flows must not
// be reset for having an unknown cookie.
TEST_CASE("Without an answer, departures are known after the retention time") {
  departed_sync_fixture fixture;
  loop_timer tick(fixture.loop, [] {});
  tick.StartEvery(std::chrono::milliseconds(5));
  const time_point end = BootTimeNow() + std::chrono::milliseconds(500);
  while (BootTimeNow() < end) {
    fixture.departed.Tick(BootTimeNow());
    CHECK_FALSE(fixture.departed.Known(BootTimeNow()));
    fixture.loop.RunOnce();
  }
  CHECK(fixture.departed.Known(end + std::chrono::seconds(75)));
}

}  // namespace
}  // namespace rosemaryreach
