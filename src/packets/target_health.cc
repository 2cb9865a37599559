#include "rosemaryreach/target_health.h"

#include <algorithm>

namespace rosemaryreach {
namespace {

constexpr int kUnhealthyFailures = 3;
constexpr int kDeadRefusals = 3;
// A probe that takes this many times the average latency means a cold target.
constexpr double kLatencyJumpFactor = 4.0;
constexpr double kLatencySmoothing = 0.1;
constexpr duration kMinJumpLatency = std::chrono::milliseconds(20);

}  // namespace

const char* TargetConditionName(target_condition condition) {
  switch (condition) {
    case target_condition::kHealthy:
      return "healthy";
    case target_condition::kCold:
      return "cold";
    case target_condition::kUnhealthy:
      return "unhealthy";
    case target_condition::kDead:
      return "dead";
  }
  return "unknown";
}

bool target_health::SetCondition(target_condition condition) {
  if (condition_ == condition) {
    return false;
  }
  condition_ = condition;
  return true;
}

bool target_health::OnProbe(probe_result result, duration latency) {
  if (result == probe_result::kTimeout || result == probe_result::kRefused) {
    ++failures_;
    refusals_ = result == probe_result::kRefused ? refusals_ + 1 : 0;
    if (refusals_ >= kDeadRefusals) {
      return SetCondition(target_condition::kDead);
    }
    if (failures_ >= kUnhealthyFailures) {
      return SetCondition(target_condition::kUnhealthy);
    }
    return false;
  }
  const bool was_refused = refusals_ > 0;
  const bool was_down = condition_ == target_condition::kUnhealthy ||
                        condition_ == target_condition::kDead;
  failures_ = 0;
  refusals_ = 0;
  const double sample = static_cast<double>(latency.count());
  const bool latency_jump = average_latency_us_ > 0 &&
                            latency >= kMinJumpLatency &&
                            sample > kLatencyJumpFactor * average_latency_us_;
  average_latency_us_ =
      average_latency_us_ == 0
          ? sample
          : average_latency_us_ +
                kLatencySmoothing * (sample - average_latency_us_);
  const bool cold =
      result == probe_result::kCold || latency_jump || was_refused || was_down;
  const bool was_cold_probe = last_probe_cold_;
  last_probe_cold_ = result == probe_result::kCold || latency_jump;
  if (cold) {
    const bool changed = SetCondition(target_condition::kCold);
    // A target that answers "cold" to each probe has one ramp, not many.
    return changed || !was_cold_probe;
  }
  return SetCondition(target_condition::kHealthy);
}

}  // namespace rosemaryreach
