// Random sequences of changes and faults on a small fleet of flow routers.
// A failure prints the seed; RC_PARAMS="seed=..." replays it.
#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "bench_packets_traffic.h"

namespace rosemaryreach::fakes {
namespace {

constexpr std::size_t kInstances = 5;
constexpr int kTargets = 6;

endpoint MakeAddress(int host) {
  endpoint address;
  address.address.bytes[0] = 0xfc;
  address.address.bytes[15] = static_cast<std::uint8_t>(host);
  address.port = 443;
  return address;
}

configuration MakeConfiguration() {
  configuration config;
  config.number = 1;
  config.data_centres = {{"a", "region", data_centre_state::kIn},
                         {"b", "region", data_centre_state::kIn}};
  service_config service;
  service.name = "ledger";
  service.addresses = {MakeAddress(0)};
  service.buckets = 512;
  for (int i = 0; i < kTargets; ++i) {
    target_config target;
    target.name = "ledger" + std::to_string(i);
    target.address = MakeAddress(i + 1);
    target.data_centre = i % 2 == 0 ? "a" : "b";
    target.warmup_ms = 4'000;
    service.targets.push_back(target);
  }
  config.services = {service};
  return config;
}

struct small_fleet {
  explicit small_fleet(std::uint64_t seed, const link_options& links = {})
      : fleet(queue, seed, links),
        traffic(queue, fleet, {1'000, 300}, seed + 1) {
    for (std::size_t i = 0; i < kInstances; ++i) {
      fleet.AddActive(i % 2 == 0 ? "a" : "b");
    }
    fleet.Publish(std::make_shared<configuration>(config), duration(0));
    traffic.AddService(MakeAddress(0), 1);
    for (const target_config& target : config.services[0].targets) {
      traffic.AddTarget(0, target.name, target.data_centre, target.address);
    }
    queue.RunFor(seconds(4));
    traffic.Start(seconds(1));
    traffic.SetArrivals(true);
    queue.RunFor(seconds(2));
  }

  void Publish(duration spread) {
    ++config.number;
    fleet.Publish(std::make_shared<configuration>(config), spread);
  }

  target_config& AnyTarget() {
    return config.services[0].targets[*rc::gen::inRange(0, kTargets)];
  }

  // Makes one planned change of configuration or fleet.
  void ApplyRandomChange() {
    const duration spread = milliseconds(*rc::gen::inRange(0, 3'000));
    switch (*rc::gen::inRange(0, 4)) {
      case 0: {
        target_config& target = AnyTarget();
        target.state = target.state == target_state::kActive
                           ? target_state::kDraining
                           : target_state::kActive;
        // At least one target accepts new flows.
        config.services[0].targets[0].state = target_state::kActive;
        Publish(spread);
        return;
      }
      case 1:
        AnyTarget().weight = *rc::gen::element(50U, 100U, 200U);
        Publish(spread);
        return;
      case 2:
        if (stopped < 2) {
          fleet.Leave(stopped++);
        }
        return;
      default:
        fleet.Join("a");
        return;
    }
  }

  // Never affects the first two instances, which planned changes may stop.
  void InjectRandomFault() {
    const std::size_t index = 2 + faults++;
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        fleet.Kill(index);
        return;
      case 1:
        fleet.Pause(index, milliseconds(*rc::gen::inRange(500, 8'000)));
        return;
      case 2:
        fleet.CutOff(index, milliseconds(*rc::gen::inRange(500, 8'000)));
        return;
      default:
        fleet.Report(index, "ledger", AnyTarget().name,
                     *rc::gen::element(target_condition::kCold,
                                       target_condition::kUnhealthy,
                                       target_condition::kHealthy));
        return;
    }
  }

  void WaitForQuiescence() {
    queue.RunFor(seconds(10));
    traffic.ProbeAll(seconds(2));
    queue.RunFor(seconds(4));
    traffic.SetArrivals(false);
    queue.RunFor(seconds(55));
    traffic.Stop();
  }

  void CheckInvariants() const {
    RC_ASSERT(traffic.counts().wrong_service == 0U);
    RC_ASSERT(fleet.max_hops() <= kMaxDetourHops);
  }

  configuration config = MakeConfiguration();
  event_queue queue;
  packet_fleet fleet;
  packet_traffic traffic;
  std::size_t stopped = 0;
  std::size_t faults = 0;
};

TEST_CASE("no sequence of planned changes breaks a connection") {
  CHECK(rc::check([](std::uint64_t seed) {
    small_fleet run(seed);
    const int changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i) {
      run.ApplyRandomChange();
      run.queue.RunFor(milliseconds(*rc::gen::inRange(0, 8'000)));
      run.CheckInvariants();
    }
    run.WaitForQuiescence();
    run.CheckInvariants();
    RC_ASSERT(run.traffic.counts().broken == 0U);
    RC_ASSERT(run.traffic.counts().failed == 0U);
  }));
}

TEST_CASE("a single fault without a change breaks no connection") {
  CHECK(rc::check([](std::uint64_t seed) {
    small_fleet run(seed);
    run.InjectRandomFault();
    run.queue.RunFor(milliseconds(*rc::gen::inRange(0, 10'000)));
    run.WaitForQuiescence();
    run.CheckInvariants();
    RC_ASSERT(run.traffic.counts().broken == 0U);
    RC_ASSERT(run.traffic.counts().failed == 0U);
  }));
}

TEST_CASE("faults during changes send no packet to a wrong service") {
  CHECK(rc::check([](std::uint64_t seed) {
    link_options links;
    links.loss = 0.02;
    links.duplication = 0.02;
    links.max_latency = milliseconds(20);
    small_fleet run(seed, links);
    const int faults = *rc::gen::inRange(1, 3);
    for (int i = 0; i < faults; ++i) {
      run.ApplyRandomChange();
      run.queue.RunFor(milliseconds(*rc::gen::inRange(0, 5'000)));
      run.InjectRandomFault();
      run.queue.RunFor(milliseconds(*rc::gen::inRange(0, 5'000)));
      run.CheckInvariants();
    }
    run.WaitForQuiescence();
    run.CheckInvariants();
  }));
}

}  // namespace
}  // namespace rosemaryreach::fakes
