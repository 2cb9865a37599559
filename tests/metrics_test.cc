#include "rosemaryreach/metrics.h"

#include <catch2/catch.hpp>
#include <vector>

namespace rosemaryreach {
namespace {

TEST_CASE("Equal names and labels denote the same metric") {
  const std::unique_ptr<metrics_registry> registry = MakeMetricsRegistry();
  const std::vector<metric_label> labels = {{"service", "led\"ger"}};
  registry->Counter({"packets_total", "Packets.", labels}).Add(2);
  registry->Counter({"packets_total", "Packets.", labels}).Add();
  registry->Counter({"packets_total", "Packets."}).Add(7);
  registry->Gauge({"flows", "Flows."}).Set(-1);
  CHECK(registry->PrometheusText() ==
        "# HELP flows Flows.\n"
        "# TYPE flows gauge\n"
        "flows -1\n"
        "# HELP packets_total Packets.\n"
        "# TYPE packets_total counter\n"
        "packets_total 7\n"
        "packets_total{service=\"led\\\"ger\"} 3\n");
}

TEST_CASE("Histograms count below, within and above their range") {
  const std::unique_ptr<metrics_registry> registry = MakeMetricsRegistry();
  histogram& times = registry->Histogram({"wait_s", "Waits."}, {0.01, 1, 2});
  for (const double value : {0.001, 0.05, 0.5, 5.0}) {
    times.Observe(value);
  }
  CHECK(registry->PrometheusText() ==
        "# HELP wait_s Waits.\n"
        "# TYPE wait_s histogram\n"
        "wait_s_bucket{le=\"0.01\"} 1\n"
        "wait_s_bucket{le=\"0.1\"} 2\n"
        "wait_s_bucket{le=\"1\"} 3\n"
        "wait_s_bucket{le=\"+Inf\"} 4\n"
        "wait_s_sum 5.551\n"
        "wait_s_count 4\n");
}

}  // namespace
}  // namespace rosemaryreach
