// Counters and histograms of an entry instance; docs/OPERATIONS.md lists them.
#ifndef ROSEMARYREACH_ENTRYD_ENTRY_METRICS_H_
#define ROSEMARYREACH_ENTRYD_ENTRY_METRICS_H_

#include <cstdint>
#include <map>
#include <string>

#include "rosemaryreach/metrics.h"

namespace rosemaryreach {

class entry_metrics {
 public:
  explicit entry_metrics(metrics_registry& registry);

  // Returns the counter of packets decided by `rule`.
  counter& Packets(const char* rule);
  // Returns the counter of first packets that `rule` answered with a reset.
  counter& OpeningResets(const char* rule);
  // Returns the counter of questions for departed targets to `source`.
  counter& DepartedQuestions(const char* source);
  // Returns the gauge that names this build in its label.
  gauge& Build(const std::string& build);
  // Returns the counter of store calls that ended with `outcome`.
  counter& StoreCalls(const char* outcome);

  counter& malformed_packets;
  counter& late_targets;  // learned after packets of their flows were dropped
  counter& stalled_requests;
  counter& probes;
  counter& deferred_probes;       // for the limit of probes a second
  counter& disproved_suspicions;  // by an answer or a successful probe
  counter& peer_datagrams_sent;
  counter& peer_datagrams_received;
  counter& peer_datagrams_malformed;
  counter& missed_changes;
  gauge& configuration_version;
  gauge& view_age_ms;
  gauge& store_era;
  gauge& held_items;  // of a restored store, not trusted yet
  gauge& held_ms;     // how long they are held
  gauge& unreachable_targets;
  gauge& unprobed_targets;  // unreachable, and not probed any more
  gauge& departed_targets;  // that left before this instance knew them
  gauge& peers;
  gauge& flows;
  // From the first packet of a flow to the caller's next one.
  histogram& open_seconds;
  // From the data of a request to the first sign of an answer.
  histogram& request_seconds;

 private:
  counter& FindOrAdd(std::map<const char*, counter*>& counters,
                     const char* name,
                     const char* help,
                     const char* label,
                     const char* value);

  metrics_registry& registry_;
  std::map<const char*, counter*> opening_resets_;
  std::map<const char*, counter*> packets_;
  std::map<const char*, counter*> store_calls_;
  std::map<const char*, counter*> departed_questions_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ENTRYD_ENTRY_METRICS_H_
