#include "rosemaryreach/target_health.h"

#include <algorithm>

namespace rosemaryreach {
namespace {

constexpr int kUnhealthyFailures = 3;
constexpr int kDeadRefusals = 3;
// A probe that takes this many times as long as usual is a cold sign.
constexpr double kLatencyStep = 4.0;
constexpr double kLatencyWeight = 0.1;
constexpr duration kMinStepLatency = std::chrono::milliseconds(20);

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

bool target_health::Become(target_condition condition) {
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
      return Become(target_condition::kDead);
    }
    if (failures_ >= kUnhealthyFailures) {
      return Become(target_condition::kUnhealthy);
    }
    return false;
  }
  const bool refused_before = refusals_ > 0;
  const bool away = condition_ == target_condition::kUnhealthy ||
                    condition_ == target_condition::kDead;
  failures_ = 0;
  refusals_ = 0;
  const double sample = static_cast<double>(latency.count());
  const bool step = usual_latency_us_ > 0 && latency >= kMinStepLatency &&
                    sample > kLatencyStep * usual_latency_us_;
  usual_latency_us_ =
      usual_latency_us_ == 0
          ? sample
          : usual_latency_us_ + kLatencyWeight * (sample - usual_latency_us_);
  const bool cold =
      result == probe_result::kCold || step || refused_before || away;
  const bool cold_before = cold_seen_;
  cold_seen_ = result == probe_result::kCold || step;
  if (cold) {
    const bool changed = Become(target_condition::kCold);
    // A target that says "cold" in each probe is one ramp, not many.
    return changed || !cold_before;
  }
  return Become(target_condition::kHealthy);
}

}  // namespace rosemaryreach
