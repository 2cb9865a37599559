#include "rosemaryreach/instance_load.h"

#include <catch2/catch.hpp>

#include "entry_fixture.h"

namespace rosemaryreach {
namespace {

entry_route RouteWith(duration latency_target) {
  entry_route route;
  route.latency_target = latency_target;
  return route;
}

// An instance with a link of 10 Mbit/s that reads a batch every 5 ms.
struct load_player {
  void Play(std::int64_t ms, std::size_t bytes, bool empty) {
    for (const std::int64_t end = now_ms + ms; now_ms < end; now_ms += 5) {
      load.OnBatch(bytes, empty, At(now_ms));
    }
  }

  instance_load load{10};
  std::int64_t now_ms = 1'000'000;
};

// Without load, nothing may be refused: neither for a timer that was late while
// nothing waited, nor for a burst that is read at once, nor after idle time.
TEST_CASE("An instance that keeps up sheds nothing") {
  load_player player;
  player.Play(1'000, 1'000, true);
  player.load.OnTimer(std::chrono::milliseconds(500), At(player.now_ms));
  player.now_ms += 10'000;
  player.Play(20, 1'000, false);
  player.Play(1'000, 1'000, true);
  CHECK(player.load.shed_share() == 0);
}

// Open flows would wait behind first packets that can't be served in time.
TEST_CASE("Packets that keep waiting have first packets shed, and it ends") {
  load_player player;
  player.Play(1'000, 1'000, false);
  CHECK(player.load.current() == shortage::kProcessor);
  CHECK(player.load.shed_share() == kMaxShedShare);
  player.Play(1'100, 1'000, true);
  CHECK(player.load.current() == shortage::kNone);
  CHECK(player.load.shed_share() == 0);
}

TEST_CASE("A late timer counts if packets waited") {
  load_player player;
  player.Play(5, 1'000, false);
  player.Play(5, 1'000, true);
  player.now_ms += 100;
  player.load.OnTimer(std::chrono::milliseconds(90), At(player.now_ms));
  CHECK(player.load.current() == shortage::kProcessor);
}

TEST_CASE("A link at more than its limit has first packets shed") {
  // 10 Mbit/s are 6,250 bytes in 5 ms.
  for (const std::size_t bytes : {5'500, 6'000}) {
    load_player player;
    player.Play(2'000, bytes, true);
    CHECK((player.load.current() == shortage::kLink) == (bytes == 6'000));
    CHECK((player.load.shed_share() > 0) == (bytes == 6'000));
  }
}

// A deployment that declares no objectives is served as before.
TEST_CASE("Routes without a latency objective are not shed") {
  load_player player;
  player.Play(1'000, 1'000, false);
  CHECK(player.load.Sheds(RouteWith(std::chrono::milliseconds(400)), 0.5));
  CHECK_FALSE(
      player.load.Sheds(RouteWith(std::chrono::milliseconds(400)), 0.95));
  CHECK_FALSE(player.load.Sheds(RouteWith({}), 0));
}

}  // namespace
}  // namespace rosemaryreach
