#include "rosemaryreach/flow_admission.h"

#include <catch2/catch.hpp>

#include "entry_fixture.h"

namespace rosemaryreach {
namespace {

// An instance with one target of 2 slots and a limit of 6, all of it used.
struct full_instance : entry_fixture {
  explicit full_instance(bool declared = true) {
    entry_config config = Config(2);
    for (entry_route& route : config.routes) {
      route.latency_target = std::chrono::milliseconds(declared ? 400 : 0);
      route.priority = route.kind == request_kind::kNonIdempotent ? 1 : 2;
    }
    directory.Apply({}, config, At(0));
    Add(Target("l1", 1));
    for (std::uint16_t port = 1; port <= 6; ++port) {
      opened.push_back(Direct(FirstPacket(Flow(port)), At(1)));
    }
  }

  // Ends one of the flows that were opened first.
  void EndFlow(std::uint16_t port, time_point now) {
    flow_packet last =
        LaterPacket(Flow(port), MakeCookie("l1", 1), 1'001, 1, 0);
    last.finishes = true;
    Direct(last, now);
  }

  packet_verdict Offer(std::uint16_t port,
                       time_point now,
                       const ipv4_endpoint& to = kWatchAddress,
                       std::uint32_t copy = 0) {
    return Direct(FirstPacket(Flow(port, to), copy), now).verdict;
  }

  std::vector<held_decision> Released(time_point now) {
    std::vector<held_decision> all;
    while (std::optional<held_decision> one =
               director.ReleaseHeld(freshness, now)) {
      all.push_back(*one);
    }
    return all;
  }

  std::vector<packet_decision> opened;
};

TEST_CASE("A full instance holds first packets until a flow ends") {
  full_instance fixture;
  CHECK(fixture.opened.back().verdict == packet_verdict::kForward);
  CHECK(fixture.Offer(7, At(2)) == packet_verdict::kHold);
  CHECK(fixture.Released(At(3)).empty());
  fixture.EndFlow(1, At(4));
  const std::vector<held_decision> released = fixture.Released(At(5));
  REQUIRE(released.size() == 1);
  CHECK(released[0].packet.flow == Flow(7));
  CHECK(released[0].decision.verdict == packet_verdict::kForward);
  CHECK(fixture.director.held() == 0);
}

TEST_CASE("Nothing is held without objectives or while switched off") {
  full_instance undeclared(false);
  CHECK(undeclared.Offer(7, At(2)) == packet_verdict::kForward);
  full_instance off;
  off.admission.SetEnabled(false);
  CHECK(off.Offer(7, At(2)) == packet_verdict::kForward);
}

TEST_CASE("What is held when admission is switched off is forwarded") {
  full_instance fixture;
  fixture.Offer(7, At(2));
  fixture.admission.SetEnabled(false);
  CHECK(fixture.Released(At(3)).at(0).decision.verdict ==
        packet_verdict::kForward);
}

TEST_CASE("Urgent packets are released first") {
  full_instance fixture;
  fixture.Offer(7, At(2));
  fixture.Offer(8, At(3), kBookAddress);
  fixture.EndFlow(1, At(4));
  fixture.EndFlow(2, At(4));
  CHECK(fixture.Released(At(5)).at(0).packet.flow == Flow(8, kBookAddress));
}

// A copy that is counted as another packet would be sent twice.
TEST_CASE("Retransmissions join the held packet") {
  full_instance fixture;
  fixture.Offer(7, At(2));
  CHECK(fixture.Offer(7, At(202), kWatchAddress, 1) == packet_verdict::kHold);
  CHECK(fixture.director.held() == 1);
}

// A reset says that nothing has run; an instance that did not see the first
// copy does not know that.
TEST_CASE("A flow whose first copy went elsewhere is never reset") {
  full_instance fixture;
  CHECK(fixture.Offer(7, At(2), kWatchAddress, 1) == packet_verdict::kHold);
  for (const held_decision& released : fixture.Released(At(410))) {
    CHECK(released.decision.verdict == packet_verdict::kDrop);
  }
  CHECK(fixture.director.held() == 0);
}

TEST_CASE("Held packets are refused when the time is up") {
  full_instance fixture;
  for (int i = 0; i < 100; ++i) {
    fixture.admission.OnAnswered(0, std::chrono::milliseconds(260));
  }
  fixture.Offer(7, At(2));
  const std::vector<held_decision> released = fixture.Released(At(200));
  REQUIRE(released.size() == 1);
  CHECK(released[0].decision.verdict == packet_verdict::kReset);
}

// After a pause, another instance may have got the copies and opened the flow.
TEST_CASE("After a pause of the process, what was held is dropped") {
  full_instance fixture;
  fixture.Offer(7, At(2));
  const std::vector<held_decision> released = fixture.Released(At(5'000));
  REQUIRE(released.size() == 1);
  CHECK(released[0].decision.verdict == packet_verdict::kDrop);
}

TEST_CASE("Held packets of a dropped route are reset") {
  full_instance fixture;
  fixture.Offer(7, At(2));
  entry_config config = Config(3);
  config.routes.erase(config.routes.begin());
  fixture.directory.Apply({}, config, At(3));
  fixture.EndFlow(1, At(4));
  const std::vector<held_decision> released = fixture.Released(At(5));
  REQUIRE(released.size() == 1);
  CHECK(std::string(released[0].decision.rule) == "no_route");
}

TEST_CASE("Held packets wait for a settled view") {
  full_instance fixture;
  fixture.Offer(7, At(2));
  fixture.EndFlow(1, At(4));
  fixture.freshness.settled = false;
  CHECK(fixture.Released(At(5)).empty());
  fixture.freshness.settled = true;
  CHECK(fixture.Released(At(6)).size() == 1);
}

TEST_CASE("Held packets are decided when their last target is removed") {
  full_instance fixture;
  fixture.Offer(7, At(2));
  fixture.Drain(Target("l1", 1), At(3));
  fixture.Remove("l1", At(4));
  fixture.admission.Recompute(At(100));
  const std::vector<held_decision> released = fixture.Released(At(101));
  REQUIRE(released.size() == 1);
  CHECK(released[0].decision.verdict == packet_verdict::kReset);
  CHECK(std::string(released[0].decision.rule) == "no_target");
}

TEST_CASE("At the end of the process no held packet is forgotten") {
  full_instance fixture;
  fixture.Offer(7, At(2));
  const std::vector<held_decision> all = fixture.director.GiveUpHeld(At(3));
  REQUIRE(all.size() == 1);
  CHECK(all[0].decision.verdict == packet_verdict::kDrop);
  CHECK(fixture.director.held() == 0);
}

// A flood must neither exhaust memory nor keep urgent kinds out.
TEST_CASE("A flood from 100,000 addresses is bounded") {
  full_instance fixture;
  for (std::uint32_t i = 0; i < 100'000; ++i) {
    flow_key flow = Flow(9);
    flow.caller.address = 0x0B000000 + i;
    fixture.Direct(FirstPacket(flow), At(2));
    fixture.Released(At(2));
    REQUIRE(fixture.director.held() <= kMaxHeldPackets);
  }
  CHECK(fixture.Offer(8, At(3), kBookAddress) == packet_verdict::kHold);
  fixture.EndFlow(1, At(4));
  fixture.Released(At(5));
  CHECK(fixture.tracker.Find(Flow(8, kBookAddress)) != nullptr);
}

TEST_CASE("A flood from one address does not delay other callers") {
  full_instance fixture;
  for (std::uint16_t port = 10; port < 10'000; ++port) {
    fixture.Offer(port, At(2));
  }
  flow_key other = Flow(9);
  other.caller.address = 0x0B000001;
  fixture.Direct(FirstPacket(other), At(3));
  fixture.EndFlow(1, At(4));
  fixture.Released(At(4));
  fixture.EndFlow(2, At(5));
  const std::vector<held_decision> second = fixture.Released(At(5));
  REQUIRE_FALSE(second.empty());
  CHECK(fixture.tracker.Find(other) != nullptr);
}

}  // namespace
}  // namespace rosemaryreach
