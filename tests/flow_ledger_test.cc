#include "rosemaryreach/flow_ledger.h"

#include <catch2/catch.hpp>

#include "entry_fixture.h"

namespace rosemaryreach {
namespace {

constexpr target_index kOne = 0;
constexpr target_index kTwo = 1;

struct ledger_scene {
  std::vector<target_index> doubted;
  std::vector<duration> opened;
  std::vector<duration> answered;
  std::vector<flow_key> stalled;
  flow_ledger ledger{100,
                     {[this](target_index target, const char* /*reason*/) {
                        doubted.push_back(target);
                      },
                      [this](duration time) { opened.push_back(time); },
                      [this](const flow_key& key, target_index, duration) {
                        stalled.push_back(key);
                      },
                      [this](duration time) { answered.push_back(time); }}};
};

TEST_CASE("A flow opens, asks and is answered") {
  ledger_scene scene;
  flow_ledger& ledger = scene.ledger;
  ledger.Open(Flow(1), kOne, At(0));
  CHECK(ledger.contact(kOne).opening == 1);
  ledger.See(Later(Flow(1), 9, 1'001, 5'001, 100), kOne, At(4));
  CHECK(ledger.contact(kOne).opening == 0);
  CHECK(ledger.contact(kOne).open == 1);
  CHECK(ledger.contact(kOne).running == 1);
  ledger.See(Later(Flow(1), 9, 1'101, 7'001, 0), kOne, At(34));
  CHECK(ledger.contact(kOne).running == 0);
  CHECK(scene.opened == std::vector<duration>{std::chrono::milliseconds(4)});
  CHECK(scene.answered == std::vector<duration>{std::chrono::milliseconds(30)});
}

TEST_CASE("A final packet ends a flow") {
  ledger_scene scene;
  scene.ledger.Open(Flow(1), kOne, At(0));
  flow_packet last = Later(Flow(1), 9, 1'001, 5'001, 0);
  last.finishes = true;
  scene.ledger.See(last, kOne, At(4));
  CHECK(scene.ledger.size() == 0);
  CHECK(scene.ledger.contact(kOne).open == 0);
}

TEST_CASE("A copy on another target is a sign against the first") {
  ledger_scene scene;
  scene.ledger.Open(Flow(1), kOne, At(1'000));
  scene.ledger.Open(Flow(1), kTwo, At(1'200));
  CHECK(scene.doubted == std::vector<target_index>{kOne});
  CHECK(scene.ledger.contact(kOne).opening == 0);
  CHECK(scene.ledger.contact(kTwo).opening == 1);
}

TEST_CASE("A copy is no sign against a target that answered since") {
  ledger_scene scene;
  scene.ledger.Open(Flow(1), kOne, At(0));
  scene.ledger.Open(Flow(2), kOne, At(10));
  scene.ledger.See(Later(Flow(2), 9, 1'001, 5'001, 0), kOne, At(14));
  scene.ledger.Open(Flow(1), kTwo, At(200));
  CHECK(scene.doubted.empty());
}

TEST_CASE("Data sent again without an answer raises doubt") {
  ledger_scene scene;
  const flow_packet data = Later(Flow(1), 9, 1'001, 5'001, 100);
  scene.ledger.See(data, kOne, At(1'000));
  scene.ledger.See(data, kOne, At(1'020));
  CHECK(scene.doubted.empty());
  scene.ledger.See(data, kOne, At(1'200));
  CHECK(scene.doubted == std::vector<target_index>{kOne});
  scene.ledger.See(data, kOne, At(1'600));
  CHECK(scene.stalled == std::vector<flow_key>{Flow(1)});
}

TEST_CASE("A probe or an answer ends doubt") {
  ledger_scene scene;
  scene.ledger.Doubt(kOne, "test");
  scene.ledger.TakeProbe(kOne, false, At(100));
  scene.ledger.TakeProbe(kOne, false, At(200));
  CHECK_FALSE(Unreachable(scene.ledger.contact(kOne)));
  scene.ledger.TakeProbe(kOne, false, At(250));
  CHECK(Unreachable(scene.ledger.contact(kOne)));
  scene.ledger.TakeProbe(kOne, true, At(300));
  CHECK_FALSE(scene.ledger.contact(kOne).doubted);
}

TEST_CASE("Waiting that a paused process did not see is no sign") {
  ledger_scene scene;
  scene.ledger.Open(Flow(1), kOne, At(0));
  scene.ledger.ForgetWaiting(At(5'000));
  scene.ledger.CheckOpening(kOne, At(5'001));
  CHECK(scene.doubted.empty());
  scene.ledger.CheckOpening(kOne, At(5'060));
  CHECK(scene.doubted.size() == 1);
}

TEST_CASE("Nothing of a forgotten target is left to the next one") {
  ledger_scene scene;
  scene.ledger.Open(Flow(1), kOne, At(0));
  scene.ledger.See(Later(Flow(2), 9, 1'001, 5'001, 100), kOne, At(0));
  scene.ledger.Doubt(kOne, "test");
  scene.ledger.Forget(kOne);
  CHECK(scene.ledger.size() == 0);
  CHECK_FALSE(scene.ledger.contact(kOne).doubted);
  CHECK(scene.ledger.contact(kOne).open == 0);
}

TEST_CASE("A flood of first packets stays within the limit") {
  ledger_scene scene;
  for (std::uint16_t port = 0; port < 1'000; ++port) {
    scene.ledger.Open(Flow(port), kOne, At(0));
  }
  CHECK(scene.ledger.size() == 100);
  scene.ledger.Sweep(At(2'000));
  CHECK(scene.ledger.size() == 0);
  CHECK(scene.ledger.contact(kOne).opening == 0);
}

}  // namespace
}  // namespace rosemaryreach
