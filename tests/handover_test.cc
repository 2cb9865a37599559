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

// Instances that transfer one target of two slots, without network delay.
class handover_fleet {
 public:
  struct node {
    std::unique_ptr<slot_table> slots;
    std::unique_ptr<handover> transfers;
  };

  explicit handover_fleet(const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      const instance_id id = MakeInstanceId(name);
      node& added = nodes[id];
      added.slots = std::make_unique<slot_table>(milliseconds(250));
      added.slots->Configure(now, {{kTarget, {}, {2, 1'000, {}}, true}});
      added.transfers = std::make_unique<handover>(
          id, seconds(2), milliseconds(250),
          handover_hooks{
              [&added](target_id) { return added.slots.get(); },
              [this, id](instance_id to, const request_message& message) {
                sent.push_back({id, to, message});
              }});
    }
  }

  void Apply(const std::vector<std::string>& names,
             const std::vector<std::string>& in_view) {
    for (const std::string& name : names) {
      node& instance = nodes[MakeInstanceId(name)];
      instance.transfers->Apply(now, MakeFleetView(name, in_view), {},
                                {{kTarget, "a", "r", 2, seconds(5)}});
    }
    Deliver();
  }

  void Deliver() {
    while (!sent.empty()) {
      const queued_message next = sent.front();
      sent.pop_front();
      const auto found = nodes.find(next.to);
      if (found == nodes.end()) {
        continue;
      }
      handover& to = *found->second.transfers;
      if (const auto* request = std::get_if<handover_request>(&next.body)) {
        to.OnRequest(now, next.from, *request);
      } else if (const auto* grant = std::get_if<handover_grant>(&next.body)) {
        to.OnGrant(now, next.from, *grant);
      } else if (const auto* freed = std::get_if<slot_released>(&next.body)) {
        to.OnReleased(next.from, *freed);
      }
    }
  }

  void Advance(duration span) {
    now += span;
    for (auto& [id, instance] : nodes) {
      instance.slots->Expire(now);
      instance.transfers->Tick(now);
    }
    Deliver();
  }

  // Starts as many requests at the instance as it may; returns their number.
  int FillSlots(const std::string& name) {
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

  struct queued_message {
    instance_id from;
    instance_id to;
    request_message body;
  };

  time_point now{seconds(100)};
  std::uint64_t attempts = 0;
  std::map<instance_id, node> nodes;
  std::deque<queued_message> sent;
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

TEST_CASE("a planned handover includes the running requests") {
  const auto [owner, next] = OwnersAmong(kNames);
  handover_fleet fleet(kNames);
  fleet.Apply(kNames, kNames);
  REQUIRE(fleet.FillSlots(owner) == 2);
  fleet_view leaving = MakeFleetView(next, kNames);
  for (instance_info& info : leaving.instances) {
    if (info.name == owner) {
      info.state = instance_state::kLeaving;
    }
  }
  for (auto& [id, instance] : fleet.nodes) {
    instance.transfers->Apply(fleet.now, leaving, {},
                              {{kTarget, "a", "r", 2, seconds(5)}});
  }
  fleet.Deliver();
  CHECK(fleet.FillSlots(owner) == 0);
  slot_table& new_slots = *fleet.nodes[MakeInstanceId(next)].slots;
  CHECK(new_slots.Running(kTarget) == 2);
  slot_table& old_slots = *fleet.nodes[MakeInstanceId(owner)].slots;
  old_slots.End(fleet.now, {1}, attempt_outcome::kDone);
  fleet.nodes[MakeInstanceId(owner)].transfers->OnSlotFreed(kTarget);
  fleet.Deliver();
  CHECK(new_slots.Running(kTarget) == 1);
}

TEST_CASE("requests of a lost owner count until they must have ended") {
  const auto [owner, next] = OwnersAmong(kNames);
  handover_fleet fleet(kNames);
  fleet.Apply(kNames, kNames);
  fleet.Apply(Without(owner), Without(owner));
  fleet.Advance(seconds(7));
  CHECK(fleet.FillSlots(next) == 0);
  fleet.Advance(milliseconds(300));
  CHECK(fleet.FillSlots(next) > 0);
}

TEST_CASE("an owner that was paused requests the target from the new owner") {
  const auto [owner, next] = OwnersAmong(kNames);
  handover_fleet fleet(kNames);
  fleet.Apply(kNames, kNames);
  handover& paused = *fleet.nodes[MakeInstanceId(owner)].transfers;
  paused.OnPause();
  CHECK(fleet.FillSlots(owner) == 0);
  fleet.Apply(Without(owner), Without(owner));
  fleet.Advance(seconds(8));
  REQUIRE(fleet.FillSlots(next) > 0);
  const std::uint32_t running =
      fleet.nodes[MakeInstanceId(next)].slots->Running(kTarget);
  paused.OnResumed(fleet.now);
  fleet.Deliver();
  slot_table& owner_slots = *fleet.nodes[MakeInstanceId(owner)].slots;
  CHECK(owner_slots.Running(kTarget) == running);
  CHECK(fleet.FillSlots(next) == 0);
}

TEST_CASE("a lost grant is repeated with the running requests") {
  const auto [owner, next] = OwnersAmong(kNames);
  handover_fleet fleet(kNames);
  fleet.Apply(kNames, kNames);
  REQUIRE(fleet.FillSlots(owner) == 2);
  for (const std::string& name : Without(owner)) {
    handover& transfers = *fleet.nodes[MakeInstanceId(name)].transfers;
    fleet_view view = MakeFleetView(name, kNames);
    for (instance_info& info : view.instances) {
      if (info.name == owner) {
        info.state = instance_state::kLeaving;
      }
    }
    transfers.Apply(fleet.now, view, {}, {{kTarget, "a", "r", 2, seconds(5)}});
  }
  // The owner grants the target, but the grant is lost.
  const handover_fleet::queued_message request = fleet.sent.front();
  fleet.sent.clear();
  fleet.nodes[request.to].transfers->OnRequest(
      fleet.now, request.from, std::get<handover_request>(request.body));
  fleet.sent.clear();
  CHECK(fleet.FillSlots(next) == 0);
  fleet.Advance(milliseconds(150));
  CHECK(fleet.nodes[MakeInstanceId(next)].slots->Running(kTarget) == 2);
}

TEST_CASE("the minority side of a partition has neither majority") {
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

TEST_CASE("a data centre whose instances all disappeared is unreachable") {
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
