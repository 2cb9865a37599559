// Plain ways to spread requests, for comparison: entries that know nothing of
// slots send each request straight to a target.
#ifndef ROSEMARYREACH_BENCH_REQUESTS_BASELINE_H_
#define ROSEMARYREACH_BENCH_REQUESTS_BASELINE_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

#include "requests/request_scene.h"

namespace rosemaryreach::bench {

enum class baseline_rule : std::uint8_t { kRandom, kRoundRobin, kNoLimit };

struct baseline_result {
  double goodput_share = 0;  // of capacity, within the deadline
  double error_share = 0;
  duration p99{};
};

// Sends `share` of the capacity for `span`. Targets refuse what exceeds their
// slots; with kNoLimit they run all at once, each as much slower.
class baseline {
 public:
  baseline(const agency& agency, baseline_rule rule, std::uint64_t seed)
      : agency_(agency), rule_(rule), random_(seed), next_(kEntries) {
    fake_target::options options;
    options.slots = rule == baseline_rule::kNoLimit ? kEndless : agency.slots;
    for (int i = 0; i < kInteractiveTargets; ++i) {
      targets_.push_back(std::make_unique<fake_target>(
          queue_, options, [this](std::uint64_t stream, attempt_outcome end) {
            End(stream, end);
          }));
    }
    for (std::size_t& next : next_) {
      next = random_() % targets_.size();
    }
  }

  baseline_result Run(double share, duration span) {
    const double per_second = share * agency_.slots * kInteractiveTargets *
                              1e6 / kMeanInteractiveWork.count();
    time_point at = queue_.now();
    const time_point end = at + span;
    while (at < end) {
      queue_.At(at, [this] { Send(); });
      const double seconds =
          std::exponential_distribution<double>(per_second)(random_);
      at += duration(static_cast<duration::rep>(seconds * 1e6));
    }
    queue_.RunUntil(end + kTimeout);
    const duration capacity = span * agency_.slots * kInteractiveTargets;
    baseline_result result;
    result.goodput_share = static_cast<double>(work_.count()) /
                           static_cast<double>(capacity.count());
    result.error_share =
        1 - static_cast<double>(latencies_.size()) / static_cast<double>(sent_);
    result.p99 = Quantile99(latencies_);
    return result;
  }

 private:
  static constexpr std::size_t kEntries = 8;
  static constexpr std::uint32_t kEndless = 1'000'000;
  static constexpr duration kTimeout = std::chrono::seconds(2);

  struct open_call {
    time_point sent_at;
    duration service_time{};
  };

  void Send() {
    const duration work(std::uniform_int_distribution<duration::rep>(
        kMeanInteractiveWork.count() / 2,
        kMeanInteractiveWork.count() * 3 / 2)(random_));
    std::size_t chosen = random_() % targets_.size();
    if (rule_ == baseline_rule::kRoundRobin) {
      std::size_t& next = next_[random_() % kEntries];
      chosen = next++ % targets_.size();
    }
    fake_target& target = *targets_[chosen];
    target_work started{sent_++, request_class::kInteractive, work, kTimeout};
    calls_[started.stream] = {queue_.now(), work};
    if (rule_ == baseline_rule::kNoLimit) {
      const std::uint32_t running = target.running() + 1;
      started.service_time =
          work * std::max(1U, running / std::max(1U, agency_.slots));
    }
    target.Start(started);
  }

  void End(std::uint64_t stream, attempt_outcome end) {
    const open_call call = calls_[stream];
    calls_.erase(stream);
    if (end == attempt_outcome::kDone) {
      latencies_.push_back(queue_.now() - call.sent_at);
      work_ += call.service_time;
    }
  }

  agency agency_;
  baseline_rule rule_;
  std::mt19937_64 random_;
  std::vector<std::size_t> next_;
  fakes::event_queue queue_;
  std::vector<std::unique_ptr<fake_target>> targets_;
  std::unordered_map<std::uint64_t, open_call> calls_;
  std::vector<duration> latencies_;
  std::uint64_t sent_ = 0;
  duration work_{};
};

}  // namespace rosemaryreach::bench

#endif  // ROSEMARYREACH_BENCH_REQUESTS_BASELINE_H_
