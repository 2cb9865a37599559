// Decides how many requests one target bears now: its declared slots, an
// adaptive limit, and a ramp after each cold start.
#ifndef ROSEMARYREACH_CONCURRENCY_LIMIT_H_
#define ROSEMARYREACH_CONCURRENCY_LIMIT_H_

#include <array>
#include <cstdint>
#include <optional>

#include "rosemaryreach/request_types.h"

namespace rosemaryreach {

// Running mean, mean deviation and recent maximum of a latency.
class latency_estimate {
 public:
  void Add(duration latency);

  // Returns whether `latency` is above all that was seen lately; false while
  // there are too few samples.
  bool IsOutlier(duration latency) const;

  // Returns a latency that few requests exceed; zero without samples.
  duration UpperBound() const;
  duration mean() const { return duration(static_cast<long>(mean_us_)); }
  std::uint32_t samples() const { return samples_; }
  // Returns whether there are enough samples for IsOutlier().
  bool ready() const;

 private:
  double mean_us_ = 0;
  double deviation_us_ = 0;
  std::uint32_t samples_ = 0;
  // Maxima of the current window and of the one before.
  duration window_max_{};
  duration previous_max_{};
  std::uint32_t in_window_ = 0;
};

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

  // Returns how many requests may run at once; at least one.
  std::uint32_t Limit(time_point now) const;

  // Returns whether one more may start besides `running`.
  bool Admits(time_point now, std::uint32_t running) const;

  // Returns whether the ramp's rate lets a request start that holds no slot.
  bool WithinStartRate(time_point now) const {
    return now >= next_start_ || WarmFraction(now) >= 1;
  }

  // Returns the requests a second that the ramp allows.
  double StartRate(time_point now) const;

  void OnStart(time_point now);

  // A whole answer came after `latency`; `usual` is what all targets of the
  // service take, for a target with few answers so far. Returns whether it
  // showed that the target may have turned cold, so that the ramp starts again.
  bool OnResponse(time_point now,
                  request_class kind,
                  duration latency,
                  const latency_estimate& service_latency);

  // The target has begun to answer, so it warms up from now on.
  void OnResponseStarted(time_point now);

  // Returns whether an answer of `kind` should have come within `waited`.
  bool IsOverdue(request_class kind,
                 duration waited,
                 const latency_estimate& service_latency) const;

  // The target refused, reset or failed: the ramp starts again.
  void RestartRamp();

  // Returns how far the ramp has come, 0 to 100.
  std::uint32_t WarmPercent(time_point now) const;

  // Goes on from a ramp that another instance had brought to `percent`.
  void ResumeRamp(time_point now, std::uint32_t percent);

  const target_capacity& capacity() const { return capacity_; }

 private:
  double WarmFraction(time_point now) const;

  target_capacity capacity_;
  double adaptive_limit_;
  // By request_class.
  std::array<latency_estimate, 3> latency_;
  std::uint32_t consecutive_slow_responses_ = 0;  // in a row
  // Whether the latency is learned anew, without comparing to other targets.
  bool ignore_service_latency_ = false;
  // Usual answers still wanted before more than one request runs again.
  std::uint32_t recovery_responses_left_ = 0;
  // When the first answer since the cold start came.
  std::optional<time_point> ramp_start_;
  time_point next_start_{};
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CONCURRENCY_LIMIT_H_
