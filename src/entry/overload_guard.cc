#include "rosemaryreach/overload_guard.h"

#include <algorithm>

namespace rosemaryreach {
namespace {

// Weight of a new flow in the shares, which cover some 50 flows.
constexpr double kFlowWeight = 0.02;
// The median moves by this factor with each answer, towards it.
constexpr double kMedianStep = 1.08;
constexpr double kMinMedianS = 0.005;
// Answers after which the usual time is known; those of a start are slow.
constexpr std::uint32_t kMinAnswers = 100;
// The usual time rises by this factor with each answer; it doubles in 1,400.
constexpr double kUsualStep = 1.0005;

}  // namespace

void overload_guard::OnOffered(const std::string& service,
                               const entry_route& route) {
  if (!route.priority) {
    return;
  }
  std::map<std::uint32_t, double>& shares = services_[service].shares;
  for (auto& [priority, share] : shares) {
    share *= 1 - kFlowWeight;
  }
  shares[*route.priority] += kFlowWeight;
}

void overload_guard::OnAnswered(const std::string& service, duration elapsed) {
  service_state& state = services_[service];
  state.answers = std::min(state.answers + 1, kMinAnswers);
  const double seconds = std::chrono::duration<double>(elapsed).count();
  if (state.median_s == 0) {
    state.median_s = std::max(seconds, kMinMedianS);
    state.usual_s = state.median_s;
    return;
  }
  const double step = seconds > state.median_s ? kMedianStep : 1 / kMedianStep;
  state.median_s = std::max(state.median_s * step, kMinMedianS);
  // The first answers lead the median far below its place.
  state.usual_s = state.answers < kMinAnswers
                      ? state.median_s
                      : std::min(state.usual_s * kUsualStep, state.median_s);
}

bool overload_guard::Refuses(const std::string& service,
                             const entry_route& route,
                             double queue) const {
  const auto found = services_.find(service);
  if (found == services_.end() || !route.priority ||
      route.latency_target <= duration::zero()) {
    return false;
  }
  const service_state& state = found->second;
  const auto urgent = std::find_if(
      state.shares.begin(), state.shares.end(),
      [](const auto& kind) { return kind.second > kMinKindShare; });
  if (urgent == state.shares.end() || *route.priority <= urgent->first ||
      state.answers < kMinAnswers) {
    return false;
  }
  const double objective =
      std::chrono::duration<double>(route.latency_target).count();
  const bool late = queue >= kLateQueue && state.median_s >= objective / 2;
  const bool slow =
      queue >= kSlowQueue && state.median_s >= kSlowFactor * state.usual_s;
  return late || slow;
}

}  // namespace rosemaryreach
