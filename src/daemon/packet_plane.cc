#include "daemon/packet_plane.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace rosemaryreach {
namespace {

constexpr duration kReportInterval = std::chrono::milliseconds(100);
// Memory budgeted for one pin, in bytes.
constexpr std::uint64_t kPinBytes = 32;
// Share of the control traffic budget for the packet plane; the rest is for
// probes, gossip and headers.
constexpr std::uint32_t kFlowSharePercent = 30;

packet_worker_options WorkerOptions(const settings& settings,
                                    std::uint16_t worker) {
  const listener_settings& listeners = settings.listeners;
  packet_worker_options options;
  options.address = settings.address;
  options.packet_port = listeners.packet_port;
  options.detour_port =
      static_cast<std::uint16_t>(listeners.detour_port + worker);
  options.answer_next_hop = listeners.answer_next_hop;
  options.router.worker = worker;
  options.router.workers = listeners.packet_workers;
  options.router.max_pins =
      settings.limits.memory_bytes / (kPinBytes * listeners.packet_workers);
  options.router.message_bytes_per_s = settings.limits.control_bytes_per_s *
                                       kFlowSharePercent /
                                       (100U * listeners.packet_workers);
  return options;
}

}  // namespace

struct packet_plane::worker_thread {
  worker_thread(const packet_worker_options& options,
                const peer_keys& keys,
                std::uint64_t first_sequence,
                log_sink& log,
                packet_worker_hooks hooks,
                std::function<void(const packet_worker_stats&)> report)
      : worker(loop, options, keys, first_sequence, log, std::move(hooks)),
        report_timer(loop, [this, report = std::move(report)] {
          report(worker.stats());
        }) {
    report_timer.StartEvery(kReportInterval);
  }

  ~worker_thread() {
    loop.Stop();
    if (thread.joinable()) {
      thread.join();
    }
  }

  event_loop loop;
  packet_worker worker;
  loop_timer report_timer;
  std::thread thread;
};

struct packet_plane::plane_metrics {
  explicit plane_metrics(metrics_registry& registry)
      : received(registry.Gauge({"rosemaryreach_packets_received",
                                 "Packets received from the fabric."})),
        detours(registry.Gauge({"rosemaryreach_packet_detours",
                                "Packets passed to another instance."})),
        dropped(registry.Gauge(
            {"rosemaryreach_packets_dropped", "Packets dropped by rule."})),
        resets(registry.Gauge(
            {"rosemaryreach_packet_resets", "Flows answered with a reset."})),
        pins(registry.Gauge({"rosemaryreach_pins", "Flows with a pin."})),
        open_buckets(registry.Gauge(
            {"rosemaryreach_open_buckets", "Buckets in transition."})),
        detours_refused(registry.Gauge(
            {"rosemaryreach_detours_refused",
             "Detoured packets without a valid authenticator."})),
        malformed_messages(registry.Counter(
            {"rosemaryreach_flow_messages_malformed_total",
             "Messages between flow routers that can't be read."})) {}

  gauge& received;
  gauge& detours;
  gauge& dropped;
  gauge& resets;
  gauge& pins;
  gauge& open_buckets;
  gauge& detours_refused;
  counter& malformed_messages;
};

packet_plane::packet_plane(event_loop& control,
                           const settings& settings,
                           const peer_keys& keys,
                           std::uint64_t first_sequence,
                           log_sink& log,
                           metrics_registry& metrics,
                           send_state send)
    : control_(control),
      log_(log),
      send_(std::move(send)),
      metrics_(std::make_unique<plane_metrics>(metrics)),
      reports_(settings.listeners.packet_workers) {
  packet_worker_hooks hooks;
  hooks.send_flow_state = [this](instance_id to, std::string payload) {
    control_.Post(
        [this, to, payload = std::move(payload)] { send_(to, payload); });
  };
  for (std::uint16_t i = 0; i < settings.listeners.packet_workers; ++i) {
    threads_.push_back(std::make_unique<worker_thread>(
        WorkerOptions(settings, i), keys, first_sequence, log, hooks,
        [this, i](const packet_worker_stats& stats) {
          control_.Post([this, i, stats] { OnReport(i, stats); });
        }));
  }
}

