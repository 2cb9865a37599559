#include "entryd/load_metrics.h"

namespace rosemaryreach {
namespace {

constexpr std::array<const char*, 3> kKinds = {"report", "sums", "coarse"};

counter& Labelled(metrics_registry& registry,
                  const char* name,
                  const char* help,
                  const metric_label& label) {
  const std::array<metric_label, 1> labels = {label};
  return registry.Counter({name, help, labels});
}

}  // namespace

load_metrics::load_metrics(metrics_registry& registry)
    : rejected(
          registry.Counter({"rosemaryreach_entry_load_rejected_total",
                            "Load messages that the kernel did not send."})),
      age_ms(registry.Gauge({"rosemaryreach_entry_load_age_ms",
                             "Age of the shared load figures; -1 if none."})),
      collector(registry.Gauge(
          {"rosemaryreach_entry_load_collector",
           "IPv4 address of the collector in use, as a number."})),
      acting(registry.Gauge({"rosemaryreach_entry_load_sends_sums",
                             "1 if this instance sends the sums."})),
      bytes_sent_(registry.Counter({"rosemaryreach_entry_load_sent_bytes_total",
                                    "Bytes of load messages sent."})),
      bytes_received_(
          registry.Counter({"rosemaryreach_entry_load_received_bytes_total",
                            "Bytes of load messages received."})) {
  for (std::size_t i = 0; i < kKinds.size(); ++i) {
    sent_[i] = &Labelled(registry, "rosemaryreach_entry_load_sent_total",
                         "Load messages sent.", {"kind", kKinds[i]});
    received_[i] =
        &Labelled(registry, "rosemaryreach_entry_load_received_total",
                  "Load messages received.", {"kind", kKinds[i]});
  }
  for (std::size_t i = 0; i < kLoadDropReasons; ++i) {
    dropped_[i] =
        &Labelled(registry, "rosemaryreach_entry_load_dropped_total",
                  "Load messages dropped, by reason.",
                  {"reason", LoadDropName(static_cast<load_drop>(i))});
  }
}

void load_metrics::Publish(const load_counts& counts) {
  for (std::size_t i = 0; i < kKinds.size(); ++i) {
    sent_[i]->Add(counts.sent[i] - published_.sent[i]);
    received_[i]->Add(counts.received[i] - published_.received[i]);
  }
  for (std::size_t i = 0; i < kLoadDropReasons; ++i) {
    dropped_[i]->Add(counts.dropped[i] - published_.dropped[i]);
  }
  bytes_sent_.Add(counts.bytes_sent - published_.bytes_sent);
  bytes_received_.Add(counts.bytes_received - published_.bytes_received);
  published_ = counts;
}

}  // namespace rosemaryreach
