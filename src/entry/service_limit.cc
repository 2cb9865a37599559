#include "rosemaryreach/service_limit.h"

#include <algorithm>
#include <cmath>

namespace rosemaryreach {
namespace {

// Requests per slot before the work time is known.
constexpr double kUnknownPerSlot = 3;
// Answers of one window; fewer say little of the median.
constexpr std::size_t kWindowAnswers = 16;
constexpr std::size_t kMaxWindowAnswers = 256;
constexpr duration kWindowTime = std::chrono::seconds(1);
// Windows remembered: an estimate that is too low is forgotten after these.
constexpr std::size_t kWindows = 20;
// Fewer windows of so few answers may all be far too high by chance.
constexpr std::size_t kMinWindows = 3;
// Answers faster than this part of the work time are refusals by targets.
constexpr double kTooFast = 0.1;
// Weight of one answer in moving means.
constexpr double kAnswerWeight = 0.04;
// Mean response times, as a part of the objective, above which the limit is
// lowered and below which it may rise. At a mean of 0.45 some fifth of the
// answers take longer than 0.6 of the objective.
constexpr double kLowerAbove = 0.45;
constexpr double kRaiseBelow = 0.38;
constexpr double kLowerBy = 0.96;
// For means this many times the bound: the limit is far too high.
constexpr double kFarAbove = 1.3;
constexpr double kLowerFarBy = 0.9;
// Weight of one answer in the short mean, which shows the end of an overload
// sooner, and the part of the bound that it must stay below.
constexpr double kShortWeight = 0.2;
constexpr double kShortBelow = 0.7;
constexpr double kRaiseBy = 0.03;
// While the limit is below the room and the last answers were fast.
constexpr double kRaiseFastBy = 0.05;
// Towards the room, while less than kBinding of the limit is used.
constexpr double kReturnBy = 0.1;
// The limit changes only while at least this part of it is used.
constexpr double kBinding = 0.7;
// Times the work time that answers may take in any case, up to this part of
// the objective: requests that take long by themselves are no overload.
constexpr double kWorkAllowance = 1.5;
constexpr double kMaxWorkShare = 0.7;
// Allowance for slower answers, in mean deviations.
constexpr double kDeviations = 1.5;
constexpr duration kMaxFigureAge = std::chrono::seconds(1);
// The number of instances falls by at most a half in some 3.5 s.
constexpr double kCountDecay = 0.98;

double Micros(duration value) {
  return static_cast<double>(value.count());
}

}  // namespace

void service_limit::OnAnswer(duration elapsed) {
  if (Micros(elapsed) < kTooFast * Micros(work_time_)) {
    return;
  }
  const double sample = Micros(elapsed);
  if (mean_us_ == 0) {
    mean_us_ = sample;
    short_mean_us_ = sample;
    deviation_us_ = sample / 2;
  }
  deviation_us_ +=
      kAnswerWeight * (std::abs(sample - mean_us_) - deviation_us_);
  short_mean_us_ += kShortWeight * (sample - short_mean_us_);
  mean_us_ += kAnswerWeight * (sample - mean_us_);
  ++answers_;
  if (window_.size() < kMaxWindowAnswers) {
    window_.push_back(elapsed);
  }
}

void service_limit::CloseWindow(time_point now) {
  if (now - window_began_ < kWindowTime || window_.size() < kWindowAnswers) {
    return;
  }
  const auto middle =
      window_.begin() + static_cast<std::ptrdiff_t>(window_.size() / 2);
  std::nth_element(window_.begin(), middle, window_.end());
  if (medians_.size() < kWindows) {
    medians_.push_back(*middle);
  } else {
    medians_[next_median_] = *middle;
    next_median_ = (next_median_ + 1) % kWindows;
  }
  if (medians_.size() >= kMinWindows) {
    work_time_ = *std::min_element(medians_.begin(), medians_.end());
  }
  window_.clear();
  window_began_ = now;
}

void service_limit::Recompute(const limit_inputs& inputs,
                              double peak,
                              time_point now) {
  CloseWindow(now);
  const double objective = Micros(inputs.objective);
  const double per_slot = work_time_ == duration::zero()
                              ? kUnknownPerSlot
                              : std::clamp(objective / 2 / Micros(work_time_),
                                           kMinPerSlot, kMaxPerSlot);
  room_ = inputs.slots * inputs.share * per_slot;
  Adjust(inputs, peak);
  limit_ = std::max(1.0, room_ * factor_);
}

void service_limit::Adjust(const limit_inputs& inputs, double peak) {
  const double most = inputs.slots * inputs.share * kMaxPerSlot;
  const bool binding = peak >= kBinding * limit_.value_or(room_);
  const double objective = Micros(inputs.objective);
  const double lower_above = std::max(
      kLowerAbove * objective,
      std::min(kWorkAllowance * Micros(work_time_), kMaxWorkShare * objective));
  const double raise_below = lower_above * kRaiseBelow / kLowerAbove;
  // The last answers must be slow, too: a few very slow ones, as after an
  // outage, stay in the mean for seconds when a low limit lets few pass.
  if (answers_ > 0 && mean_us_ > lower_above && short_mean_us_ > raise_below &&
      binding) {
    factor_ *= mean_us_ > kFarAbove * lower_above ? kLowerFarBy : kLowerBy;
  } else if (!binding && factor_ < 1) {
    factor_ = std::min(1.0, factor_ + kReturnBy);
  } else if (binding && factor_ < 1 && short_mean_us_ < raise_below) {
    factor_ = std::min(1.0, factor_ + kRaiseFastBy);
  } else if (binding && (mean_us_ < raise_below ||
                         short_mean_us_ < kShortBelow * raise_below)) {
    factor_ += kRaiseBy;
  }
  answers_ = 0;
  if (room_ > 0) {
    // Neither end may drift away while the floor of 1 or `most` is in force.
    factor_ = std::clamp(factor_, std::min(1.0, 1 / room_), most / room_);
  }
}

duration service_limit::ExpectedResponse() const {
  return duration(std::llround(mean_us_ + kDeviations * deviation_us_));
}

double service_limit::DrainRate() const {
  constexpr double kMicrosPerSecond = 1e6;
  return mean_us_ == 0 || !limit_ ? 0 : *limit_ / mean_us_ * kMicrosPerSecond;
}

std::optional<double> ShareOfCapacity(const shared_service_load& load,
                                      std::uint32_t data_centre,
                                      double capacity_per_s) {
  if (load.age >= kMaxFigureAge || capacity_per_s <= 0) {
    return std::nullopt;
  }
  std::vector<data_centre_demand> claims = load.demand;
  std::erase_if(claims, [](const data_centre_demand& claim) {
    return claim.instances == 0;
  });
  std::sort(claims.begin(), claims.end(),
            [](const data_centre_demand& a, const data_centre_demand& b) {
              return a.offered_per_s < b.offered_per_s;
            });
  double left = capacity_per_s;
  double own = 0;
  std::size_t own_instances = 0;
  for (std::size_t i = 0; i < claims.size(); ++i) {
    const double fair = left / static_cast<double>(claims.size() - i);
    const double given = std::min(fair, claims[i].offered_per_s);
    left -= given;
    if (claims[i].data_centre == data_centre) {
      own = given;
      own_instances = claims[i].instances;
    }
  }
  if (own_instances == 0) {
    return std::nullopt;
  }
  // What no data centre asks for is there for any of them.
  own += left / static_cast<double>(claims.size());
  return own / capacity_per_s / static_cast<double>(own_instances);
}

double instance_count::Update(std::size_t live) {
  count_ = std::max({1.0, static_cast<double>(live), count_ * kCountDecay});
  return count_;
}

}  // namespace rosemaryreach
