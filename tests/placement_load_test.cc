// What callers get when entries of targets vanish from the store.
#include <catch2/catch.hpp>

#include "load_player.h"

namespace rosemaryreach {
namespace {

constexpr double kTargetShareInTime = 0.95;

// The store was down while entries ran out: its first listing lacks all targets
// that run, and has one that has just started.
TEST_CASE("A listing after an outage does not send all callers to one target") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const played_load load;
    load_player player(load, seed);
    CHECK(player.ShareInTime(At(3'000)) >= kTargetShareInTime);
    player.SetStoreUnavailable(true);
    player.ShareInTime(At(5'000));
    std::vector<decoded_item> listing = {player.Listed(load.targets + 1)};
    player.AddTarget(load.targets + 1);
    for (std::uint32_t i = 1; i <= load.targets; ++i) {
      listing.push_back(load_player::Removed(i));
    }
    player.ApplyToAll(listing);
    player.SetStoreUnavailable(false);
    CHECK(player.ShareInTime(At(7'000)) >= kTargetShareInTime);
  }
}

// Most entries vanish at once while the store answers, and return later.
TEST_CASE("Entries that vanish in a wave do not overload the others") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const played_load load;
    load_player player(load, seed);
    CHECK(player.ShareInTime(At(3'000)) >= kTargetShareInTime);
    std::vector<decoded_item> listing;
    for (std::uint32_t i = 2; i <= load.targets; ++i) {
      listing.push_back(load_player::Removed(i));
    }
    player.ApplyToAll(listing);
    CHECK(player.ShareInTime(At(5'000)) >= kTargetShareInTime);
  }
}

// The same in small batches, so that no single one is a wave.
TEST_CASE("Targets without entries serve what the listed ones can't") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const played_load load;
    load_player player(load, seed);
    CHECK(player.ShareInTime(At(3'000)) >= kTargetShareInTime);
    for (std::uint32_t i = 3; i <= load.targets; ++i) {
      player.ShareInTime(At(3'000 + 20 * i));
      player.ApplyToAll({load_player::Removed(i)});
    }
    CHECK(player.ShareInTime(At(5'000)) >= kTargetShareInTime);
  }
}

TEST_CASE("Crashed targets get no new flows while the listed ones suffice") {
  const played_load load;
  load_player player(load, 1);
  player.ShareInTime(At(3'000));
  player.Crash(1);
  player.Crash(2);
  player.ShareInTime(At(5'000));
  player.ApplyToAll({load_player::Removed(1), load_player::Removed(2)});
  const std::size_t before = player.FlowsTo(1) + player.FlowsTo(2);
  CHECK(player.ShareInTime(At(7'000)) >= kTargetShareInTime);
  CHECK(player.FlowsTo(1) + player.FlowsTo(2) == before);
}

// The usable targets are in another data centre, and half of the instances are
// cut off from it; routers need more than a second to move their callers.
TEST_CASE("Callers of instances that are cut off are served by others") {
  constexpr duration kDeadline = std::chrono::milliseconds(2'500);
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    played_load load;
    load.data_centre = "dc-b";
    load_player player(load, seed);
    player.ShareInTime(At(3'000));
    player.CutOff(load.instances / 2);
    player.ShareInTime(At(3'600));
    player.FindCut();
    player.MoveCallersAt(At(5'200));
    CHECK(player.ShareAnswered(At(5'200), kDeadline) >= kTargetShareInTime);
  }
}

TEST_CASE("Callers whom no data centre can serve are refused at once") {
  load_player player(played_load{}, 1);
  player.ShareInTime(At(3'000));
  player.CutOff(8);
  player.FindCut();
  CHECK(player.ShareRefused(At(3'500)) == 1);
}

// Two data centres of 16 instances and 40 and 80 targets; dc-a has three
// quarters of the callers and slow targets, dc-b has room. Each instance has so
// few flows at a time that most targets near it look empty: all flows stayed.
TEST_CASE("A data centre with too much load spills over") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    played_load load;
    load.instances = 16;
    load.targets = 40;
    load.slots = 2;
    load.remote_instances = 16;
    load.remote_targets = 80;
    load.remote_share = 0.25;
    load.requests_per_s = 2'000;
    load_player player(load, seed);
    for (std::uint32_t i = 1; i <= 16; ++i) {
      player.SlowDown(i, 6);
    }
    player.Play(At(3'000));
    CHECK(player.ShareInTime(At(8'000)) >= 0.9);
  }
}

// Spilling costs round trips, so a calm data centre serves its own callers.
TEST_CASE("Flows stay in a data centre that can serve them") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    played_load load;
    load.instances = 16;
    load.targets = 40;
    load.slots = 2;
    load.remote_instances = 16;
    load.remote_targets = 40;
    load.requests_per_s = 600;
    load_player player(load, seed);
    player.Play(At(8'000));
    std::size_t far = 0;
    for (std::uint32_t i = 1; i <= load.remote_targets; ++i) {
      far += player.FlowsTo(load.targets + i);
    }
    CHECK(far <= 48);  // one in a hundred
  }
}

}  // namespace
}  // namespace rosemaryreach
