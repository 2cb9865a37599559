#include "daemon/instance.h"

#include <array>
#include <chrono>
#include <csignal>
#include <memory>
#include <optional>
#include <utility>

#include "adapters/admin_documents.h"
#include "adapters/admin_explain.h"
#include "adapters/admin_server.h"
#include "adapters/control_task.h"
#include "adapters/event_loop.h"
#include "adapters/json_log.h"
#include "adapters/platform_directory.h"
#include "adapters/platform_http.h"
#include "adapters/random_seed.h"
#include "adapters/signal_descriptor.h"
#include "adapters/target_prober.h"
#include "daemon/packet_plane.h"
#include "daemon/request_plane.h"
#include "daemon/status_json.h"
#include "rosemaryreach/config_json.h"
#include "rosemaryreach/metrics.h"
#include "rosemaryreach/ownership.h"

namespace rosemaryreach {
namespace {

constexpr duration kLifecycleInterval = std::chrono::milliseconds(100);
constexpr duration kConfirmInterval = std::chrono::milliseconds(500);

// Returns the first authenticator sequence: the wall clock in microseconds, so
// that sequences start above those of an earlier run.
std::uint64_t InitialSequence() {
  const std::chrono::system_clock::duration since_epoch =
      std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
          .count());
}

std::unique_ptr<platform_source> MakePlatformSource(
    event_loop& loop,
    const platform_settings& platform,
    std::uint64_t seed) {
  if (!platform.http) {
    return std::make_unique<platform_directory>(
        loop, platform.directory, std::chrono::milliseconds(platform.poll_ms));
  }
  platform_http_options options;
  options.server = *platform.http;
  options.reads_per_minute = platform.reads_per_minute;
  return std::make_unique<platform_http>(loop, options, seed);
}

class instance {
 public:
  instance(const settings& settings, const peer_keys& keys, std::string token);

  result<void> Start();
  void Run() { loop_.Run(); }

 private:
  control_hooks ControlHooks();
  admin_hooks AdminHooks();
  void OnConfiguration(const accepted_change& change);
  void OnView(const fleet_view& view, bool trusted);
  void OnCondition(std::string_view service,
                   std::string_view target,
                   target_condition condition);
  void OnSignal();
  void BeginStop();
  void OnLifecycleTimer();
  void OnConfirmTimer();
  void Finish(std::string_view reason);
  void LogIfSendFailed(std::string_view event, const result<void>& sent);
  bool HasNoSuccessor() const;
  bool CanServe() const;
  readiness Readiness() const;
  nlohmann::json Status() const;
  nlohmann::json Configuration() const;
  nlohmann::json Targets() const;
  template <typename Query>
  result<nlohmann::json> Explain(
      result<nlohmann::json> (*explain)(const configuration&,
                                        const fleet_view&,
                                        const Query&),
      const Query& query) const;

