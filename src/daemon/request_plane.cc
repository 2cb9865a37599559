#include "daemon/request_plane.h"

#include <utility>

#include "rosemaryreach/ownership.h"
#include "rosemaryreach/request_messages.h"

namespace rosemaryreach {
namespace {

constexpr duration kReportInterval = std::chrono::milliseconds(100);

request_task_settings TaskSettings(const settings& settings,
                                   std::uint64_t seed) {
  request_task_settings task;
  task.callers = settings.listeners.requests;
  task.peers = {settings.address, settings.listeners.peer_request_port};
  task.router.seed = seed;
  task.router.stop_timeout =
      std::chrono::milliseconds(settings.stop_timeout_ms);
  return task;
}

}  // namespace

struct request_plane::plane_metrics {
  explicit plane_metrics(metrics_registry& registry)
      : total(registry.Gauge(
            {"rosemaryreach_requests", "Requests received since the start."})),
        refused(registry.Gauge({"rosemaryreach_requests_refused",
                                "Requests answered by the instance itself."})),
        aborted(registry.Gauge({"rosemaryreach_requests_cut",
                                "Answers cut short and reported as such."})),
        open(registry.Gauge(
            {"rosemaryreach_requests_open", "Requests in progress."})),
        buffered(registry.Gauge({"rosemaryreach_request_buffered_bytes",
                                 "Octets held in request buffers."})),
        malformed_messages(registry.Counter(
            {"rosemaryreach_request_messages_malformed_total",
             "Messages between request routers that can't be read."})) {}

  gauge& total;
  gauge& refused;
  gauge& aborted;
  gauge& open;
  gauge& buffered;
  counter& malformed_messages;
};

request_plane::request_plane(event_loop& control,
                             const settings& settings,
                             const peer_keys& keys,
                             std::uint64_t seed,
                             log_sink& log,
                             metrics_registry& metrics,
                             send_state send)
    : control_(control),
      log_(log),
      send_(std::move(send)),
      metrics_(std::make_unique<plane_metrics>(metrics)),
      auth_(MakeInstanceId(settings.instance), keys, 0),
      task_(loop_,
            MakeInstanceId(settings.instance),
            TaskSettings(settings, seed),
            MakeTaskHooks(),
            log),
      report_timer_(loop_, [this] {
        control_.Post([this, stats = task_.stats()] { OnReport(stats); });
      }) {}

request_plane::~request_plane() {
  loop_.Stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

request_task_hooks request_plane::MakeTaskHooks() {
  request_task_hooks hooks;
  hooks.sign = [this](std::string_view text) { return auth_.Sign(text); };
  hooks.verify = [this](std::string_view text, std::string_view signature) {
    return auth_.Verify(text, signature);
  };
  hooks.send = [this](instance_id to, const request_message& message) {
    control_.Post([this, to, payload = EncodeRequestMessage(message)] {
      send_(to, payload);
    });
  };
  hooks.on_stopped = [this] { control_.Post([this] { drained_ = true; }); };
  return hooks;
}

result<void> request_plane::Start() {
  BOOST_OUTCOME_TRYV(task_.Start());
  report_timer_.StartEvery(kReportInterval);
  thread_ = std::thread([this] { loop_.Run(); });
  return success();
}

void request_plane::ApplyConfiguration(
    std::shared_ptr<const configuration> config) {
  Post([config = std::move(config)](request_task& task) {
    task.ApplyConfiguration(config);
  });
}

void request_plane::ApplyView(const fleet_view& view) {
  Post([view](request_task& task) { task.ApplyView(view); });
}

void request_plane::ConfirmView() {
  Post([](request_task& task) { task.ConfirmView(); });
}

void request_plane::OnRequestState(instance_id from, std::string_view payload) {
  const result<request_message> message = DecodeRequestMessage(payload);
  if (!message) {
    metrics_->malformed_messages.Add();
    log_.Write(log_level::kWarning, "request_message_malformed",
               FormatError(message.error()));
    return;
  }
  Post([from, message = message.value()](request_task& task) {
    task.OnMessage(from, message);
  });
}

void request_plane::ReportTarget(std::string_view service,
                                 std::string_view target,
                                 target_condition condition) {
  const bool healthy = condition == target_condition::kHealthy ||
                       condition == target_condition::kCold;
  const target_report report{{TargetKey(service, target)}, healthy};
  Post([report](request_task& task) { task.OnTargetReport(report); });
}

void request_plane::BeginStop() {
  Post([](request_task& task) { task.BeginStop(); });
}

void request_plane::Post(std::function<void(request_task&)> run) {
  loop_.Post([this, run = std::move(run)] { run(task_); });
}

void request_plane::OnReport(const request_task_stats& stats) {
  stats_ = stats;
  metrics_->total.Set(static_cast<std::int64_t>(stats.requests_total));
  metrics_->refused.Set(static_cast<std::int64_t>(stats.refused_total));
  metrics_->aborted.Set(static_cast<std::int64_t>(stats.aborted_total));
  metrics_->open.Set(static_cast<std::int64_t>(stats.requests));
  metrics_->buffered.Set(static_cast<std::int64_t>(stats.buffered_bytes));
}

}  // namespace rosemaryreach
