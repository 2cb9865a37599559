#include "entryd/departed_sync.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "adapters/json_log.h"
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

  std::size_t Failures() const {
    return static_cast<std::size_t>(std::count_if(
        lines.begin(), lines.end(), [](const nlohmann::json& line) {
          return line.value("outcome", "") == "departed_pull_failed";
        }));
  }

  event_loop loop;
  std::vector<nlohmann::json> lines;
  json_log sink{{log_level::kInfo, 1}, "e", [this](const std::string& line) {
                  lines.push_back(nlohmann::json::parse(line));
                }};
  entry_log log{sink};
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

// It may know a live target whose entry has expired.
TEST_CASE("A peer that does not answer is asked again") {
  departed_sync_fixture fixture;
  loop_timer tick(fixture.loop, [] {});
  tick.StartEvery(std::chrono::milliseconds(5));
  const time_point end = BootTimeNow() + std::chrono::seconds(10);
  while (fixture.Failures() < 3 && BootTimeNow() < end) {
    fixture.departed.Tick(BootTimeNow());
    fixture.loop.RunOnce();
  }
  CHECK(fixture.Failures() == 3);
  CHECK(fixture.departed.size() == 0);
}

}  // namespace
}  // namespace rosemaryreach
