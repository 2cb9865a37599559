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
  bool IsStep(duration latency) const;

  // Returns a latency that few requests exceed; zero without samples.
  duration High() const;
  duration mean() const { return duration(static_cast<long>(mean_us_)); }
  std::uint32_t samples() const { return samples_; }
  // Returns whether there are enough samples for IsStep().
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

struct target_bearing {
  std::uint32_t slots = 1;
  std::uint32_t cold_rate_per_s = 10;
  duration warmup = std::chrono::seconds(30);
};

// The limit of one target. Starts cold.
class concurrency_limit {
 public:
  explicit concurrency_limit(const target_bearing& bearing)
      : bearing_(bearing), adaptive_(bearing.slots) {}

  void Configure(const target_bearing& bearing);

  // Returns how many requests may run at once; at least one.
  std::uint32_t Limit(time_point now) const;

  // Returns whether one more may start besides `running`.
  bool Admits(time_point now, std::uint32_t running) const;

  // Returns whether the ramp's rate lets a request start that holds no slot.
  bool AdmitsStart(time_point now) const {
    return now >= next_start_ || Warmth(now) >= 1;
  }

  // Returns the requests a second that the ramp allows.
  double StartRate(time_point now) const;

  void OnStart(time_point now);

  // A whole answer came after `latency`; `usual` is what all targets of the
  // service take, for a target with few answers so far. Returns whether it
  // showed that the target may have turned cold, so that the ramp starts again.
  bool OnAnswer(time_point now,
                request_class kind,
                duration latency,
                const latency_estimate& usual);

  // The target has begun to answer, so it warms up from now on.
  void OnAnswerBegun(time_point now);

  // Returns whether an answer of `kind` should have come within `waited`.
  bool IsOverdue(request_class kind,
                 duration waited,
                 const latency_estimate& usual) const;

  // The target refused, reset or failed: the ramp starts again.
  void OnSign();

  // Returns how far the ramp has come, 0 to 100.
  std::uint32_t WarmPercent(time_point now) const;

  // Goes on from a ramp that another instance had brought to `percent`.
  void ResumeRamp(time_point now, std::uint32_t percent);

  const target_bearing& bearing() const { return bearing_; }

 private:
  double Warmth(time_point now) const;

  target_bearing bearing_;
  double adaptive_;
  // By request_class.
  std::array<latency_estimate, 3> latency_;
  std::uint32_t slow_answers_ = 0;  // in a row
  // Whether the latency is learned anew, without comparing to other targets.
  bool relearns_ = false;
  // Usual answers still wanted before more than one request runs again.
  std::uint32_t wanted_answers_ = 0;
  // When the first answer since the cold start came.
  std::optional<time_point> ramp_start_;
  time_point next_start_{};
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CONCURRENCY_LIMIT_H_
