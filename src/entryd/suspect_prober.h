// Probes suspected targets until they answer or are removed.
#ifndef ROSEMARYREACH_ENTRYD_SUSPECT_PROBER_H_
#define ROSEMARYREACH_ENTRYD_SUSPECT_PROBER_H_

#include <functional>
#include <map>

#include "adapters/connect_prober.h"
#include "adapters/event_loop.h"
#include "entryd/entry_log.h"
#include "entryd/entry_metrics.h"
#include "rosemaryreach/flap_damper.h"
#include "rosemaryreach/flow_tracker.h"
#include "rosemaryreach/target_directory.h"

namespace rosemaryreach {

// Limit of probes: so many a second, and at once after a calm time. Enough for
// half of 240 targets that fall silent at once; full targets cause hundreds of
// suspicions a second.
inline constexpr double kProbesPerSecond = 100;
inline constexpr double kProbeBurst = 400;

class suspect_prober {
 public:
  // `process_late` returns whether this process lacked CPU time: a probe that
  // fails then is no evidence against its target. `on_unreachable` is called
  // once a target counts as unreachable, `on_reached` once a probe has ended
  // the suspicion of one.
  suspect_prober(event_loop& loop,
                 const target_directory& directory,
                 flow_tracker& tracker,
                 std::function<bool()> process_late,
                 std::function<void(target_index)> on_unreachable,
                 std::function<void(target_index)> on_reached,
                 entry_log& log,
                 entry_metrics& metrics);

  // Starts to probe a target that became suspected.
  void OnSuspected(target_index target, const char* reason);

  // Sends the probes that are due.
  void Tick();

  // Returns whether probes are suspended: the target is gone and unreachable,
  // so it gets no new flows unless it is listed again.
  bool IsProbingSuspended(target_index index) const;

 private:
  struct suspect {
    std::uint32_t cookie = 0;  // differs if the index was reused
    time_point since{};
    time_point next_probe{};
    time_point hold_down_until{};  // even if probes succeed
    bool probing = false;
  };

  void Probe(target_index index, suspect& suspect);
  // Returns whether a probe may start now, and counts it.
  bool TakeProbe(time_point now);
  // Makes the probes of all suspected targets in a data centre due at once,
  // after one of its targets has answered.
  void ExpediteDataCentreProbes(const std::string& data_centre, time_point now);
  void OnProbe(target_index index, std::uint32_t cookie, probe_outcome outcome);
  bool IsResolved(target_index index, const suspect& suspect) const;
  void Log(target_index index,
           const char* outcome,
           const char* reason,
           duration suspected_for);

  const target_directory& directory_;
  flow_tracker& tracker_;
  std::function<bool()> process_late_;
  std::function<void(target_index)> on_unreachable_;
  std::function<void(target_index)> on_reached_;
  entry_log& log_;
  entry_metrics& metrics_;
  connect_prober prober_;
  flap_damper flap_damper_;
  std::map<target_index, suspect> suspects_;
  double probes_left_ = kProbeBurst;
  time_point probes_refilled_{};
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ENTRYD_SUSPECT_PROBER_H_
