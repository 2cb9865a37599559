// Case "split listing": while an instance reads the pages of a listing, the
// operator changes the configuration and a host drains.
#include "cases.h"

namespace review {

int SplitListing(deployment& world, bool trouble) {
  constexpr std::size_t kHosts = 600;
  constexpr double kConfigApplyMs = 3'000;
  const uint32_t kept = NextAddress();
  const uint32_t dropped = NextAddress();
  host_pool hosts(world.loop, world.store, world.fleet.packet_port);
  const char* const zones[] = {"zone-a", "zone-b", "zone-c"};
  for (std::size_t i = 0; i < kHosts; ++i) {
    hosts.Register(hosts.Add("pots", zones[i % 3]));
  }
  const route_plan watch{"watch", kept, 8443, "idempotent", "pots"};
  const route_plan old{"old", dropped, 8443, "idempotent", "pots"};
  world.store.Put("op/config", ConfigJson(1, {watch, old}, {"pots"}, 2, 0));

  world.StartFleet({"zone-a", "zone-b", "zone-c"});
  world.AwaitRotation(3);

  // Later listings repeat every 20 s, by the instance that reads the store.
  double acked = 0;
  bool listed = false;
  const auto change = [&](const char* when) {
    world.store.Put("op/config", ConfigJson(2, {watch}, {"pots"}, 2, 0));
    acked = Now();
    Record(std::string("acknowledged: version 2 without the route \"old\", ") +
           when);
    target_host& last = *hosts.all().back();
    last.state = "draining";
    hosts.Register(last);
    Record("acknowledged: host " + last.id + " drains");
  };
  const double ready = Now();
  world.store.on_page = [&](const std::string& after, bool more) {
    if (Now() - ready < 5'000 || acked > 0 || listed) {
      return;
    }
    if (trouble && after.empty() && more) {
      change("after the first page of a listing was answered");
    } else if (!more) {
      listed = true;
      Record("a listing has ended");
      if (!trouble) {
        world.loop.After(1'000, [&] { change("1 s after a listing"); });
      }
    }
  };
  if (!world.loop.RunUntil(Now() + 40'000, [&] { return acked > 0; })) {
    CannotRun("no instance listed the store");
  }

  requester_pool requesters(world.loop, world.fleet, NextAddress());
  std::size_t broken = 0;
  std::size_t refused = 0;
  std::size_t served = 0;
  uint64_t flows = 0;
  const double until = acked + 15'000;
  std::map<std::string, std::size_t> broken_at;
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
            ++broken_at[name];
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
      world.loop.After(500, send);
    }
  };
  send();
  world.loop.RunUntil(until + 3'000,
                      [&] { return Now() >= until && requesters.open() == 0; });
  for (const auto& [name, count] : broken_at) {
    Record(name + ": " + std::to_string(count) +
           " requests run with a dropped route");
  }
  Record(std::to_string(served) + " requests on the kept route served, " +
         std::to_string(refused) + " on the dropped one refused, " +
         std::to_string(broken) + " run too late");
  if (world.fleet.AnyEnded() || served < 50) {
    CannotRun("the deployment did not serve");
  }
  return broken > 0 ? 1 : 0;
}

}  // namespace review
