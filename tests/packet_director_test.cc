#include "rosemaryreach/packet_director.h"

#include <catch2/catch.hpp>
#include <functional>

#include "entry_fixture.h"

namespace rosemaryreach {
namespace {

TEST_CASE("A first packet gets the cookie of a target of its service") {
  entry_fixture fixture;
  const target_index ledger = fixture.Add(Target("l1", 1));
  fixture.Add(Target("f1", 2, "dc-a", "files"));
  const packet_decision decision = fixture.Direct(FirstPacket(Flow(1)), At(1));
  CHECK(decision.verdict == packet_verdict::kForward);
  CHECK(decision.target == ledger);
  CHECK(decision.cookie == MakeCookie("l1", 1));
}

TEST_CASE(
    "An open flow follows its cookie on an instance that does not track it") {
  entry_fixture fixture;
  fixture.Add(Target("l1", 1));
  const target_index second = fixture.Add(Target("l2", 2));
  const packet_decision decision = fixture.Direct(
      LaterPacket(Flow(1), MakeCookie("l2", 1), 1'001, 5'001, 100), At(1));
  CHECK(decision.verdict == packet_verdict::kForward);
  CHECK(decision.target == second);
  CHECK(decision.cookie == 0);
}

TEST_CASE("An open flow follows its cookie after its target drained and left") {
  entry_fixture fixture;
  const target_index first = fixture.Add(Target("l1", 1));
  fixture.Drain(Target("l1", 1), At(1'000));
  fixture.Remove("l1", At(5'000));
  const packet_decision decision = fixture.Direct(
      LaterPacket(Flow(1), MakeCookie("l1", 1), 1'001, 5'001, 100), At(6'000));
  CHECK(decision.verdict == packet_verdict::kForward);
  CHECK(decision.target == first);
}

// A live target may be known to other instances only.
TEST_CASE("A packet with an unknown cookie is dropped") {
  entry_fixture fixture;
  fixture.Add(Target("l1", 1));
  for (std::int64_t ms = 0; ms < 10'000; ms += 200) {
    for (const ipv4_endpoint& to : {kWatchAddress, kBookAddress}) {
      const packet_decision decision = fixture.Direct(
          LaterPacket(Flow(1, to), 12'345, 1'001, 5'001, 100), At(ms));
      CHECK(decision.verdict == packet_verdict::kDrop);
    }
  }
}

TEST_CASE("A retransmitted first packet tries another target") {
  entry_fixture fixture;
  fixture.Add(Target("l1", 1));
  fixture.Add(Target("l2", 2));
  fixture.Add(Target("l3", 3));
  const target_index first = fixture.Direct(FirstPacket(Flow(1)), At(0)).target;
  const target_index second =
      fixture.Direct(FirstPacket(Flow(1), 1), At(200)).target;
  const target_index third =
      fixture.Direct(FirstPacket(Flow(1), 2), At(600)).target;
  CHECK(first != second);
  CHECK(third != second);
  CHECK(third != first);
}

// An instance that lacked processor time handles them in the same instant. The
// target had no time to answer, and a second one would open the flow, too.
TEST_CASE("A copy that comes with its first packet goes to the same target") {
  const std::int64_t later = GENERATE(0, 1, ToMillis(kOpenAnswerTimeout) - 1);
  entry_fixture fixture;
  fixture.Add(Target("l1", 1));
  fixture.Add(Target("l2", 2));
  fixture.Add(Target("l3", 3));
  const target_index first = fixture.Direct(FirstPacket(Flow(1)), At(0)).target;
  for (const std::uint32_t copy : {1, 2}) {
    const packet_decision decision =
        fixture.Direct(FirstPacket(Flow(1), copy), At(later));
    CHECK(decision.verdict == packet_verdict::kForward);
    CHECK(decision.target == first);
    CHECK(decision.cookie == fixture.directory.Find(first)->cookie);
  }
  CHECK(fixture.suspected.empty());
  CHECK(fixture.tracker.StatusOf(first).opening == 1);
}

// Has the guard refuse flows of `kWatchAddress`, the less urgent kind.
void Overload(entry_fixture& fixture) {
  entry_config config = Config(2);
  for (entry_route& route : config.routes) {
    route.latency_target = std::chrono::milliseconds(250);
    route.priority = route.address == kWatchAddress ? 2 : 1;
  }
  fixture.directory.Apply({}, config, At(0));
  for (int i = 0; i < 100; ++i) {
    fixture.guard.OnOffered("ledger", config.routes[0]);
    fixture.guard.OnOffered("ledger", config.routes[1]);
  }
  for (const std::int64_t ms : {55, 200}) {
    for (int i = 0; i < 100; ++i) {
      fixture.guard.OnAnswered("ledger", "dc-a", std::chrono::milliseconds(ms),
                               At(490));
    }
  }
  for (std::uint16_t port = 100; port < 110; ++port) {
    fixture.Direct(FirstPacket(Flow(port, kBookAddress)), At(499));
  }
}

struct refusal {
  const char* rule = "";
  std::function<void(entry_fixture&)> cause;
};

const std::vector<refusal> kRefusals = {
    {"no_target",
     [](entry_fixture& fixture) { fixture.Evacuate("dc-a", true, At(490)); }},
    {"targets_unreachable",
     [](entry_fixture& fixture) { fixture.MakeUnreachable(0, At(490)); }},
    {"no_route",
     [](entry_fixture& fixture) {
       entry_config config = Config(2);
       std::erase_if(config.routes, [](const entry_route& route) {
         return route.address == kWatchAddress;
       });
       fixture.directory.Apply({}, config, At(490));
     }},
    {"over_capacity", Overload}};

// The reset would reach the flow that another packet of it may have opened.
TEST_CASE("A copy of a first packet is never answered by a reset") {
  for (const refusal& one : kRefusals) {
    for (const std::uint32_t copy : {0U, 1U, kLastCopy}) {
      INFO(one.rule << ", copy " << copy);
      entry_fixture fixture;
      fixture.Add(Target("l1", 1));
      one.cause(fixture);
      const packet_decision decision =
          fixture.Direct(FirstPacket(Flow(1), copy), At(500));
      CHECK(decision.verdict ==
            (copy == 0 ? packet_verdict::kReset : packet_verdict::kDrop));
      CHECK(std::string(decision.rule) == one.rule);
    }
  }
}

TEST_CASE("A copy of a first packet that was forwarded here is not reset") {
  const bool opened = GENERATE(false, true);
  for (const refusal& one : kRefusals) {
    INFO(one.rule << ", opened " << opened);
    entry_fixture fixture;
    const target_index target = fixture.Add(Target("l1", 1));
    const packet_decision first = fixture.Direct(FirstPacket(Flow(1)), At(290));
    CHECK(first.target == target);
    if (opened) {
      fixture.Direct(LaterPacket(Flow(1), first.cookie, 1'001, 5'001, 100),
                     At(300));
    }
    one.cause(fixture);
    CHECK(fixture.Direct(FirstPacket(Flow(1), 1), At(500)).verdict !=
          packet_verdict::kReset);
    CHECK(fixture.Direct(FirstPacket(Flow(1), 2), At(900)).verdict !=
          packet_verdict::kReset);
    const packet_decision later = fixture.Direct(
        LaterPacket(Flow(1), first.cookie, 1'001, 5'001, 100), At(910));
    CHECK(later.verdict == packet_verdict::kForward);
    CHECK(later.target == target);
  }
}

TEST_CASE("A late first packet goes to the target of the open flow") {
  entry_fixture fixture;
  fixture.Add(Target("l1", 1));
  fixture.Add(Target("l2", 2));
  const packet_decision opened = fixture.Direct(FirstPacket(Flow(1)), At(0));
  fixture.Direct(LaterPacket(Flow(1), opened.cookie, 1'001, 5'001, 100), At(5));
  CHECK(fixture.Direct(FirstPacket(Flow(1), 1), At(200)).target ==
        opened.target);
}

// A late copy must neither reach the target of the next flow nor reset it.
TEST_CASE("A late packet of a former flow follows its own cookie") {
  entry_fixture fixture;
  const target_index first = fixture.Add(Target("l1", 1));
  const packet_decision before = fixture.Direct(FirstPacket(Flow(1)), At(0));
  flow_packet last = LaterPacket(Flow(1), before.cookie, 1'001, 5'001, 100);
  last.finishes = true;
  fixture.Direct(last, At(5));
  fixture.Drain(Target("l1", 1), At(6));
  const target_index second = fixture.Add(Target("l2", 2), At(6));
  const packet_decision reused = fixture.Direct(FirstPacket(Flow(1)), At(50));
  CHECK(reused.target == second);
  const packet_decision late = fixture.Direct(last, At(60));
  CHECK(late.verdict == packet_verdict::kForward);
  CHECK(late.target == first);
  const packet_decision next = fixture.Direct(
      LaterPacket(Flow(1), reused.cookie, 2'001, 7'001, 100), At(70));
  CHECK(next.verdict == packet_verdict::kForward);
  CHECK(next.target == second);
}

TEST_CASE("Flows without a route are reset only with a recent view") {
  entry_fixture fixture;
  fixture.Add(Target("l1", 1));
  const flow_packet packet = FirstPacket(Flow(1, {0xC6120009, 443}));
  CHECK(fixture.Direct(packet, At(1)).verdict == packet_verdict::kReset);
  fixture.freshness.recent = false;
  CHECK(fixture.Direct(packet, At(2)).verdict == packet_verdict::kDrop);
}

TEST_CASE("No flow is opened before the view is settled") {
  entry_fixture fixture;
  fixture.Add(Target("l1", 1));
  fixture.freshness.settled = false;
  CHECK(fixture.Direct(FirstPacket(Flow(1)), At(1)).verdict ==
        packet_verdict::kDrop);
}

TEST_CASE("A flow is refused at once when no target can be reached") {
  entry_fixture fixture;
  fixture.MakeUnreachable(fixture.Add(Target("l1", 1)), At(0));
  const packet_decision decision = fixture.Direct(FirstPacket(Flow(1)), At(1));
  CHECK(decision.verdict == packet_verdict::kReset);
  CHECK(std::string(decision.rule) == "targets_unreachable");
}

TEST_CASE("An evacuated data centre keeps open flows and gets no new ones") {
  entry_fixture fixture;
  fixture.Add(Target("l1", 1));
  fixture.Evacuate("dc-a", true, At(1'000));
  const std::uint32_t cookie = MakeCookie("l1", 1);
  const flow_packet data = LaterPacket(Flow(1), cookie, 1'001, 5'001, 100);
  CHECK(fixture.Direct(data, At(9'000)).verdict == packet_verdict::kForward);
  CHECK(fixture.Direct(FirstPacket(Flow(2)), At(9'000)).verdict ==
        packet_verdict::kReset);
}

// A cut, a full queue, or a target that leaves shows the same from here.
TEST_CASE("Silence of its target resets no open flow") {
  const bool gone = GENERATE(false, true);
  const ipv4_endpoint to = GENERATE(kWatchAddress, kBookAddress);
  entry_fixture fixture;
  const target_index target = fixture.Add(Target("l1", 1));
  const flow_packet request =
      LaterPacket(Flow(1, to), MakeCookie("l1", 1), 1'001, 5'001, 100);
  fixture.Direct(request, At(0));
  fixture.MakeUnreachable(target, At(150));
  if (gone) {
    fixture.Drain(Target("l1", 1), At(160));
    fixture.Remove("l1", At(170));
  }
  for (std::int64_t ms = 200; ms < 10'000; ms += 200) {
    fixture.tracker.OnProbeResult(target, probe_outcome::kRefused, At(ms));
    CHECK(fixture.Direct(request, At(ms)).verdict == packet_verdict::kForward);
  }
}

// The other one would reset the flows that it lacks.
TEST_CASE("Packets of an open flow go to its own target alone") {
  entry_fixture fixture;
  const target_index own = fixture.Add(Target("l1", 1));
  target_record other = Target("f1", 1, "dc-a", "files");
  other.wire_id = 7;
  fixture.Add(other, At(10));
  const auto send = [&] {
    return fixture.Direct(
        LaterPacket(Flow(1), MakeCookie("l1", 1), 1'001, 5'001, 100), At(11));
  };
  CHECK(send().target == own);
  fixture.Remove("l1", At(20));
  CHECK(send().verdict == packet_verdict::kForward);
  CHECK(send().target == own);
  fixture.directory.Tick(false, At(200'000));
  fixture.directory.Tick(false, At(300'000));
  REQUIRE(fixture.directory.Find(own) == nullptr);
  CHECK(send().verdict == packet_verdict::kDrop);
}

TEST_CASE("Route weights give all retransmissions the same service") {
  entry_fixture fixture;
  entry_config config = Config(2);
  config.routes[0].services = {{"ledger", 90}, {"files", 10}};
  fixture.directory.Apply({}, config, At(0));
  const target_index ledger = fixture.Add(Target("l1", 1));
  fixture.Add(Target("f1", 2, "dc-a", "files"));
  int to_ledger = 0;
  for (std::uint16_t port = 0; port < 1'000; ++port) {
    const target_index first =
        fixture.Direct(FirstPacket(Flow(port)), At(0)).target;
    const target_index retransmitted =
        fixture.Direct(FirstPacket(Flow(port), 1), At(20)).target;
    CHECK(first == retransmitted);
    to_ledger += first == ledger ? 1 : 0;
    fixture.tracker.Drop(Flow(port));
  }
  CHECK(to_ledger > 850);
  CHECK(to_ledger < 950);
}

TEST_CASE("A flow that is not tracked is explained as a new one") {
  entry_fixture fixture;
  fixture.Add(Target("l1", 1));
  fixture.Add(Target("l2", 2));
  fixture.Drain(Target("l2", 2), At(0));
  const flow_explanation found =
      fixture.director.Explain(Flow(1), fixture.freshness, At(5'000));
  CHECK(found.service == "ledger");
  CHECK(found.tracked == nullptr);
  CHECK(found.next.verdict == packet_verdict::kForward);
  CHECK(std::string(found.next.rule) == "least_load");
  REQUIRE(found.targets.size() == 2);
  CHECK(found.targets[0].targets == 1);
  CHECK(std::string(found.targets[1].rule) == "no_target");
  CHECK(fixture.tracker.size() == 0);
}

TEST_CASE("A tracked flow is explained by its own target") {
  entry_fixture fixture;
  const target_index target = fixture.Add(Target("l1", 1));
  fixture.Direct(FirstPacket(Flow(1)), At(0));
  fixture.Direct(LaterPacket(Flow(1), MakeCookie("l1", 1), 1'001, 5'001, 100),
                 At(5));
  const auto explain = [&] {
    return fixture.director.Explain(Flow(1), fixture.freshness, At(210));
  };
  CHECK(explain().tracked->phase == flow_phase::kRunning);
  CHECK(explain().next.target == target);
  CHECK(std::string(explain().next.rule) == "cookie");
  fixture.Direct(LaterPacket(Flow(1), MakeCookie("l1", 1), 1'001, 5'001, 100),
                 At(205));
  fixture.MakeUnreachable(target, At(205));
  CHECK(explain().next.target == target);
  CHECK(std::string(explain().next.rule) == "cookie");
}

TEST_CASE("An explanation agrees with the decision on a first packet") {
  const std::vector<std::function<void(entry_fixture&)>> changes = {
      [](entry_fixture&) {},
      [](entry_fixture& fixture) { fixture.freshness.settled = false; },
      [](entry_fixture& fixture) { fixture.Remove("l1", At(0)); },
      [](entry_fixture& fixture) { fixture.Evacuate("dc-a", true, At(0)); },
      [](entry_fixture& fixture) { fixture.tracker.MarkSuspected(0, "test"); },
      [](entry_fixture& fixture) { fixture.MakeUnreachable(0, At(0)); },
      [](entry_fixture& fixture) { fixture.Drain(Target("l1", 1), At(0)); }};
  for (const std::function<void(entry_fixture&)>& change : changes) {
    for (const ipv4_endpoint& to :
         {kWatchAddress, kFilesAddress, ipv4_endpoint{0xC6120009, 443}}) {
      entry_fixture fixture;
      fixture.Add(Target("l1", 1));
      change(fixture);
      const flow_explanation explained =
          fixture.director.Explain(Flow(1, to), fixture.freshness, At(500));
      const packet_decision decided =
          fixture.Direct(FirstPacket(Flow(1, to)), At(500));
      CHECK(explained.next.verdict == decided.verdict);
      CHECK(std::string(explained.next.rule) == decided.rule);
    }
  }
}

}  // namespace
}  // namespace rosemaryreach