packet_plane::~packet_plane() = default;

result<void> packet_plane::Start() {
  for (const std::unique_ptr<worker_thread>& thread : threads_) {
    BOOST_OUTCOME_TRYV(thread->worker.Start());
  }
  for (const std::unique_ptr<worker_thread>& thread : threads_) {
    thread->thread = std::thread([&loop = thread->loop] { loop.Run(); });
  }
  return success();
}

void packet_plane::ApplyConfiguration(
    std::shared_ptr<const configuration> config) {
  PostToAll([config = std::move(config)](packet_worker& worker) {
    worker.ApplyConfiguration(config);
  });
}

void packet_plane::ApplyView(const fleet_view& view) {
  view_version_ = view.version;
  PostToAll([view](packet_worker& worker) { worker.ApplyView(view); });
}

void packet_plane::SetTrusted(bool trusted) {
  PostToAll([trusted](packet_worker& worker) { worker.SetTrusted(trusted); });
}

void packet_plane::OnFlowState(instance_id from, std::string_view payload) {
  const result<flow_message> message = DecodeFlowMessage(
      {reinterpret_cast<const std::uint8_t*>(payload.data()), payload.size()});
  if (!message) {
    metrics_->malformed_messages.Add();
    log_.Write(log_level::kWarning, "flow_message_malformed",
               FormatError(message.error()));
    return;
  }
  PostToAll([from, message = message.value()](packet_worker& worker) {
    worker.OnFlowState(from, message);
  });
}

void packet_plane::ReportTarget(std::string_view service,
                                std::string_view target,
                                target_condition condition) {
  PostToAll([service = std::string(service), target = std::string(target),
             condition](packet_worker& worker) {
    worker.ReportTarget(service, target, condition);
  });
}

bool packet_plane::synchronized() const {
  return std::all_of(reports_.begin(), reports_.end(),
                     [this](const packet_worker_stats& stats) {
                       return stats.synchronized &&
                              stats.view_version == view_version_;
                     });
}

bool packet_plane::handed_over() const {
  return std::all_of(reports_.begin(), reports_.end(),
                     [this](const packet_worker_stats& stats) {
                       return stats.handed_over &&
                              stats.view_version == view_version_;
                     });
}

packet_worker_stats packet_plane::stats() const {
  packet_worker_stats sum;
  for (const packet_worker_stats& report : reports_) {
    sum.received += report.received;
    sum.detours_received += report.detours_received;
    sum.detours_refused += report.detours_refused;
    sum.sent += report.sent;
    sum.send_errors += report.send_errors;
    sum.truncated += report.truncated;
    sum.resets_unsent += report.resets_unsent;
    sum.router.pins += report.router.pins;
    sum.router.open_buckets += report.router.open_buckets;
    sum.router.owned_buckets += report.router.owned_buckets;
    sum.router.pins_refused += report.router.pins_refused;
    sum.router.dropped += report.router.dropped;
    sum.router.resets += report.router.resets;
    sum.router.detours += report.router.detours;
  }
  sum.synchronized = synchronized();
  sum.handed_over = handed_over();
  return sum;
}

void packet_plane::PostToAll(const std::function<void(packet_worker&)>& run) {
  for (const std::unique_ptr<worker_thread>& thread : threads_) {
    thread->loop.Post([run, &worker = thread->worker] { run(worker); });
  }
}

void packet_plane::OnReport(std::size_t worker,
                            const packet_worker_stats& stats) {
  reports_[worker] = stats;
  const packet_worker_stats sum = this->stats();
  metrics_->received.Set(static_cast<std::int64_t>(sum.received));
  metrics_->detours.Set(static_cast<std::int64_t>(sum.router.detours));
  metrics_->dropped.Set(static_cast<std::int64_t>(sum.router.dropped));
  metrics_->resets.Set(static_cast<std::int64_t>(sum.router.resets));
  metrics_->pins.Set(static_cast<std::int64_t>(sum.router.pins));
  metrics_->open_buckets.Set(
      static_cast<std::int64_t>(sum.router.open_buckets));
  metrics_->detours_refused.Set(static_cast<std::int64_t>(sum.detours_refused));
}

}  // namespace rosemaryreach
