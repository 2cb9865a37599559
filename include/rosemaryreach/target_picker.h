// Chooses the target of a new flow. Balances the load of the whole fleet on the
// targets of a service from the observations of one instance.
#ifndef ROSEMARYREACH_TARGET_PICKER_H_
#define ROSEMARYREACH_TARGET_PICKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "rosemaryreach/data_centre_reachability.h"
#include "rosemaryreach/flow_tracker.h"
#include "rosemaryreach/spillover.h"
#include "rosemaryreach/target_directory.h"
#include "rosemaryreach/wait_estimator.h"

namespace rosemaryreach {

// Larger services are sampled; the best of this many is nearly optimal.
inline constexpr std::size_t kMaxCandidates = 32;
// Candidates here, and as many elsewhere, that are compared by expected wait:
// random ones of those with the fewest requests of this instance. Figures of
// other instances are up to 200 ms old, several times the work time, and all
// instances see the same; more candidates send them all to the same targets.
inline constexpr std::size_t kWaitCandidates = 2;

// Queries about the other instances.
struct fleet_hooks {
  // Returns the live instances of this data centre, including this one.
  std::function<std::uint32_t()> local_instances;
  // Returns the live instances of all data centres, including this one.
  std::function<std::size_t()> instances;
  // Returns whether this instance is the only one that opens flows to the cold
  // target `cookie`.
  std::function<bool(std::uint32_t cookie)> owns;
};

// Placement by expected wait. Without estimates, targets are compared by the
// load that this instance observes.
struct placement_inputs {
  const wait_estimator* waits = nullptr;
  // Returns whether the outlier detector has ejected the target. Optional.
  std::function<bool(target_index)> ejected{};
  // The shared figures make a target look silent. Optional.
  std::function<void(target_index)> silent_elsewhere{};
};

// The number of targets of a service that one rule applies to for a new flow.
struct rule_count {
  const char* rule = "";
  std::size_t targets = 0;
  bool usable = false;       // whether they may get new flows
  bool unreachable = false;  // whether only this instance can't reach them
};

// The chosen target, if any, and the rule that decided.
struct pick_result {
  target_index target = kNoTarget;
  const char* rule = "";
  // There is no target, but there are some that this instance can't reach.
  bool unreachable = false;
  std::optional<wait_estimate> estimate{};  // if the expected wait decided
};

class target_picker {
 public:
  target_picker(const target_directory& directory,
                flow_tracker& tracker,
                const data_centre_reachability& reachability,
                std::string data_centre,
                entry_bounds bounds,
                fleet_hooks fleet,
                std::uint64_t seed,
                placement_inputs placement = {});

  // Returns the target for a new flow to `service`; avoids `tried` targets if
  // there is an alternative.
  pick_result Pick(const std::string& service,
                   std::span<const target_index> tried,
                   time_point now);

  // Returns the rule that applies to this target for a new flow now:
  // "least_load" for a healthy one.
  const char* RuleFor(target_index index, time_point now) const;

  // Returns the number of targets of `service` by rule, in order of preference.
  std::vector<rule_count> CountByRule(const std::string& service,
                                      time_point now) const;

  // Returns the figures by which a target is compared; nothing if the expected
  // wait does not decide for its service.
  std::optional<wait_estimate> EstimateOf(target_index index,
                                          time_point now) const;

  // Returns the share of the new flows of `service` that may go to other data
  // centres before the own one is unusable.
  double SpillShare(const std::string& service) const;

  // Returns the flows that went to another data centre by their expected wait.
  std::uint64_t spilled_flows() const { return spilled_flows_; }

 private:
  // Lower is better; kUnreachable and kExcluded targets are never picked.
  enum class grade : std::uint8_t {
    kGood,
    kMissing,      // its entry disappeared, and the listed ones suffice
    kTried,        // did not answer this flow's first packet
    kSilent,       // has not answered other instances lately
    kEjected,      // an outlier by this instance's own evidence
    kDraining,     // draining for less than kDrainingGrace
    kSuspected,    // may not answer
    kUnreachable,  // probes fail to reach it or its data centre
    kExcluded,
  };

  // The last result of ListedTargetsSuffice(), since it is needed for several
  // targets of one flow.
  struct sufficiency {
    std::string service;
    time_point at{};
    bool suffices = true;
  };

  // The flows of this instance at the usable targets of a data centre.
  struct data_centre_load {
    std::string data_centre;
    double flows = 0;  // running and opening, and a share of the open ones
    double slots = 0;
    double smoothed = 0;  // flows, averaged over kLoadAverageTime
  };

  struct service_load {
    time_point at{};
    std::vector<data_centre_load> data_centres;
  };

  // The best target of a data centre.
  struct candidate {
    target_index target = kNoTarget;
    double score = 0;
  };

  static const char* RuleOf(grade graded);
  grade Grade(target_index index,
              std::span<const target_index> tried,
              time_point now) const;
  // Returns whether the listed targets of `service` can bear the load that all
  // instances are estimated to put on the service.
  bool ListedTargetsSuffice(const std::string& service, time_point now) const;
  double Score(target_index index, time_point now);
  // Returns the index of a target's data centre in `load`, added if missing.
  std::size_t DataCentreOf(target_index index, service_load& load) const;
  // Returns the loads of the data centres of `service`, updated.
  service_load& UpdateLoad(const std::string& service, time_point now);
  // Returns the expected requests for each slot of a data centre whose best
  // target has this score, and a penalty for other ones than the own.
  double ExpectedLoad(const data_centre_load& load, double best_score) const;
  // Returns the best target of the least loaded data centre. `best` is by data
  // centre, in the order of `load`.
  target_index ChooseDataCentre(std::span<const candidate> best,
                                const service_load& load) const;
  bool ComparesByWait(const std::string& service) const;
  // Returns the requests of this instance for each slot of the target.
  double OwnLoad(target_index index) const;
  // Returns up to kMaxCandidates targets of `service`, evenly spread.
  std::vector<target_index> Sample(const std::string& service,
                                   std::size_t start) const;
  pick_result PickByWait(const std::string& service,
                         std::span<const target_index> tried,
                         time_point now);
  // Returns the candidate with the shortest expected wait, from the random
  // candidates here and, by the spill share, elsewhere.
  pick_result ShortestWait(const std::string& service,
                           std::span<const target_index> candidates,
                           const service_averages& averages,
                           time_point now);
  bool ColdRateAllows(const known_target& target, time_point now) const;
  duration ColdInterval(const std::string& service) const;
  void RecordColdFlow(const known_target& target, time_point now);

  const target_directory& directory_;
  flow_tracker& tracker_;
  const data_centre_reachability& reachability_;
  std::string data_centre_;
  entry_bounds bounds_;
  fleet_hooks fleet_;
  std::mt19937_64 random_;
  std::map<std::uint32_t, time_point> cold_next_;  // by cookie
  mutable sufficiency sufficiency_;
  std::map<std::string, service_load> loads_;  // by service
  placement_inputs placement_;
  std::map<std::string, spillover> spill_;  // by service
  std::uint64_t spilled_flows_ = 0;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TARGET_PICKER_H_
