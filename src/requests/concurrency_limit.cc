#include "rosemaryreach/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace rosemaryreach {

namespace {

constexpr std::uint32_t kMinSamples = 16;
constexpr std::uint32_t kWindowSamples = 64;
constexpr double kMeanGain = 0.1;
constexpr double kUpperBoundDeviations = 4;
constexpr double kOutlierFactor = 1.15;
// Consecutive slow responses that indicate a cold start.
constexpr std::uint32_t kSlowResponsesForRestart = 2;
// Consecutive responses of normal latency that lift the limit of one.
constexpr std::uint32_t kResponsesToRecover = 2;
constexpr duration kOverdueWithoutSamples = std::chrono::seconds(1);
constexpr double kDecreaseFactor = 0.7;
constexpr double kMaxRateFactor = 1'000;
constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

void latency_estimate::Add(duration latency) {
  const double value = static_cast<double>(latency.count());
  if (samples_ == 0) {
    mean_us_ = value;
    deviation_us_ = value / 2;
  } else {
    const double error = value - mean_us_;
    mean_us_ += kMeanGain * error;
    deviation_us_ += kMeanGain * (std::abs(error) - deviation_us_);
  }
  samples_ = std::min(samples_ + 1, kMinSamples);
  window_max_ = std::max(window_max_, latency);
  if (++in_window_ >= kWindowSamples) {
    previous_max_ = window_max_;
    window_max_ = duration::zero();
    in_window_ = 0;
  }
}

bool latency_estimate::IsOutlier(duration latency) const {
  const duration recent_max = std::max(window_max_, previous_max_);
  return ready() &&
         static_cast<double>(latency.count()) >
             kOutlierFactor * static_cast<double>(recent_max.count());
}

bool latency_estimate::ready() const {
  return samples_ >= kMinSamples;
}

duration latency_estimate::UpperBound() const {
  return duration(
      static_cast<long>(mean_us_ + kUpperBoundDeviations * deviation_us_));
}

void concurrency_limit::Configure(const target_capacity& capacity) {
  adaptive_limit_ += static_cast<double>(capacity.slots) - capacity_.slots;
  adaptive_limit_ =
      std::clamp<double>(adaptive_limit_, 1, std::max(1U, capacity.slots));
  capacity_ = capacity;
}

std::uint32_t concurrency_limit::Limit(time_point now) const {
  if (recovery_responses_left_ > 0) {
    return 1;
  }
  const double above_one = capacity_.slots - 1.0;
  const double ramp = 1 + std::floor(above_one * WarmFraction(now));
  const double limit = std::min(ramp, std::floor(adaptive_limit_));
  return static_cast<std::uint32_t>(std::max(1.0, limit));
}

bool concurrency_limit::Admits(time_point now, std::uint32_t running) const {
  return running < Limit(now) && WithinStartRate(now);
}

double concurrency_limit::StartRate(time_point now) const {
  const double cold = std::max(1U, capacity_.cold_rate_per_s);
  const double cold_fraction = 1 - WarmFraction(now);
  return cold_fraction * kMaxRateFactor <= 1 ? cold * kMaxRateFactor
                                             : cold / cold_fraction;
}

void concurrency_limit::OnStart(time_point now) {
  if (WarmFraction(now) >= 1) {
    next_start_ = now;
    return;
  }
  const duration interval(
      static_cast<long>(std::ceil(kMicrosecondsPerSecond / StartRate(now))));
  next_start_ = std::max(now, next_start_) + interval;
}

bool concurrency_limit::OnResponse(time_point now,
                                   request_class kind,
                                   duration latency,
                                   const latency_estimate& service_latency) {
  OnResponseStarted(now);
  if (kind == request_class::kWatch) {
    return false;
  }
  latency_estimate& estimate = latency_[static_cast<std::size_t>(kind)];
  const bool own = estimate.ready() || ignore_service_latency_;
  const latency_estimate& baseline = own ? estimate : service_latency;
  if (!baseline.IsOutlier(latency)) {
    consecutive_slow_responses_ = 0;
    recovery_responses_left_ -= std::min(recovery_responses_left_, 1U);
    estimate.Add(latency);
    adaptive_limit_ = std::min<double>(capacity_.slots,
                                       adaptive_limit_ + 1 / adaptive_limit_);
    return false;
  }
  recovery_responses_left_ = kResponsesToRecover;
  adaptive_limit_ = std::max(1.0, adaptive_limit_ * kDecreaseFactor);
  if (++consecutive_slow_responses_ < kSlowResponsesForRestart) {
    return false;
  }
  RestartRamp();
  estimate = latency_estimate();
  ignore_service_latency_ = true;
  return true;
}

void concurrency_limit::OnResponseStarted(time_point now) {
  if (!ramp_start_) {
    ramp_start_ = now;
  }
}

bool concurrency_limit::IsOverdue(
    request_class kind,
    duration waited,
    const latency_estimate& service_latency) const {
  const latency_estimate& own = latency_[static_cast<std::size_t>(kind)];
  const latency_estimate& baseline = own.ready() ? own : service_latency;
  return baseline.ready() ? baseline.IsOutlier(waited)
                          : waited >= kOverdueWithoutSamples;
}

void concurrency_limit::RestartRamp() {
  consecutive_slow_responses_ = 0;
  recovery_responses_left_ = 0;
  ramp_start_.reset();
  adaptive_limit_ = 1;
}

std::uint32_t concurrency_limit::WarmPercent(time_point now) const {
  return static_cast<std::uint32_t>(std::lround(100 * WarmFraction(now)));
}

void concurrency_limit::ResumeRamp(time_point now, std::uint32_t percent) {
  if (percent == 0) {
    RestartRamp();
    return;
  }
  ramp_start_ = now - capacity_.warmup * std::min(percent, 100U) / 100;
  adaptive_limit_ = capacity_.slots;
}

double concurrency_limit::WarmFraction(time_point now) const {
  if (!ramp_start_) {
    return 0;
  }
  if (capacity_.warmup <= duration::zero()) {
    return 1;
  }
  const double passed = static_cast<double>((now - *ramp_start_).count());
  return std::clamp(passed / static_cast<double>(capacity_.warmup.count()), 0.0,
                    1.0);
}

}  // namespace rosemaryreach
