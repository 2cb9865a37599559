#include "rosemaryreach/control_plane.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "fleet_measures.h"

namespace rosemaryreach {
namespace {

using fakes::fleet_world;
using fakes::world_options;
using std::chrono::milliseconds;
using std::chrono::seconds;

const peer_keys kKeys = {std::string(32, 'k')};

instance_info MakeInfo(const std::string& name) {
  instance_info info;
  info.name = name;
  info.id = MakeInstanceId(name);
  info.data_centre = "d";
  info.region = "r";
  info.address = ParseIp("10.0.0.1").value();
  info.control_port = 1;
  info.grpc_port = 2;
  info.incarnation = 1;
  return info;
}

control_plane MakePlane(const std::string& name, const peer_keys& keys) {
  return {{}, MakeInfo(name), {}, keys, 1, 1, nullptr};
}

// Seals `body` as the instance `name` would.
std::string SealAs(const std::string& name,
                   instance_id to,
                   control_body body,
                   const peer_keys& keys = kKeys) {
  static std::uint64_t sequence = 1;
  peer_auth auth(MakeInstanceId(name), keys, ++sequence);
  control_message message;
  message.body = std::move(body);
  return auth.Seal(to, EncodeMessage(message));
}

TEST_CASE("messages reserved for gRPC are rejected in datagrams") {
  control_plane plane = MakePlane("a", kKeys);
  const instance_id self = MakeInstanceId("a");
  plane.OnDatagram({}, {}, SealAs("b", self, sync_reply{true}));
  plane.OnDatagram({}, {}, SealAs("b", self, log_reply{}));
  CHECK(plane.counters().disallowed == 2);
  CHECK_FALSE(plane.members().trusted());
}

TEST_CASE("oversized and undecodable datagrams are counted and dropped") {
  control_plane plane = MakePlane("a", kKeys);
  plane.OnDatagram({}, {}, std::string(kMaxControlDatagramBytes + 1, 'x'));
  CHECK(plane.counters().oversized == 1);
  peer_auth auth(MakeInstanceId("b"), kKeys, 1);
  plane.OnDatagram({}, {}, auth.Seal(MakeInstanceId("a"), "garbage"));
  CHECK(plane.counters().undecodable == 1);
  CHECK(plane.auth().stats().accepted == 1);
}

TEST_CASE(
    "requests without the key, replayed or of another kind are rejected") {
  control_plane plane = MakePlane("a", kKeys);
  const instance_id self = MakeInstanceId("a");
  const std::string foreign =
      SealAs("b", self, log_request{}, {std::string(32, 'x')});
  REQUIRE_FALSE(plane.OnGrpcRequest({}, foreign));
  CHECK(plane.OnGrpcRequest({}, foreign).error().code ==
        errc::kUnauthenticated);
  const std::string good = SealAs("b", self, log_request{});
  CHECK(plane.OnGrpcRequest({}, good));
  CHECK(plane.OnGrpcRequest({}, good).error().code == errc::kStale);
  CHECK(plane.OnGrpcRequest({}, SealAs("b", self, ping{1})).error().code ==
        errc::kUnsupported);
}

TEST_CASE("state is sent only to live peers and up to the size limit") {
  control_plane plane = MakePlane("a", kKeys);
  const instance_id self = MakeInstanceId("a");
  const std::string large(kMaxStatePayloadBytes + 1, 'x');
  CHECK(plane.SendState({}, state_kind::kFlows, MakeInstanceId("b"), "x")
            .error()
            .code == errc::kNotFound);
  CHECK(plane.SendState({}, state_kind::kFlows, self, large).error().code ==
        errc::kTooLarge);
}

TEST_CASE("random datagrams change nothing") {
  CHECK(rc::check("random bytes", [](const std::string& bytes) {
    control_plane plane = MakePlane("a", kKeys);
    const std::uint64_t version = plane.members().view().version;
    const control_actions actions = plane.OnDatagram({}, {}, bytes);
    RC_ASSERT(actions.send.empty());
    RC_ASSERT(plane.members().view().version == version);
    RC_ASSERT(plane.auth().stats().accepted == 0U);
  }));
}

// Injects the fault or change `choice`.
void InjectFault(fleet_world& world, int choice, std::size_t index) {
  fleet_world::instance& one = world.at(index);
  switch (choice) {
    case 0:
      if (one.up && !one.paused) {
        world.Kill(index);
      }
      break;
    case 1:
      if (!one.up) {
        world.Start(index);
      }
      break;
    case 2:
      if (one.up && !one.paused) {
        world.Pause(index, seconds(5));
      }
      break;
    case 3:
      world.Cut([index](const auto& a, const auto& b) {
        return (a.info.id.value % 6 < index) == (b.info.id.value % 6 < index);
      });
      break;
    case 4:
      world.Heal();
      break;
    case 5:
      world.source().SetDown(index % 2 == 0);
      break;
    default:
      world.PublishChange();
  }
}

TEST_CASE(
    "the fleet converges on members, owners and configuration after faults") {
  CHECK(rc::check("random faults", [] {
    world_options options;
    options.centres = {{"a1", "a", 4}, {"a2", "a", 3}};
    options.links.loss = 0.01;
    options.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    fleet_world world(options);
    world.StartAll();
    const int steps = *rc::gen::inRange(1, 12);
    for (int step = 0; step < steps; ++step) {
      InjectFault(world, *rc::gen::inRange(0, 7),
                  *rc::gen::inRange<std::size_t>(0, world.size()));
      world.Run(milliseconds(*rc::gen::inRange(0, 4'000)));
    }
    world.Heal();
    world.source().SetDown(false);
    world.Run(seconds(10));
    for (std::size_t i = 0; i < world.size(); ++i) {
      if (!world.at(i).up) {
        world.Start(i);
      }
    }
    world.Run(seconds(20));
    RC_ASSERT(world.ViewsSettled());
    RC_ASSERT(fakes::OwnersAgree(world, fakes::RegionOf));
    RC_ASSERT(world.AllHave(world.published()));
    RC_ASSERT(world.reverts() == 0U);
  }));
}

}  // namespace
}  // namespace rosemaryreach
