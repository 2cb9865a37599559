// Case "any host": another writer puts an entry whose id has no hex digits at
// the address of a host of another service.
#include "cases.h"

namespace review {

int AnyHost(deployment& world, bool trouble) {
  const uint32_t pots = NextAddress();
  const uint32_t docs = NextAddress();
  host_pool hosts(world.loop, world.store, world.fleet.packet_port);
  for (const char* zone : {"zone-a", "zone-b", "zone-c"}) {
    hosts.Register(hosts.Add("pots", zone));
    hosts.Register(hosts.Add("docs", zone));
  }
  target_host& other = *hosts.all()[1];
  std::size_t broken = 0;
  hosts.events.run = [&broken](const target_host& host,
                               const std::string& request) {
    const std::string owner = request.substr(0, request.find('-'));
    if (owner != host.service) {
      ++broken;
      Record("ROUTE: request " + request + " of a route to " + owner +
             " was run by host " + host.id + " of service " + host.service);
    }
  };
  world.store.Put("op/config",
                  ConfigJson(1,
                             {{"book", pots, 8080, "non_idempotent", "pots"},
                              {"file", docs, 8443, "download", "docs"}},
                             {"pots", "docs"}, 2, 0));
  world.StartFleet({"zone-a", "zone-b", "zone-c"});
  world.AwaitRotation(3);

  requester_pool requesters(world.loop, world.fleet, NextAddress());
  std::size_t served = 0;
  uint64_t flows = 0;
  const double until = Now() + 15'000;
  std::function<void()> send = [&] {
    for (const char* zone : {"zone-a", "zone-b", "zone-c"}) {
      for (const bool book : {true, false}) {
        flow_plan plan;
        plan.name = (book ? "pots-" : "docs-") + std::to_string(++flows);
        plan.zone = zone;
        plan.to = book ? pots : docs;
        plan.to_port = book ? 8080 : 8443;
        plan.report = [&](const flow_report& report) {
          served += report.outcome == flow_outcome::kServed ? 1 : 0;
        };
        requesters.Open(plan);
      }
    }
    if (Now() < until) {
      world.loop.After(100, send);
    }
  };
  send();
  world.loop.RunUntil(Now() + 6'000);
  if (trouble) {
    // `version`, `sequence` and `born` are missing.
    const std::string entry =
        "{\"service\":\"pots\",\"address\":\"" + Ip(other.address) + ":" +
        std::to_string(hosts.port()) +
        "\",\"zone\":\"zone-a\",\"maxConcurrency\":2,\"state\":\"ready\","
        "\"coldLeftMs\":0}";
    world.store.Put("servers/gw", entry);
    Record("another writer wrote servers/gw: " + entry);
    Record("that is the address of host " + other.id + " of service " +
           other.service);
  }
  world.loop.RunUntil(until + 3'000,
                      [&] { return Now() >= until && requesters.open() == 0; });
  Record(std::to_string(served) + " requests of " + std::to_string(flows) +
         " served; " + std::to_string(broken) +
         " run by a service that no configuration allows");
  if (world.fleet.AnyEnded() || served < 200) {
    CannotRun("the deployment did not serve");
  }
  return broken > 0 ? 1 : 0;
}

}  // namespace review
