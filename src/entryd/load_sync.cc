#include "entryd/load_sync.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace rosemaryreach {
namespace {

// Reports of 333 instances, counted with the overhead of the kernel.
constexpr int kSocketBytes = 524'288;
// Changes of collector that are logged in a second; the rest are only counted.
constexpr std::size_t kLinesPerSecond = 4;

std::string FormatAddress(std::uint32_t address) {
  return address == 0 ? "none" : FormatIp(ToEndpoint({address, 0}).address);
}

std::string_view ToStringView(std::span<const std::uint8_t> bytes) {
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

}  // namespace

load_sync::load_sync(event_loop& loop,
                     const entry_settings& settings,
                     const target_directory& directory,
                     const flow_tracker& tracker,
                     const peer_group& peers,
                     entry_log& log,
                     metrics_registry& registry)
    : loop_(loop),
      directory_(directory),
      peers_(peers),
      log_(log),
      metrics_(registry),
      own_load_(directory, tracker),
      port_(settings.load_port),
      lines_left_(kLinesPerSecond),
      timer_(loop, [this] { OnTimer(); }) {}

bool load_sync::Wanted(const entry_settings& settings) const {
  const std::vector<entry_route>& routes = directory_.config().routes;
  return settings.load.sharing && port_ != 0 &&
         std::any_of(routes.begin(), routes.end(), [](const entry_route& one) {
           return one.latency_target > duration(0);
         });
}

void load_sync::Update(const entry_settings& settings) {
  const bool wanted = Wanted(settings);
  if (wanted && exchange_ == nullptr) {
    StartExchange(settings);
  } else if (!wanted && exchange_ != nullptr) {
    StopExchange(settings.load.sharing ? "no route has a latency objective"
                                       : "switched off in the settings");
  }
}

void load_sync::StartExchange(const entry_settings& settings) {
  endpoint local = settings.control_endpoint;
  local.port = port_;
  result<udp_socket> bound =
      udp_socket::Bind(local, port_sharing::kExclusive, kSocketBytes);
  if (!bound) {
    if (!std::exchange(bind_failed_, true)) {
      Log("no_socket", FormatError(bound.error()));
    }
    return;
  }
  bind_failed_ = false;
  socket_ = std::move(bound).value();
  watch_ = std::make_unique<descriptor_watch>(
      loop_, socket_->fd(), io_event::kRead, [this] { OnDatagrams(); });
  load_exchange_hooks hooks;
  hooks.collect = [this](time_point now) { return own_load_.Collect(now); };
  hooks.send = [this](std::span<const std::uint32_t> to,
                      const std::string& bytes) { SendTo(to, bytes); };
  hooks.changed = [this](const char* outcome, std::uint32_t collector) {
    OnChanged(outcome, collector);
  };
  exchange_ = std::make_unique<load_exchange>(peers_, settings.link_mbps,
                                              std::move(hooks), BootTimeNow());
  Log("started", FormatEndpoint(local));
  StartTimer();
}

void load_sync::StopExchange(const char* reason) {
  timer_.Stop();
  UpdateMetrics();
  metrics_.Restart();
  exchange_.reset();
  watch_.reset();
  socket_.reset();
  Log("stopped", reason);
}

void load_sync::OnSecond() {
  if (skipped_lines_ > 0) {
    Log("changes_skipped", std::to_string(skipped_lines_) + " lines");
  }
  skipped_lines_ = 0;
  lines_left_ = kLinesPerSecond;
}

void load_sync::OnInFlightChanged(target_index target) {
  if (exchange_ != nullptr) {
    own_load_.OnInFlightChanged(target);
  }
}

void load_sync::OnAnswered(target_index target, duration elapsed) {
  if (exchange_ != nullptr) {
    own_load_.OnAnswered(target, elapsed);
  }
}

void load_sync::OnStalled(target_index target) {
  if (exchange_ != nullptr) {
    own_load_.OnStalled(target, BootTimeNow());
  }
}

void load_sync::OnSuspected() {
  if (exchange_ != nullptr) {
    exchange_->ReportSoon(BootTimeNow());
    StartTimer();
  }
}

void load_sync::OnOffered(const std::string& service) {
  if (exchange_ != nullptr) {
    own_load_.OnOffered(service);
  }
}

shared_load_hooks load_sync::Hooks() const {
  shared_load_hooks hooks;
  hooks.target = [this](std::uint32_t cookie) {
    return exchange_ == nullptr ? std::optional<shared_target_load>()
                                : exchange_->TargetLoad(cookie, BootTimeNow());
  };
  hooks.service = [this](const std::string& service) {
    return exchange_ == nullptr
               ? std::optional<shared_service_load>()
               : exchange_->ServiceLoad(service, BootTimeNow());
  };
  return hooks;
}

void load_sync::OnDatagrams() {
  const time_point now = BootTimeNow();
  for (const datagram& incoming : received_.Receive(socket_->fd())) {
    exchange_->OnDatagram(ToIpv4Endpoint(incoming.from).address,
                          ToStringView(incoming.bytes), now);
  }
  StartTimer();
}

void load_sync::OnTimer() {
  exchange_->Tick(BootTimeNow());
  StartTimer();
}

void load_sync::StartTimer() {
  timer_.Start(std::max(exchange_->next_due() - BootTimeNow(), duration(0)));
}

void load_sync::SendTo(std::span<const std::uint32_t> to,
                       const std::string& bytes) {
  const std::span<const std::uint8_t> body(
      reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  send_batch sending(socket_->fd());
  for (const std::uint32_t address : to) {
    sending.Add(0, body, ToEndpoint({address, port_}));
  }
  sending.Flush();
  metrics_.rejected.Add(sending.dropped());
}

void load_sync::OnChanged(const char* outcome, std::uint32_t collector) {
  if (lines_left_ == 0) {
    ++skipped_lines_;
    return;
  }
  --lines_left_;
  Log(outcome, "collector " + FormatAddress(collector));
}

void load_sync::Log(const char* outcome, const std::string& detail) {
  const std::array<log_field, 3> fields = {
      log_field{"outcome", outcome}, log_field{"detail", detail},
      log_field{"peers", static_cast<std::int64_t>(peers_.size())}};
  log_.LogStateChange("load_sharing", fields);
}

void load_sync::UpdateMetrics() {
  if (exchange_ == nullptr) {
    metrics_.age_ms.Set(-1);
    metrics_.collector.Set(0);
    metrics_.acting.Set(0);
    return;
  }
  metrics_.Publish(exchange_->counts());
  const duration age = exchange_->age(BootTimeNow());
  metrics_.age_ms.Set(age == duration::max() ? -1 : ToMillis(age));
  metrics_.collector.Set(exchange_->collector_in_use());
  metrics_.acting.Set(exchange_->acting() ? 1 : 0);
}

nlohmann::json load_sync::StatusDocument() const {
  if (exchange_ == nullptr) {
    return {{"on", false}};
  }
  const duration age = exchange_->age(BootTimeNow());
  nlohmann::json answer = {
      {"on", true},
      {"collector", FormatAddress(exchange_->collector_in_use())},
      {"collectors", nlohmann::json::array()},
      {"sends_sums", exchange_->acting()},
      {"age_ms", age == duration::max() ? nlohmann::json(nullptr)
                                        : nlohmann::json(ToMillis(age))}};
  for (const std::uint32_t collector : exchange_->collectors()) {
    answer["collectors"].push_back(FormatAddress(collector));
  }
  return answer;
}

nlohmann::json load_sync::TargetDocument(std::uint32_t cookie) const {
  const std::optional<shared_target_load> load =
      exchange_ == nullptr ? std::nullopt
                           : exchange_->TargetLoad(cookie, BootTimeNow());
  if (!load) {
    return nullptr;
  }
  const bool answered = load->since_answer != duration::max();
  return {{"running", load->running},
          {"opening", load->opening},
          {"open", load->open},
          {"unanswered", load->unanswered},
          {"response_ms", ToMillis(load->response_time)},
          {"since_answer_ms", answered
                                  ? nlohmann::json(ToMillis(load->since_answer))
                                  : nlohmann::json(nullptr)},
          {"age_ms", ToMillis(load->age)}};
}

}  // namespace rosemaryreach
