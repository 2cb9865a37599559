#include "rosemaryreach/stop_schedule.h"

#include <algorithm>

namespace rosemaryreach {

void stop_schedule::OnTimer(duration late, time_point now) {
  while (!late_.empty() && late_.back().second <= late) {
    late_.pop_back();
  }
  if (late > duration::zero()) {
    late_.emplace_back(now, late);
  }
  while (!late_.empty() && now - late_.front().first > kLatenessMemory) {
    late_.pop_front();
  }
}

void stop_schedule::Begin(time_point last_tick, time_point now) {
  sent_ = std::min(last_tick, now);
  read_ = now;
}

stop_verdict stop_schedule::Check(duration grace_period,
                                  time_point last_packet,
                                  time_point now) const {
  if (now - read_ >= kRouterRemovalTime && now - last_packet >= kQuietPeriod) {
    return stop_verdict::kQuiet;
  }
  // No more than the time left after routers have moved the callers is given
  // up, however late timers were.
  const duration longest =
      std::max(kKillMargin, grace_period - kRouterRemovalTime);
  const duration margin = std::min(kKillMargin + RecentLateness(now), longest);
  return now - sent_ >= grace_period - margin ? stop_verdict::kGraceNearlyOver
                                              : stop_verdict::kServe;
}

duration stop_schedule::RecentLateness(time_point now) const {
  const auto recent =
      std::find_if(late_.begin(), late_.end(), [now](const auto& entry) {
        return now - entry.first <= kLatenessMemory;
      });
  return recent == late_.end() ? duration(0) : recent->second;
}

}  // namespace rosemaryreach
