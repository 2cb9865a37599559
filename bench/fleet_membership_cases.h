// Cases of failures, replacements and partitions.
#ifndef ROSEMARYREACH_FLEET_MEMBERSHIP_CASES_H_
#define ROSEMARYREACH_FLEET_MEMBERSHIP_CASES_H_

#include <numeric>
#include <string>
#include <vector>

#include "fleet_measures.h"

namespace rosemaryreach::fakes {

// One data centre for an hour with a day's failures and replacements.
inline void Failures(std::uint64_t seed, bench_report& report) {
  constexpr int kFailures = 9;
  constexpr int kReplacements = 143;
  constexpr int kEvents = kFailures + kReplacements;
  fleet_world world(OneCentre(kDataCentreSize, seed));
  world.StartAll();
  const double cpu_before = CpuSeconds();
  const time_point start = world.now();
  std::vector<std::uint64_t> bytes_before;
  for (std::size_t i = 0; i < world.size(); ++i) {
    bytes_before.push_back(ControlBytes(world, i));
  }
  const duration period = duration(minutes(60)) / kEvents;
  double slowest_death = 0;
  double slowest_join = 0;
  std::uint64_t real_deaths = 0;
  for (int event = 0; event < kEvents; ++event) {
    const time_point next = start + period * (event + 1);
    const std::size_t index = world.random()() % world.size();
    if (event % 17 == 0) {
      world.Kill(index);
      ++real_deaths;
    } else {
      world.Leave(index);
      world.Run(seconds(1));
    }
    slowest_death = std::max(slowest_death, UntilForgotten(world, {index}));
    world.Run(seconds(2));
    world.Start(index);
    slowest_join = std::max(slowest_join, UntilKnown(world, index));
    world.queue().RunUntil(std::max(next, world.now()));
  }
  const double hours = fleet_world::Seconds(world.now() - start);
  const membership_counters sum = Counters(world);
  report.AtMost("death_known_s", slowest_death, kDeathS);
  report.AtMost("join_known_s", slowest_join, kJoinS);
  report.Show("virtual_s", hours);
  report.Show("suspicions", static_cast<double>(sum.suspicions));
  // Each real death is noticed by one member or a few at once.
  std::uint64_t false_deaths = 0;
  world.ForLive([&](instance& one) {
    false_deaths += one.plane->members().counters().rejoins;
  });
  report.AtMost("false_deaths", static_cast<double>(false_deaths), 0);
  report.AtMost("views_unsettled", world.ViewsSettled() ? 0 : 1, 0);
  report.AtMost("owners_agree_s", UntilOwnersAgree(world, RegionOf), 0.1);
  double most = 0;
  for (std::size_t i = 0; i < world.size(); ++i) {
    most = std::max(
        most,
        static_cast<double>(ControlBytes(world, i) - bytes_before[i]) / hours);
  }
  report.AtMost("control_bytes_per_s", most, kControlBytesPerS);
  report.AtMost("control_core_percent",
                100 * (CpuSeconds() - cpu_before) /
                    (hours * static_cast<double>(world.size())),
                kControlCorePercent);
}

inline void Rack(std::uint64_t seed, bench_report& report) {
  constexpr std::size_t kRack = 20;
  fleet_world world(OneCentre(kDataCentreSize, seed));
  world.StartAll();
  std::vector<std::size_t> gone(world.size());
  std::iota(gone.begin(), gone.end(), 0);
  std::shuffle(gone.begin(), gone.end(), world.random());
  gone.resize(kRack);
  for (const std::size_t index : gone) {
    world.Kill(index);
  }
  const time_point killed = world.now();
  report.AtMost("death_known_s", UntilForgotten(world, gone), kDeathS);
  UntilOwnersAgree(world, RegionOf);
  report.AtMost("owners_agree_s", fleet_world::Seconds(world.now() - killed),
                kDeathS);
  world.Run(seconds(10));
  for (const std::size_t index : gone) {
    world.Start(index);
  }
  double slowest = 0;
  for (const std::size_t index : gone) {
    slowest += UntilKnown(world, index);
  }
  report.AtMost("join_known_s", slowest, kJoinS);
  report.AtMost("in_force_s", PublishAndWait(world), kPublishedS);
  report.AtMost("false_deaths", static_cast<double>(Counters(world).rejoins),
                0);
}

// Starts all instances of a region of three data centres at once: no view is
// trusted that lacks one, and the region is whole within seconds.
inline void RegionStart(std::uint64_t seed, bench_report& report) {
  for (const int per_centre : {1, 3}) {
    world_options options = OneCentre(per_centre, seed);
    options.centres = {{"a1", "a", per_centre},
                       {"a2", "a", per_centre},
                       {"a3", "a", per_centre}};
    fleet_world world(options);
    const std::size_t whole = world.size();
    std::uint64_t partial = 0;
    bool restarted = false;
    world.OnEvent([&](const instance& one) {
      if (restarted && &one != &world.at(0)) {
        return;
      }
      const membership& members = one.plane->members();
      std::set<std::string> centres;
      for (const instance_info& info : members.view().instances) {
        centres.insert(info.data_centre);
      }
      partial += members.trusted() && centres.size() < 3 ? 1 : 0;
    });
    for (std::size_t i = 0; i < whole; ++i) {
      world.queue().After(world.Random(milliseconds(200)),
                          [&world, i] { world.Start(i); });
    }
    world.Run(milliseconds(200));
    report.AtMost(Name("region_whole_s", per_centre),
                  world.Until(
                      [&] {
                        bool seen = true;
                        world.ForLive([&](instance& one) {
                          const membership& members = one.plane->members();
                          seen = seen && members.trusted() &&
                                 members.view().instances.size() == whole;
                        });
                        return seen;
                      },
                      seconds(20)),
                  kJoinS);
    report.AtMost(Name("trusted_partial_views", per_centre),
                  static_cast<double>(partial), 0);
    // One instance starts anew.
    restarted = true;
    world.Kill(0);
    world.Run(seconds(6));
    world.Start(0);
    report.AtMost(
        Name("rejoined_s", per_centre),
        world.Until([&] { return world.ViewsSettled(); }, seconds(20)), kJoinS);
    report.AtMost(Name("trusted_partial_views_after_restart", per_centre),
                  static_cast<double>(partial), 0);
  }
}

// A rack that is cut off from the rest of its data centre, and comes back.
inline void RackCut(std::uint64_t seed, bench_report& report) {
  fleet_world world(OneCentre(40, seed));
  world.StartAll();
  const auto in_rack = [](const instance& one) {
    return one.info.id.value % 4 == 0;
  };
  const auto side = [&](const instance& one) {
    return std::string(in_rack(one) ? "rack" : "rest");
  };
  world.Cut([&](const instance& a, const instance& b) {
    return in_rack(a) == in_rack(b);
  });
  report.AtMost("owners_agree_on_each_side_s", UntilOwnersAgree(world, side),
                kDeathS);
  world.Run(minutes(1));
  world.Heal();
  report.AtMost("numbers_after_heal_s",
                world.Until([&] { return world.AllHave(world.published()); },
                            seconds(20)),
                kHealS);
  report.AtMost("views_settled_after_heal_s",
                world.Until([&] { return world.ViewsSettled(); }, seconds(30)),
                10);
  report.AtMost("owners_agree_s", UntilOwnersAgree(world, RegionOf), 1);
}

inline void DataCentreCut(std::uint64_t seed, bench_report& report) {
  fleet_world world(TwoRegions(20, seed));
  world.StartAll();
  world.Run(seconds(10));
  report.AtMost("views_unsettled_at_start", world.ViewsSettled() ? 0 : 1, 0);
  const auto cut_off = [](const instance& one) {
    return one.info.data_centre == "a2";
  };
  world.Cut([&](const instance& a, const instance& b) {
    return cut_off(a) == cut_off(b);
  });
  world.CutPlatform([&](const instance& one) { return !cut_off(one); });
  report.AtMost("owners_agree_on_each_side_s",
                UntilOwnersAgree(world,
                                 [&](const instance& one) {
                                   return cut_off(one) ? CentreOf(one)
                                                       : RegionOf(one);
                                 }),
                kDeathS);
  report.AtMost(
      "in_force_beside_the_cut_s",
      PublishAndWait(world, [&](const instance& one) { return !cut_off(one); }),
      kPublishedS);
  world.Run(minutes(5));
  report.AtMost("false_deaths", static_cast<double>(Counters(world).deaths), 0);
  world.Heal();
  report.AtMost("numbers_after_heal_s",
                world.Until([&] { return world.AllHave(world.published()); },
                            seconds(20)),
                kHealS);
  report.AtMost("owners_agree_after_heal_s", UntilOwnersAgree(world, RegionOf),
                kDeathS);
  world.Run(seconds(3));
  const std::uint64_t version = world.at(0).plane->members().view().version;
  world.Run(seconds(30));
  report.AtMost("view_changes_after_heal",
                static_cast<double>(
                    world.at(0).plane->members().view().version - version),
                0);
  report.AtMost("rejoins", static_cast<double>(Counters(world).rejoins), 0);
  report.AtMost("reverts", static_cast<double>(world.reverts()), 0);
}

inline void RegionsCut(std::uint64_t seed, bench_report& report) {
  fleet_world world(TwoRegions(20, seed));
  world.StartAll();
  world.Run(seconds(10));
  const auto far = [](const instance& one) { return one.info.region == "b"; };
  world.Cut(
      [&](const instance& a, const instance& b) { return far(a) == far(b); });
  world.CutPlatform([&](const instance& one) { return !far(one); });
  for (int change = 0; change < 10; ++change) {
    PublishAndWait(world, [&](const instance& one) { return !far(one); });
    world.Run(seconds(20));
  }
  report.AtMost("views_unsettled", world.ViewsSettled() ? 0 : 1, 0);
  world.Heal();
  report.AtMost("numbers_after_heal_s",
                world.Until([&] { return world.AllHave(world.published()); },
                            seconds(20)),
                kHealS);
  report.AtMost("in_force_s", PublishAndWait(world), kPublishedS);
  report.AtMost("deaths", static_cast<double>(Counters(world).deaths), 0);
  report.AtMost("reverts", static_cast<double>(world.reverts()), 0);
}

}  // namespace rosemaryreach::fakes

#endif  // ROSEMARYREACH_FLEET_MEMBERSHIP_CASES_H_
