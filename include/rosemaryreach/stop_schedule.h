// Decides when an instance that was asked to stop ends.
#ifndef ROSEMARYREACH_STOP_SCHEDULE_H_
#define ROSEMARYREACH_STOP_SCHEDULE_H_

#include <cstdint>
#include <deque>
#include <utility>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

// Routers stop sending to an instance after two failed readiness probes, 500 ms
// apart.
inline constexpr duration kRouterRemovalTime = std::chrono::milliseconds(2'000);
// After this time without a packet, none is in flight.
inline constexpr duration kQuietPeriod = std::chrono::milliseconds(1'200);
// The process ends this long before its grace period does in any case: 250 ms
// for the log and the last packets, 100 ms until the next tick, and the rest
// for a short wait for the processor.
inline constexpr duration kKillMargin = std::chrono::milliseconds(700);
// Timers that were late in this time, more than a whole stop, may be late
// again.
inline constexpr duration kLatenessMemory = std::chrono::seconds(10);

enum class stop_verdict : std::uint8_t { kServe, kQuiet, kGraceNearlyOver };

class stop_schedule {
 public:
  // Records that a timer fired this late.
  void OnTimer(duration late, time_point now);

  // Records the signal, read at `now`. It may have been sent at any time since
  // `last_tick`, for which the process may have waited for the processor.
  void Begin(time_point last_tick, time_point now);

  // Returns whether to end now; the grace period counts from the signal.
  stop_verdict Check(duration grace_period,
                     time_point last_packet,
                     time_point now) const;

 private:
  duration RecentLateness(time_point now) const;

  std::deque<std::pair<time_point, duration>> late_;  // falling lateness
  time_point sent_{};  // earliest time at which the signal was sent
  time_point read_{};
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_STOP_SCHEDULE_H_
