// Measures what one packet, one pin and one table cost, on this machine's
// clock. Figures are reported, not judged, but for those with a bound.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <memory>
#include <vector>

#include "packets/pin_table.h"
#include "rosemaryreach/bucket_table.h"
#include "rosemaryreach/flow_router.h"

namespace rosemaryreach {
namespace {

constexpr std::uint32_t kBuckets = 65'536;
constexpr std::size_t kPacketsOfALoop = 1 << 16;

endpoint MakeEndpoint(std::uint8_t net, std::uint32_t host) {
  endpoint made;
  made.address.bytes[0] = net;
  for (int i = 0; i < 4; ++i) {
    made.address.bytes[12 + i] = static_cast<std::uint8_t>(host >> (8 * i));
  }
  made.port = 443;
  return made;
}

std::shared_ptr<configuration> MakeConfiguration(bool drained) {
  auto config = std::make_shared<configuration>();
  config->number = drained ? 2 : 1;
  config->data_centres = {{"a", "region", data_centre_state::kIn}};
  service_config service;
  service.name = "ledger";
  service.addresses = {MakeEndpoint(1, 0)};
  service.buckets = kBuckets;
  for (std::uint32_t i = 0; i < 16; ++i) {
    target_config target;
    target.name = "target" + std::to_string(i);
    target.address = MakeEndpoint(2, i);
    target.data_centre = "a";
    // All but one, so that new flows go to the last and are pinned.
    const bool drain = drained && i < 15;
    target.state = drain ? target_state::kDraining : target_state::kActive;
    service.targets.push_back(target);
  }
  config->services = {service};
  return config;
}

packet_info MakePacket(std::uint32_t flow, bool syn) {
  packet_info packet;
  packet.kind = packet_kind::kFlow;
  packet.flow.caller = MakeEndpoint(3, flow);
  packet.flow.service = MakeEndpoint(1, 0);
  packet.flow_hash = FlowHash(packet.flow);
  packet.syn = syn;
  return packet;
}

fleet_view MakeView(int instances, std::uint64_t number) {
  fleet_view view;
  for (int i = 0; i < instances; ++i) {
    instance_info info;
    info.id = instance_id{static_cast<std::uint64_t>(i) + 1};
    info.region = "region";
    info.state = instance_state::kActive;
    info.configuration_number = number;
    view.instances.push_back(info);
  }
  view.self = view.instances.front().id;
  return view;
}

// A router alone in its region; `open` puts its buckets in transition.
struct router_under_test {
  explicit router_under_test(bool open, int instances = 1) {
    options.max_pins = 8'000'000;
    router = std::make_unique<flow_router>(options, log);
    router->ApplyConfiguration(MakeConfiguration(false), now);
    router->ApplyView(MakeView(instances, 1), now);
    Pass(std::chrono::seconds(4));
    if (open) {
      router->ApplyConfiguration(MakeConfiguration(true), now);
      router->ApplyView(MakeView(instances, 2), now);
      Pass(std::chrono::seconds(4));
    }
  }

  void Pass(duration span) {
    const time_point end = now + span;
    while (now < end) {
      now += std::chrono::milliseconds(kFlowTickMs);
      router->Tick(now);
    }
  }

  void Open(std::uint32_t flows) {
    for (std::uint32_t i = 0; i < flows; ++i) {
      router->Route(MakePacket(i, true), nullptr, now);
    }
  }

