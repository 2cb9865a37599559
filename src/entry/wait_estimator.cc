#include "rosemaryreach/wait_estimator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rosemaryreach {
namespace {

// Assumed before there are answers.
constexpr duration kAssumedWork = std::chrono::milliseconds(50);
// An instance waits this long for the answer of a first packet before it counts
// as unanswered, and reports arrive every 200 ms. Longer than most gaps between
// answers of a target in use.
constexpr duration kSharedSilence = std::chrono::milliseconds(200);
// A new or returning target starts with this part of its speed.
constexpr duration kRampTime = std::chrono::seconds(3);
constexpr double kRampStart = 0.25;
constexpr double kColdFactor = 2.0;
// Requests in flight for each open flow, if there are few to learn from.
constexpr double kOpenFlowDemand = 0.03;
constexpr double kMinOpenFlows = 20;

double RampAfter(duration elapsed) {
  const double done = std::chrono::duration<double>(elapsed) /
                      std::chrono::duration<double>(kRampTime);
  return std::clamp(kRampStart + (1 - kRampStart) * done, kRampStart, 1.0);
}

}  // namespace

wait_estimator::wait_estimator(const target_directory& directory,
                               const flow_tracker& tracker,
                               response_times& times,
                               shared_load_hooks shared,
                               std::string data_centre)
    : directory_(directory),
      tracker_(tracker),
      times_(times),
      shared_(std::move(shared)),
      data_centre_(std::move(data_centre)) {}

bool wait_estimator::Applies(const std::string& service) const {
  if (!shared_.target || !shared_.service) {
    return false;
  }
  const std::vector<entry_route>& routes = directory_.config().routes;
  const bool declared = std::any_of(
      routes.begin(), routes.end(), [&service](const entry_route& route) {
        return route.latency_target > duration(0) &&
               std::any_of(route.services.begin(), route.services.end(),
                           [&service](const weighted_service& one) {
                             return one.service == service;
                           });
      });
  return declared && shared_.service(service).has_value();
}

shared_target_load wait_estimator::SharedLoad(target_index index) const {
  if (!shared_.target) {
    return {};
  }
  return shared_.target(directory_.Find(index)->cookie)
      .value_or(shared_target_load{});
}

double wait_estimator::InFlight(target_index index) const {
  const shared_target_load load = SharedLoad(index);
  const target_status& status = tracker_.StatusOf(index);
  return status.running + status.opening + load.running + load.opening;
}

double wait_estimator::Crowding(target_index index) const {
  const shared_target_load load = SharedLoad(index);
  const target_status& status = tracker_.StatusOf(index);
  const double slots = std::max(1U, directory_.Find(index)->record.slots);
  return std::max(1.0, (status.running + load.running) / slots);
}

double wait_estimator::SharedWorkUs(target_index index,
                                    const shared_target_load& load) const {
  return static_cast<double>(load.response_time.count()) / Crowding(index);
}

service_averages wait_estimator::Averages(
    std::span<const target_index> targets) const {
  double work_us = 0;
  double answered = 0;
  double running = 0;
  double open = 0;
  double shared = 0;
  double slots = 0;
  for (const target_index index : targets) {
    const shared_target_load load = SharedLoad(index);
    const target_status& status = tracker_.StatusOf(index);
    running += status.running + load.running;
    open += status.open + load.open;
    shared += load.running + load.opening;
    slots += directory_.Find(index)->record.slots;
    if (load.response_time > duration(0)) {
      work_us += SharedWorkUs(index, load);
      answered += 1;
    }
  }
  service_averages averages;
  averages.response_time =
      duration(answered == 0 ? 0 : std::llround(work_us / answered));
  averages.open_flow_demand =
      open < kMinOpenFlows ? kOpenFlowDemand : std::min(1.0, running / open);
  averages.shared_per_slot = slots == 0 ? 0 : shared / slots;
  return averages;
}

void wait_estimator::Observe(time_point now) {
  std::map<std::uint32_t, duration> reported;
  for (const entry_service& service : directory_.config().services) {
    if (!Applies(service.name)) {
      continue;
    }
    const std::span<const target_index> targets =
        directory_.TargetsOf(service.name);
    const double usual_us =
        static_cast<double>(Averages(targets).response_time.count());
    for (const target_index index : targets) {
      const std::uint32_t cookie = directory_.Find(index)->cookie;
      const shared_target_load load = SharedLoad(index);
      const auto before = observed_.find(cookie);
      const bool same =
          before != observed_.end() && before->second == load.response_time;
      if (load.response_time > duration(0)) {
        reported[cookie] = load.response_time;
        if (!same) {
          times_.OnSharedAnswers(
              cookie, SharedWorkUs(index, load) / std::max(usual_us, 1.0), now);
        }
      }
    }
  }
  observed_ = std::move(reported);
}

double wait_estimator::SharedInFlight(target_index index,
                                      const shared_target_load& load,
                                      const service_averages& averages,
                                      double speed) const {
  const double usual =
      averages.shared_per_slot * directory_.Find(index)->record.slots;
  // Requests of the time of the report have ended by now, in part; which target
  // had more than others then says as much less.
  const double memory_us =
      std::max(static_cast<double>(kAssumedWork.count()),
               static_cast<double>(load.response_time.count())) /
      speed;
  const double kept =
      std::exp(-static_cast<double>(load.age.count()) / memory_us);
  return usual + (load.running + load.opening - usual) * kept;
}

duration wait_estimator::WorkTime(const std::string& service,
                                  const service_averages& averages) const {
  const duration measured = times_.WorkTime(service);
  if (measured > duration(0)) {
    return measured;
  }
  return averages.response_time > duration(0) ? averages.response_time
                                              : kAssumedWork;
}

wait_estimate wait_estimator::Estimate(target_index index,
                                       const service_averages& averages,
                                       time_point now) const {
  const known_target& target = *directory_.Find(index);
  const target_status& status = tracker_.StatusOf(index);
  const shared_target_load load = SharedLoad(index);
  wait_estimate estimate;
  estimate.speed = times_.AllEvidenceOf(target.cookie, now).Speed();
  estimate.in_flight = status.running + status.opening +
                       SharedInFlight(index, load, averages, estimate.speed);
  estimate.network = times_.ExtraDelay(target.record.data_centre, data_centre_);
  const double idle =
      std::max(0.0, status.open + load.open - status.running - load.running);
  const double demand =
      estimate.in_flight + 1 + idle * averages.open_flow_demand;
  const double work_us =
      static_cast<double>(WorkTime(target.record.service, averages).count());
  const double ramp =
      std::min(RampAfter(now - target.added), RampAfter(now - status.returned));
  const double cold = now < target.cold_until ? kColdFactor : 1;
  const double slots = std::max(1U, target.record.slots);
  estimate.wait = duration(std::llround(demand / slots * work_us * cold /
                                        (estimate.speed * ramp))) +
                  estimate.network;
  return estimate;
}

bool wait_estimator::SilentElsewhere(target_index index) const {
  const shared_target_load load = SharedLoad(index);
  return load.unanswered > 0 && load.since_answer >= kSharedSilence;
}

}  // namespace rosemaryreach
