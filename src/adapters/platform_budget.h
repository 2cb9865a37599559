// A budget of reads of the platform. Pure: the time is passed in.
#ifndef ROSEMARYREACH_ADAPTERS_PLATFORM_BUDGET_H_
#define ROSEMARYREACH_ADAPTERS_PLATFORM_BUDGET_H_

#include <algorithm>
#include <cstdint>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

// A token bucket that holds one minute's reads at most.
class read_rate_limiter {
 public:
  explicit read_rate_limiter(std::uint32_t reads_per_minute)
      : per_minute_(reads_per_minute), tokens_(reads_per_minute) {}

  // Takes one read; returns false if none is left.
  bool TryAcquire(time_point now) {
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

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_PLATFORM_BUDGET_H_
