// Cases of what control costs, with slopes to the size designed for.
#ifndef ROSEMARYREACH_FLEET_COST_CASES_H_
#define ROSEMARYREACH_FLEET_COST_CASES_H_

#include <array>
#include <vector>

#include "fleet_measures.h"

namespace rosemaryreach::fakes {

// What control costs in quiet times, with a day's rate of changes.
inline void Cost(std::uint64_t seed, bench_report& report) {
  const duration change_period = duration(std::chrono::hours(24)) / 2'700;
  constexpr int kChanges = 4;
  std::array<double, 3> sizes{};
  std::array<double, 3> bytes{};
  std::array<double, 3> memory{};
  for (std::size_t i = 0; i < kSizes.size(); ++i) {
    const double heap_before = HeapBytes();
    fleet_world world(OneCentre(kSizes[i], seed));
    world.StartAll();
    world.Run(seconds(30));
    std::vector<std::uint64_t> before;
    for (std::size_t one = 0; one < world.size(); ++one) {
      before.push_back(ControlBytes(world, one));
    }
    const double cpu_before = CpuSeconds();
    const time_point start = world.now();
    for (int change = 0; change < kChanges; ++change) {
      world.PublishChange();
      world.Run(change_period);
    }
    const double span = fleet_world::Seconds(world.now() - start);
    const double cpu = CpuSeconds() - cpu_before;
    double most = 0;
    double sum = 0;
    for (std::size_t one = 0; one < world.size(); ++one) {
      const double rate =
          static_cast<double>(ControlBytes(world, one) - before[one]) / span;
      most = std::max(most, rate);
      sum += rate;
    }
    sizes[i] = kSizes[i];
    bytes[i] = sum / kSizes[i];
    memory[i] = (HeapBytes() - heap_before) / kSizes[i];
    report.Show(Name("mean_bytes_per_s", kSizes[i]), bytes[i]);
    report.AtMost(Name("most_bytes_per_s", kSizes[i]), most, kControlBytesPerS);
    report.AtMost(Name("core_percent", kSizes[i]),
                  100 * cpu / (span * kSizes[i]), kControlCorePercent);
    report.AtMost(Name("memory_bytes", kSizes[i]), memory[i],
                  kControlMemoryBytes);
  }
  const line byte_line = Fit(sizes, bytes);
  report.Show("bytes_per_s_per_instance", byte_line.slope);
  report.Show("bytes_per_s_base", byte_line.base);
  report.AtMost("bytes_per_s_1100_by_line", byte_line.At(kFleetSize),
                kControlBytesPerS);
  const line memory_line = Fit(sizes, memory);
  report.Show("memory_bytes_per_instance", memory_line.slope);
  report.AtMost("memory_bytes_1100_by_line", memory_line.At(kFleetSize),
                kControlMemoryBytes);
}

// Seven data centres in three regions: what contacts carry beside the rest.
inline void Contacts(std::uint64_t seed, bench_report& report) {
  constexpr int kPerCentre = 20;
  world_options options = OneCentre(kPerCentre, seed);
  options.centres.clear();
  const std::array<const char*, 7> regions = {"a", "a", "a", "b",
                                              "b", "c", "c"};
  for (std::size_t i = 0; i < regions.size(); ++i) {
    options.centres.push_back(
        {"dc" + std::to_string(i), regions[i], kPerCentre});
  }
  fleet_world world(options);
  world.StartAll();
  world.Run(seconds(20));
  report.AtMost("views_unsettled", world.ViewsSettled() ? 0 : 1, 0);
  std::vector<std::uint64_t> before;
  for (std::size_t one = 0; one < world.size(); ++one) {
    before.push_back(ControlBytes(world, one));
  }
  const time_point start = world.now();
  double slowest = 0;
  for (int change = 0; change < 3; ++change) {
    slowest = std::max(slowest, PublishAndWait(world));
    world.Run(seconds(30));
  }
  const double span = fleet_world::Seconds(world.now() - start);
  double most = 0;
  for (std::size_t one = 0; one < world.size(); ++one) {
    most = std::max(
        most,
        static_cast<double>(ControlBytes(world, one) - before[one]) / span);
  }
  report.AtMost("in_force_s", slowest, kPublishedS);
  report.AtMost("most_bytes_per_s", most, kControlBytesPerS);
  // The numbers in the view of each follow a change within a second.
  world.PublishChange();
  report.AtMost(
      "numbers_known_s",
      world.Until(
          [&] {
            bool known = true;
            world.ForLive([&](instance& one) {
              const fleet_view& view = one.plane->members().view();
              known = known &&
                      std::all_of(view.instances.begin(), view.instances.end(),
                                  [&](const instance_info& info) {
                                    return info.configuration_number ==
                                           world.published();
                                  });
            });
            return known;
          },
          seconds(20)),
      kPublishedS);
}

}  // namespace rosemaryreach::fakes

#endif  // ROSEMARYREACH_FLEET_COST_CASES_H_
