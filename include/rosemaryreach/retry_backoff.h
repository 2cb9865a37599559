// When to try again after failures. Pure: time and seed are passed in.
#ifndef ROSEMARYREACH_RETRY_BACKOFF_H_
#define ROSEMARYREACH_RETRY_BACKOFF_H_

#include <algorithm>
#include <cstdint>
#include <random>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

// Exponential backoff with full jitter.
class retry_backoff {
 public:
  retry_backoff(duration first, duration highest, std::uint64_t seed)
      : first_(first), highest_(highest), random_(seed) {}

  // Notes a failure; the next attempt waits.
  void Fail(time_point now) {
    limit_ =
        limit_ == duration::zero() ? first_ : std::min(highest_, limit_ * 2);
    std::uniform_int_distribution<duration::rep> jitter(limit_.count() / 2,
                                                        limit_.count());
    next_ = now + duration(jitter(random_));
  }

  // Notes an answer; the next attempt may start at once.
  void Succeed() {
    limit_ = duration::zero();
    next_ = {};
  }

  // Returns whether an attempt may start.
  bool Ready(time_point now) const { return now >= next_; }

  // Returns when the next attempt may start.
  time_point next() const { return next_; }

 private:
  duration first_;
  duration highest_;
  duration limit_{};
  time_point next_{};
  std::mt19937_64 random_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_RETRY_BACKOFF_H_
