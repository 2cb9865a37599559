// Metrics of load sharing; docs/operators/load-sharing.md explains them.
#ifndef ROSEMARYREACH_ENTRYD_LOAD_METRICS_H_
#define ROSEMARYREACH_ENTRYD_LOAD_METRICS_H_

#include <array>

#include "rosemaryreach/load_exchange.h"
#include "rosemaryreach/metrics.h"

namespace rosemaryreach {

class load_metrics {
 public:
  explicit load_metrics(metrics_registry& registry);

  // Adds what has been counted since the last call.
  void Publish(const load_counts& counts);
  // Counts start at 0 again.
  void Restart() { published_ = {}; }

  counter& rejected;  // by the kernel
  gauge& age_ms;      // -1 without sums
  gauge& collector;   // in use: IPv4 address as a number, 0 if none
  gauge& acting;

 private:
  std::array<counter*, 3> sent_{};
  std::array<counter*, 3> received_{};
  std::array<counter*, kLoadDropReasons> dropped_{};
  counter& bytes_sent_;
  counter& bytes_received_;
  load_counts published_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ENTRYD_LOAD_METRICS_H_
