// Case "cold owners": the machines that the seeds name are down, so instances
// don't find each other; the hosts of a zone come back cold.
#include "cases.h"

#include <deque>

namespace review {

int ColdOwners(deployment& world, bool trouble) {
  constexpr double kColdPerS = 6;
  constexpr double kAllowed = kColdPerS * 1.5 + 5;  // coldOver, coldSlack
  constexpr double kColdMs = 2'000;                 // coldStartS
  constexpr double kDownMs = 4'500;
  constexpr double kHeartbeatMs = 770;
  const uint32_t route = NextAddress();
  host_pool hosts(world.loop, world.store, world.fleet.packet_port);
  hosts.Register(hosts.Add("pots", "zone-a"));
  hosts.Register(hosts.Add("pots", "zone-a"));
  world.store.Put("op/config",
                  ConfigJson(1, {{"book", route, 8080, "idempotent", "pots"}},
                             {"pots"}, kColdMs / 1'000, kColdPerS));
  std::vector<uint32_t> seeds;
  if (trouble) {
    for (int i = 0; i < 3; ++i) {
      seeds.push_back(NextAddress());
      Record("the seed " + Ip(seeds.back()) + " is down");
    }
  }
  world.StartFleet({"zone-a", "zone-b", "zone-c", "zone-a", "zone-b"}, seeds);
  world.AwaitRotation(5);
  world.loop.RunUntil(Now() + 6'000);

  std::size_t broken = 0;
  std::size_t most = 0;
  // By host: when opening packets were sent and when they arrived.
  std::map<std::string, std::deque<std::pair<double, double>>> taken;
  requester_pool requesters(world.loop, world.fleet, NextAddress());
  hosts.events.taken = [&](const target_host& host, uint32_t, uint16_t port) {
    const double now = Now();
    Record("taken: an opening packet by host " + host.id);
    if (now >= host.cold_until) {
      return;
    }
    std::deque<std::pair<double, double>>& times = taken[host.id];
    times.emplace_back(requesters.SentAt(port), now);
    while (now - times.front().second > 1'000) {
      times.pop_front();
    }
    const std::size_t count = static_cast<std::size_t>(std::count_if(
        times.begin(), times.end(),
        [now](const auto& one) { return now - one.first <= 1'000; }));
    most = std::max(most, count);
    if (static_cast<double>(count) > kAllowed && ++broken <= 20) {
      Record("FAILBACK: cold host " + host.id + " took " +
             std::to_string(count) +
             " opening packets that were sent and arrived within one second, " +
             std::to_string(static_cast<long>(kAllowed)) + " are allowed");
    }
  };
  std::size_t served = 0;
  uint64_t flows = 0;
  bool sending = true;
  std::function<void()> send = [&] {
    for (const char* zone : {"zone-a", "zone-b", "zone-c"}) {
      flow_plan plan;
      plan.name = "book-" + std::to_string(++flows);
      plan.zone = zone;
      plan.to = route;
      plan.to_port = 8080;
      plan.report = [&](const flow_report& report) {
        served += report.outcome == flow_outcome::kServed ? 1 : 0;
      };
      requesters.Open(plan);
    }
    if (sending) {
      world.loop.After(15, send);
    }
  };
  send();
  world.loop.RunUntil(Now() + 1'000);
  // The zone's hosts go down. Their entries expire after three heartbeats.
  for (const auto& host : hosts.all()) {
    host->up = false;
    Record("host " + host->id + " is down");
  }
  world.loop.RunUntil(Now() + 3 * kHeartbeatMs);
  for (const auto& host : hosts.all()) {
    hosts.Remove(*host);
  }
  world.loop.RunUntil(Now() + kDownMs - 3 * kHeartbeatMs);
  for (int i = 0; i < 2; ++i) {
    target_host& host = hosts.Add("pots", "zone-a");
    host.cold_until = Now() + kColdMs;
    hosts.Register(host);
    Record("host " + host.id + " has come back, cold: " + hosts.Entry(host));
  }
  world.loop.RunUntil(Now() + kColdMs + 1'000);
  sending = false;
  world.loop.RunUntil(Now() + 3'000, [&] { return requesters.open() == 0; });
  Record(std::to_string(served) + " requests served of " +
         std::to_string(flows) + "; at most " + std::to_string(most) +
         " opening packets in one second at a cold host, " +
         std::to_string(static_cast<long>(kAllowed)) + " are allowed");
  if (world.fleet.AnyEnded() || served < 20) {
    CannotRun("the deployment did not serve");
  }
  return broken > 0 ? 1 : 0;
}

}  // namespace review
