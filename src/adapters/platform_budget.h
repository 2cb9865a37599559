// Rate limit for reads from the platform. The caller passes in the time.
#ifndef ROSEMARYREACH_ADAPTERS_PLATFORM_BUDGET_H_
#define ROSEMARYREACH_ADAPTERS_PLATFORM_BUDGET_H_

#include <algorithm>
#include <cstdint>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

// Token bucket whose capacity is the number of reads allowed per minute.
class read_rate_limiter {
 public:
  explicit read_rate_limiter(std::uint32_t reads_per_minute)
      : per_minute_(reads_per_minute), tokens_(reads_per_minute) {}

  // Consumes one token; returns false if none is available.
  bool TryAcquire(time_point now) {
    const std::chrono::duration<double, std::ratio<60>> elapsed = now - last_;
    last_ = now;
    tokens_ = std::min(per_minute_,
                       tokens_ + std::max(0.0, elapsed.count()) * per_minute_);
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
