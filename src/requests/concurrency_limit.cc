#include "rosemaryreach/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace rosemaryreach {

namespace {

constexpr std::uint32_t kMinSamples = 16;
constexpr std::uint32_t kWindowSamples = 64;
constexpr double kMeanGain = 0.1;
constexpr double kHighDeviations = 4;
constexpr double kStepFactor = 1.15;
// Slow answers in a row that count as a sign of a cold start.
constexpr std::uint32_t kSlowAnswersForSign = 2;
// Usual answers in a row that end a suspicion.
constexpr std::uint32_t kAnswersToClear = 2;
constexpr duration kOverdueWithoutSamples = std::chrono::seconds(1);
constexpr double kDecrease = 0.7;
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

bool latency_estimate::IsStep(duration latency) const {
  const duration longest = std::max(window_max_, previous_max_);
  return ready() && static_cast<double>(latency.count()) >
                        kStepFactor * static_cast<double>(longest.count());
}

bool latency_estimate::ready() const {
  return samples_ >= kMinSamples;
}

duration latency_estimate::High() const {
  return duration(
      static_cast<long>(mean_us_ + kHighDeviations * deviation_us_));
}

void concurrency_limit::Configure(const target_bearing& bearing) {
  adaptive_ += static_cast<double>(bearing.slots) - bearing_.slots;
  adaptive_ = std::clamp<double>(adaptive_, 1, std::max(1U, bearing.slots));
  bearing_ = bearing;
}

std::uint32_t concurrency_limit::Limit(time_point now) const {
  if (wanted_answers_ > 0) {
    return 1;
  }
  const double above_one = bearing_.slots - 1.0;
  const double ramp = 1 + std::floor(above_one * Warmth(now));
  const double limit = std::min(ramp, std::floor(adaptive_));
  return static_cast<std::uint32_t>(std::max(1.0, limit));
}

bool concurrency_limit::Admits(time_point now, std::uint32_t running) const {
  return running < Limit(now) && AdmitsStart(now);
}

double concurrency_limit::StartRate(time_point now) const {
  const double cold = std::max(1U, bearing_.cold_rate_per_s);
  const double lacks = 1 - Warmth(now);
  return lacks * kMaxRateFactor <= 1 ? cold * kMaxRateFactor : cold / lacks;
}

void concurrency_limit::OnStart(time_point now) {
  if (Warmth(now) >= 1) {
    next_start_ = now;
    return;
  }
  const duration interval(
      static_cast<long>(std::ceil(kMicrosecondsPerSecond / StartRate(now))));
  next_start_ = std::max(now, next_start_) + interval;
}

bool concurrency_limit::OnAnswer(time_point now,
                                 request_class kind,
                                 duration latency,
                                 const latency_estimate& usual) {
  OnAnswerBegun(now);
  if (kind == request_class::kWatch) {
    return false;
  }
  latency_estimate& estimate = latency_[static_cast<std::size_t>(kind)];
  const bool own = estimate.ready() || relearns_;
  const latency_estimate& known = own ? estimate : usual;
  if (!known.IsStep(latency)) {
    slow_answers_ = 0;
    wanted_answers_ -= std::min(wanted_answers_, 1U);
    estimate.Add(latency);
    adaptive_ = std::min<double>(bearing_.slots, adaptive_ + 1 / adaptive_);
    return false;
  }
  wanted_answers_ = kAnswersToClear;
  adaptive_ = std::max(1.0, adaptive_ * kDecrease);
  if (++slow_answers_ < kSlowAnswersForSign) {
    return false;
  }
  OnSign();
  estimate = latency_estimate();
  relearns_ = true;
  return true;
}

void concurrency_limit::OnAnswerBegun(time_point now) {
  if (!ramp_start_) {
    ramp_start_ = now;
  }
}

bool concurrency_limit::IsOverdue(request_class kind,
                                  duration waited,
                                  const latency_estimate& usual) const {
  const latency_estimate& own = latency_[static_cast<std::size_t>(kind)];
  const latency_estimate& known = own.ready() ? own : usual;
  return known.ready() ? known.IsStep(waited)
                       : waited >= kOverdueWithoutSamples;
}

void concurrency_limit::OnSign() {
  slow_answers_ = 0;
  wanted_answers_ = 0;
  ramp_start_.reset();
  adaptive_ = 1;
}

std::uint32_t concurrency_limit::WarmPercent(time_point now) const {
  return static_cast<std::uint32_t>(std::lround(100 * Warmth(now)));
}

void concurrency_limit::ResumeRamp(time_point now, std::uint32_t percent) {
  if (percent == 0) {
    OnSign();
    return;
  }
  ramp_start_ = now - bearing_.warmup * std::min(percent, 100U) / 100;
  adaptive_ = bearing_.slots;
}

double concurrency_limit::Warmth(time_point now) const {
  if (!ramp_start_) {
    return 0;
  }
  if (bearing_.warmup <= duration::zero()) {
    return 1;
  }
  const double passed = static_cast<double>((now - *ramp_start_).count());
  return std::clamp(passed / static_cast<double>(bearing_.warmup.count()), 0.0,
                    1.0);
}

}  // namespace rosemaryreach
