// Chooses the target of a new flow. Balances the load of the whole fleet on the
// targets of a service from the observations of one instance.
#ifndef ROSEMARYREACH_TARGET_PICKER_H_
#define ROSEMARYREACH_TARGET_PICKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "rosemaryreach/data_centre_reachability.h"
#include "rosemaryreach/flow_tracker.h"
#include "rosemaryreach/overload_guard.h"
#include "rosemaryreach/target_directory.h"

namespace rosemaryreach {

// Larger services are sampled; the best of this many is nearly optimal.
inline constexpr std::size_t kMaxCandidates = 32;
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
};

class target_picker {
 public:
  target_picker(const target_directory& directory,
                flow_tracker& tracker,
                const data_centre_reachability& reachability,
                std::string data_centre,
                entry_bounds bounds,
                fleet_hooks fleet,
                std::uint64_t seed);

  // Returns the target for a new flow to `service`; avoids `tried` targets if
  // there is an alternative.
  pick_result Pick(const std::string& service,
                   std::span<const target_index> tried,
                   time_point now);

  // Returns the load that callers of this data centre find at the targets of
  // `service`, as far as the flows of this instance tell.
  service_load_estimate EstimateLoad(const std::string& service,
                                     time_point now);

  // Returns the rule that applies to this target for a new flow now:
  // "least_load" for a healthy one.
  const char* RuleFor(target_index index, time_point now) const;

  // Returns the number of targets of `service` by rule, in order of preference.
  std::vector<rule_count> CountByRule(const std::string& service,
                                      time_point now) const;

 private:
  // Lower is better; kUnreachable and kExcluded targets are never picked.
  enum class grade : std::uint8_t {
    kGood,
    kMissing,      // its entry disappeared, and the listed ones suffice
    kTried,        // did not answer this flow's first packet
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
    double stuck_slots = 0;  // of targets left out, since they answer nothing
    double smoothed = 0;     // flows, averaged over kLoadAverageTime
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
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TARGET_PICKER_H_