  null_log_sink log;
  flow_router_options options;
  std::unique_ptr<flow_router> router;
  time_point now = time_point(std::chrono::seconds(1'000));
};

// Packets of random flows below `flows`, or of unknown ones.
std::vector<packet_info> MakePackets(std::uint32_t flows, bool known) {
  std::vector<packet_info> packets;
  for (std::uint32_t i = 0; i < kPacketsOfALoop; ++i) {
    const std::uint32_t flow =
        static_cast<std::uint32_t>(HashPair(i, 3) % flows);
    packets.push_back(MakePacket(known ? flow : flow + 0x8000'0000U, false));
  }
  return packets;
}

void RouteAll(benchmark::State& state,
              router_under_test& test,
              const std::vector<packet_info>& packets,
              flow_action expected) {
  std::size_t next = 0;
  for (auto step : state) {
    const flow_decision decision =
        test.router->Route(packets[next], nullptr, test.now);
    if (decision.action != expected) {
      state.SkipWithError("unexpected action");
      break;
    }
    next = (next + 1) % kPacketsOfALoop;
  }
}

void RouteSteady(benchmark::State& state) {
  router_under_test test(false);
  const std::uint32_t flows = static_cast<std::uint32_t>(state.range(0));
  RouteAll(state, test, MakePackets(flows, true), flow_action::kTarget);
}

void RoutePinned(benchmark::State& state) {
  router_under_test test(true);
  const std::uint32_t flows = static_cast<std::uint32_t>(state.range(0));
  test.Open(flows);
  RouteAll(state, test, MakePackets(flows, true), flow_action::kTarget);
  state.counters["pins"] = static_cast<double>(test.router->stats().pins);
}

void RouteUnknown(benchmark::State& state) {
  router_under_test test(true);
  const std::uint32_t flows = static_cast<std::uint32_t>(state.range(0));
  test.Open(flows);
  RouteAll(state, test, MakePackets(flows, false), flow_action::kTarget);
}

void RouteDetoured(benchmark::State& state) {
  router_under_test test(true, 8);
  const std::uint32_t flows = static_cast<std::uint32_t>(state.range(0));
  std::vector<packet_info> packets;
  for (std::uint32_t i = 0; packets.size() < kPacketsOfALoop; ++i) {
    const packet_info packet =
        MakePacket(static_cast<std::uint32_t>(HashPair(i, 3) % flows), false);
    const flow_decision decision =
        test.router->Route(packet, nullptr, test.now);
    if (decision.action == flow_action::kDetour) {
      packets.push_back(packet);
    }
  }
  RouteAll(state, test, packets, flow_action::kDetour);
}

void ParseTcpPacket(benchmark::State& state) {
  std::vector<std::uint8_t> packet(1'400);
  packet[0] = 0x45;
  packet[2] = 1'400 >> 8;
  packet[3] = 1'400 & 0xff;
  packet[9] = 6;
  packet[32] = 0x50;
  packet[33] = 0x10;
  for (auto step : state) {
    packet_info info = ParsePacket(packet);
    benchmark::DoNotOptimize(info);
  }
}

void BytesOfAPin(benchmark::State& state) {
  const std::uint32_t flows = static_cast<std::uint32_t>(state.range(0));
  double bytes = 0;
  for (auto step : state) {
    std::vector<pin_table> tables(kBuckets);
    const std::size_t before = mallinfo2().uordblks;
    for (std::uint32_t i = 0; i < flows; ++i) {
      const std::uint64_t hash = HashPair(i, 5);
      tables[hash % kBuckets].Set(hash, 1, 1);
    }
    bytes = static_cast<double>(mallinfo2().uordblks - before) / flows;
  }
  state.counters["bytes_a_pin"] = bytes;
  if (bytes > 32) {
    state.SkipWithError("a pin takes more than 32 bytes");
  }
}

void BuildTable(benchmark::State& state) {
  std::vector<weighted_entry> entries;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    entries.push_back({HashPair(i, 17), 100});
  }
  for (auto step : state) {
    benchmark::DoNotOptimize(BuildBucketTable(entries, kBuckets));
  }
}

BENCHMARK(ParseTcpPacket);
BENCHMARK(RouteSteady)->Arg(10'000)->Arg(1'000'000)->Arg(5'000'000);
BENCHMARK(RoutePinned)->Arg(10'000)->Arg(1'000'000)->Arg(5'000'000);
BENCHMARK(RouteUnknown)->Arg(10'000)->Arg(1'000'000)->Arg(5'000'000);
BENCHMARK(RouteDetoured)->Arg(10'000)->Arg(1'000'000)->Arg(5'000'000);
BENCHMARK(BytesOfAPin)
    ->Arg(1'000'000)
    ->Arg(5'000'000)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(BuildTable)
    ->Arg(15)
    ->Arg(1'000)
    ->Arg(12'000)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace rosemaryreach

BENCHMARK_MAIN();
