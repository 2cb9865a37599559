// Holds back targets that probes reach and flows don't: a host of another
// service at an old address, a full target, a way that is cut one way only.
#ifndef ROSEMARYREACH_DOUBT_HISTORY_H_
#define ROSEMARYREACH_DOUBT_HISTORY_H_

#include <algorithm>
#include <cstdint>
#include <map>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

// A doubt this soon after a probe ended the last one means that the probe
// told nothing of flows.
inline constexpr duration kRelapseTime = std::chrono::seconds(3);
// The first relapse holds a target back this long; each further one doubles
// it. A flow that meets it costs its caller 200 ms.
inline constexpr duration kFirstHold = std::chrono::milliseconds(500);
inline constexpr duration kLongestHold = std::chrono::seconds(8);

class doubt_history {
 public:
  // Notes that the target `cookie` is doubted; returns how long it must stay
  // so whatever probes say.
  duration OnDoubt(std::uint32_t cookie, time_point now) {
    std::erase_if(records_, [now](const auto& one) {
      return now - one.second.trusted >= kRelapseTime + kLongestHold;
    });
    const auto found = records_.find(cookie);
    if (found == records_.end() ||
        now - found->second.trusted >= kRelapseTime) {
      return duration(0);
    }
    const duration hold =
        found->second.hold == duration(0) ? kFirstHold : found->second.hold * 2;
    found->second.hold = std::min(hold, kLongestHold);
    return found->second.hold;
  }

  // Notes that a probe ended the doubt.
  void OnTrust(std::uint32_t cookie, time_point now) {
    records_[cookie].trusted = now;
  }

 private:
  struct record {
    time_point trusted{};
    duration hold{};
  };

  std::map<std::uint32_t, record> records_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_DOUBT_HISTORY_H_
