#include "packets/service_state.h"

namespace rosemaryreach {
namespace {

constexpr std::uint32_t kMaxEjectedPercent = 50;
constexpr std::string_view kLegacyName = "legacy";

bool IsWithdrawn(const configuration& config, const target_config& target) {
  const data_centre_config* centre = FindDataCentre(config, target.data_centre);
  return centre != nullptr && centre->state == data_centre_state::kOut;
}

bool IsFailed(const flow_target& target) {
  return target.condition == target_condition::kUnhealthy ||
         target.condition == target_condition::kDead;
}

}  // namespace

std::uint16_t service_state::FindOrAddTarget(std::string_view target_name,
                                             endpoint address) {
  const std::uint64_t id = HashPair(
      HashBytes(target_name),
      HashBytes({reinterpret_cast<const char*>(address.address.bytes.data()),
                 address.address.bytes.size()},
                address.port));
  const auto found = target_index.find(id);
  if (found != target_index.end()) {
    return found->second;
  }
  const std::uint16_t index = static_cast<std::uint16_t>(targets.size());
  flow_target& added = targets.emplace_back();
  added.id = id;
  added.name = target_name;
  added.address = address;
  target_index[id] = index;
  return index;
}

void service_state::UpdateTargets(const configuration& config,
                                  const service_config& service) {
  for (flow_target& target : targets) {
    // Targets that are no longer configured are withdrawn.
    target.accepts_new_flows = false;
    target.withdrawn = true;
    target.weight = 0;
  }
  for (const target_config& declared : service.targets) {
    flow_target& target =
        targets[FindOrAddTarget(declared.name, declared.address)];
    target.accepts_new_flows = AcceptsNewWork(config, declared);
    target.withdrawn = IsWithdrawn(config, declared);
    target.weight = target.accepts_new_flows ? declared.weight : 0;
    target.cold_rate_per_s = declared.cold_rate_per_s;
    target.warmup_ms = declared.warmup_ms;
  }
}

std::vector<std::uint32_t> service_state::Apply(const configuration& config,
                                                const service_config& service,
                                                time_point now) {
  name = service.name;
  name_hash = HashBytes(service.name);
  protocol = service.protocol;
  idle_timeout = std::chrono::milliseconds(service.flow_idle_timeout_ms);
  const bool first = unpinned_target.size() != service.buckets;
  std::vector<bool> accepted_before;
  for (const flow_target& target : targets) {
    accepted_before.push_back(target.accepts_new_flows);
  }
  UpdateTargets(config, service);
  std::vector<weighted_entry> entries;
  for (const flow_target& target : targets) {
    entries.push_back({target.id, target.weight});
  }
  assigned_target = BuildBucketTable(entries, service.buckets);
  if (service.legacy) {
    const std::uint16_t index =
        FindOrAddTarget(kLegacyName, service.legacy->next_hop);
    flow_target& legacy = targets[index];
    legacy.legacy = true;
    legacy.accepts_new_flows = true;
    legacy.withdrawn = false;
    ReassignShare(assigned_target, index, 100 - service.legacy->share_percent);
  }
  for (flow_target& target : targets) {
    target.assigned_buckets = 0;
  }
  accepted_before.resize(targets.size(), false);
  for (std::size_t i = 0; i < targets.size() && !first; ++i) {
    // A target that starts to accept new flows has to warm up.
    if (!accepted_before[i] && targets[i].accepts_new_flows &&
        !targets[i].legacy) {
      targets[i].condition = target_condition::kCold;
      targets[i].condition_since = now;
      targets[i].tokens = 0;
      targets[i].tokens_updated_at = now;
    }
  }
  if (first) {
    unpinned_target = assigned_target;
    steady_target = assigned_target;
    open.Clear();
  }
  std::vector<std::uint32_t> changed;
  for (std::uint32_t bucket = 0; bucket < assigned_target.size(); ++bucket) {
    if (assigned_target[bucket] != kNoEntry) {
      ++targets[assigned_target[bucket]].assigned_buckets;
    }
    const bool stale = unpinned_target[bucket] != kNoEntry &&
                       targets[unpinned_target[bucket]].withdrawn;
    if (unpinned_target[bucket] != assigned_target[bucket] || stale) {
      changed.push_back(bucket);
    }
  }
  UpdateEjections();
  return changed;
}

std::uint16_t service_state::FindTarget(std::uint64_t id) const {
  const auto found = target_index.find(id);
  return found == target_index.end() ? kNoEntry : found->second;
}

void service_state::UpdateEjections() {
  std::uint64_t total = 0;
  std::uint64_t failed = 0;
  for (const flow_target& target : targets) {
    total += target.weight;
    failed += IsFailed(target) ? target.weight : 0;
  }
  // Above the limit the health reports are more likely wrong than the targets.
  const bool panic = failed * 100 > total * kMaxEjectedPercent;
  for (flow_target& target : targets) {
    target.ejected = IsFailed(target) && !panic;
  }
}

bool service_state::IsRamping(std::uint16_t target) const {
  return target != kNoEntry &&
         targets[target].condition == target_condition::kCold;
}

bool service_state::IsRestricted(std::uint16_t target) const {
  return target != kNoEntry && (IsRamping(target) || targets[target].ejected);
}

bool service_state::IsFullyAvailable(std::uint16_t target) const {
  return target != kNoEntry && targets[target].accepts_new_flows &&
         !IsRestricted(target);
}

bool service_state::LacksUnpinnedTarget(std::uint32_t bucket) const {
  return unpinned_target[bucket] == kNoEntry ||
         targets[unpinned_target[bucket]].withdrawn;
}

open_bucket* service_state::FindOpen(std::uint32_t bucket) {
  return open.Find(bucket);
}

}  // namespace rosemaryreach
