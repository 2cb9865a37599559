// Limits the concurrent requests to one target by its declared slots, an
// adaptive limit, and a ramp-up after each cold start.
#ifndef ROSEMARYREACH_CONCURRENCY_LIMIT_H_
#define ROSEMARYREACH_CONCURRENCY_LIMIT_H_

#include <array>
#include <cstdint>
#include <optional>

#include "rosemaryreach/request_types.h"

namespace rosemaryreach {

// Moving average, mean deviation and recent maximum of a latency.
class latency_estimate {
 public:
  void Add(duration latency);

  // Returns whether `latency` clearly exceeds the recent maximum; false without
  // enough samples.
  bool IsOutlier(duration latency) const;

  // Returns the mean plus a multiple of the mean deviation, which few requests
  // exceed; zero without samples.
  duration UpperBound() const;
  duration mean() const { return duration(static_cast<long>(mean_us_)); }
  std::uint32_t samples() const { return samples_; }
  // Returns whether there are enough samples for IsOutlier().
  bool ready() const;

 private:
  double mean_us_ = 0;
  double deviation_us_ = 0;
  std::uint32_t samples_ = 0;
  // Maxima of the current and the previous window.
  duration window_max_{};
  duration previous_max_{};
  std::uint32_t in_window_ = 0;
};

// Declared limits of a target; the rate and warm-up apply after a cold start.
struct target_capacity {
  std::uint32_t slots = 1;
  std::uint32_t cold_rate_per_s = 10;
  duration warmup = std::chrono::seconds(30);
};

// The limit of one target. Starts cold.
class concurrency_limit {
 public:
  explicit concurrency_limit(const target_capacity& capacity)
      : capacity_(capacity), adaptive_limit_(capacity.slots) {}

  void Configure(const target_capacity& capacity);

  // Returns how many requests may run concurrently; at least one.
  std::uint32_t Limit(time_point now) const;

  // Returns whether one more request may start while `running` are running.
  bool Admits(time_point now, std::uint32_t running) const;

  // Returns whether the ramp's rate permits a start now, whatever the number of
  // running requests.
  bool WithinStartRate(time_point now) const {
    return now >= next_start_ || WarmFraction(now) >= 1;
  }

  // Returns the starts per second that the ramp permits.
  double StartRate(time_point now) const;

  void OnStart(time_point now);

  // Records a complete response after `latency`. `service_latency`, over all
  // targets of the service, is the baseline of a target with too few samples.
  // Returns whether the target seems cold again, which restarts the ramp.
  bool OnResponse(time_point now,
                  request_class kind,
                  duration latency,
                  const latency_estimate& service_latency);

  // Starts the warm-up, if it has not: the target sent response headers.
  void OnResponseStarted(time_point now);

  // Returns whether a response of `kind` should have arrived within `waited`.
  bool IsOverdue(request_class kind,
                 duration waited,
                 const latency_estimate& service_latency) const;

  // Treats the target as cold, for example after it refused a request, reset a
  // stream or failed.
  void RestartRamp();

  // Returns the progress of the ramp in percent, 0 to 100.
  std::uint32_t WarmPercent(time_point now) const;

  // Continues the ramp at `percent`, as reported by the previous owner; 0
  // restarts it.
  void ResumeRamp(time_point now, std::uint32_t percent);

  const target_capacity& capacity() const { return capacity_; }

 private:
  double WarmFraction(time_point now) const;

  target_capacity capacity_;
  double adaptive_limit_;
  // By request_class.
  std::array<latency_estimate, 3> latency_;
  std::uint32_t consecutive_slow_responses_ = 0;
  // Whether the target's own latency is the only baseline, also with few
  // samples.
  bool ignore_service_latency_ = false;
  // Responses of normal latency still needed before the limit may exceed one.
  std::uint32_t recovery_responses_left_ = 0;
  // Time of the first response since the cold start.
  std::optional<time_point> ramp_start_;
  time_point next_start_{};
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CONCURRENCY_LIMIT_H_
