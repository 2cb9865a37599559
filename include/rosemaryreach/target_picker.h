// Chooses the target of a new flow. It answers the load of the whole fleet's
// callers on a service's targets, seen from one instance.
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
#include "rosemaryreach/target_directory.h"

namespace rosemaryreach {

// What the picker needs to know of the other instances.
struct fleet_hooks {
  // Instances of this data centre that are alive, this one too.
  std::function<std::uint32_t()> local_instances;
  // Whether this instance alone opens flows to the cold target `cookie`.
  std::function<bool(std::uint32_t cookie)> owns;
};

// How many targets of a service a new flow would find under one rule.
struct rule_count {
  const char* rule = "";
  std::size_t targets = 0;
  bool usable = false;  // whether a flow may go to one of them
};

// Why a target was chosen, or none.
struct pick_result {
  target_index target = kNoTarget;
  const char* rule = "";
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

  // Returns the target for a new flow to `service`, none of `tried` if another
  // one will do.
  pick_result Pick(const std::string& service,
                   std::span<const target_index> tried,
                   time_point now);

  // Returns the rule by which a new flow would find this target now:
  // "least_load" for one that is good.
  const char* RuleFor(target_index index, time_point now) const;

  // Returns the targets of `service` by rule, the rule that wins first.
  std::vector<rule_count> CountByRule(const std::string& service,
                                      time_point now) const;

 private:
  // Lower is better; kNever can't be used at all.
  enum class grade : std::uint8_t {
    kGood,
    kMissing,      // its entry went without notice
    kTried,        // the flow's first packet got no answer there
    kDraining,     // draining, within the time that news of it takes
    kSuspected,    // does not answer
    kUnreachable,  // probes don't reach it: never used
    kExcluded,
  };

  grade Grade(target_index index,
              std::span<const target_index> tried,
              time_point now) const;
  double Score(target_index index, time_point now);
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
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TARGET_PICKER_H_
