// Delays of retries after failures. Time and seed are passed in.
#ifndef ROSEMARYREACH_RETRY_BACKOFF_H_
#define ROSEMARYREACH_RETRY_BACKOFF_H_

#include <algorithm>
#include <cstdint>
#include <random>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

// Exponential backoff with equal jitter: each delay is between half its bound
// and the bound.
class retry_backoff {
 public:
  retry_backoff(duration initial, duration maximum, std::uint64_t seed)
      : initial_(initial), maximum_(maximum), random_(seed) {}

  // Records a failure, which delays the next attempt.
  void OnFailure(time_point now) {
    delay_bound_ = delay_bound_ == duration::zero()
                       ? initial_
                       : std::min(maximum_, delay_bound_ * 2);
    std::uniform_int_distribution<duration::rep> jitter(
        delay_bound_.count() / 2, delay_bound_.count());
    next_attempt_ = now + duration(jitter(random_));
  }

  // Records a success; the next attempt may start at once.
  void OnSuccess() {
    delay_bound_ = duration::zero();
    next_attempt_ = {};
  }

  // Returns whether an attempt may start.
  bool Ready(time_point now) const { return now >= next_attempt_; }

  // Returns when the next attempt may start.
  time_point next_attempt() const { return next_attempt_; }

 private:
  duration initial_;
  duration maximum_;
  duration delay_bound_{};
  time_point next_attempt_{};
  std::mt19937_64 random_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_RETRY_BACKOFF_H_
