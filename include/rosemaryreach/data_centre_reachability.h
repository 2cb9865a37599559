// Which data centres an instance reaches, judged by samples of their targets.
#ifndef ROSEMARYREACH_DATA_CENTRE_REACHABILITY_H_
#define ROSEMARYREACH_DATA_CENTRE_REACHABILITY_H_

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "rosemaryreach/flow_tracker.h"
#include "rosemaryreach/target_directory.h"

namespace rosemaryreach {

// A data centre is out of reach when this many of its targets are, or all if
// there are fewer, and no other one answers. So many failures of their own at
// once are unlikely, and so few probes are cheap in large data centres.
inline constexpr std::size_t kReachabilitySample = 6;
// Two failures make it worth while to probe the rest of the sample.
inline constexpr std::size_t kMinFailuresToProbe = 2;
// An answer this recent speaks against a cut.
inline constexpr duration kRecentAnswer = std::chrono::milliseconds(400);

class data_centre_reachability {
 public:
  data_centre_reachability(const target_directory& directory,
                           const flow_tracker& tracker,
                           std::string data_centre);

  // Judges all data centres anew. Returns targets to doubt, so that probes
  // complete the samples of data centres under suspicion.
  std::vector<target_index> Update(time_point now);

  bool DataCentreUnreachable(const std::string& data_centre) const {
    return unreachable_data_centres_.contains(data_centre);
  }

  // Returns whether the instance should leave its callers to other instances:
  // it reaches no other data centre, and no target of some service. A service
  // that failed everywhere is no reason to leave.
  bool IsIsolated() const;

 private:
  // Returns whether the data centre may be judged by its failed targets, and
  // adds what its sample lacks to `to_doubt`.
  bool EvaluateSample(const std::vector<target_index>& targets,
                      time_point now,
                      std::vector<target_index>& to_suspect) const;

  const target_directory& directory_;
  const flow_tracker& tracker_;
  std::string data_centre_;
  std::set<std::string> unreachable_data_centres_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_DATA_CENTRE_REACHABILITY_H_
