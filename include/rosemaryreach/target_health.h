// Determines the condition of a target from health probes.
#ifndef ROSEMARYREACH_TARGET_HEALTH_H_
#define ROSEMARYREACH_TARGET_HEALTH_H_

#include <cstdint>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

enum class target_condition : std::uint8_t {
  kHealthy,
  kCold,       // new flows ramp up from its cold rate
  kUnhealthy,  // no new flows; open flows stay
  kDead,       // no new flows; open flows have ended
};

// Returns the stable name of `condition` used in logs.
const char* TargetConditionName(target_condition condition);

// Result of one health probe.
enum class probe_result : std::uint8_t { kOk, kCold, kRefused, kTimeout };

// Tracks the probes of one target.
class target_health {
 public:
  // Records the result of a probe that took `latency`. Returns whether the
  // condition changed, or the target is cold and became cold again.
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
