// Probes the targets that this instance owns or is the successor for, by HTTP
// GET /healthz, and reports changes of their condition.
#ifndef ROSEMARYREACH_ADAPTERS_TARGET_PROBER_H_
#define ROSEMARYREACH_ADAPTERS_TARGET_PROBER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "adapters/event_loop.h"
#include "rosemaryreach/config.h"
#include "rosemaryreach/fleet_view.h"
#include "rosemaryreach/ownership.h"
#include "rosemaryreach/settings.h"
#include "rosemaryreach/target_health.h"

namespace rosemaryreach {

// Called when a target's condition changes or a cold target becomes cold again.
using condition_handler = std::function<void(std::string_view service,
                                             std::string_view target,
                                             target_condition condition)>;

// Probe results: status 200 is healthy, or cold if the JSON body has
// "state": "cold"; any other status is a refusal; no reply is a timeout.
class target_prober {
 public:
  target_prober(event_loop& loop,
                const probe_settings& settings,
                std::uint64_t seed,
                condition_handler on_condition);
  ~target_prober();

  // Both recompute the set of targets that this instance probes.
  void ApplyConfiguration(std::shared_ptr<const configuration> config);
  void ApplyView(const fleet_view& view);

  // Returns the number of targets that this instance probes.
  std::size_t size() const { return probed_.size(); }

 private:
  class probe;

  using probe_map = std::unordered_map<std::uint64_t, std::unique_ptr<probe>>;

  void SelectTargets();
  void SelectServiceTargets(const service_config& service,
                            const data_centre_config& centre,
                            const owner_ranking& ranking,
                            probe_map& selected);
  time_point FirstProbeTime();
  void StartDueProbes();

  event_loop& loop_;
  probe_settings settings_;
  std::mt19937_64 random_;
  condition_handler on_condition_;
  std::shared_ptr<const configuration> config_;
  fleet_view view_;
  probe_map probed_;  // by TargetKey()
  loop_timer timer_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_TARGET_PROBER_H_
