// Determines which data centres an instance can reach, from samples of their
// targets.
#ifndef ROSEMARYREACH_DATA_CENTRE_REACHABILITY_H_
#define ROSEMARYREACH_DATA_CENTRE_REACHABILITY_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rosemaryreach/flow_tracker.h"
#include "rosemaryreach/target_directory.h"

namespace rosemaryreach {

// A data centre is unreachable when probes of this many of its targets, or of
// all if there are fewer, have failed this often in all, and no target answers.
// That many independent failures at once are unlikely, so a sample need not
// wait for each of its targets to count as unreachable.
inline constexpr std::size_t kReachabilitySample = 6;
// Probes of targets at a time, and targets probed in all, to find one that an
// instance reaches after its start.
inline constexpr std::size_t kConfirmProbes = 3;
inline constexpr std::size_t kMaxConfirmTargets = 12;
// Targets with failed probes after which the rest of the sample is probed.
inline constexpr std::size_t kMinFailuresToProbe = 2;
// The rest of the sample is probed once no target has answered for this long.
inline constexpr duration kSilenceToProbe = std::chrono::milliseconds(150);
// A data centre is reachable while one of its targets answered a flow or a
// probe this recently.
inline constexpr duration kRecentAnswer = std::chrono::milliseconds(400);
// Routers move callers away after two failed readiness probes, 500 ms apart;
// the rest is the time to find out that the instance is isolated.
inline constexpr duration kCallersMoveTime = std::chrono::milliseconds(2'000);

class data_centre_reachability {
 public:
  data_centre_reachability(const target_directory& directory,
                           const flow_tracker& tracker,
                           std::string data_centre);

  // Evaluates all data centres again. Returns targets to mark as suspected, so
  // that probes complete the samples of possibly unreachable data centres.
  std::vector<target_index> Update(time_point now);

  bool DataCentreUnreachable(const std::string& data_centre) const {
    return unreachable_data_centres_.contains(data_centre);
  }

  // Returns whether callers should use other instances: this one reaches no
  // other data centre, and no usable target of some service. A service that
  // failed in all data centres is not enough.
  bool IsIsolated() const;

  // Returns whether some usable target was reached since the start of this
  // instance, or there is none. Until then it may be cut off without knowing.
  bool Confirmed() const;

  // Returns targets to mark as suspected, so that probes confirm the way to one
  // of them; nothing if Confirmed() or enough were probed.
  std::vector<target_index> TargetsToConfirm(std::uint64_t random) const;

  // Returns whether routers are about to move callers to instances that reach
  // targets which this one does not: for kCallersMoveTime from when it reaches
  // no usable target of some service, which has some in other data centres, and
  // nothing there either, as far as it knows. A first packet dropped meanwhile
  // is served when it is sent again; a reset would fail it.
  bool CallersAreMoving(time_point now) const {
    return stranded_since_ && now - *stranded_since_ < kCallersMoveTime;
  }

 private:
  struct reach_summary {
    // Some service has usable targets, none of which is reached.
    bool service_unreached = false;
    // Such a service has usable targets in other data centres.
    bool served_elsewhere = false;
    // Targets of another data centre are not known to be unreachable.
    bool reaches_other_centre = false;
  };
  reach_summary Summarize() const;
  bool IsUsable(const known_target& target) const;
  bool Reaches(target_index index, const target_record& record) const;
  // Updates stranded_since_; adds targets of other data centres to probe.
  void UpdateStranded(time_point now, std::vector<target_index>& to_suspect);

  // Returns whether a service has usable targets in other data centres only.
  bool DependsOnOthers() const;
  // Takes all other data centres for one: a cut around the own one separates
  // them all, and evidence for each of them alone would take longer.
  void EvaluateOthers(
      const std::map<std::string, std::vector<target_index>>& centres,
      time_point now,
      std::vector<target_index>& to_suspect);

  // Returns whether the data centre of `targets` is unreachable; adds targets
  // to complete its sample to `to_suspect`.
  bool EvaluateSample(const std::vector<target_index>& targets,
                      time_point now,
                      std::vector<target_index>& to_suspect) const;

  const target_directory& directory_;
  const flow_tracker& tracker_;
  std::string data_centre_;
  std::set<std::string> unreachable_data_centres_;
  std::optional<time_point> stranded_since_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_DATA_CENTRE_REACHABILITY_H_
