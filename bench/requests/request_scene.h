// One agency's fleet under load, ready for a case to disturb.
#ifndef ROSEMARYREACH_BENCH_REQUESTS_REQUEST_SCENE_H_
#define ROSEMARYREACH_BENCH_REQUESTS_REQUEST_SCENE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fakes/bench_main.h"
#include "requests/request_load.h"

namespace rosemaryreach::bench {

struct agency {
  std::string name;
  std::uint32_t slots = 2;
  duration data_centre_latency{};
};

inline std::vector<agency> Agencies() {
  return {{"salyq", 2, std::chrono::microseconds(500)},
          {"teranga", 4, std::chrono::milliseconds(1)}};
}

inline constexpr int kInteractiveTargets = 15;
inline constexpr int kBulkTargets = 5;
inline constexpr std::uint32_t kWarmupMs = 4'000;

inline service_config MakeService(const std::string& name,
                                  int targets,
                                  std::uint32_t slots) {
  service_config service;
  service.name = name;
  service.plane = service_plane::kRequests;
  service.requests.idempotent_methods = {"GET"};
  service.requests.bulk_prefixes = {"/statements/"};
  service.requests.watch_prefixes = {"/watch/"};
  service.requests.max_deadline_ms = 5'000;
  for (int i = 0; i < targets; ++i) {
    target_config target;
    target.name = "t" + std::to_string(i);
    target.data_centre = std::string(1, static_cast<char>('a' + i % 3));
    target.slots = slots;
    target.cold_rate_per_s = 10;
    target.warmup_ms = kWarmupMs;
    service.targets.push_back(target);
  }
  return service;
}

inline configuration MakeAgencyConfiguration(const agency& agency) {
  configuration config;
  config.number = 1;
  for (const char* name : {"a", "b", "c"}) {
    config.data_centres.push_back({name, "r", data_centre_state::kIn});
  }
  config.services.push_back(
      MakeService(kInteractiveService, kInteractiveTargets, agency.slots));
  config.services.push_back(
      MakeService(kBulkService, kBulkTargets, agency.slots));
  return config;
}

// A fleet that has warmed up under `share` of its capacity.
class request_scene {
 public:
  request_scene(const agency& agency, std::uint64_t seed, double share)
      : agency_(agency),
        config_(MakeAgencyConfiguration(agency)),
        load_(queue_, seed),
        world_(queue_,
               config_,
               MakeOptions(agency, seed),
               [this](const caller_request& request, const caller_end& end) {
                 load_.OnEnd(request, end);
               }) {
    load_.Connect(world_);
    queue_.RunFor(std::chrono::seconds(1));
    SetLoad(share);
    queue_.RunFor(2 * std::chrono::milliseconds(kWarmupMs) +
                  std::chrono::seconds(2));
  }

  // Sends at `share` of what all targets bear when warm.
  void SetLoad(double share) {
    load_rates rates;
    rates.interactive_per_s = share * InteractiveCapacity();
    rates.downloads_per_s =
        share * agency_.slots * kBulkTargets * 1e6 / kMeanBulkWork.count();
    rates.watches_per_s = kWatchesPerSecond;
    load_.SetRates(rates);
  }

  // Interactive requests a second that the slots bear at the mean work.
  double InteractiveCapacity() const {
    const load_rates rates;
    const double mean_us =
        (1 - rates.bulk_share) * kMeanInteractiveWork.count() +
        rates.bulk_share * kMeanBulkWork.count();
    return agency_.slots * kInteractiveTargets * 1e6 / mean_us;
  }

  // Lets everything that was sent come to its end.
  void Settle() {
    load_.SetRates({});
    queue_.RunFor(std::chrono::seconds(8));
  }

  call_summary Summary(std::string_view service,
                       time_point begin,
                       time_point end) const {
    return Summarize(load_.calls(), service, begin, end);
  }

  // Reports the promises that hold in every case.
  void CheckPromises(fakes::bench_report& report) const {
    const broken_promises& broken = load_.broken();
    report.AtMost(Name("non_repeatable_runs_above_1"),
                  static_cast<double>(broken.repeated_runs), 0);
    report.AtMost(Name("false_not_run"),
                  static_cast<double>(broken.false_not_run), 0);
    report.AtMost(Name("answers_to_wrong_caller"),
                  static_cast<double>(broken.wrong_caller), 0);
    report.AtMost(Name("cut_answers_called_whole"),
                  static_cast<double>(broken.cut_as_whole), 0);
    report.AtMost(Name("second_ends"), static_cast<double>(broken.two_ends), 0);
    report.AtMost(Name("bookings_told_done_but_lost"),
                  static_cast<double>(broken.lost_bookings), 0);
    report.AtMost(Name("work_above_slots"), static_cast<double>(AboveSlots()),
                  0);
  }

  void CheckEnds(fakes::bench_report& report) const {
    report.AtMost(
        Name("no_end_by_deadline_plus_1s"),
        static_cast<double>(load_.WithoutEnd(std::chrono::seconds(1))), 0);
  }

  std::uint64_t AboveSlots() const {
    std::uint64_t total = 0;
    for (const world_target& target : world_.targets()) {
      total += target.fake->counts().above_slots;
    }
    return total;
  }

  std::string Name(const std::string& metric) const {
    return agency_.name + "." + metric;
  }

  fakes::event_queue& queue() { return queue_; }
  request_world& world() { return world_; }
  request_load& load() { return load_; }
  const configuration& config() const { return config_; }
  const agency& of() const { return agency_; }

 private:
  static constexpr double kWatchesPerSecond = 20;

  static world_options MakeOptions(const agency& agency, std::uint64_t seed) {
    world_options options;
    options.seed = seed;
    options.data_centre_latency = agency.data_centre_latency;
    return options;
  }

  agency agency_;
  fakes::event_queue queue_;
  configuration config_;
  request_load load_;
  request_world world_;
};

}  // namespace rosemaryreach::bench

#endif  // ROSEMARYREACH_BENCH_REQUESTS_REQUEST_SCENE_H_
