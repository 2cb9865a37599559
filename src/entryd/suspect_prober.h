// Probes doubted targets until they answer or leave the list.
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

class suspect_prober {
 public:
  // `late` tells whether this process ran late itself: a probe that fails then
  // says nothing of its target. `unreachable` is called when a target turns
  // out to be out of reach.
  suspect_prober(event_loop& loop,
                 const target_directory& directory,
                 flow_tracker& ledger,
                 std::function<bool()> process_late,
                 std::function<void(target_index)> on_unreachable,
                 entry_log& log,
                 entry_metrics& metrics);

  // Begins to probe a target that does not answer flows.
  void Suspect(target_index target, const char* reason);

  // Sends the probes that are due.
  void Tick();

 private:
  struct suspicion {
    std::uint32_t cookie = 0;  // the index may be given to another target
    time_point since{};
    time_point next_probe{};
    time_point hold_down_until{};  // whatever probes say
    bool probing = false;
  };

  void Probe(target_index index, suspicion& suspicion);
  // Probes the rest of a data centre at once when one target is back.
  void ExpediteDataCentreProbes(const std::string& data_centre, time_point now);
  void OnProbe(target_index index, std::uint32_t cookie, bool reached);
  bool IsResolved(target_index index, const suspicion& suspicion) const;
  // Whether probes pause: the target is lost for its open flows, and gets no
  // new ones unless it is listed again.
  bool IsProbingSuspended(target_index index) const;
  void Log(target_index index,
           const char* outcome,
           const char* reason,
           duration suspected_for);

  const target_directory& directory_;
  flow_tracker& ledger_;
  std::function<bool()> process_late_;
  std::function<void(target_index)> on_unreachable_;
  entry_log& log_;
  entry_metrics& metrics_;
  connect_prober prober_;
  flap_damper history_;
  std::map<target_index, suspicion> suspicions_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ENTRYD_SUSPECT_PROBER_H_
