// Measures what changes and faults do to open connections, in virtual time:
// a fleet of 8 instances, 15 + 5 targets in 3 data centres, any packet to any
// instance.
#include <cmath>
#include <memory>

#include "bench_packets_traffic.h"
#include "fakes/bench_main.h"
#include "rosemaryreach/bucket_table.h"

namespace rosemaryreach::fakes {
namespace {

constexpr int kInstances = 8;
constexpr int kLedgerTargets = 15;
constexpr int kStatementTargets = 5;
constexpr std::uint32_t kOpenConnections = 200'000;
constexpr std::uint32_t kNewPerSecond = 2'000 * kInstances;
constexpr double kLedgerShare = 0.75;
constexpr double kControlBytesPerS = 5'000;
constexpr double kMaxBrokenShare = 0.0001;
constexpr std::uint32_t kColdRate = 80;
constexpr std::uint32_t kWarmupMs = 30'000;
// A ledger target bears a quarter more than its share of new connections.
constexpr double kFullRate =
    1.25 * kNewPerSecond * kLedgerShare / kLedgerTargets;
constexpr std::uint64_t kFirstNumber = 10;
// Index of the legacy next hop in the tables of the baselines.
constexpr std::uint16_t kLegacyIndex = 0xfff0;

endpoint MakeAddress(std::uint8_t net, int host, std::uint16_t port) {
  endpoint address;
  address.address.bytes[0] = 0xfc;
  address.address.bytes[1] = net;
  address.address.bytes[15] = static_cast<std::uint8_t>(host);
  address.port = port;
  return address;
}

std::string DataCentre(int index) {
  return std::string(1, static_cast<char>('a' + index % 3));
}

service_config MakeService(const std::string& name,
                           std::uint8_t net,
                           int targets) {
  service_config service;
  service.name = name;
  service.addresses = {MakeAddress(net, 0, 443)};
  for (int i = 0; i < targets; ++i) {
    target_config target;
    target.name = name + std::to_string(i);
    target.address = MakeAddress(net, i + 1, 6'081);
    target.data_centre = DataCentre(i);
    target.cold_rate_per_s = kColdRate;
    target.warmup_ms = kWarmupMs;
    service.targets.push_back(target);
  }
  return service;
}

configuration MakeConfiguration() {
  configuration config;
  config.number = kFirstNumber;
  for (int i = 0; i < 3; ++i) {
    config.data_centres.push_back(
        {DataCentre(i), "region", data_centre_state::kIn});
  }
  config.services = {MakeService("ledger", 1, kLedgerTargets),
                     MakeService("statement", 2, kStatementTargets)};
  return config;
}

// What two ways without transitions would have broken in the same change.
struct baseline_counts {
  std::uint64_t modulo = 0;  // hash modulo number of targets
  std::uint64_t table = 0;   // bucket table on each instance, no detours
};

class scenario {
 public:
  explicit scenario(std::uint64_t seed,
                    const configuration& config = MakeConfiguration())
      : config_(config),
        fleet_(queue_, seed),
        traffic_(queue_,
                 fleet_,
                 {kOpenConnections, kNewPerSecond},
                 seed + 100) {
    for (int i = 0; i < kInstances; ++i) {
      fleet_.AddActive(DataCentre(i));
    }
    fleet_.Publish(std::make_shared<configuration>(config_), duration(0));
    for (std::size_t i = 0; i < config_.services.size(); ++i) {
      const service_config& service = config_.services[i];
      const std::uint8_t index = static_cast<std::uint8_t>(i);
      traffic_.AddService(service.addresses.front(), i == 0 ? 3 : 1);
      for (const target_config& target : service.targets) {
        traffic_.AddTarget(index, target.name, target.data_centre,
                           target.address);
      }
      if (service.legacy) {
        traffic_.AddTarget(index, "legacy", "", service.legacy->next_hop);
      }
    }
    queue_.RunFor(seconds(5));
    traffic_.Start(seconds(4));
    queue_.RunFor(seconds(5));
    traffic_.SetArrivals(true);
    queue_.RunFor(seconds(5));
    steady_imbalance_ = OpenImbalance();
  }

  // Publishes the configuration after `edit`, one number higher.
  void Change(const std::function<void(configuration&)>& edit,
              duration spread = seconds(1)) {
    const configuration before = config_;
    edit(config_);
    ++config_.number;
    CountBaselines(before);
    changed_at_ = queue_.now();
    fleet_.Publish(std::make_shared<configuration>(config_), spread);
  }

  // Runs on, then sends a packet of each open connection, and reports.
  void Finish(bench_report& report, double broken_bound) {
    queue_.RunFor(seconds(10));
    for (int i = 0; i < 2; ++i) {
      traffic_.ProbeAll(seconds(3));
      queue_.RunFor(seconds(5));
    }
    // Time for the last repeats of what is still under way.
    traffic_.SetArrivals(false);
    queue_.RunFor(seconds(55));
    traffic_.Stop();
    Report(report, broken_bound);
  }

  double OpenImbalance() const {
    double worst = 0;
    for (std::uint8_t service = 0; service < 2; ++service) {
      double most = 0;
      double sum = 0;
      int count = 0;
      for (const traffic_target& target : traffic_.targets()) {
        if (target.service == service && target.name != "legacy") {
          most = std::max<double>(most, target.open);
          sum += target.open;
          ++count;
        }
      }
      worst = std::max(worst, most * count / sum);
    }
    return worst;
  }

  // Returns max/mean of the new connections of the ledger's targets.
  double NewImbalance(time_point from, time_point to) const {
    double most = 0;
    double sum = 0;
    for (std::size_t i = 0; i < kLedgerTargets; ++i) {
      const double opened =
          static_cast<double>(traffic_.OpenedBetween(i, from, to));
      most = std::max(most, opened);
      sum += opened;
    }
    return most * kLedgerTargets / sum;
  }

  event_queue& queue() { return queue_; }
  packet_fleet& fleet() { return fleet_; }
  packet_traffic& traffic() { return traffic_; }
  time_point changed_at() const { return changed_at_; }
  std::uint32_t start_open() const { return kOpenConnections; }

 private:
  void CountBaselines(const configuration& before) {
    for (std::size_t i = 0; i < config_.services.size(); ++i) {
      CountBaselines(before, before.services[i], config_.services[i],
                     static_cast<std::uint8_t>(i));
    }
  }

  static std::vector<std::uint16_t> Table(const configuration& config,
                                          const service_config& service) {
    std::vector<weighted_entry> entries;
    for (const target_config& target : service.targets) {
      const std::uint32_t weight =
          AcceptsNewWork(config, target) ? target.weight : 0;
      entries.push_back({HashBytes(target.name), weight});
    }
    std::vector<std::uint16_t> table =
        BuildBucketTable(entries, service.buckets);
    if (service.legacy) {
      ReassignShare(table, kLegacyIndex, 100 - service.legacy->share_percent);
    }
    return table;
  }

  static std::vector<std::uint16_t> Accepting(const configuration& config,
                                              const service_config& service) {
    std::vector<std::uint16_t> accepting;
    for (std::size_t i = 0; i < service.targets.size(); ++i) {
      const std::uint32_t weight = AcceptsNewWork(config, service.targets[i])
                                       ? service.targets[i].weight / 50
                                       : 0;
      accepting.insert(accepting.end(), weight, static_cast<std::uint16_t>(i));
    }
    if (service.legacy) {
      const std::uint32_t share = service.legacy->share_percent;
      accepting.insert(accepting.end(),
                       accepting.size() * (100 - share) / share, kLegacyIndex);
    }
    return accepting;
  }

  void CountBaselines(const configuration& before,
                      const service_config& old_service,
                      const service_config& new_service,
                      std::uint8_t index) {
    const std::vector<std::uint16_t> old_table = Table(before, old_service);
    const std::vector<std::uint16_t> new_table = Table(config_, new_service);
    const std::vector<std::uint16_t> old_list = Accepting(before, old_service);
    const std::vector<std::uint16_t> new_list = Accepting(config_, new_service);
    for (const connection& one : traffic_.connections()) {
      if (one.service != index || one.state != connection_state::kOpen) {
        continue;
      }
      const std::uint64_t hash = one.flow_hash;
      const std::size_t bucket = hash & (old_table.size() - 1);
      baselines_.table += old_table[bucket] != new_table[bucket] ? 1 : 0;
      baselines_.modulo +=
          old_list[hash % old_list.size()] != new_list[hash % new_list.size()]
              ? 1
              : 0;
    }
  }

  void Report(bench_report& report, double broken_bound) const {
    const traffic_counts& counts = traffic_.counts();
    report.AtMost("broken_connections", counts.broken, broken_bound);
    report.AtMost("new_connections_failed", counts.failed, broken_bound);
    report.AtMost("wrong_service_packets", counts.wrong_service, 0);
    report.AtMost("max_hops", fleet_.max_hops(), kMaxDetourHops);
    report.AtMost("control_bytes_per_s_of_any_10_s",
                  fleet_.peak_control_bytes_per_s(), kControlBytesPerS);
    report.AtMost("steady_open_max_over_mean", steady_imbalance_, 1.10);
    report.Show("connections_opened", counts.opened);
    report.Show("packets_dropped", counts.dropped);
    report.Show("detours_per_packet",
                static_cast<double>(fleet_.detours()) / counts.packets);
    report.Show("max_pins_of_an_instance", fleet_.max_pins());
    report.Show("baseline_modulo_broken", baselines_.modulo);
    report.Show("baseline_table_broken", baselines_.table);
  }

  configuration config_;
  event_queue queue_;
  packet_fleet fleet_;
  packet_traffic traffic_;
  time_point changed_at_;
  double steady_imbalance_ = 0;
  baseline_counts baselines_;
};

target_config& LedgerTarget(configuration& config, int index) {
  return config.services[0].targets[index];
}

void DrainOne(configuration& config) {
  LedgerTarget(config, 3).state = target_state::kDraining;
}

void ReportDrained(scenario& run, bench_report& report, duration allowed) {
  const std::size_t target = run.traffic().FindTarget("ledger3");
  report.AtMost(
      "new_connections_to_drained_target",
      run.traffic().OpenedBetween(
          target, run.changed_at() + allowed + seconds(1), run.queue().now()),
      0);
}

void RunDrain(std::uint64_t seed, bench_report& report) {
  scenario run(seed);
  run.Change(DrainOne);
  run.Finish(report, 0);
  ReportDrained(run, report, seconds(3));
}

void RunSlowNumbers(std::uint64_t seed, bench_report& report) {
  scenario run(seed);
  run.Change(DrainOne, seconds(3));
  run.queue().RunFor(seconds(2));
  run.Change([](configuration& config) { LedgerTarget(config, 5).weight = 50; },
             seconds(3));
  run.queue().RunFor(seconds(4));
  run.Change(
      [](configuration& config) {
        LedgerTarget(config, 3).state = target_state::kActive;
      },
      seconds(3));
  run.Finish(report, 0);
}

void RunAddTarget(std::uint64_t seed, bench_report& report) {
  configuration config = MakeConfiguration();
  config.services[0].targets.pop_back();
  scenario run(seed, config);
  const target_config added = MakeConfiguration().services[0].targets.back();
  run.traffic().AddTarget(0, added.name, added.data_centre, added.address);
  run.Change([&added](configuration& changed) {
    changed.services[0].targets.push_back(added);
  });
  const time_point start = run.changed_at();
  run.Finish(report, 0);
  const std::size_t target = run.traffic().FindTarget(added.name);
  report.AtMost("new_target_peak_share_of_bearing",
                run.traffic().PeakShare(
                    target, start, start + milliseconds(kWarmupMs),
                    [](double age) {
                      return std::max<double>(
                          kColdRate, kFullRate * age * 1'000 / kWarmupMs);
                    }),
                1);
}

void RunWeight(std::uint64_t seed, bench_report& report) {
  scenario run(seed);
  run.Change(
      [](configuration& config) { LedgerTarget(config, 3).weight = 50; });
  run.queue().RunFor(seconds(10));
  run.Change(
      [](configuration& config) { LedgerTarget(config, 3).weight = 100; });
  run.Finish(report, 0);
}

void RunStop(std::uint64_t seed, bench_report& report) {
  scenario run(seed);
  run.Change(DrainOne);
  run.queue().RunFor(seconds(8));
  run.fleet().Leave(2);
  run.queue().RunFor(seconds(20));
  report.AtMost("stopped_instance_alive", run.fleet().at(2).alive ? 1 : 0, 0);
  run.Finish(report, 0);
}

void RunJoin(std::uint64_t seed, bench_report& report) {
  scenario run(seed);
  run.Change(DrainOne);
  run.queue().RunFor(seconds(8));
  const std::size_t joined = run.fleet().Join("a");
  run.queue().RunFor(seconds(20));
  report.AtLeast("buckets_of_joined_instance",
                 run.fleet().at(joined).router->stats().owned_buckets, 1);
  run.Finish(report, 0);
}

void RunDie(std::uint64_t seed, bench_report& report) {
  scenario run(seed);
  run.fleet().Kill(4);
  run.Finish(report, 0);
}

void RunDieInDrain(std::uint64_t seed, bench_report& report) {
  scenario run(seed);
  run.Change(DrainOne);
  run.queue().RunFor(seconds(8));
  run.fleet().Kill(4);
  run.Finish(report, kMaxBrokenShare * kOpenConnections);
}

void RunTwoDie(std::uint64_t seed, bench_report& report) {
  scenario run(seed);
  run.fleet().Kill(4);
  run.queue().RunFor(seconds(1));
  run.fleet().Kill(1);
  run.Finish(report, kMaxBrokenShare * kOpenConnections);
}

void RunPause(std::uint64_t seed, bench_report& report, duration span) {
  scenario run(seed);
  run.fleet().Pause(4, span);
  run.queue().RunFor(span);
  run.Finish(report, 0);
}

void RunPauseInDrain(std::uint64_t seed, bench_report& report) {
  scenario run(seed);
  run.Change(DrainOne);
  run.queue().RunFor(seconds(1));
  run.fleet().Pause(4, seconds(5));
  run.Finish(report, kMaxBrokenShare * kOpenConnections);
}

void RunCutOff(std::uint64_t seed, bench_report& report) {
  scenario run(seed);
  run.fleet().CutOff(4, seconds(30));
  run.queue().RunFor(seconds(30));
  run.Finish(report, 0);
}

void RunCutOffInDrain(std::uint64_t seed, bench_report& report) {
  scenario run(seed);
  run.Change(DrainOne);
  run.queue().RunFor(seconds(8));
  run.fleet().CutOff(4, seconds(30));
  run.queue().RunFor(seconds(30));
  run.Finish(report, kMaxBrokenShare * kOpenConnections);
}

void RunCold(std::uint64_t seed, bench_report& report) {
  scenario run(seed);
  const time_point cold_at = run.queue().now();
  run.queue().RunFor(milliseconds(250));
  run.fleet().Report(3, "ledger", "ledger3", target_condition::kCold);
  run.queue().RunFor(milliseconds(kWarmupMs));
  const std::size_t target = run.traffic().FindTarget("ledger3");
  const double peak = run.traffic().PeakShare(
      target, cold_at, cold_at + milliseconds(kWarmupMs), [](double age) {
        return std::max<double>(kColdRate, kFullRate * age * 1'000 / kWarmupMs);
      });
  report.AtMost("cold_target_peak_share_of_bearing", peak, 1);
  run.Finish(report, 0);
}

void SetDataCentre(configuration& config, data_centre_state state) {
  config.data_centres[1].state = state;
}

void RunDataCentreOut(std::uint64_t seed, bench_report& report) {
  scenario run(seed);
  run.Change([](configuration& config) {
    SetDataCentre(config, data_centre_state::kOut);
  });
  run.traffic().SetOut("b");
  run.queue().RunFor(seconds(20));
  double late = 0;
  for (const traffic_target& target : run.traffic().targets()) {
    if (target.data_centre == "b" &&
        target.last_packet > run.changed_at() + seconds(3)) {
      ++late;
    }
  }
  report.AtMost("targets_out_with_packets_after_3_s", late, 0);
  report.Show("given_up", run.traffic().counts().given_up);
  report.Show("given_up_and_told", run.traffic().counts().told);
  run.Change([](configuration& config) {
    SetDataCentre(config, data_centre_state::kIn);
  });
  run.traffic().SetIn();
  const time_point back = run.changed_at();
  run.queue().RunFor(seconds(60));
  report.AtMost("new_max_over_mean_after_return",
                run.NewImbalance(back + seconds(55), back + seconds(60)), 1.15);
  double peak = 0;
  for (std::size_t i = 0; i < kLedgerTargets; ++i) {
    if (run.traffic().targets()[i].data_centre == "b") {
      peak = std::max(
          peak, run.traffic().PeakShare(
                    i, back, back + milliseconds(kWarmupMs), [](double age) {
                      return std::max<double>(
                          kColdRate, kFullRate * age * 1'000 / kWarmupMs);
                    }));
    }
  }
  report.AtMost("returned_peak_share_of_bearing", peak, 1);
  run.Finish(report, 0);
}

void RunLegacyShare(std::uint64_t seed, bench_report& report) {
  configuration config = MakeConfiguration();
  config.services[0].legacy = legacy_config{MakeAddress(9, 1, 6'081), 50};
  scenario run(seed, config);
  const auto set_share = [](std::uint32_t percent) {
    return [percent](configuration& changed) {
      changed.services[0].legacy->share_percent = percent;
    };
  };
  run.Change(set_share(60));
  run.queue().RunFor(seconds(10));
  const std::size_t legacy = run.traffic().FindTarget("legacy");
  const time_point now = run.queue().now();
  double total = run.traffic().OpenedBetween(legacy, now - seconds(4), now);
  const double to_legacy = total;
  for (std::size_t i = 0; i < kLedgerTargets; ++i) {
    total += run.traffic().OpenedBetween(i, now - seconds(4), now);
  }
  report.AtMost("share_to_legacy_error", std::abs(to_legacy / total - 0.40),
                0.02);
  run.Change(set_share(30));
  run.queue().RunFor(seconds(10));
  run.Change(set_share(100));
  run.Finish(report, 0);
}

std::vector<bench_case> AllCases() {
  return {
      {"drain", RunDrain},
      {"add_target", RunAddTarget},
      {"weight_change", RunWeight},
      {"instance_stop", RunStop},
      {"instance_join", RunJoin},
      {"slow_numbers", RunSlowNumbers},
      {"legacy_share", RunLegacyShare},
      {"instance_dies", RunDie},
      {"instance_dies_in_drain", RunDieInDrain},
      {"two_instances_die", RunTwoDie},
      {"pause_5_s",
       [](std::uint64_t seed, bench_report& report) {
         RunPause(seed, report, seconds(5));
       }},
      {"pause_60_s",
       [](std::uint64_t seed, bench_report& report) {
         RunPause(seed, report, seconds(60));
       }},
      {"pause_5_s_in_drain", RunPauseInDrain},
      {"instance_cut_off", RunCutOff},
      {"instance_cut_off_in_drain", RunCutOffInDrain},
      {"target_cold", RunCold},
      {"data_centre_out", RunDataCentreOut},
  };
}

}  // namespace
}  // namespace rosemaryreach::fakes

int main(int argc, const char** argv) {
  return rosemaryreach::fakes::BenchMain(argc, argv,
                                         rosemaryreach::fakes::AllCases());
}
