// Bounds on how often an instance calls the platform: a budget of reads and a
// backoff after failures. Pure: time and seed are passed in.
#ifndef ROSEMARYREACH_ADAPTERS_PLATFORM_BUDGET_H_
#define ROSEMARYREACH_ADAPTERS_PLATFORM_BUDGET_H_

#include <algorithm>
#include <cstdint>
#include <random>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

// A token bucket that holds one minute's reads at most.
class read_budget {
 public:
  explicit read_budget(std::uint32_t reads_per_minute)
      : per_minute_(reads_per_minute), tokens_(reads_per_minute) {}

  // Takes one read; returns false if none is left.
  bool Take(time_point now) {
    const std::chrono::duration<double, std::ratio<60>> passed = now - last_;
    last_ = now;
    tokens_ = std::min(per_minute_,
                       tokens_ + std::max(0.0, passed.count()) * per_minute_);
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  double per_minute_;
  double tokens_;
  time_point last_{};
};

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

#endif  // ROSEMARYREACH_ADAPTERS_PLATFORM_BUDGET_H_
