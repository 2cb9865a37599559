// Estimates how long a new flow's request would take at a target, from the load
// that all instances put on it and the speed that it has shown.
#ifndef ROSEMARYREACH_WAIT_ESTIMATOR_H_
#define ROSEMARYREACH_WAIT_ESTIMATOR_H_

#include <map>
#include <span>
#include <string>

#include "rosemaryreach/flow_tracker.h"
#include "rosemaryreach/response_times.h"
#include "rosemaryreach/shared_load.h"
#include "rosemaryreach/target_directory.h"

namespace rosemaryreach {

// Figures by which a target is compared with others.
struct wait_estimate {
  duration wait{};       // including `network`
  duration network{};    // extra delay of another data centre
  double speed = 1;      // of the target, relative to its service
  double in_flight = 0;  // requests and first packets of all instances
};

// Averages over targets of one service, for comparison.
struct service_averages {
  duration response_time{};     // reported by other instances; 0 if none is
  double open_flow_demand = 0;  // requests in flight for each open flow
  double shared_per_slot = 0;   // requests in flight at the other instances
};

class wait_estimator {
 public:
  wait_estimator(const target_directory& directory,
                 const flow_tracker& tracker,
                 response_times& times,
                 shared_load_hooks shared,
                 std::string data_centre);

  // Takes the response times that other instances report as evidence. Called
  // every 200 ms or so; figures that did not change count once.
  void Observe(time_point now);

  // Returns whether targets of `service` are compared by expected wait: a route
  // of it declares a latency objective, and other instances report their load.
  bool Applies(const std::string& service) const;

  service_averages Averages(std::span<const target_index> targets) const;

  // Returns the usual time of one request at a target without a queue.
  duration WorkTime(const std::string& service,
                    const service_averages& averages) const;

  wait_estimate Estimate(target_index index,
                         const service_averages& averages,
                         time_point now) const;

  // Returns whether the other instances have unanswered requests at the target,
  // and none of them had an answer lately.
  bool SilentElsewhere(target_index index) const;

  // Returns the requests and first packets in flight there, as reported.
  double InFlight(target_index index) const;

  // Returns the requests in flight at the target for each slot, at least 1.
  double Crowding(target_index index) const;

 private:
  shared_target_load SharedLoad(target_index index) const;
  // Returns the response times that others report, without the waiting.
  double SharedWorkUs(target_index index, const shared_target_load& load) const;
  // Returns the requests in flight that other instances are expected to have
  // at the target now, by figures of a certain age.
  double SharedInFlight(target_index index,
                        const shared_target_load& load,
                        const service_averages& averages,
                        double speed) const;

  const target_directory& directory_;
  const flow_tracker& tracker_;
  response_times& times_;
  shared_load_hooks shared_;
  std::string data_centre_;
  std::map<std::uint32_t, duration> observed_;  // response times, by cookie
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_WAIT_ESTIMATOR_H_
