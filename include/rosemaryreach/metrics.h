// Interface for metrics: counters, gauges and histograms, exported in the
// Prometheus text format.
#ifndef ROSEMARYREACH_METRICS_H_
#define ROSEMARYREACH_METRICS_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace rosemaryreach {

struct metric_label {
  std::string name;
  std::string value;

  bool operator==(const metric_label&) const = default;
};

// Identifies and describes a metric; equal names and labels denote the same
// metric.
struct metric_descriptor {
  std::string name;
  std::string help;
  std::span<const metric_label> labels = {};
};

// A monotonically increasing count. Thread-safe.
class counter {
 public:
  void Add(std::uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_ = 0;
};

// A value that can increase and decrease. Thread-safe.
class gauge {
 public:
  void Set(std::int64_t value) {
    value_.store(value, std::memory_order_relaxed);
  }
  void Add(std::int64_t amount) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_ = 0;
};

// Counts observations in buckets whose bounds grow by a constant factor.
// Thread-safe.
class histogram {
 public:
  virtual ~histogram() = default;
  virtual void Observe(double value) = 0;
};

// Bounds of a histogram: `buckets` buckets from `lowest` to `highest`, both in
// the unit that the metric's name ends with.
struct histogram_range {
  double lowest = 0.000'1;
  double highest = 10;
  unsigned buckets = 20;
};

// Owns metrics; returned references stay valid for the registry's lifetime.
// Thread-safe. Look up a metric once, not for each event.
class metrics_registry {
 public:
  virtual ~metrics_registry() = default;

  virtual counter& Counter(const metric_descriptor& descriptor) = 0;
  virtual gauge& Gauge(const metric_descriptor& descriptor) = 0;
  virtual histogram& Histogram(const metric_descriptor& descriptor,
                               const histogram_range& range) = 0;

  // Returns all metrics in Prometheus text format, sorted by name.
  virtual std::string PrometheusText() const = 0;
};

// Returns a new, empty registry.
std::unique_ptr<metrics_registry> MakeMetricsRegistry();

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_METRICS_H_
