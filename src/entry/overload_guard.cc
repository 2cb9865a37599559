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
// Weight of an answer in the share of fast ones, which covers some 200.
constexpr double kAnswerWeight = 0.005;

}  // namespace

double service_load_estimate::Queue() const {
  double queue = 0;
  for (const data_centre& one : data_centres) {
    queue += one.queue;
  }
  return queue;
}

double service_load_estimate::LeastQueue() const {
  return data_centres.empty()
             ? 0
             : Queue() / static_cast<double>(data_centres.size());
}

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

void overload_guard::OnAnswered(const std::string& service,
                                const std::string& data_centre,
                                duration elapsed,
                                time_point now) {
  service_state& state = services_[service];
  state.answers = std::min(state.answers + 1, kMinAnswers);
  const double seconds = std::chrono::duration<double>(elapsed).count();
  answer_times& there = state.data_centres[data_centre];
  there.seconds.at(there.next) = seconds;
  there.at.at(there.next) = now;
  there.next = (there.next + 1) % answer_times::kKept;
  if (state.median_s == 0) {
    state.median_s = std::max(seconds, kMinMedianS);
    state.usual_s = state.median_s;
    return;
  }
  if (state.queues) {
    return;  // Rejections would make the usual time too short.
  }
  const double step = seconds > state.median_s ? kMedianStep : 1 / kMedianStep;
  state.median_s = std::max(state.median_s * step, kMinMedianS);
  // The first answers lead the median far below its place.
  state.usual_s = state.answers < kMinAnswers
                      ? state.median_s
                      : std::min(state.usual_s * kUsualStep, state.median_s);
  const bool fast = seconds < kRejectedShare * state.usual_s;
  state.fast_share += ((fast ? 1 : 0) - state.fast_share) * kAnswerWeight;
}

void overload_guard::OnLoad(const std::string& service,
                            const service_load_estimate& load) {
  services_[service].queues = load.Queue() >= kLateQueue;
}

bool overload_guard::IsFull(const service_state& state,
                            const answer_times& times,
                            double slow_s,
                            time_point now) {
  std::uint32_t recent = 0;
  std::uint32_t slow = 0;
  std::uint32_t fast = 0;
  for (std::size_t i = 0; i < answer_times::kKept; ++i) {
    if (times.at.at(i) == time_point{} ||
        now - times.at.at(i) > kRecentAnswerTime) {
      continue;
    }
    ++recent;
    slow += times.seconds.at(i) >= slow_s ? 1 : 0;
    fast += times.seconds.at(i) < kRejectedShare * state.usual_s ? 1 : 0;
  }
  // Some kinds of requests may always take far less than others.
  const double rejected = std::max(0.0, fast - state.fast_share * recent);
  return recent >= kMinRecentAnswers && slow + rejected >= 0.5 * recent;
}

bool overload_guard::Refuses(const std::string& service,
                             const entry_route& route,
                             const service_load_estimate& load,
                             time_point now) const {
  const auto found = services_.find(service);
  if (found == services_.end() || !route.priority ||
      route.latency_target <= duration::zero() || load.Queue() < kLateQueue) {
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
  const double late_s =
      kLateShare * std::chrono::duration<double>(route.latency_target).count();
  const double slow_s = load.LeastQueue() < kLateQueue
                            ? late_s
                            : std::min(late_s, kSlowFactor * state.usual_s);
  // From this queue on, a new request would be answered late.
  const double late_queue = std::max(kLateQueue, late_s / state.usual_s);
  return std::all_of(load.data_centres.begin(), load.data_centres.end(),
                     [&](const service_load_estimate::data_centre& one) {
                       const auto times = state.data_centres.find(one.name);
                       return one.queue >= late_queue ||
                              (times != state.data_centres.end() &&
                               IsFull(state, times->second, slow_s, now));
                     });
}

}  // namespace rosemaryreach
