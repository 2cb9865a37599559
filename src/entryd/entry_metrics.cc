#include "entryd/entry_metrics.h"

#include <array>

namespace rosemaryreach {
namespace {

// From a fraction of the shortest round trip to a caller up to the time after
// which callers give up.
constexpr histogram_range kOpenRange{0.001, 2, 16};
// From the period of the timer for held packets up to the longest hold.
constexpr histogram_range kHoldRange{0.001, 1, 10};
constexpr histogram_range kRequestRange{0.001, 10, 20};

}  // namespace

entry_metrics::entry_metrics(metrics_registry& registry)
    : malformed_packets(registry.Counter({"rosemaryreach_entry_malformed_total",
                                          "Datagrams that are no packets."})),
      late_targets(registry.Counter(
          {"rosemaryreach_entry_late_targets_total",
           "Targets learned after packets of their flows were dropped."})),
      stalled_requests(registry.Counter(
          {"rosemaryreach_entry_stalled_total",
           "Requests whose data was sent again without an answer."})),
      probes(registry.Counter({"rosemaryreach_entry_probes_total",
                               "Connections tried to doubted targets."})),
      deferred_probes(
          registry.Counter({"rosemaryreach_entry_probes_deferred_total",
                            "Probes put off since too many were due."})),
      disproved_suspicions(
          registry.Counter({"rosemaryreach_entry_doubts_disproved_total",
                            "Doubted targets that answered or were "
                            "reached by a probe."})),
      peer_datagrams_sent(
          registry.Counter({"rosemaryreach_entry_peer_sent_total",
                            "Beacons sent to other instances."})),
      peer_datagrams_received(
          registry.Counter({"rosemaryreach_entry_peer_received_total",
                            "Beacons received from other instances."})),
      peer_datagrams_malformed(
          registry.Counter({"rosemaryreach_entry_peer_bad_total",
                            "Datagrams that are no beacons."})),
      missed_changes(registry.Counter(
          {"rosemaryreach_entry_missed_changes_total",
           "Changes of the store that only a listing showed."})),
      configuration_version(
          registry.Gauge({"rosemaryreach_entry_configuration_version",
                          "Version of the configuration in force."})),
      view_age_ms(registry.Gauge({"rosemaryreach_entry_view_age_ms",
                                  "Age of what is known of the store."})),
      store_era(registry.Gauge({"rosemaryreach_entry_store_era",
                                "Times that the store was restored."})),
      held_items(registry.Gauge(
          {"rosemaryreach_entry_held_items",
           "Items of a restored store that contradict what was known."})),
      held_ms(registry.Gauge({"rosemaryreach_entry_held_ms",
                              "How long items of a restored store are held."})),
      unreachable_targets(
          registry.Gauge({"rosemaryreach_entry_unreachable_targets",
                          "Targets that probes don't reach."})),
      unprobed_targets(
          registry.Gauge({"rosemaryreach_entry_unprobed_targets",
                          "Unreachable targets that are not probed any more, "
                          "since they are gone."})),
      departed_targets(
          registry.Gauge({"rosemaryreach_entry_departed_targets",
                          "Targets that left before this instance started."})),
      peers(registry.Gauge(
          {"rosemaryreach_entry_peers", "Other instances that are heard of."})),
      flows(registry.Gauge(
          {"rosemaryreach_entry_flows", "Flows that this instance follows."})),
      open_seconds(registry.Histogram(
          {"rosemaryreach_entry_open_seconds",
           "First packet of a flow to the caller's next one."},
          kOpenRange)),
      request_seconds(registry.Histogram(
          {"rosemaryreach_entry_request_seconds",
           "Data of a caller to the first sign of an answer."},
          kRequestRange)),
      registry_(registry) {}

counter& entry_metrics::Packets(const char* rule) {
  return FindOrAdd(packets_, "rosemaryreach_entry_packets_total",
                   "Packets of callers by the rule that decided.", "rule",
                   rule);
}

counter& entry_metrics::OpeningResets(const char* rule) {
  return FindOrAdd(opening_resets_, "rosemaryreach_entry_opening_resets_total",
                   "First packets answered with a reset, by the rule that "
                   "decided.",
                   "rule", rule);
}

gauge& entry_metrics::Build(const std::string& build) {
  const std::array<metric_label, 1> labels = {metric_label{"build", build}};
  return registry_.Gauge({"rosemaryreach_entry_build_info",
                          "1, with the version and commit of the program.",
                          labels});
}

counter& entry_metrics::StoreCalls(const char* outcome) {
  return FindOrAdd(store_calls_, "rosemaryreach_entry_store_calls_total",
                   "Calls to the store by outcome.", "outcome", outcome);
}

counter& entry_metrics::DepartedQuestions(const char* source) {
  return FindOrAdd(departed_questions_,
                   "rosemaryreach_entry_departed_questions_total",
                   "Questions for departed targets, to peers and to the "
                   "store.",
                   "source", source);
}

counter& entry_metrics::FindOrAdd(std::map<const char*, counter*>& counters,
                                  const char* name,
                                  const char* help,
                                  const char* label,
                                  const char* value) {
  counter*& found = counters[value];
  if (found == nullptr) {
    const std::array<metric_label, 1> labels = {metric_label{label, value}};
    found = &registry_.Counter({name, help, labels});
  }
  return *found;
}

}  // namespace rosemaryreach
