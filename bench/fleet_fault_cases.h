// Cases of pauses, clocks and datagrams that are not what they should be.
#ifndef ROSEMARYREACH_FLEET_FAULT_CASES_H_
#define ROSEMARYREACH_FLEET_FAULT_CASES_H_

#include <string>
#include <utility>
#include <vector>

#include "fleet_measures.h"

namespace rosemaryreach::fakes {

// Returns whether `one` would act as an owner on a view that holds `gone`.
inline bool ActsOnStaleView(const instance& one,
                            const std::vector<instance_id>& gone) {
  const membership& members = one.plane->members();
  if (!members.trusted() || members.state() != instance_state::kActive) {
    return false;
  }
  return std::any_of(gone.begin(), gone.end(), [&](instance_id id) {
    return FindInstance(members.view(), id) != nullptr;
  });
}

inline void Pause(std::uint64_t seed, bench_report& report) {
  for (const int pause_s : {5, 60}) {
    fleet_world world(OneCentre(40, seed));
    world.StartAll();
    const std::size_t paused = world.random()() % world.size();
    instance& sleeper = world.at(paused);
    const std::uint64_t incarnation = sleeper.plane->members().incarnation();
    world.Pause(paused, seconds(pause_s));
    std::vector<instance_id> gone;
    for (std::size_t i = 1; i <= 3; ++i) {
      const std::size_t index = (paused + i) % world.size();
      world.Kill(index);
      gone.push_back(world.at(index).info.id);
    }
    std::uint64_t stale = 0;
    std::uint64_t trusted_at_once = 0;
    bool woken = false;
    world.OnEvent([&](instance& one) {
      if (one.info.id != sleeper.info.id || one.paused) {
        return;
      }
      trusted_at_once += !woken && one.plane->members().trusted() ? 1 : 0;
      woken = true;
      stale += ActsOnStaleView(one, gone) ? 1 : 0;
    });
    world.PublishChange();
    world.Run(seconds(pause_s) + milliseconds(1));
    report.AtMost(
        Name("active_again_s", pause_s),
        world.Until([&] { return world.ViewsSettled(); }, seconds(20)), kJoinS);
    report.AtMost(Name("trusted_at_once", pause_s),
                  static_cast<double>(trusted_at_once), 0);
    report.AtMost(Name("acted_on_stale_view", pause_s),
                  static_cast<double>(stale), 0);
    report.AtLeast(Name("new_incarnation", pause_s),
                   sleeper.plane->members().incarnation() > incarnation ? 1 : 0,
                   1);
    report.AtMost(Name("in_force_s", pause_s),
                  world.Until([&] { return world.AllHave(world.published()); },
                              seconds(20)),
                  kPublishedS);
    report.AtMost(Name("owners_agree_s", pause_s),
                  UntilOwnersAgree(world, RegionOf), 0.5);
  }
}

// Restarts under the same address while the wall clock jumps.
inline void ClockJumps(std::uint64_t seed, bench_report& report) {
  fleet_world world(OneCentre(40, seed));
  world.StartAll();
  double slowest = 0;
  for (const int hours : {0, -1, 5, -24, 0}) {
    world.SetClock(std::chrono::hours(hours));
    const std::size_t index = world.random()() % world.size();
    world.Kill(index);
    world.Start(index);
    slowest = std::max(slowest, UntilKnown(world, index));
    world.Run(seconds(10));
  }
  report.AtMost("join_known_s", slowest, kJoinS);
  report.AtMost("views_unsettled", world.ViewsSettled() ? 0 : 1, 0);
  report.AtMost("in_force_s", PublishAndWait(world), kPublishedS);
}

inline void Disorder(std::uint64_t seed, bench_report& report) {
  world_options options = OneCentre(40, seed);
  options.links.duplication = 0.05;
  options.links.max_latency = milliseconds(50);
  fleet_world world(options);
  world.StartAll();
  world.Run(minutes(10));
  report.AtMost("false_deaths", static_cast<double>(Counters(world).deaths), 0);
  std::uint64_t replayed = 0;
  world.ForLive(
      [&](instance& one) { replayed += one.plane->auth().stats().replayed; });
  report.AtLeast("duplicates_dropped", static_cast<double>(replayed), 1);
  world.Kill(5);
  report.AtMost("death_known_s", UntilForgotten(world, {5}), kDeathS);
  world.Start(5);
  report.AtMost("join_known_s", UntilKnown(world, 5), kJoinS);
  report.AtMost("in_force_s", PublishAndWait(world), kPublishedS);
}

// Returns a datagram that an attacker makes of one that was overheard.
inline std::string Forge(const std::string& overheard,
                         std::mt19937_64& random) {
  std::string forged = overheard;
  switch (random() % 4) {
    case 0:
      forged.resize(random() % forged.size());
      break;
    case 1:
      forged[random() % forged.size()] ^=
          static_cast<char>(1U << (random() % 8));
      break;
    case 2:
      for (char& byte : forged) {
        byte = static_cast<char>(random());
      }
      break;
    default:
      forged.append(random() % 2'000 + 1, 'x');
  }
  return forged;
}

inline void Forged(std::uint64_t seed, bench_report& report) {
  constexpr std::size_t kOverheard = 5'000;
  constexpr int kInjected = 20'000;
  fleet_world world(OneCentre(9, seed));
  std::vector<std::pair<std::size_t, std::string>> overheard;
  world.Tap([&](std::size_t to, const std::string& bytes) {
    if (overheard.size() < kOverheard) {
      overheard.emplace_back(to, bytes);
    }
  });
  world.StartAll();
  world.Run(seconds(60));
  world.Kill(2);
  world.Run(seconds(10));
  const std::uint64_t version = world.at(0).plane->members().view().version;
  std::uint64_t accepted_before = 0;
  world.ForLive([&](instance& one) {
    accepted_before += one.plane->auth().stats().accepted;
  });
  std::uint64_t accepted = 0;
  for (int i = 0; i < kInjected; ++i) {
    const std::size_t victim = world.random()() % world.size();
    if (!world.at(victim).up) {
      continue;
    }
    const auto& [to, bytes] = overheard[world.random()() % overheard.size()];
    const bool replay = world.random()() % 2 == 0;
    world.Deliver(victim, world.EndpointOf(to),
                  replay ? bytes : Forge(bytes, world.random()));
  }
  world.ForLive(
      [&](instance& one) { accepted += one.plane->auth().stats().accepted; });
  report.Show("overheard", static_cast<double>(overheard.size()));
  report.AtMost("accepted", static_cast<double>(accepted - accepted_before), 0);
  report.AtMost("view_changes",
                static_cast<double>(
                    world.at(0).plane->members().view().version - version),
                0);
  world.Run(seconds(30));
  report.AtMost("view_changes_later",
                static_cast<double>(
                    world.at(0).plane->members().view().version - version),
                0);
  report.AtMost("deaths_of_the_living",
                static_cast<double>(Counters(world).rejoins), 0);
}

}  // namespace rosemaryreach::fakes

#endif  // ROSEMARYREACH_FLEET_FAULT_CASES_H_
