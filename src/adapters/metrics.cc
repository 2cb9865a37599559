#include "rosemaryreach/metrics.h"

#include <boost/histogram/accumulators/thread_safe.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdio>
#include <map>
#include <mutex>
#include <vector>

namespace rosemaryreach {
namespace {

namespace bh = boost::histogram;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using atomic_counts =
    bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;

std::string FormatDouble(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.6g", value);
  return text.data();
}

std::string EscapeLabel(const std::string& value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') {
      escaped += '\\';
    }
    escaped += c;
  }
  return escaped;
}

// Returns `name="value",...` without braces.
std::string FormatLabels(std::span<const metric_label> labels) {
  std::string text;
  for (const metric_label& label : labels) {
    text += text.empty() ? "" : ",";
    text += label.name + "=\"" + EscapeLabel(label.value) + "\"";
  }
  return text;
}

std::string FormatSample(const std::string& name,
                         const std::string& labels,
                         const std::string& value) {
  const std::string braces = labels.empty() ? "" : "{" + labels + "}";
  return name + braces + " " + value + "\n";
}

class boost_histogram : public histogram {
 public:
  explicit boost_histogram(const histogram_range& range)
      : counts_(bh::make_histogram_with(
            atomic_counts(),
            log_axis(range.buckets, range.lowest, range.highest))) {}

  void Observe(double value) override {
    counts_(value);
    sum_.fetch_add(value, std::memory_order_relaxed);
  }

  std::string Format(const std::string& name, const std::string& labels) const {
    const std::string comma = labels.empty() ? "" : ",";
    const log_axis& axis = counts_.axis();
    std::string text;
    std::uint64_t total = 0;
    for (int i = -1; i < axis.size(); ++i) {
      total += counts_.at(i);
      text += FormatSample(
          name + "_bucket",
          labels + comma + "le=\"" + FormatDouble(axis.value(i + 1)) + "\"",
          std::to_string(total));
    }
    total += counts_.at(axis.size());
    text += FormatSample(name + "_bucket", labels + comma + "le=\"+Inf\"",
                         std::to_string(total));
    text += FormatSample(name + "_sum", labels, FormatDouble(sum_.load()));
    return text + FormatSample(name + "_count", labels, std::to_string(total));
  }

 private:
  decltype(bh::make_histogram_with(atomic_counts(),
                                   log_axis(1, 1.0, 2.0))) counts_;
  std::atomic<double> sum_ = 0;
};

// All metrics with the same name, keyed by their formatted labels.
template <typename Metric>
struct metric_family {
  std::string help;
  std::map<std::string, std::unique_ptr<Metric>> metrics;
};

template <typename Metric>
using metric_families = std::map<std::string, metric_family<Metric>>;

// Returns the metric that `descriptor` identifies; `create` makes a new one.
template <typename Metric, typename Create>
Metric& FindOrCreate(metric_families<Metric>& families,
                     const metric_descriptor& descriptor,
                     Create create) {
  metric_family<Metric>& family = families[descriptor.name];
  family.help = descriptor.help;
  std::unique_ptr<Metric>& metric =
      family.metrics[FormatLabels(descriptor.labels)];
  if (metric == nullptr) {
    metric = create();
  }
  return *metric;
}

// Appends the text of each family to its entry in `texts`, keyed by name.
template <typename Metric, typename Format>
void FormatFamilies(const metric_families<Metric>& families,
                    const char* type,
                    Format format,
                    std::map<std::string, std::string>& texts) {
  for (const auto& [name, family] : families) {
    std::string& text = texts[name];
    text.append("# HELP ").append(name).append(" ").append(family.help);
    text.append("\n# TYPE ").append(name).append(" ").append(type);
    text.append("\n");
    for (const auto& [labels, metric] : family.metrics) {
      text += format(name, labels, *metric);
    }
  }
}

class boost_metrics_registry : public metrics_registry {
 public:
  counter& Counter(const metric_descriptor& descriptor) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    return FindOrCreate(counters_, descriptor, std::make_unique<counter>);
  }

  gauge& Gauge(const metric_descriptor& descriptor) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    return FindOrCreate(gauges_, descriptor, std::make_unique<gauge>);
  }

  histogram& Histogram(const metric_descriptor& descriptor,
                       const histogram_range& range) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    return FindOrCreate(histograms_, descriptor, [&range] {
      return std::make_unique<boost_histogram>(range);
    });
  }

  std::string PrometheusText() const override {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::map<std::string, std::string> texts;
    const auto format_value = [](const std::string& name,
                                 const std::string& labels,
                                 const auto& metric) {
      return FormatSample(name, labels, std::to_string(metric.value()));
    };
    FormatFamilies(counters_, "counter", format_value, texts);
    FormatFamilies(gauges_, "gauge", format_value, texts);
    FormatFamilies(
        histograms_, "histogram",
        [](const std::string& name, const std::string& labels,
           const boost_histogram& metric) {
          return metric.Format(name, labels);
        },
        texts);
    std::string output;
    for (const auto& [name, text] : texts) {
      output += text;
    }
    return output;
  }

 private:
  mutable std::mutex mutex_;
  metric_families<counter> counters_;
  metric_families<gauge> gauges_;
  metric_families<boost_histogram> histograms_;
};

}  // namespace

std::unique_ptr<metrics_registry> MakeMetricsRegistry() {
  return std::make_unique<boost_metrics_registry>();
}

}  // namespace rosemaryreach
