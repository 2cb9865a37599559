// Cases of the published log: changes, outages and bad entries.
#ifndef ROSEMARYREACH_FLEET_CONFIGURATION_CASES_H_
#define ROSEMARYREACH_FLEET_CONFIGURATION_CASES_H_

#include <set>
#include <string>
#include <vector>

#include "fleet_measures.h"

namespace rosemaryreach::fakes {

inline void Publish(std::uint64_t seed, bench_report& report) {
  constexpr int kChanges = 20;
  std::array<double, 3> sizes{};
  std::array<double, 3> calls{};
  for (std::size_t i = 0; i < kSizes.size(); ++i) {
    fleet_world world(OneCentre(kSizes[i], seed));
    world.StartAll();
    const std::uint64_t calls_before = world.source().calls();
    const time_point start = world.now();
    double slowest = 0;
    for (int change = 0; change < kChanges; ++change) {
      world.Run(world.Random(seconds(2)));
      slowest = std::max(slowest, PublishAndWait(world));
    }
    report.AtMost(Name("in_force_s", kSizes[i]), slowest, kPublishedS);
    sizes[i] = kSizes[i];
    calls[i] = static_cast<double>(world.source().calls() - calls_before) /
               fleet_world::Seconds(world.now() - start);
    report.Show(Name("platform_calls_per_s", kSizes[i]), calls[i]);
    report.AtMost(Name("platform_calls_peak", kSizes[i]),
                  static_cast<double>(world.source().peak_calls()), 2'000);
    report.AtMost(Name("reverts", kSizes[i]),
                  static_cast<double>(world.reverts()), 0);
  }
  const double exponent =
      std::log(calls[2] / calls[0]) / std::log(sizes[2] / sizes[0]);
  report.AtMost("platform_calls_growth_exponent", exponent, 0.95);
  const double centres = std::ceil(kFleetSize / double{kDataCentreSize});
  report.AtMost("platform_calls_per_s_1100", calls[2] * centres, 500);
  report.AtMost("platform_calls_per_s_1100_by_line",
                Fit(sizes, calls).At(kFleetSize), 500);
}

inline void WatchSilent(std::uint64_t seed, bench_report& report) {
  fleet_world world(OneCentre(40, seed));
  world.StartAll();
  // The calls that wait are never answered; later ones are.
  world.source().SetSilent(true);
  world.PublishChange();
  world.Run(milliseconds(20));
  world.source().SetSilent(false);
  report.AtMost("all_watches_silent_s",
                world.Until([&] { return world.AllHave(world.published()); },
                            seconds(20)),
                kPublishedS);
  world.Run(seconds(5));
  std::set<std::uint64_t> watchers;
  world.ForLive([&](instance& one) {
    if (one.plane->sync().IsWatcher()) {
      watchers.insert(one.info.id.value);
    }
  });
  report.AtLeast("watchers", static_cast<double>(watchers.size()), 1);
  world.CutPlatform([&](const instance& one) {
    return !watchers.contains(one.info.id.value);
  });
  report.AtMost("watchers_cut_off_s", PublishAndWait(world), kPublishedS);
  report.AtMost("reverts", static_cast<double>(world.reverts()), 0);
}

inline void PlatformDown(std::uint64_t seed, bench_report& report) {
  fleet_world world(OneCentre(40, seed));
  world.StartAll();
  for (int change = 0; change < 5; ++change) {
    PublishAndWait(world);
  }
  world.source().SetDown(true);
  world.PublishChange();
  double slowest = 0;
  for (int i = 0; i < 10; ++i) {
    world.Run(minutes(3));
    const std::size_t index = world.random()() % world.size();
    world.Kill(index);
    world.Run(seconds(8));
    world.Start(index);
    slowest = std::max(
        slowest, world.Until([&] { return world.at(index).plane->ready(); },
                             seconds(20)));
  }
  report.AtMost("newcomer_ready_s", slowest, kJoinS);
  report.AtMost("behind_before_return",
                world.AllHave(world.published() - 1) ? 0 : 1, 0);
  world.source().SetDown(false);
  report.AtMost("in_force_after_return_s",
                world.Until([&] { return world.AllHave(world.published()); },
                            seconds(20)),
                kPublishedS);
  report.AtMost("reverts", static_cast<double>(world.reverts()), 0);
  // Neither the platform nor peers: the newcomer waits and says why.
  world.source().SetDown(true);
  world.Kill(7);
  world.Run(seconds(8));
  const instance_id alone = world.at(7).info.id;
  world.Cut([alone](const instance& a, const instance& b) {
    return (a.info.id == alone) == (b.info.id == alone);
  });
  world.Start(7);
  world.Run(seconds(20));
  report.AtMost("ready_without_any_source", world.at(7).plane->ready() ? 1 : 0,
                0);
  report.AtLeast("says_why",
                 static_cast<double>(world.at(7).plane->WaitingFor().size()),
                 1);
  world.Heal();
  report.AtMost(
      "ready_after_heal_s",
      world.Until([&] { return world.at(7).plane->ready(); }, seconds(20)),
      kJoinS);
}

inline void PlatformStale(std::uint64_t seed, bench_report& report) {
  fleet_world world(OneCentre(40, seed));
  world.StartAll();
  for (int change = 0; change < 20; ++change) {
    PublishAndWait(world);
  }
  world.source().SetStale(10);
  world.Run(minutes(2));
  // A newcomer gets the highest number from its peers.
  world.Kill(3);
  world.Run(seconds(8));
  world.Start(3);
  report.AtMost("newcomer_has_highest_s",
                world.Until([&] { return world.AllHave(world.published()); },
                            seconds(20)),
                kJoinS);
  for (int flap = 0; flap < 60; ++flap) {
    world.source().SetDown(flap % 2 == 0);
    world.source().SetStale(world.random()() % 10);
    world.Run(world.Random(seconds(2)));
  }
  world.source().SetDown(false);
  world.source().SetStale(0);
  report.AtMost("in_force_after_flapping_s", PublishAndWait(world),
                kPublishedS);
  // A restore from a backup that lacks the last entries.
  const std::vector<log_entry> whole = world.source().entries();
  world.source().Replace({whole.begin(), whole.end() - 5});
  world.Run(minutes(1));
  report.AtMost("behind_after_rollback",
                world.AllHave(world.published()) ? 0 : 1, 0);
  world.source().Replace(whole);
  report.AtMost("in_force_after_restore_s", PublishAndWait(world), kPublishedS);
  report.AtMost("reverts", static_cast<double>(world.reverts()), 0);
}

inline void BadEntries(std::uint64_t seed, bench_report& report) {
  fleet_world world(OneCentre(40, seed));
  world.StartAll();
  PublishAndWait(world);
  const std::uint64_t last_good = world.published();
  // What is no entry at all can be repaired in its place.
  std::vector<log_entry> good = world.source().entries();
  const std::string& last = good.back().text;
  const std::vector<std::string> corrupt = {"", "not json",
                                            std::string(1'100'000, 'x'),
                                            last.substr(0, last.size() / 2)};
  for (const std::string& text : corrupt) {
    world.source().Replace(good);
    world.source().Publish(text);
    world.Run(seconds(10));
    report.AtMost("lost_last_good", world.AllHave(last_good) ? 0 : 1, 0);
  }
  // What is an entry but breaks the rules keeps its place and is refused.
  world.source().Replace(good);
  world.source().Publish(std::string("{}"));
  world.Run(seconds(10));
  report.AtMost("lost_last_good", world.AllHave(last_good) ? 0 : 1, 0);
  // A hole: the entry after the next one comes first.
  world.PublishChange();
  world.PublishChange();
  const std::vector<log_entry> whole = world.source().entries();
  std::vector<log_entry> holed = whole;
  holed.erase(holed.end() - 2);
  world.source().Replace(holed);
  world.Run(seconds(10));
  world.source().Replace(whole);
  report.AtMost("in_force_after_repair_s",
                world.Until([&] { return world.AllHave(world.published()); },
                            seconds(20)),
                kPublishedS);
  report.AtMost("reverts", static_cast<double>(world.reverts()), 0);
  world.ForLive([&](instance& one) {
    if (!one.plane->ready()) {
      report.AtMost("not_ready", 1, 0);
    }
  });
}

}  // namespace rosemaryreach::fakes

#endif  // ROSEMARYREACH_FLEET_CONFIGURATION_CASES_H_
