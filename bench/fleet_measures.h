// What the fleet's cases share: shapes, bounds and ways to measure.
#ifndef ROSEMARYREACH_FLEET_MEASURES_H_
#define ROSEMARYREACH_FLEET_MEASURES_H_

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fakes/bench_main.h"
#include "fleet_world.h"
#include "rosemaryreach/ownership.h"

namespace rosemaryreach::fakes {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using instance = fleet_world::instance;

inline constexpr std::array<int, 3> kSizes = {9, 40, 157};
inline constexpr int kDataCentreSize = 157;
inline constexpr int kFleetSize = 1'100;
inline constexpr double kPublishedS = 3;
inline constexpr double kDeathS = 5;
inline constexpr double kJoinS = 3;
inline constexpr double kHealS = 3;
inline constexpr double kControlBytesPerS = 5'000;
inline constexpr double kControlMemoryBytes = 256e6;
inline constexpr double kControlCorePercent = 2;
inline constexpr double kDatagramLoss = 0.01;
inline constexpr std::uint32_t kSampledKeys = 64;

inline world_options OneCentre(int instances, std::uint64_t seed) {
  world_options options;
  options.centres = {{"a1", "a", instances}};
  options.links.loss = kDatagramLoss;
  options.seed = seed;
  return options;
}

// Two regions with two data centres each.
inline world_options TwoRegions(int instances, std::uint64_t seed) {
  world_options options = OneCentre(instances, seed);
  options.centres = {{"a1", "a", instances},
                     {"a2", "a", instances},
                     {"b1", "b", instances},
                     {"b2", "b", instances}};
  return options;
}

inline std::string Name(const char* figure, int size) {
  return std::string(figure) + "_" + std::to_string(size);
}

// The straight line through (size, value) with least squares.
struct line {
  double base = 0;
  double slope = 0;

  double At(double x) const { return base + slope * x; }
};

inline line Fit(const std::array<double, 3>& x,
                const std::array<double, 3>& y) {
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    sx += x[i];
    sy += y[i];
    sxx += x[i] * x[i];
    sxy += x[i] * y[i];
  }
  const auto n = static_cast<double>(x.size());
  const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  return {(sy - slope * sx) / n, slope};
}

inline double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds_of = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds_of(usage.ru_utime) + seconds_of(usage.ru_stime);
}

inline double HeapBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

inline std::uint64_t ControlBytes(fleet_world& world, std::size_t index) {
  return world.network().sent_bytes(world.at(index).info.id) +
         world.at(index).asked_bytes;
}

inline membership_counters Counters(fleet_world& world) {
  membership_counters sum;
  for (std::size_t i = 0; i < world.size(); ++i) {
    if (world.at(i).plane == nullptr) {
      continue;
    }
    const membership_counters& one = world.at(i).plane->members().counters();
    sum.suspicions += one.suspicions;
    sum.refutations += one.refutations;
    sum.deaths += one.deaths;
    sum.rejoins += one.rejoins;
    sum.pauses += one.pauses;
    sum.syncs += one.syncs;
  }
  return sum;
}

// Publishes a change and returns the seconds until all have it.
inline double PublishAndWait(
    fleet_world& world,
    const std::function<bool(const instance&)>& wanted = {}) {
  world.PublishChange();
  return world.Until([&] { return world.AllHave(world.published(), wanted); },
                     seconds(10));
}

// Returns the seconds until no live instance sees `gone` any more.
inline double UntilForgotten(fleet_world& world,
                             const std::vector<std::size_t>& gone) {
  std::size_t next = 0;
  return world.Until(
      [&] {
        for (; next < world.size(); ++next) {
          if (!world.at(next).up || world.at(next).paused) {
            continue;
          }
          for (const std::size_t index : gone) {
            if (world.Sees(next, world.at(index).info.id)) {
              return false;
            }
          }
        }
        return true;
      },
      seconds(20));
}

// Returns the seconds until every live instance sees `index` with the
// incarnation that it has now.
inline double UntilKnown(fleet_world& world, std::size_t index) {
  return world.Until(
      [&] {
        const instance& one = world.at(index);
        for (std::size_t i = 0; i < world.size(); ++i) {
          if (!world.at(i).up || world.at(i).paused) {
            continue;
          }
          const instance_info* info =
              FindInstance(world.at(i).plane->members().view(), one.info.id);
          if (info == nullptr ||
              info->incarnation != one.plane->members().incarnation()) {
            return false;
          }
        }
        return true;
      },
      seconds(20));
}

// Returns the owner of each sampled key as `one` sees it.
inline std::vector<instance_id> OwnersSeenBy(const instance& one) {
  const owner_ranking ranking(one.plane->members().view(), one.info.region);
  std::vector<instance_id> owners;
  for (std::uint32_t key = 0; key < kSampledKeys; ++key) {
    owners.push_back(ranking.Owners(BucketKey("service", key)).owner);
  }
  return owners;
}

// Returns whether, within each group, all instances agree on an owner for
// each sampled key, and it is one of the group.
inline bool OwnersAgree(
    fleet_world& world,
    const std::function<std::string(const instance&)>& group) {
  std::map<std::string, std::vector<instance_id>> agreed;
  std::map<std::string, std::set<std::uint64_t>> members;
  bool agree = true;
  world.ForLive([&](instance& one) {
    if (!one.paused) {
      members[group(one)].insert(one.info.id.value);
    }
  });
  world.ForLive([&](instance& one) {
    if (one.paused || !agree) {
      return;
    }
    const std::vector<instance_id> owners = OwnersSeenBy(one);
    std::vector<instance_id>& first =
        agreed.emplace(group(one), owners).first->second;
    agree = owners == first && one.plane->members().trusted();
    for (const instance_id owner : owners) {
      agree = agree && members[group(one)].contains(owner.value);
    }
  });
  return agree;
}

inline std::string RegionOf(const instance& one) {
  return one.info.region;
}

inline std::string CentreOf(const instance& one) {
  return one.info.data_centre;
}

inline double UntilOwnersAgree(
    fleet_world& world,
    const std::function<std::string(const instance&)>& group) {
  return world.Until([&] { return OwnersAgree(world, group); }, seconds(20));
}

}  // namespace rosemaryreach::fakes

#endif  // ROSEMARYREACH_FLEET_MEASURES_H_
