#include "adapters/target_prober.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "adapters/http_get.h"

namespace rosemaryreach {
namespace {

constexpr duration kScheduleInterval = std::chrono::milliseconds(50);
constexpr std::size_t kMaxBodyBytes = 4'096;
constexpr int kHttpOk = 200;

probe_result ClassifyReply(const result<http_reply>& reply) {
  if (!reply) {
    return probe_result::kTimeout;
  }
  if (reply.value().status != kHttpOk) {
    return probe_result::kRefused;
  }
  const nlohmann::json report =
      nlohmann::json::parse(reply.value().body, nullptr, false);
  const bool cold = report.is_object() && report.contains("state") &&
                    report["state"] == "cold";
  return cold ? probe_result::kCold : probe_result::kOk;
}

}  // namespace

// Probes one target, with at most one probe in flight.
class target_prober::probe {
 public:
  probe(target_prober& owner,
        std::string service,
        const target_config& target,
        time_point first)
      : owner_(owner),
        service_(std::move(service)),
        target_(target.name),
        address_(*target.probe),
        next_(first),
        getter_(owner.loop_, *target.probe, kMaxBodyBytes) {}

  bool Matches(const target_config& target) const {
    return target.probe == address_;
  }

  void StartIfDue(time_point now) {
    if (getter_.busy() || now < next_) {
      return;
    }
    started_ = now;
    next_ = now + std::chrono::milliseconds(owner_.settings_.interval_ms);
    getter_.Get("/healthz",
                std::chrono::milliseconds(owner_.settings_.timeout_ms),
                [this](const result<http_reply>& reply) { OnReply(reply); });
  }

 private:
  void OnReply(const result<http_reply>& reply) {
    const duration latency = owner_.loop_.now() - started_;
    if (health_.OnProbe(ClassifyReply(reply), latency)) {
      owner_.on_condition_(service_, target_, health_.condition());
    }
  }

  target_prober& owner_;
  std::string service_;
  std::string target_;
  endpoint address_;
  time_point next_;
  time_point started_;
  target_health health_;
  http_get_client getter_;
};

target_prober::target_prober(event_loop& loop,
                             const probe_settings& settings,
                             std::uint64_t seed,
                             condition_handler on_condition)
    : loop_(loop),
      settings_(settings),
      random_(seed),
      on_condition_(std::move(on_condition)),
      timer_(loop, [this] { StartDueProbes(); }) {
  timer_.StartEvery(kScheduleInterval);
}

target_prober::~target_prober() = default;

void target_prober::ApplyConfiguration(
    std::shared_ptr<const configuration> config) {
  config_ = std::move(config);
  SelectTargets();
}

void target_prober::ApplyView(const fleet_view& view) {
  view_ = view;
  SelectTargets();
}

void target_prober::SelectTargets() {
  if (!config_) {
    return;
  }
  probe_map selected;
  for (const data_centre_config& centre : config_->data_centres) {
    const owner_ranking ranking(view_, centre.region, centre.name);
    for (const service_config& service : config_->services) {
      SelectServiceTargets(service, centre, ranking, selected);
    }
  }
  probed_ = std::move(selected);
}

void target_prober::SelectServiceTargets(const service_config& service,
                                         const data_centre_config& centre,
                                         const owner_ranking& ranking,
                                         probe_map& selected) {
  for (const target_config& target : service.targets) {
    if (target.data_centre != centre.name || !target.probe) {
      continue;
    }
    const std::uint64_t key = TargetKey(service.name, target.name);
    const owner_pair owners = ranking.Owners(key);
    if (owners.owner != view_.self && owners.successor != view_.self) {
      continue;
    }
    std::unique_ptr<probe>& existing = probed_[key];
    selected[key] = existing && existing->Matches(target)
                        ? std::move(existing)
                        : std::make_unique<probe>(*this, service.name, target,
                                                  FirstProbeTime());
  }
}

time_point target_prober::FirstProbeTime() {
  std::uniform_int_distribution<std::uint32_t> jitter_ms(0,
                                                         settings_.interval_ms);
  return loop_.now() + std::chrono::milliseconds(jitter_ms(random_));
}

void target_prober::StartDueProbes() {
  const time_point now = loop_.now();
  for (const auto& [key, target_probe] : probed_) {
    target_probe->StartIfDue(now);
  }
}

}  // namespace rosemaryreach
