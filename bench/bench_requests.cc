// Measures the request plane's decisions under load and faults, in virtual
// time. Bounds are those of docs/design/requests.md.
#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "requests/baseline.h"
#include "requests/request_scene.h"

namespace rosemaryreach::bench {
namespace {

using fakes::bench_report;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kNormalLoad = 0.7;

double Share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

double Milliseconds(duration span) {
  return static_cast<double>(span.count()) / 1e3;
}

std::uint64_t AboveBearing(const request_scene& scene) {
  std::uint64_t total = 0;
  for (const world_target& target :
       const_cast<request_scene&>(scene).world().targets()) {
    total += target.fake->counts().above_bearing;
  }
  return total;
}

// Runs `body` on each agency's warm fleet at `share` of its capacity.
void ForEachAgency(std::uint64_t seed,
                   double share,
                   const std::function<void(request_scene&)>& body) {
  for (const agency& one : Agencies()) {
    request_scene scene(one, seed, share);
    body(scene);
  }
}

void ShowErrors(const request_scene& scene,
                bench_report& report,
                const call_summary& sum) {
  report.Show(scene.Name("sent"), static_cast<double>(sum.sent));
  report.Show(scene.Name("refused_share"), Share(sum.not_run, sum.sent));
  report.Show(scene.Name("unknown_share"), Share(sum.unknown, sum.sent));
  report.Show(scene.Name("p99_ms"), Milliseconds(sum.p99));
}

void Surge(std::uint64_t seed, bench_report& report, double factor) {
  ForEachAgency(seed, kNormalLoad, [&](request_scene& scene) {
    const time_point begin = scene.queue().now();
    scene.SetLoad(factor);
    scene.queue().RunFor(seconds(10));
    const time_point end = scene.queue().now();
    scene.Settle();
    const call_summary sum = scene.Summary(kInteractiveService, begin, end);
    const duration work =
        UsefulWork(scene.load().calls(), kInteractiveService, begin, end);
    const duration capacity =
        (end - begin) * scene.of().slots * kInteractiveTargets;
    report.AtLeast(scene.Name("goodput_share_of_capacity"),
                   static_cast<double>(work.count()) /
                       static_cast<double>(capacity.count()),
                   0.9);
    report.AtMost(scene.Name("accepted_bookings_p99_ms"),
                  Milliseconds(sum.booking_p99), 2'000);
    ShowErrors(scene, report, sum);
    scene.CheckPromises(report);
    scene.CheckEnds(report);
  });
}

void Surge2x(std::uint64_t seed, bench_report& report) {
  Surge(seed, report, 2);
}

void Surge10x(std::uint64_t seed, bench_report& report) {
  Surge(seed, report, 10);
}

// Restarts `count` targets cold, their owners knowing by the closed
// connections.
void ColdRestart(std::uint64_t seed, bench_report& report, std::size_t count) {
  ForEachAgency(seed, kNormalLoad, [&](request_scene& scene) {
    const time_point begin = scene.queue().now();
    std::vector<world_target>& targets = scene.world().targets();
    for (std::size_t i = 0; i < count; ++i) {
      scene.world().Crash(targets[i]);
    }
    scene.queue().RunFor(milliseconds(500));
    for (std::size_t i = 0; i < count; ++i) {
      targets[i].fake->Restart();
    }
    scene.queue().RunFor(seconds(10));
    const time_point end = scene.queue().now();
    scene.Settle();
    report.AtMost(scene.Name("in_flight_above_bearing"),
                  static_cast<double>(AboveBearing(scene)), 0);
    ShowErrors(scene, report, scene.Summary(kInteractiveService, begin, end));
    scene.CheckPromises(report);
    scene.CheckEnds(report);
  });
}

void ColdOne(std::uint64_t seed, bench_report& report) {
  ColdRestart(seed, report, 1);
}

void ColdAll(std::uint64_t seed, bench_report& report) {
  ColdRestart(seed, report, kInteractiveTargets);
}

void SilentCold(std::uint64_t seed, bench_report& report) {
  ForEachAgency(seed, kNormalLoad, [&](request_scene& scene) {
    const time_point begin = scene.queue().now();
    for (std::size_t i = 0; i < 3; ++i) {
      world_target& target = scene.world().targets()[i];
      target.watch_for_sign = true;
      target.fake->TurnCold();
      scene.queue().RunFor(seconds(1));
    }
    scene.queue().RunFor(seconds(8));
    const time_point end = scene.queue().now();
    scene.Settle();
    std::uint64_t after_sign = 0;
    for (const world_target& target : scene.world().targets()) {
      after_sign += target.above_bearing_after_sign;
    }
    report.AtMost(scene.Name("in_flight_above_bearing_after_sign"),
                  static_cast<double>(after_sign), 0);
    report.Show(scene.Name("in_flight_above_bearing"),
                static_cast<double>(AboveBearing(scene)));
    ShowErrors(scene, report, scene.Summary(kInteractiveService, begin, end));
    scene.CheckPromises(report);
    scene.CheckEnds(report);
  });
}

void TargetDies(std::uint64_t seed, bench_report& report) {
  ForEachAgency(seed, kNormalLoad, [&](request_scene& scene) {
    const time_point begin = scene.queue().now();
    std::vector<world_target>& targets = scene.world().targets();
    for (std::size_t i = 0; i < 3; ++i) {
      world_target& target = targets[scene.world().random()() % 15];
      scene.world().Crash(target);
      scene.queue().RunFor(seconds(2));
      target.fake->Restart();
      scene.queue().RunFor(seconds(2));
    }
    const time_point end = scene.queue().now();
    scene.Settle();
    ShowErrors(scene, report, scene.Summary(kInteractiveService, begin, end));
    scene.CheckPromises(report);
    scene.CheckEnds(report);
  });
}

void ConnectionSilent(std::uint64_t seed, bench_report& report) {
  ForEachAgency(seed, kNormalLoad, [&](request_scene& scene) {
    const time_point begin = scene.queue().now();
    for (int i = 0; i < 5; ++i) {
      std::vector<world_target>& targets = scene.world().targets();
      world_target& target = targets[scene.world().random()() % 15];
      if (world_node* owner = scene.world().OwnerOf(target)) {
        scene.world().Silence(*owner, target);
      }
      scene.queue().RunFor(seconds(2));
    }
    const time_point end = scene.queue().now();
    scene.Settle();
    ShowErrors(scene, report, scene.Summary(kInteractiveService, begin, end));
    scene.CheckPromises(report);
    scene.CheckEnds(report);
  });
}

void LateAnswers(std::uint64_t seed, bench_report& report) {
  ForEachAgency(seed, 0.3, [&](request_scene& scene) {
    const time_point begin = scene.queue().now();
    scene.world().SetAnswerTrouble(0.05, milliseconds(100));
    scene.queue().RunFor(seconds(8));
    const time_point end = scene.queue().now();
    scene.Settle();
    ShowErrors(scene, report, scene.Summary(kInteractiveService, begin, end));
    scene.CheckPromises(report);
    scene.CheckEnds(report);
  });
}

void FalseReports(std::uint64_t seed, bench_report& report) {
  ForEachAgency(seed, kNormalLoad, [&](request_scene& scene) {
    const time_point begin = scene.queue().now();
    // First all targets are said to be ill, then a third, then a dead one is
    // said to be well for 10 s.
    scene.world().ReportAll(kInteractiveTargets, false);
    scene.queue().RunFor(seconds(3));
    scene.world().ReportAll(kInteractiveTargets, true);
    scene.world().ReportAll(5, false);
    scene.queue().RunFor(seconds(3));
    const time_point end = scene.queue().now();
    scene.world().ReportAll(kInteractiveTargets, true);
    scene.world().Crash(scene.world().targets()[0]);
    scene.queue().RunFor(seconds(10));
    const time_point dead = scene.queue().now();
    scene.Settle();
    const call_summary sum = scene.Summary(kInteractiveService, begin, end);
    const call_summary last = scene.Summary(kInteractiveService, end, dead);
    ShowErrors(scene, report, sum);
    report.AtMost(scene.Name("refused_or_unknown_under_false_reports"),
                  Share(sum.not_run + sum.unknown, sum.sent), 0.001);
    report.Show(scene.Name("unknown_share_with_dead_target_called_well"),
                Share(last.unknown, last.sent));
    scene.CheckPromises(report);
    scene.CheckEnds(report);
  });
}

void OwnerDies(std::uint64_t seed, bench_report& report) {
  ForEachAgency(seed, kNormalLoad, [&](request_scene& scene) {
    const time_point begin = scene.queue().now();
    scene.world().Kill(*scene.world().nodes()[seed % 8]);
    scene.queue().RunFor(seconds(14));
    const time_point end = scene.queue().now();
    scene.Settle();
    const call_summary sum = scene.Summary(kInteractiveService, begin, end);
    ShowErrors(scene, report, sum);
    report.Show(scene.Name("whole_share"), Share(sum.whole, sum.sent));
    scene.CheckPromises(report);
    scene.CheckEnds(report);
  });
}

void OwnerPauses(std::uint64_t seed, bench_report& report) {
  ForEachAgency(seed, kNormalLoad, [&](request_scene& scene) {
    const time_point begin = scene.queue().now();
    world_node& node = *scene.world().nodes()[seed % 8];
    // The fabric sends it nothing new; its own callers wait with it.
    node.in_rotation = false;
    scene.queue().RunFor(seconds(3));
    scene.world().Pause(node);
    scene.world().PublishLater(milliseconds(750), milliseconds(1'500));
    scene.queue().RunFor(seconds(5));
    scene.world().Resume(node);
    scene.world().PublishLater(milliseconds(100), milliseconds(900));
    node.in_rotation = true;
    scene.queue().RunFor(seconds(10));
    const time_point end = scene.queue().now();
    scene.Settle();
    ShowErrors(scene, report, scene.Summary(kInteractiveService, begin, end));
    scene.CheckPromises(report);
    scene.CheckEnds(report);
  });
}

void OwnerCutOff(std::uint64_t seed, bench_report& report) {
  ForEachAgency(seed, kNormalLoad, [&](request_scene& scene) {
    const time_point begin = scene.queue().now();
    world_node& node = *scene.world().nodes()[seed % 8];
    scene.world().CutOff(node);
    scene.queue().RunFor(seconds(10));
    scene.world().Reconnect();
    scene.queue().RunFor(seconds(10));
    const time_point end = scene.queue().now();
    scene.Settle();
    ShowErrors(scene, report, scene.Summary(kInteractiveService, begin, end));
    scene.CheckPromises(report);
    scene.CheckEnds(report);
  });
}

// The owner of some keys and its successor go at once.
void TwoDie(std::uint64_t seed, bench_report& report) {
  ForEachAgency(seed, kNormalLoad, [&](request_scene& scene) {
    const time_point begin = scene.queue().now();
    scene.world().Kill(*scene.world().nodes()[seed % 8]);
    scene.queue().RunFor(milliseconds(100));
    scene.world().Kill(*scene.world().nodes()[(seed + 3) % 8]);
    scene.queue().RunFor(seconds(14));
    const time_point end = scene.queue().now();
    scene.Settle();
    ShowErrors(scene, report, scene.Summary(kInteractiveService, begin, end));
    scene.CheckPromises(report);
    scene.CheckEnds(report);
  });
}

// Messages between instances are lost and repeated while one dies.
void MessagesLost(std::uint64_t seed, bench_report& report) {
  ForEachAgency(seed, kNormalLoad, [&](request_scene& scene) {
    const time_point begin = scene.queue().now();
    scene.world().SetMessageLoss(0.1);
    scene.queue().RunFor(seconds(3));
    scene.world().Kill(*scene.world().nodes()[seed % 8]);
    scene.queue().RunFor(seconds(3));
    scene.world().Stop(*scene.world().nodes()[(seed + 1) % 8], [] {});
    scene.queue().RunFor(seconds(10));
    const time_point end = scene.queue().now();
    scene.Settle();
    ShowErrors(scene, report, scene.Summary(kInteractiveService, begin, end));
    scene.CheckPromises(report);
    scene.CheckEnds(report);
  });
}

// A data centre is cut off from the others and from their targets.
void DataCentreCutOff(std::uint64_t seed, bench_report& report) {
  ForEachAgency(seed, kNormalLoad * 2 / 3, [&](request_scene& scene) {
    const time_point begin = scene.queue().now();
    scene.world().CutOffCentre("a");
    scene.queue().RunFor(seconds(4));
    const time_point settled = scene.queue().now();
    scene.queue().RunFor(seconds(6));
    const time_point healed = scene.queue().now();
    scene.world().Reconnect();
    scene.queue().RunFor(seconds(10));
    const time_point end = scene.queue().now();
    scene.Settle();
    ShowErrors(scene, report, scene.Summary(kInteractiveService, begin, end));
    const call_summary split =
        scene.Summary(kInteractiveService, settled, healed);
    report.Show(scene.Name("split_whole_share"),
                Share(split.whole, split.sent));
    scene.CheckPromises(report);
    scene.CheckEnds(report);
  });
}

void CheckNothingCut(request_scene& scene,
                     bench_report& report,
                     time_point begin,
                     time_point end) {
  const call_summary sum = scene.Summary(kInteractiveService, begin, end);
  const call_summary bulk = scene.Summary(kBulkService, begin, end);
  ShowErrors(scene, report, sum);
  report.AtMost(
      scene.Name("requests_cut"),
      static_cast<double>(sum.cut + sum.unknown + bulk.cut + bulk.unknown), 0);
  scene.CheckPromises(report);
  scene.CheckEnds(report);
}

void PlannedStop(std::uint64_t seed, bench_report& report) {
  ForEachAgency(seed, kNormalLoad, [&](request_scene& scene) {
    const time_point begin = scene.queue().now();
    bool gone = false;
    scene.world().Stop(*scene.world().nodes()[seed % 8],
                       [&gone] { gone = true; });
    scene.queue().RunFor(seconds(20));
    const time_point end = scene.queue().now();
    scene.Settle();
    report.AtLeast(scene.Name("stopped"), gone ? 1 : 0, 1);
    CheckNothingCut(scene, report, begin, end);
  });
}

void RollingReplacement(std::uint64_t seed, bench_report& report) {
  ForEachAgency(seed, kNormalLoad, [&](request_scene& scene) {
    const time_point begin = scene.queue().now();
    int gone = 0;
    for (std::size_t i = 0; i < 8; ++i) {
      world_node& old = *scene.world().nodes()[i];
      scene.world().AddNode("n" + std::to_string(i), old.info.data_centre);
      scene.world().PublishLater(milliseconds(0), milliseconds(300));
      scene.queue().RunFor(seconds(2));
      scene.world().Stop(*scene.world().nodes()[i], [&gone] { ++gone; });
      scene.queue().RunFor(seconds(4));
    }
    scene.queue().RunFor(seconds(20));
    const time_point end = scene.queue().now();
    scene.Settle();
    report.AtLeast(scene.Name("stopped"), gone, 8);
    CheckNothingCut(scene, report, begin, end);
  });
}

// Load is 70 % of what the two other data centres bear.
void DataCentreOut(std::uint64_t seed, bench_report& report) {
  ForEachAgency(seed, kNormalLoad * 2 / 3, [&](request_scene& scene) {
    const time_point steady = scene.queue().now();
    scene.queue().RunFor(seconds(10));
    const time_point out = scene.queue().now();
    configuration config = scene.config();
    config.number = 2;
    config.data_centres[0].state = data_centre_state::kOut;
    scene.world().ApplyConfiguration(config, seconds(1));
    scene.queue().RunFor(seconds(1));
    const std::uint64_t sent_by_1s = scene.world().dispatches_to("a");
    scene.queue().RunFor(seconds(9));
    const std::uint64_t sent_later =
        scene.world().dispatches_to("a") - sent_by_1s;
    const time_point back = scene.queue().now();
    config.number = 3;
    config.data_centres[0].state = data_centre_state::kIn;
    for (world_target& target : scene.world().targets()) {
      if (target.data_centre == "a") {
        target.fake->TurnCold();
      }
    }
    scene.world().ApplyConfiguration(config, seconds(1));
    scene.queue().RunFor(seconds(10));
    const time_point end = scene.queue().now();
    scene.Settle();
    const call_summary before = scene.Summary(kInteractiveService, steady, out);
    const call_summary during = scene.Summary(kInteractiveService, out, back);
    const call_summary after = scene.Summary(kInteractiveService, back, end);
    report.AtMost(scene.Name("out_p99_ms"), Milliseconds(during.p99),
                  2 * Milliseconds(before.p99));
    report.AtMost(scene.Name("return_p99_ms"), Milliseconds(after.p99),
                  2 * Milliseconds(before.p99));
    const std::uint64_t sent = during.sent + after.sent;
    const std::uint64_t errors = sent - during.whole - after.whole -
                                 during.in_progress - after.in_progress;
    report.AtMost(scene.Name("error_share"), Share(errors, sent), 0.001);
    report.AtMost(scene.Name("sent_there_after_1s"),
                  static_cast<double>(sent_later), 0);
    report.AtMost(scene.Name("in_flight_above_bearing"),
                  static_cast<double>(AboveBearing(scene)), 0);
    scene.CheckPromises(report);
    scene.CheckEnds(report);
  });
}

void TotalFailure(std::uint64_t seed, bench_report& report) {
  for (const target_mode mode :
       {target_mode::kResetsAll, target_mode::kShedsAll}) {
    const std::string kind =
        mode == target_mode::kResetsAll ? "resets" : "sheds";
    ForEachAgency(seed, 0.3, [&](request_scene& scene) {
      for (world_target& target : scene.world().targets()) {
        target.fake->SetMode(mode);
      }
      const std::size_t calls = scene.load().calls().size();
      const std::uint64_t attempts = scene.world().attempts();
      scene.queue().RunFor(seconds(10));
      const std::uint64_t sent = scene.load().calls().size() - calls;
      report.AtMost(scene.Name("attempts_per_request_" + kind),
                    Share(scene.world().attempts() - attempts, sent), 1.1);
      scene.Settle();
      scene.CheckPromises(report);
      scene.CheckEnds(report);
    });
  }
}

void Balance(std::uint64_t seed, bench_report& report) {
  ForEachAgency(seed, kNormalLoad, [&](request_scene& scene) {
    std::vector<std::uint64_t> before;
    for (const world_target& target : scene.world().targets()) {
      before.push_back(target.fake->counts().started);
    }
    scene.queue().RunFor(seconds(60));
    double most = 0;
    double total = 0;
    for (int i = 0; i < kInteractiveTargets; ++i) {
      const std::size_t index = static_cast<std::size_t>(i);
      const double work = static_cast<double>(
          scene.world().targets()[index].fake->counts().started -
          before[index]);
      most = std::max(most, work);
      total += work;
    }
    report.AtMost(scene.Name("work_max_over_mean"),
                  most * kInteractiveTargets / total, 1.1);
    scene.Settle();
    scene.CheckPromises(report);
    scene.CheckEnds(report);
  });
}

// What simpler rules give under the same load; no bounds.
void Baselines(std::uint64_t seed, bench_report& report) {
  struct named_rule {
    std::string name;
    baseline_rule rule;
  };
  const std::vector<named_rule> rules = {
      {"random", baseline_rule::kRandom},
      {"round_robin", baseline_rule::kRoundRobin},
      {"no_limit", baseline_rule::kNoLimit}};
  for (const agency& one : Agencies()) {
    for (const named_rule& rule : rules) {
      for (const double share : {kNormalLoad, 2.0}) {
        baseline run(one, rule.rule, seed);
        const baseline_result result = run.Run(share, seconds(10));
        const std::string name =
            one.name + "." + rule.name + (share < 1 ? ".normal" : ".surge_2x");
        report.Show(name + ".goodput_share_of_capacity", result.goodput_share);
        report.Show(name + ".error_share", result.error_share);
        report.Show(name + ".p99_ms", Milliseconds(result.p99));
      }
    }
  }
}

}  // namespace
}  // namespace rosemaryreach::bench

int main(int argc, const char** argv) {
  using namespace rosemaryreach::bench;  // NOLINT
  return rosemaryreach::fakes::BenchMain(
      argc, argv,
      {{"surge_2x", Surge2x},
       {"surge_10x", Surge10x},
       {"cold_one", ColdOne},
       {"cold_all", ColdAll},
       {"silent_cold", SilentCold},
       {"target_dies", TargetDies},
       {"connection_silent", ConnectionSilent},
       {"late_answers", LateAnswers},
       {"false_reports", FalseReports},
       {"owner_dies", OwnerDies},
       {"owner_pauses", OwnerPauses},
       {"owner_cut_off", OwnerCutOff},
       {"two_die", TwoDie},
       {"messages_lost", MessagesLost},
       {"data_centre_cut_off", DataCentreCutOff},
       {"planned_stop", PlannedStop},
       {"rolling_replacement", RollingReplacement},
       {"data_centre_out", DataCentreOut},
       {"total_failure", TotalFailure},
       {"balance", Balance},
       {"baselines", Baselines}});
}
