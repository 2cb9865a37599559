#include "rosemaryreach/flow_router.h"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

namespace rosemaryreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

endpoint MakeAddress(std::uint8_t net, std::uint8_t host) {
  endpoint made;
  made.address.bytes[0] = net;
  made.address.bytes[15] = host;
  made.port = 443;
  return made;
}

// Two targets "t0" and "t1", one in each of two data centres.
configuration MakeConfig(std::uint64_t number) {
  configuration config;
  config.number = number;
  config.data_centres = {{"a", "r", data_centre_state::kIn},
                         {"b", "r", data_centre_state::kIn}};
  service_config service;
  service.name = "s";
  service.addresses = {MakeAddress(1, 0)};
  service.buckets = 64;
  service.flow_idle_timeout_ms = 20'000;
  for (std::uint8_t i = 0; i < 2; ++i) {
    target_config target;
    target.name = "t" + std::to_string(i);
    target.address = MakeAddress(2, i);
    target.data_centre = i == 0 ? "a" : "b";
    target.warmup_ms = 1'000;
    service.targets.push_back(target);
  }
  config.services = {service};
  return config;
}

fleet_view MakeView(std::vector<std::uint64_t> numbers) {
  fleet_view view;
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    instance_info info;
    info.id = instance_id{i + 1};
    info.region = "r";
    info.address.bytes[15] = static_cast<std::uint8_t>(i + 1);
    info.detour_port = 7'000;
    info.state = instance_state::kActive;
    info.configuration_number = numbers[i];
    view.instances.push_back(info);
  }
  view.self = instance_id{1};
  return view;
}

// The router of instance 1. Tests advance its clock.
struct router_fixture {
  explicit router_fixture(const configuration& config = MakeConfig(1),
                          flow_router_options options = {})
      : router(options, log) {
    Apply(config);
    router.ApplyView(MakeView({config.number}), now);
  }

  void Apply(const configuration& config) {
    router.ApplyConfiguration(std::make_shared<configuration>(config), now);
  }

  void Advance(duration span) {
    const time_point end = now + span;
    while (now < end) {
      now += milliseconds(kFlowTickMs);
      for (const outgoing_flow_message& message : router.Tick(now)) {
        sent.push_back(message);
      }
    }
  }

  packet_info Packet(std::uint16_t flow, bool syn) const {
    packet_info packet;
    packet.kind = packet_kind::kFlow;
    packet.flow = {
        {MakeAddress(3, 1).address, flow}, MakeAddress(1, 0), protocol};
    packet.flow_hash = FlowHash(packet.flow);
    packet.syn = syn;
    return packet;
  }

  flow_decision Route(std::uint16_t flow,
                      bool syn,
                      const detour_info* detour = nullptr) {
    return router.Route(Packet(flow, syn), detour, now);
  }

  // Returns the first flow from `from` on that goes to `target`.
  std::uint16_t FindFlowTo(const std::string& target, std::uint16_t from = 1) {
    for (std::uint16_t flow = from; flow < from + kMaxTries; ++flow) {
      if (Route(flow, false).target == target) {
        return flow;
      }
    }
    FAIL("no flow goes to " << target);
    return 0;
  }

  static constexpr int kMaxTries = 1'000;

