// How a flow router handles changes of configuration, fleet and target
// conditions, and pauses of its process.
#include <algorithm>

#include "packets/flow_router_impl.h"

namespace rosemaryreach {
namespace {

// A longer time between two ticks means that the process was paused.
constexpr std::chrono::seconds kPauseThreshold(1);
// Cold reports within this time belong to one event.
constexpr std::chrono::seconds kColdRepeatTime(2);

}  // namespace

void flow_router::impl::ApplyConfiguration(
    std::shared_ptr<const configuration> config,
    time_point now) {
  if (config->number <= configuration_number_) {
    return;
  }
  // Skipped configurations may have opened buckets that this router does not
  // know.
  const bool skipped = config->number != configuration_number_ + 1;
  configuration_number_ = config->number;
  configuration_applied_at_ = now;
  addresses_.clear();
  for (const service_config& declared : config->services) {
    if (declared.plane != service_plane::kPackets) {
      continue;
    }
    const std::uint64_t name_hash = HashBytes(declared.name);
    std::optional<std::uint32_t> index = FindService(name_hash);
    if (!index) {
      index = static_cast<std::uint32_t>(services_.size());
      services_.push_back(std::make_unique<service_state>());
    }
    for (const endpoint& address : declared.addresses) {
      addresses_[{address, declared.protocol}] = *index;
    }
    service_state& service = *services_[*index];
    for (const std::uint32_t bucket : service.Apply(*config, declared, now)) {
      OpenBucket(*index, bucket, now);
      service.FindOpen(bucket)->configuration_number = configuration_number_;
    }
    OpenRestrictedBuckets(*index, now);
  }
  config_ = std::move(config);
  if (skipped && !peers_.peers().empty()) {
    BeginSync(now);
  }
}

void flow_router::impl::ApplyView(const fleet_view& view, time_point now) {
  has_view_ = true;
  const bool appeared = peers_.Apply(view, now);
  for (const peer& other : peers_.peers()) {
    if (peers_.IsSameProcess(other.id)) {
      continue;
    }
    for (const std::unique_ptr<service_state>& service : services_) {
      for (flow_target& target : service->targets) {
        target.peer_epochs.erase(other.id.value);
      }
    }
  }
  UpdateAllOwners(now);
  if (!peers_.peers().empty() && (appeared || !synchronized_once_) &&
      !synchronizing_) {
    BeginSync(now);
  }
}

void flow_router::impl::SetTrusted(bool trusted, time_point now) {
  if (trusted != untrusted_since_.has_value()) {
    return;
  }
  if (!trusted) {
    untrusted_since_ = now;
    return;
  }
  untrusted_since_.reset();
  // Other instances may have owned this instance's buckets in the meantime.
  ownership_stale_ = true;
  BeginSync(now);
}

void flow_router::impl::ReportTarget(std::string_view service,
                                     std::string_view target,
                                     target_condition condition,
                                     time_point now) {
  const std::optional<std::uint32_t> index = FindService(HashBytes(service));
  if (!index) {
    return;
  }
  std::vector<flow_target>& targets = services_[*index]->targets;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const flow_target& reported = targets[i];
    if (reported.name != target || reported.legacy || reported.withdrawn) {
      continue;
    }
    const bool cold = reported.condition == target_condition::kCold;
    if (condition == target_condition::kHealthy &&
        reported.condition != condition) {
      // Only time ends a ramp, and a failed target that recovers starts one.
      condition = target_condition::kCold;
      if (cold) {
        return;
      }
    }
    const bool repeated =
        cold && now - reported.condition_since >= kColdRepeatTime;
    if (condition != reported.condition || repeated) {
      SetCondition(*index, static_cast<std::uint16_t>(i), reported.epoch + 1,
                   condition, now);
    }
    return;
  }
}

void flow_router::impl::SetCondition(std::uint32_t service,
                                     std::uint16_t target,
                                     std::uint32_t epoch,
                                     target_condition condition,
                                     time_point now) {
  flow_target& changed = services_[service]->targets[target];
  changed.epoch = epoch;
  changed.condition = condition;
  changed.condition_since = now;
  changed.announced_at = time_point::min();
  changed.tokens = 0;
  changed.tokens_updated_at = now;
  services_[service]->UpdateEjections();
  OpenRestrictedBuckets(service, now);
  log_.Write(log_level::kInfo, "target_condition",
             services_[service]->name + "/" + changed.name + " " +
                 TargetConditionName(condition));
}

void flow_router::impl::OpenRestrictedBuckets(std::uint32_t service,
                                              time_point now) {
  const service_state& state = *services_[service];
  std::vector<bool> restricted;
  bool any = false;
  for (std::size_t i = 0; i < state.targets.size(); ++i) {
    restricted.push_back(state.IsRestricted(static_cast<std::uint16_t>(i)));
    any |= restricted.back();
  }
  if (!any) {
    return;
  }
  for (std::uint32_t bucket = 0; bucket < state.steady_target.size();
       ++bucket) {
    const std::uint16_t target = state.steady_target[bucket];
    if (target < restricted.size() && restricted[target]) {
      OpenBucket(service, bucket, now);
    }
  }
}

void flow_router::impl::OpenBucket(std::uint32_t service,
                                   std::uint32_t bucket,
                                   time_point now) {
  service_state& state = *services_[service];
  if (state.steady_target[bucket] == kOpenBucket) {
    return;
  }
  state.steady_target[bucket] = kOpenBucket;
  open_bucket& opened = state.open.Add(bucket, state.steady_target.size());
  opened.configuration_number = configuration_number_;
  opened.opened_at = now;
  opened.last_unpinned_packet = now;
  opened.replicated_at = now;
  unannounced_.push_back({service, bucket});
  const std::uint64_t key = OwnerKey(state, bucket);
  // Applies the previous owners first, as if the bucket had been open before
  // the view changed, so that the previous owner hands it over.
  const std::optional<owner_pair> before = peers_.PreviousOwners(key, now);
  if (before) {
    UpdateOwner(service, bucket, opened, *before, now);
  }
  UpdateOwner(service, bucket, opened, peers_.Owners(key), now);
}

void flow_router::impl::EndRamps(time_point now) {
  for (const std::unique_ptr<service_state>& service : services_) {
    for (flow_target& target : service->targets) {
      if (target.condition == target_condition::kCold &&
          now - target.condition_since >=
              std::chrono::milliseconds(target.warmup_ms)) {
        target.condition = target_condition::kHealthy;
      }
    }
  }
}

void flow_router::impl::DetectPause(time_point now) {
  if (last_tick_ && now - *last_tick_ > kPauseThreshold) {
    last_tick_ = now;
    log_.Write(log_level::kWarning, "pause_detected", "");
    ownership_stale_ = true;
    BeginSync(now);
  }
}

void flow_router::impl::BeginSync(time_point now) {
  synchronizing_ = true;
  sync_configuration_number_ = configuration_number_;
  sync_began_ = now;
  sync_requests_sent_ = time_point::min();
  awaited_replies_.clear();
  for (const peer& other : peers_.peers()) {
    for (std::uint16_t worker = 0; worker < other.packet_workers; ++worker) {
      awaited_replies_.push_back({other.id, worker, {}, false});
    }
  }
  if (awaited_replies_.empty()) {
    EndSync(now);
  }
}

void flow_router::impl::EndSync(time_point now) {
  synchronizing_ = false;
  ownership_stale_ = false;
  synchronized_once_ = true;
  awaited_replies_.clear();
  UpdateAllOwners(now);
}

}  // namespace rosemaryreach
