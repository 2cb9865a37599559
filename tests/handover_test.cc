#include "requests/handover.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>

#include "request_fixture.h"
#include "requests/quorum.h"

namespace rosemaryreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const target_id kTarget{TargetKey("pots", "t0")};

// Instances that hand one target of two slots over, without network delay.
class handover_fleet {
 public:
  struct node {
    std::unique_ptr<slot_table> slots;
    std::unique_ptr<handover> moves;
  };

  explicit handover_fleet(const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      const instance_id id = MakeInstanceId(name);
      node& added = nodes[id];
      added.slots = std::make_unique<slot_table>(milliseconds(250));
      added.slots->Configure(now, {{kTarget, {}, {2, 1'000, {}}, true}});
      added.moves = std::make_unique<handover>(
          id, seconds(2), milliseconds(250),
          handover_hooks{
              [&added](target_id) { return added.slots.get(); },
              [this, id](instance_id to, const request_message& message) {
                sent.push_back({id, to, message});
              }});
    }
  }

  void Apply(const std::vector<std::string>& at,
             const std::vector<std::string>& in_view) {
    for (const std::string& name : at) {
      node& one = nodes[MakeInstanceId(name)];
      one.moves->Apply(now, MakeFleetView(name, in_view), {},
                       {{kTarget, "a", "r", 2, seconds(5)}});
    }
    Deliver();
  }

  void Deliver() {
    while (!sent.empty()) {
      const letter next = sent.front();
      sent.pop_front();
      const auto found = nodes.find(next.to);
      if (found == nodes.end()) {
        continue;
      }
      handover& to = *found->second.moves;
      if (const auto* request = std::get_if<handover_request>(&next.body)) {
        to.OnRequest(now, next.from, *request);
      } else if (const auto* grant = std::get_if<handover_grant>(&next.body)) {
        to.OnGrant(now, next.from, *grant);
      } else if (const auto* freed = std::get_if<slot_released>(&next.body)) {
        to.OnReleased(next.from, *freed);
      }
    }
  }

  void Pass(duration span) {
    now += span;
    for (auto& [id, one] : nodes) {
      one.slots->Expire(now);
      one.moves->Tick(now);
    }
    Deliver();
  }

  // Returns how many requests the node may start now, starting them.
  int Fill(const std::string& name) {
    slot_table& slots = *nodes[MakeInstanceId(name)].slots;
    int started = 0;
    while (slots.Pick(now, request_class::kInteractive)) {
      slots.Start(now, {{++attempts},
                        kTarget,
                        request_class::kInteractive,
                        now,
                        now + seconds(5)});
      slots.ResumeRamp(now, kTarget, 100);
      ++started;
    }
    return started;
  }

  struct letter {
    instance_id from;
    instance_id to;
    request_message body;
  };

  time_point now{seconds(100)};
  std::uint64_t attempts = 0;
  std::map<instance_id, node> nodes;
  std::deque<letter> sent;
};

// Returns the names of the target's owner and successor among `names`.
std::pair<std::string, std::string> OwnersAmong(
    const std::vector<std::string>& names) {
  const owner_pair pair =
      owner_ranking(MakeFleetView(names[0], names), "r").Owners(kTarget.value);
  std::pair<std::string, std::string> owners;
  for (const std::string& name : names) {
    owners.first = MakeInstanceId(name) == pair.owner ? name : owners.first;
    owners.second =
        MakeInstanceId(name) == pair.successor ? name : owners.second;
  }
  return owners;
}

const std::vector<std::string> kNames = {"i0", "i1", "i2"};

std::vector<std::string> Without(const std::string& name) {
  std::vector<std::string> names = kNames;
  std::erase(names, name);
  return names;
}

TEST_CASE("a planned move carries what still runs") {
  const auto [owner, next] = OwnersAmong(kNames);
  handover_fleet fleet(kNames);
  fleet.Apply(kNames, kNames);
  REQUIRE(fleet.Fill(owner) == 2);
  fleet_view leaving = MakeFleetView(next, kNames);
  for (instance_info& info : leaving.instances) {
    if (info.name == owner) {
      info.state = instance_state::kLeaving;
    }
  }
  for (auto& [id, one] : fleet.nodes) {
    one.moves->Apply(fleet.now, leaving, {},
                     {{kTarget, "a", "r", 2, seconds(5)}});
  }
  fleet.Deliver();
  CHECK(fleet.Fill(owner) == 0);
  slot_table& taken = *fleet.nodes[MakeInstanceId(next)].slots;
  CHECK(taken.Running(kTarget) == 2);
  slot_table& left = *fleet.nodes[MakeInstanceId(owner)].slots;
  left.End(fleet.now, {1}, attempt_outcome::kDone);
  fleet.nodes[MakeInstanceId(owner)].moves->OnSlotFreed(kTarget);
  fleet.Deliver();
  CHECK(taken.Running(kTarget) == 1);
}

TEST_CASE("a lost owner's work counts until it must have ended") {
  const auto [owner, next] = OwnersAmong(kNames);
  handover_fleet fleet(kNames);
  fleet.Apply(kNames, kNames);
  fleet.Apply(Without(owner), Without(owner));
  fleet.Pass(seconds(7));
  CHECK(fleet.Fill(next) == 0);
  fleet.Pass(milliseconds(300));
  CHECK(fleet.Fill(next) > 0);
}

TEST_CASE("an owner that stood still asks whoever took over") {
  const auto [owner, next] = OwnersAmong(kNames);
  handover_fleet fleet(kNames);
  fleet.Apply(kNames, kNames);
  handover& slept = *fleet.nodes[MakeInstanceId(owner)].moves;
  slept.OnPause();
  CHECK(fleet.Fill(owner) == 0);
  fleet.Apply(Without(owner), Without(owner));
  fleet.Pass(seconds(8));
  REQUIRE(fleet.Fill(next) > 0);
  const std::uint32_t running =
      fleet.nodes[MakeInstanceId(next)].slots->Running(kTarget);
  slept.OnResumed(fleet.now);
  fleet.Deliver();
  slot_table& again = *fleet.nodes[MakeInstanceId(owner)].slots;
  CHECK(again.Running(kTarget) == running);
  CHECK(fleet.Fill(next) == 0);
}

TEST_CASE("a lost grant is given again with what runs by then") {
  const auto [owner, next] = OwnersAmong(kNames);
  handover_fleet fleet(kNames);
  fleet.Apply(kNames, kNames);
  REQUIRE(fleet.Fill(owner) == 2);
  for (const std::string& name : Without(owner)) {
    handover& moves = *fleet.nodes[MakeInstanceId(name)].moves;
    fleet_view view = MakeFleetView(name, kNames);
    for (instance_info& info : view.instances) {
      if (info.name == owner) {
        info.state = instance_state::kLeaving;
      }
    }
    moves.Apply(fleet.now, view, {}, {{kTarget, "a", "r", 2, seconds(5)}});
  }
  // The owner gives the target away, but its grant is lost.
  const handover_fleet::letter asked = fleet.sent.front();
  fleet.sent.clear();
  fleet.nodes[asked.to].moves->OnRequest(
      fleet.now, asked.from, std::get<handover_request>(asked.body));
  fleet.sent.clear();
  CHECK(fleet.Fill(next) == 0);
  fleet.Pass(milliseconds(150));
  CHECK(fleet.nodes[MakeInstanceId(next)].slots->Running(kTarget) == 2);
}

TEST_CASE("the smaller part of a split holds neither majority") {
  quorum members;
  const time_point now(seconds(100));
  members.Apply(now, MakeFleetView("i0", {"i0", "i1", "i2", "i3"}));
  CHECK(members.HasRegionMajority());
  members.Apply(now, MakeFleetView("i0", {"i0", "i1"}));
  CHECK_FALSE(members.HasRegionMajority());
  CHECK_FALSE(members.HasDataCentreMajority());
  CHECK(members.Expire(now + quorum::kRetention));
  CHECK(members.HasRegionMajority());
}

TEST_CASE("instances that left do not count against the majority") {
  quorum members;
  const time_point now(seconds(100));
  fleet_view view = MakeFleetView("i0", {"i0", "i1", "i2"});
  view.instances[1].state = instance_state::kLeaving;
  view.instances[2].state = instance_state::kLeaving;
  members.Apply(now, view);
  members.Apply(now, MakeFleetView("i0", {"i0"}));
  CHECK(members.HasRegionMajority());
}

TEST_CASE("a data centre whose instances all vanished has no owner here") {
  quorum members;
  const time_point now(seconds(100));
  fleet_view view = MakeFleetView("i0", {"i0", "i1"});
  view.instances[1].data_centre = "b";
  members.Apply(now, view);
  CHECK(members.UnreachableDataCentres().empty());
  members.Apply(now, MakeFleetView("i0", {"i0"}));
  CHECK(members.UnreachableDataCentres() == std::set<std::string>{"b"});
}

}  // namespace
}  // namespace rosemaryreach
