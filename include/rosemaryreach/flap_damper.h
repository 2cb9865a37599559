// Holds back targets that probes reach and flows don't: a host of another
// service at an old address, a full target, a way that is cut one way only.
#ifndef ROSEMARYREACH_FLAP_DAMPER_H_
#define ROSEMARYREACH_FLAP_DAMPER_H_

#include <algorithm>
#include <cstdint>
#include <map>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

// A doubt this soon after a probe ended the last one means that the probe
// told nothing of flows.
inline constexpr duration kFlapWindow = std::chrono::seconds(3);
// The first relapse holds a target back this long; each further one doubles
// it. A flow that meets it costs its caller 200 ms.
inline constexpr duration kInitialHold = std::chrono::milliseconds(500);
inline constexpr duration kMaxHold = std::chrono::seconds(8);

class flap_damper {
 public:
  // Notes that the target `cookie` is doubted; returns how long it must stay
  // so whatever probes say.
  duration OnSuspected(std::uint32_t cookie, time_point now) {
    std::erase_if(records_, [now](const auto& one) {
      return now - one.second.recovered >= kFlapWindow + kMaxHold;
    });
    const auto found = records_.find(cookie);
    if (found == records_.end() ||
        now - found->second.recovered >= kFlapWindow) {
      return duration(0);
    }
    const duration hold = found->second.hold == duration(0)
                              ? kInitialHold
                              : found->second.hold * 2;
    found->second.hold = std::min(hold, kMaxHold);
    return found->second.hold;
  }

  // Notes that a probe ended the doubt.
  void OnRecovered(std::uint32_t cookie, time_point now) {
    records_[cookie].recovered = now;
  }

 private:
  struct record {
    time_point recovered{};
    duration hold{};
  };

  std::map<std::uint32_t, record> records_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_FLAP_DAMPER_H_
