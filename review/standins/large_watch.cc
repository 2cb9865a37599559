// Case "large watch": configurations of many routes come in quick succession.
#include "cases.h"

namespace review {

int LargeWatch(deployment& world, bool trouble) {
  constexpr double kConfigApplyMs = 3'000;
  constexpr std::size_t kIdleRoutes = 2'800;
  const uint32_t kept = NextAddress();
  const uint32_t dropped = NextAddress();
  host_pool hosts(world.loop, world.store, world.fleet.packet_port);
  for (const char* zone : {"zone-a", "zone-b", "zone-c"}) {
    hosts.Register(hosts.Add("pots", zone));
  }
  std::vector<route_plan> routes = {
      {"watch", kept, 8443, "idempotent", "pots"}};
  for (std::size_t i = 0; i < kIdleRoutes; ++i) {
    routes.push_back({"idle-" + std::to_string(i), NextAddress(), 8443,
                      "idempotent", "pots"});
  }
  std::vector<route_plan> with_old = routes;
  with_old.push_back({"old", dropped, 8443, "idempotent", "pots"});
  uint64_t version = 1;
  const std::string first = ConfigJson(version, with_old, {"pots"}, 2, 0);
  Record("a configuration has " + std::to_string(first.size()) + " bytes");
  world.store.Put("op/config", first);

  world.StartFleet({"zone-a", "zone-b", "zone-c"});
  world.AwaitRotation(3);
  world.loop.RunUntil(world.fleet.instances.back()->started + 10'000);

  // The last version of the storm drops a route.
  double acked = 0;
  const double storm_ends = Now() + (trouble ? 1'500 : 0);
  std::function<void()> storm = [&] {
    const bool last = Now() >= storm_ends;
    world.store.Put("op/config", ConfigJson(++version, last ? routes : with_old,
                                            {"pots"}, 2, 0));
    Record("acknowledged: version " + std::to_string(version) +
           (last ? " without the route \"old\"" : ""));
    if (last) {
      acked = Now();
    } else {
      world.loop.After(60, storm);
    }
  };
  storm();
  world.loop.RunUntil(Now() + 5'000, [&] { return acked > 0; });
  requester_pool requesters(world.loop, world.fleet, NextAddress());
  std::size_t broken = 0;
  std::size_t refused = 0;
  std::size_t served = 0;
  uint64_t flows = 0;
  const double until = acked + 15'000;
  std::function<void()> send = [&] {
    for (const auto& instance : world.fleet.instances) {
      for (const uint32_t to : {kept, dropped}) {
        flow_plan plan;
        plan.name = (to == kept ? "watch-" : "old-") + std::to_string(++flows);
        plan.to = to;
        plan.to_port = 8443;
        plan.via = instance->address;
        const std::string name = instance->name;
        plan.report = [&, to, name](const flow_report& report) {
          if (to == kept) {
            served += report.outcome == flow_outcome::kServed ? 1 : 0;
            return;
          }
          const double late = report.syn_at - acked;
          refused += report.answered == 0 ? 1 : 0;
          if (report.answered > 0 && late > kConfigApplyMs) {
            ++broken;
            Record("CONFIG: " + report.name + ", sent " +
                   std::to_string(static_cast<long>(late)) +
                   " ms after the ack, was run with a dropped route through " +
                   name);
          }
        };
        requesters.Open(plan);
      }
    }
    if (Now() < until) {
      world.loop.After(250, send);
    }
  };
  send();
  world.loop.RunUntil(until + 3'000,
                      [&] { return Now() >= until && requesters.open() == 0; });
  Record("version " + std::to_string(version) + " was the last; the largest " +
         "answer to a watch had " +
         std::to_string(world.store.largest_watch_answer) + " bytes");
  Record(std::to_string(served) + " requests on the kept route served, " +
         std::to_string(refused) + " on the dropped one refused, " +
         std::to_string(broken) + " run too late");
  if (world.fleet.AnyEnded() || served < 50) {
    CannotRun("the deployment did not serve");
  }
  return broken > 0 ? 1 : 0;
}

}  // namespace review
