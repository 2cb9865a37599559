// Case "foreign entry": another writer puts an entry with a service that the
// configuration does not name at the address of a live host.
#include "cases.h"

namespace review {

int ForeignEntry(deployment& world, bool trouble) {
  const uint32_t route = NextAddress();
  host_pool hosts(world.loop, world.store, world.fleet.packet_port);
  target_host& first = hosts.Add("pots", "zone-a");
  hosts.Add("pots", "zone-b");
  hosts.Add("pots", "zone-c");
  for (const auto& host : hosts.all()) {
    hosts.Register(*host);
  }
  world.store.Put("op/config",
                  ConfigJson(1, {{"watch", route, 8443, "idempotent", "pots"}},
                             {"pots"}, 2, 0));
  world.StartFleet({"zone-a", "zone-b", "zone-c"});
  world.AwaitRotation(3);

  requester_pool requesters(world.loop, world.fleet, NextAddress());
  std::size_t served = 0;
  std::size_t resets = 0;
  std::size_t before_open = 0;
  std::size_t others = 0;
  const double until = Now() + 24'000;
  uint64_t flows = 0;
  // Each zone has 4 requesters that keep a flow open for 20 requests, one after
  // the other with pauses, and open the next one then.
  std::function<void(const std::string&)> open = [&](const std::string& zone) {
    if (Now() >= until) {
      return;
    }
    flow_plan plan;
    plan.name = "watch-" + std::to_string(++flows);
    plan.zone = zone;
    plan.to = route;
    plan.to_port = 8443;
    plan.requests = 20;
    plan.report = [&, zone](const flow_report& report) {
      served += report.answered;
      if (report.outcome == flow_outcome::kResetBySystem) {
        // The host has read all packets that were under way by then.
        world.loop.After(50, [&, report] {
          const target_host* const host =
              hosts.HolderOf(requesters.address(), report.port);
          if (host == nullptr) {
            ++before_open;
            return;
          }
          ++resets;
          Record("FLOW: flow " + report.name + ", open at live host " +
                 host->id + ", was reset by the system after " +
                 std::to_string(report.answered) + " answers");
        });
      } else if (report.outcome != flow_outcome::kServed) {
        ++others;
      }
      world.loop.After(100, [&open, zone] { open(zone); });
    };
    requesters.Open(plan);
  };
  for (const char* zone : {"zone-a", "zone-b", "zone-c"}) {
    for (int i = 0; i < 4; ++i) {
      open(zone);
    }
  }
  // All instances are in touch once they have run for stableWindowMs.
  world.loop.RunUntil(Now() + 8'000);
  if (trouble) {
    // Of a service that no configuration names; `version` and `sequence` are
    // missing.
    const std::string entry =
        "{\"service\":\"meters\",\"address\":\"" + Ip(first.address) + ":" +
        std::to_string(hosts.port()) +
        "\",\"zone\":\"zone-a\",\"maxConcurrency\":1,\"state\":\"ready\","
        "\"coldLeftMs\":0,\"born\":" +
        std::to_string(UnixMillis()) + "}";
    world.store.Put("servers/i-7e57ab1e", entry);
    Record("another writer wrote servers/i-7e57ab1e: " + entry);
    Record("host " + first.id + " lives on at the same address");
  }
  world.loop.RunUntil(until + 5'000,
                      [&] { return Now() >= until && requesters.open() == 0; });
  Record(std::to_string(served) + " requests answered, " +
         std::to_string(resets) + " open flows reset by the system, " +
         std::to_string(before_open) +
         " more before the host had the end of the handshake, " +
         std::to_string(others) + " flows ended otherwise");
  if (world.fleet.AnyEnded() || served < 250) {
    CannotRun("the deployment did not serve");
  }
  return resets > 0 ? 1 : 0;
}

}  // namespace review
