#include "entry/own_load_counter.h"

#include <catch2/catch.hpp>

#include "entry_fixture.h"

namespace rosemaryreach {
namespace {

struct own_load_fixture : entry_fixture {
  target_figures Only(std::int64_t ms) {
    const own_load load = counter.Collect(At(ms));
    return load.targets.size() == 1 ? load.targets.front() : target_figures{};
  }

  own_load_counter counter{directory, tracker};
};

TEST_CASE("Counts restart with each report, loads stay") {
  own_load_fixture fixture;
  const target_index target = fixture.Add(Target("l1", 1));
  fixture.Add(Target("l2", 2));
  fixture.tracker.Open(Flow(1), target, At(10'000));
  fixture.counter.OnInFlightChanged(target);
  fixture.counter.OnAnswered(target, std::chrono::milliseconds(70));
  fixture.counter.OnOffered("ledger");
  own_load load = fixture.counter.Collect(At(10'010));
  REQUIRE(load.targets.size() == 1);
  CHECK(load.targets[0].cookie == fixture.directory.Find(target)->cookie);
  CHECK(load.targets[0].opening == 1);
  CHECK(load.targets[0].answers == 1);
  CHECK(load.targets[0].response_ms == 70);
  REQUIRE(load.services.size() == 1);
  CHECK(load.services[0].service == ServiceHash("ledger"));
  CHECK(load.services[0].offered == 1);
  CHECK(load.services[0].in_flight == 1);
  load = fixture.counter.Collect(At(10'020));
  REQUIRE(load.targets.size() == 1);
  CHECK(load.targets[0].answers == 0);
  CHECK(load.services[0].offered == 0);
  fixture.tracker.Drop(Flow(1));
  CHECK(fixture.counter.Collect(At(10'030)).targets.empty());
}

// Open flows without requests would keep an idle instance reporting.
TEST_CASE("Open flows count only next to other load") {
  own_load_fixture fixture;
  const target_index target = fixture.Add(Target("l1", 1));
  fixture.tracker.Open(Flow(1), target, At(10'000));
  fixture.tracker.OnPacket(LaterPacket(Flow(1), 1, 1, 1, 0), target,
                           At(10'010));
  fixture.counter.OnInFlightChanged(target);
  CHECK(fixture.counter.Collect(At(10'020)).targets.empty());
  fixture.counter.OnOffered("ledger");
  CHECK(fixture.Only(10'030).open == 1);
}

// A silent target is told from a busy one by what it leaves unanswered.
TEST_CASE("Unanswered requests count until an answer or 2 s") {
  own_load_fixture fixture;
  const target_index target = fixture.Add(Target("l1", 1));
  fixture.tracker.Open(Flow(1), target, At(10'000));
  fixture.counter.OnInFlightChanged(target);
  CHECK(fixture.Only(10'050).unanswered == 0);
  CHECK(fixture.Only(10'070).unanswered == 1);
  fixture.counter.OnStalled(target, At(10'080));
  CHECK(fixture.Only(10'090).unanswered == 2);
  fixture.tracker.Drop(Flow(1));
  CHECK(fixture.Only(10'100).unanswered == 1);
  SECTION("until it expires") {
    CHECK(fixture.Only(12'079).unanswered == 1);
    CHECK(fixture.Only(12'081).unanswered == 0);
  }
  SECTION("until an answer") {
    fixture.tracker.Open(Flow(2), target, At(10'200));
    fixture.tracker.OnPacket(LaterPacket(Flow(2), 1, 1, 1, 0), target,
                             At(10'210));
    fixture.counter.OnOffered("ledger");
    CHECK(fixture.Only(10'220).unanswered == 0);
  }
}

// The counts of a removed target must not go to the one that takes its index.
TEST_CASE("A reused index starts without counts") {
  own_load_fixture fixture;
  const target_index target = fixture.Add(Target("l1", 1));
  fixture.counter.OnAnswered(target, std::chrono::milliseconds(70));
  fixture.counter.OnRemoved(target);
  CHECK(fixture.counter.Collect(At(1)).targets.empty());
}

}  // namespace
}  // namespace rosemaryreach
