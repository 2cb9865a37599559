// Judges a target from probes and signs of its traffic.
#ifndef ROSEMARYREACH_TARGET_HEALTH_H_
#define ROSEMARYREACH_TARGET_HEALTH_H_

#include <cstdint>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

enum class target_condition : std::uint8_t {
  kHealthy,
  kCold,       // ramps up from its cold rate
  kUnhealthy,  // no new flows; open ones stay
  kDead,       // no new flows; open ones are known to be gone
};

// Returns the stable name of `condition`, as logs show it.
const char* TargetConditionName(target_condition condition);

// One answer, or the lack of one, to a health probe.
enum class probe_result : std::uint8_t { kOk, kCold, kRefused, kTimeout };

// Follows the probes of one target.
class target_health {
 public:
  // Takes the result of a probe that took `latency`. Returns whether the
  // condition changed or, for a target that is cold, turned cold anew.
  bool OnProbe(probe_result result, duration latency);

  target_condition condition() const { return condition_; }

 private:
  bool SetCondition(target_condition condition);

  target_condition condition_ = target_condition::kHealthy;
  int failures_ = 0;
  int refusals_ = 0;
  bool last_probe_cold_ = false;
  double average_latency_us_ = 0;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TARGET_HEALTH_H_
