// Cost of a change of configuration by size: the argument is the number of
// services, each with ten targets. Times are reported, not asserted.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <memory>

#include "rosemaryreach/config_json.h"
#include "rosemaryreach/patch.h"
#include "rosemaryreach/patch_log.h"

namespace rosemaryreach {
namespace {

constexpr std::uint32_t kTargetsPerService = 10;
constexpr std::uint32_t kDataCentres = 7;
constexpr std::size_t kPartBytes = 500'000;

endpoint MakeEndpoint(std::uint8_t net, std::uint32_t host) {
  const std::string text = std::to_string(net) + "." +
                           std::to_string(host >> 16) + "." +
                           std::to_string((host >> 8) & 255) + "." +
                           std::to_string(host & 255) + ":80";
  return ParseEndpoint(text).value();
}

// Returns `number` with five digits, so that names sort by number.
std::string Padded(std::uint32_t number) {
  return std::to_string(100'000 + number).substr(1);
}

service_config MakeService(std::uint32_t index) {
  service_config service;
  service.name = "service-" + Padded(index);
  service.addresses = {MakeEndpoint(10, index)};
  for (std::uint32_t i = 0; i < kTargetsPerService; ++i) {
    target_config target;
    target.name = service.name + "-" + std::to_string(i);
    target.address = MakeEndpoint(11, index * kTargetsPerService + i);
    target.data_centre = "centre-" + std::to_string(i % kDataCentres);
    service.targets.push_back(target);
  }
  return service;
}

configuration MakeConfiguration(std::uint32_t services) {
  configuration config;
  config.number = 1;
  for (std::uint32_t i = 0; i < kDataCentres; ++i) {
    config.data_centres.push_back(
        {"centre-" + std::to_string(i), "region", data_centre_state::kIn});
  }
  for (std::uint32_t i = 0; i < services; ++i) {
    config.services.push_back(MakeService(i));
  }
  return config;
}

// A patch that drains or restores one target in the middle.
patch MakePatch(const configuration& config, target_state state) {
  const service_config& service = config.services[config.services.size() / 2];
  return SetTargetState(config, service.name, service.targets[0].name, state)
      .value();
}

void ApplyOnePatch(benchmark::State& state) {
  const configuration config =
      MakeConfiguration(static_cast<std::uint32_t>(state.range(0)));
  const patch change = MakePatch(config, target_state::kDraining);
  for (auto _ : state) {
    benchmark::DoNotOptimize(ApplyPatch(config, change));
  }
  state.counters["patch_bytes"] =
      static_cast<double>(FormatPatch(change).size());
}

// The whole way of a published entry: parse, judge, digest, keep for peers.
void OfferOnePatch(benchmark::State& state) {
  const configuration config =
      MakeConfiguration(static_cast<std::uint32_t>(state.range(0)));
  patch_log log(nullptr);
  for (const log_entry& entry :
       MakeSnapshot(config, snapshot_kind::kPublished, 1, kPartBytes)) {
    log.ApplyEntry(entry);
  }
  target_state next = target_state::kDraining;
  for (auto _ : state) {
    state.PauseTiming();
    const std::string text = FormatPatch(MakePatch(*log.current(), next));
    const std::uint64_t sequence = log.Head().sequence + 1;
    next = next == target_state::kActive ? target_state::kDraining
                                         : target_state::kActive;
    state.ResumeTiming();
    benchmark::DoNotOptimize(log.ApplyEntry({sequence, 0, 0, text}));
  }
}

void TakeSnapshot(benchmark::State& state) {
  const configuration config =
      MakeConfiguration(static_cast<std::uint32_t>(state.range(0)));
  const std::vector<log_entry> parts =
      MakeSnapshot(config, snapshot_kind::kPublished, 1, kPartBytes);
  std::size_t bytes = 0;
  for (const log_entry& part : parts) {
    bytes += part.text.size();
  }
  const std::size_t before = mallinfo2().uordblks;
  std::unique_ptr<patch_log> log;
  for (auto _ : state) {
    log = std::make_unique<patch_log>(nullptr);
    for (const log_entry& part : parts) {
      log->ApplyEntry(part);
    }
  }
  state.counters["snapshot_bytes"] = static_cast<double>(bytes);
  state.counters["parts"] = static_cast<double>(parts.size());
  state.counters["log_heap_bytes"] =
      static_cast<double>(mallinfo2().uordblks - before);
}

void CheckAllRules(benchmark::State& state) {
  const configuration config =
      MakeConfiguration(static_cast<std::uint32_t>(state.range(0)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(CheckRules(config));
  }
}

void CopyAll(benchmark::State& state) {
  const configuration config =
      MakeConfiguration(static_cast<std::uint32_t>(state.range(0)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(configuration(config));
  }
}

#define SIZES \
  RangeMultiplier(2)->Range(150, 1200)->Unit(benchmark::kMicrosecond)
BENCHMARK(ApplyOnePatch)->SIZES;
BENCHMARK(OfferOnePatch)->SIZES;
BENCHMARK(TakeSnapshot)->SIZES;
BENCHMARK(CheckAllRules)->SIZES;
BENCHMARK(CopyAll)->SIZES;

}  // namespace
}  // namespace rosemaryreach

BENCHMARK_MAIN();