  null_log_sink log;
  flow_router router;
  std::vector<outgoing_flow_message> sent;
  transport_protocol protocol = transport_protocol::kTcp;
  time_point now = time_point(seconds(1'000));
};

configuration MakeDrainedConfig(std::uint64_t number) {
  configuration config = MakeConfig(number);
  config.services[0].targets[0].state = target_state::kDraining;
  return config;
}

TEST_CASE(
    "packets to unknown addresses go to the default next hop or are dropped") {
  router_fixture fixture;
  packet_info unknown = fixture.Packet(1, true);
  unknown.flow.service = MakeAddress(9, 9);
  CHECK(fixture.router.Route(unknown, nullptr, fixture.now).action ==
        flow_action::kDrop);
  configuration config = MakeConfig(2);
  config.default_legacy = MakeAddress(8, 8);
  fixture.Apply(config);
  CHECK(fixture.router.Route(unknown, nullptr, fixture.now).next_hop ==
        MakeAddress(8, 8));
}

TEST_CASE("without a view of the fleet all packets are dropped") {
  null_log_sink log;
  flow_router router({}, log);
  const router_fixture fixture;
  router.ApplyConfiguration(std::make_shared<configuration>(MakeConfig(1)),
                            fixture.now);
  CHECK(router.Route(fixture.Packet(1, true), nullptr, fixture.now).rule ==
        "no_view");
  CHECK_FALSE(router.synchronized());
}

TEST_CASE("a service is matched by address, port and protocol") {
  router_fixture fixture;
  fixture.protocol = transport_protocol::kUdp;
  CHECK(fixture.Route(1, false).rule == "unknown_address");
}

TEST_CASE("new flows avoid a draining target and open flows stay") {
  router_fixture fixture;
  const std::uint16_t open = fixture.FindFlowTo("t0");
  const std::uint16_t fresh = fixture.FindFlowTo("t0", open + 1);
  fixture.Apply(MakeDrainedConfig(2));
  fixture.Advance(milliseconds(500));
  CHECK(fixture.Route(open, false).target == "t0");
  CHECK(fixture.Route(fresh, true).target == "t1");
  CHECK(fixture.Route(fresh, false).target == "t1");
}

TEST_CASE("no flow is diverted while a peer has an older configuration") {
  router_fixture fixture;
  const std::uint16_t flow = fixture.FindFlowTo("t0");
  fixture.router.ApplyView(MakeView({1, 1}), fixture.now);
  fixture.Advance(seconds(4));
  fixture.Apply(MakeDrainedConfig(2));
  fixture.router.ApplyView(MakeView({2, 1}), fixture.now);
  fixture.Advance(seconds(1));
  flow_decision early = fixture.Route(flow, true);
  // Either this instance owns the bucket, or it detours the packet to the
  // owner.
  CHECK((early.target == "t0" || early.action == flow_action::kDetour));
  fixture.Advance(seconds(1));
  fixture.router.ApplyView(MakeView({2, 2}), fixture.now);
  fixture.Advance(milliseconds(100));
  bool diverted = false;
  for (std::uint16_t other = 1; other < 200; ++other) {
    const flow_decision late = fixture.Route(other, true);
    CHECK(late.target != "t0");
    diverted |= late.detour.pinned_target != 0;
  }
  CHECK(diverted);
}

TEST_CASE("at the limit of pins new flows go to the unpinned target") {
  flow_router_options options;
  options.max_pins = 1;
  router_fixture fixture(MakeConfig(1), options);
  const std::uint16_t first = fixture.FindFlowTo("t0");
  const std::uint16_t second = fixture.FindFlowTo("t0", first + 1);
  fixture.Apply(MakeDrainedConfig(2));
  fixture.Advance(milliseconds(500));
  CHECK(fixture.Route(first, true).target == "t1");
  CHECK(fixture.Route(second, true).rule == "pin_limit");
  CHECK(fixture.Route(second, true).target == "t0");
  CHECK(fixture.Route(second, false).target == "t0");
  CHECK(fixture.router.stats().pins == 1);
}

TEST_CASE("flows of a data centre that is out are reset") {
  router_fixture fixture;
  const std::uint16_t flow = fixture.FindFlowTo("t0");
  configuration config = MakeConfig(2);
  config.data_centres[0].state = data_centre_state::kOut;
  fixture.Apply(config);
  CHECK(fixture.Route(flow, false).action == flow_action::kReset);
  packet_info error = fixture.Packet(flow, false);
  error.kind = packet_kind::kIcmpError;
  CHECK(fixture.router.Route(error, nullptr, fixture.now).action ==
        flow_action::kDrop);
  fixture.Advance(seconds(1));
  CHECK(fixture.Route(flow, true).target == "t1");
}

TEST_CASE("a bucket closes when the flows of its old target have ended") {
  router_fixture fixture;
  fixture.Apply(MakeDrainedConfig(2));
  fixture.Advance(milliseconds(500));
  CHECK(fixture.router.stats().open_buckets > 0);
  fixture.Advance(seconds(60));
  CHECK(fixture.router.stats().open_buckets == 0);
  CHECK(fixture.router.stats().pins == 0);
  for (std::uint16_t flow = 1; flow < 100; ++flow) {
    CHECK(fixture.Route(flow, false).target == "t1");
  }
}

TEST_CASE("a pin is kept while its flow sends packets") {
  router_fixture fixture;
  const std::uint16_t flow = fixture.FindFlowTo("t0");
  const std::uint16_t kept = fixture.FindFlowTo("t0", flow + 1);
  fixture.Apply(MakeDrainedConfig(2));
  fixture.Advance(milliseconds(500));
  fixture.Route(flow, true);
  for (int i = 0; i < 10; ++i) {
    fixture.Advance(seconds(10));
    CHECK(fixture.Route(kept, false).target == "t0");
    CHECK(fixture.Route(flow, false).target == "t1");
  }
}

TEST_CASE("no target is ejected if more than half of the weight is unhealthy") {
  router_fixture fixture;
  fixture.router.ReportTarget("s", "t0", target_condition::kUnhealthy,
                              fixture.now);
  fixture.Advance(milliseconds(500));
  CHECK(fixture.router.stats().open_buckets > 0);
  const std::uint16_t flow = fixture.FindFlowTo("t0");
  CHECK(fixture.Route(flow, true).target == "t1");
  fixture.router.ReportTarget("s", "t1", target_condition::kUnhealthy,
                              fixture.now);
  fixture.Advance(seconds(1));
  bool to_first = false;
  for (std::uint16_t other = 1'000; other < 1'100; ++other) {
    const flow_decision decision = fixture.Route(other, true);
    CHECK(decision.action == flow_action::kTarget);
    to_first |= decision.target == "t0";
  }
  CHECK(to_first);
}

TEST_CASE("a UDP flow seen before the change stays on its target") {
  configuration config = MakeConfig(1);
  config.services[0].protocol = transport_protocol::kUdp;
  router_fixture fixture(config);
  fixture.protocol = transport_protocol::kUdp;
  const std::uint16_t open = fixture.FindFlowTo("t0");
  const std::uint16_t fresh = fixture.FindFlowTo("t0", open + 1);
  config.number = 2;
  config.services[0].targets[0].state = target_state::kDraining;
  fixture.Apply(config);
  fixture.Advance(seconds(1));
  CHECK(fixture.Route(open, false).target == "t0");
  fixture.Advance(seconds(4));
  CHECK(fixture.Route(open, false).target == "t0");
  CHECK(fixture.Route(fresh, false).target == "t1");
}

TEST_CASE("after a pause packets are detoured until all peers have replied") {
  router_fixture fixture;
  fixture.router.ApplyView(MakeView({1, 1, 1}), fixture.now);
  fixture.Advance(seconds(4));
  REQUIRE(fixture.router.synchronized());
  fixture.now += seconds(5);
  CHECK(fixture.Route(1, false).action == flow_action::kDetour);
  CHECK_FALSE(fixture.router.synchronized());
  fixture.sent.clear();
  fixture.Advance(milliseconds(kFlowTickMs));
  CHECK(fixture.sent.size() == 2);
  for (std::uint64_t peer = 2; peer <= 3; ++peer) {
    flow_message reply;
    reply.kind = flow_message_kind::kSyncReply;
    reply.configuration_number = 1;
    fixture.router.OnMessage(instance_id{peer}, reply, fixture.now);
  }
  fixture.Advance(milliseconds(kFlowTickMs));
  CHECK(fixture.router.synchronized());
  CHECK(fixture.Route(1, false).action == flow_action::kTarget);
}

TEST_CASE("an instance that is cut off drops packets of open buckets") {
  configuration config = MakeConfig(1);
  config.services[0].flow_idle_timeout_ms = 900'000;
  router_fixture fixture(config);
  const std::uint16_t steady = fixture.FindFlowTo("t1");
  const std::uint16_t open = fixture.FindFlowTo("t0");
  config.number = 2;
  config.services[0].targets[0].state = target_state::kDraining;
  fixture.Apply(config);
  fixture.Advance(milliseconds(500));
  fixture.router.SetTrusted(false, fixture.now);
  CHECK(fixture.Route(open, false).rule == "cut_off");
  CHECK(fixture.Route(open, true).rule == "cut_off");
  CHECK(fixture.Route(steady, false).rule == "steady");
  fixture.Advance(seconds(31));
  CHECK(fixture.Route(open, false).target == "t0");
}

TEST_CASE("no packet is detoured after the maximum number of hops") {
  router_fixture fixture;
  fixture.router.ApplyView(MakeView({1, 1, 1}), fixture.now);
  fixture.Advance(seconds(4));
  fixture.Apply(MakeDrainedConfig(2));
  detour_info detour;
  detour.hops = kMaxDetourHops;
  detour.sender = instance_id{2};
  for (std::uint16_t flow = 1; flow < 200; ++flow) {
    CHECK(fixture.Route(flow, flow % 2 == 0, &detour).action !=
          flow_action::kDetour);
  }
}

TEST_CASE("a pin to a target of another service is rejected") {
  configuration config = MakeConfig(1);
  service_config other = config.services[0];
  other.name = "other";
  other.addresses = {MakeAddress(1, 1)};
  other.targets[0].address = MakeAddress(4, 0);
  other.targets[1].address = MakeAddress(4, 1);
  config.services.push_back(other);
  router_fixture fixture(config);
  detour_info detour;
  detour.hops = 1;
  detour.sender = instance_id{2};
  // The id of the target in the other service.
  detour.pinned_target = HashPair(
      HashBytes("t0"), HashBytes({reinterpret_cast<const char*>(
                                      MakeAddress(4, 0).address.bytes.data()),
                                  16},
                                 443));
  CHECK(fixture.Route(1, true, &detour).rule == "unknown_target");
}

}  // namespace
}  // namespace rosemaryreach
