// Flap damping for targets that probes reach and flows don't, such as a host of
// another service at a reused address, a full target or a one-way path failure.
#ifndef ROSEMARYREACH_FLAP_DAMPER_H_
#define ROSEMARYREACH_FLAP_DAMPER_H_

#include <algorithm>
#include <cstdint>
#include <map>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

// A target suspected again this soon after a probe cleared it is flapping: the
// probe did not show whether the target serves flows.
inline constexpr duration kFlapWindow = std::chrono::seconds(3);
// Hold time after the first flap; each further one doubles it. A flow sent to
// such a target costs its caller 200 ms.
inline constexpr duration kInitialHold = std::chrono::milliseconds(500);
inline constexpr duration kMaxHold = std::chrono::seconds(8);

class flap_damper {
 public:
  // Records that the target `cookie` is suspected. Returns how long it must
  // stay suspected, whatever the result of probes.
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

  // Records that a probe cleared the suspicion.
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