  settings settings_;
  // Declared before all members that start threads, so that the threads inherit
  // the signal mask.
  signal_descriptor signals_;
  background_writer writer_;
  json_log log_;
  std::unique_ptr<metrics_registry> metrics_;
  event_loop loop_;
  std::unique_ptr<platform_source> platform_;
  control_task control_;
  packet_plane packets_;
  request_plane requests_;
  target_prober prober_;
  admin_server admin_;
  descriptor_watch signal_watch_;
  loop_timer lifecycle_;
  loop_timer confirm_;
  std::optional<time_point> stop_deadline_;
};

instance::instance(const settings& settings,
                   const peer_keys& keys,
                   std::string token)
    : settings_(settings),
      writer_(MakeStdoutWriter()),
      log_(settings.log,
           settings.instance,
           [this](std::string line) { writer_.Write(std::move(line)); }),
      metrics_(MakeMetricsRegistry()),
      platform_(MakePlatformSource(loop_, settings.platform, RandomSeed())),
      control_(loop_, settings_, keys, *platform_, log_, ControlHooks()),
      packets_(loop_,
               settings_,
               keys,
               InitialSequence(),
               log_,
               *metrics_,
               [this](instance_id to, const std::string& payload) {
                 LogIfSendFailed("flow_state_unsent",
                                 control_.SendFlowState(to, payload));
               }),
      requests_(loop_,
                settings_,
                keys,
                RandomSeed(),
                log_,
                *metrics_,
                [this](instance_id to, const std::string& payload) {
                  LogIfSendFailed("request_state_unsent",
                                  control_.SendRequestState(to, payload));
                }),
      prober_(loop_,
              settings_.probes,
              RandomSeed(),
              [this](std::string_view service,
                     std::string_view target,
                     target_condition condition) {
                OnCondition(service, target, condition);
              }),
      admin_(loop_, std::move(token), AdminHooks()),
      signal_watch_(loop_,
                    signals_.fd(),
                    io_event::kRead,
                    [this] { OnSignal(); }),
      lifecycle_(loop_, [this] { OnLifecycleTimer(); }),
      confirm_(loop_, [this] { OnConfirmTimer(); }) {}

result<void> instance::Start() {
  loop_.SetErrorHandler([this](std::string_view what) {
    log_.Write(log_level::kError, "callback_failed", what);
  });
  BOOST_OUTCOME_TRYV(packets_.Start());
  BOOST_OUTCOME_TRYV(requests_.Start());
  if (settings_.listeners.admin.port != 0) {
    BOOST_OUTCOME_TRYV(admin_.Listen(settings_.listeners.admin));
  }
  BOOST_OUTCOME_TRYV(control_.Start());
  lifecycle_.StartEvery(kLifecycleInterval);
  confirm_.StartEvery(kConfirmInterval);
  log_.Write(log_level::kInfo, "started", settings_.instance);
  return success();
}

control_hooks instance::ControlHooks() {
  control_hooks hooks;
  hooks.on_configuration = [this](const accepted_change& change) {
    OnConfiguration(change);
  };
  hooks.on_view = [this](const fleet_view& view, bool trusted) {
    OnView(view, trusted);
  };
  hooks.on_flow_state = [this](instance_id from, std::string_view payload) {
    packets_.OnFlowState(from, payload);
  };
  hooks.on_request_state = [this](instance_id from, std::string_view payload) {
    requests_.OnRequestState(from, payload);
  };
  return hooks;
}

admin_hooks instance::AdminHooks() {
  admin_hooks hooks;
  hooks.ready = [this] { return Readiness(); };
  hooks.metrics = [this] { return metrics_->PrometheusText(); };
  hooks.status = [this] { return Status(); };
  hooks.configuration = [this] { return Configuration(); };
  hooks.verdicts = [this] {
    return VerdictsToJson(control_.Status().verdicts);
  };
  hooks.targets = [this] { return Targets(); };
  hooks.explain_flow = [this](const flow_query& query) {
    return Explain(ExplainFlow, query);
  };
  hooks.explain_request = [this](const request_query& query) {
    return Explain(ExplainRequest, query);
  };
  return hooks;
}

void instance::OnConfiguration(const accepted_change& change) {
  log_.Write(log_level::kInfo, "configuration_accepted",
             std::to_string(change.current->number));
  packets_.ApplyConfiguration(change.current);
  requests_.ApplyConfiguration(change.current);
  prober_.ApplyConfiguration(change.current);
}

void instance::OnView(const fleet_view& view, bool trusted) {
  packets_.SetTrusted(trusted);
  if (!trusted) {
    log_.Write(log_level::kWarning, "view_untrusted",
               "waiting for messages from peers");
    return;
  }
  packets_.ApplyView(view);
  requests_.ApplyView(view);
  prober_.ApplyView(view);
}

void instance::OnCondition(std::string_view service,
                           std::string_view target,
                           target_condition condition) {
  log_.Write(log_level::kInfo, "target_condition",
             std::string(service) + "/" + std::string(target) + " " +
                 TargetConditionName(condition));
  packets_.ReportTarget(service, target, condition);
  requests_.ReportTarget(service, target, condition);
}

void instance::OnSignal() {
  for (int signal = signals_.Read(); signal != 0; signal = signals_.Read()) {
    if (signal == SIGHUP) {
      log_.Write(log_level::kWarning, "reload_refused",
                 "SIGHUP ignored; the configuration comes from the platform");
    } else if (stop_deadline_) {
      Finish("second signal");
    } else {
      BeginStop();
    }
  }
}

void instance::BeginStop() {
  log_.Write(log_level::kInfo, "stopping", settings_.instance);
  stop_deadline_ =
      loop_.now() + std::chrono::milliseconds(settings_.stop_timeout_ms);
  control_.SetState(instance_state::kLeaving);
  requests_.BeginStop();
}

void instance::OnLifecycleTimer() {
  const control_status status = control_.Status();
  if (!stop_deadline_) {
    if (status.state == instance_state::kJoining && CanServe()) {
      control_.SetState(instance_state::kActive);
      log_.Write(log_level::kInfo, "active", settings_.instance);
    }
    return;
  }
  const bool handed_over = packets_.handed_over() || HasNoSuccessor();
  if (handed_over && requests_.drained()) {
    Finish("drained");
  } else if (loop_.now() >= *stop_deadline_) {
    Finish("stop timeout, " +
           std::to_string(packets_.stats().router.owned_buckets) +
           " buckets not handed over, " +
           std::to_string(requests_.stats().requests) + " requests open");
  }
}

void instance::OnConfirmTimer() {
  if (control_.trusted()) {
    requests_.ConfirmView();
  }
}

void instance::LogIfSendFailed(std::string_view event,
                               const result<void>& sent) {
  if (!sent) {
    log_.Write(log_level::kWarning, event, FormatError(sent.error()));
  }
}

void instance::Finish(std::string_view reason) {
  log_.Write(log_level::kInfo, "stopped", reason);
  control_.Leave();
  loop_.Stop();
}

// Returns whether no other instance could take over the buckets of this one.
bool instance::HasNoSuccessor() const {
  const owner_ranking others(control_.view(), settings_.region);
  return others.candidates().empty();
}

bool instance::CanServe() const {
  return control_.trusted() && control_.current_configuration() != nullptr &&
         packets_.synchronized();
}

readiness instance::Readiness() const {
  const control_status status = control_.Status();
  if (stop_deadline_) {
    return {false, "the graceful stop"};
  }
  if (!status.ready) {
    return {false, status.waiting_for};
  }
  if (!CanServe()) {
    return {false, "the state of open buckets from peers"};
  }
  return {status.state == instance_state::kActive, "activation"};
}

nlohmann::json instance::Status() const {
  nlohmann::json status = FleetStatusToJson(control_.Status());
  status["instance"] = settings_.instance;
  status["data_centre"] = settings_.data_centre;
  status["packets"] = PacketStatsToJson(packets_.stats());
  status["requests"] = RequestStatsToJson(requests_.stats());
  return status;
}

nlohmann::json instance::Configuration() const {
  const std::shared_ptr<const configuration> current =
      control_.current_configuration();
  return current ? ConfigurationToJson(*current) : nlohmann::json();
}

nlohmann::json instance::Targets() const {
  const std::shared_ptr<const configuration> current =
      control_.current_configuration();
  return current ? TargetsToJson(*current) : nlohmann::json::array();
}

template <typename Query>
result<nlohmann::json> instance::Explain(
    result<nlohmann::json> (*explain)(const configuration&,
                                      const fleet_view&,
                                      const Query&),
    const Query& query) const {
  const std::shared_ptr<const configuration> current =
      control_.current_configuration();
  if (current == nullptr) {
    return Fail(errc::kUnavailable, "no configuration is in force");
  }
  return explain(*current, control_.view(), query);
}

result<peer_keys> ReadKeys(const settings& settings) {
  peer_keys keys;
  for (const std::string& file : settings.key_files) {
    BOOST_OUTCOME_TRY(key, ReadSecret(file));
    keys.push_back(key);
  }
  if (keys.empty()) {
    return Fail(errc::kRuleViolation,
                "expected at least one key file, got none", "/key_files");
  }
  return keys;
}

}  // namespace

result<void> RunUntilStopped(const settings& settings) {
  BOOST_OUTCOME_TRY(keys, ReadKeys(settings));
  std::string token;
  if (!settings.listeners.admin_token_file.empty()) {
    BOOST_OUTCOME_TRY(secret, ReadSecret(settings.listeners.admin_token_file));
    token = secret;
  }
  instance running(settings, keys, std::move(token));
  BOOST_OUTCOME_TRYV(running.Start());
  running.Run();
  return success();
}

}  // namespace rosemaryreach
