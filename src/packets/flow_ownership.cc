// Ownership of open buckets, and when they close.
#include <algorithm>

#include "packets/flow_router_impl.h"

namespace rosemaryreach {
namespace {

// Time for a duplicate of a SYN that went directly to the unpinned target to
// arrive.
constexpr std::chrono::milliseconds kMinAnnounceTime(200);
// Time within which a configuration is in force on all instances.
constexpr std::chrono::seconds kPropagationBound(3);
// Time to keep the pins of SYNs to the unpinned target, for duplicates of them.
constexpr std::chrono::seconds kSynPinTime(12);
constexpr std::size_t kMaxSweptBuckets = 64;

}  // namespace

bool flow_router::impl::BelongsToWorker(std::uint32_t bucket) const {
  return bucket % options_.workers == options_.worker;
}

std::uint64_t flow_router::impl::OwnerKey(const service_state& service,
                                          std::uint32_t bucket) const {
  return HashPair(service.name_hash, bucket);
}

void flow_router::impl::UpdateOwner(std::uint32_t service,
                                    std::uint32_t bucket,
                                    open_bucket& open,
                                    owner_pair owners,
                                    time_point now) {
  if (!has_view_) {
    open.role = bucket_role::kRemote;
    return;
  }
  const instance_id owner_before = open.owner;
  const instance_id successor_before = open.successor;
  open.owner = owners.owner;
  open.successor = owners.successor;
  if (!BelongsToWorker(bucket)) {
    return;
  }
  if (owners.owner != peers_.self()) {
    if (open.role == bucket_role::kAwaitingHandover) {
      open.role = bucket_role::kRemote;
    }
    if (open.role == bucket_role::kOwner && owners.owner) {
      open.role = bucket_role::kHandingOver;
      open.replicated = open.replicated && owners.owner == successor_before;
      handover_queue_.push_back({service, bucket});
    }
    return;
  }
  if (open.role == bucket_role::kOwner ||
      open.role == bucket_role::kHandingOver) {
    open.role = bucket_role::kOwner;
    open.replicated = open.replicated && open.successor == successor_before;
    return;
  }
  const instance_id previous_owner = open.role == bucket_role::kAwaitingHandover
                                         ? open.previous_owner
                                         : owner_before;
  if (previous_owner && previous_owner != peers_.self() &&
      peers_.IsSameProcess(previous_owner)) {
    if (open.role != bucket_role::kAwaitingHandover) {
      open.owner_since = now;
    }
    open.role = bucket_role::kAwaitingHandover;
    open.previous_owner = previous_owner;
    return;
  }
  BecomeOwner(open, now);
}

void flow_router::impl::BecomeOwner(open_bucket& open, time_point now) {
  open.role = bucket_role::kOwner;
  open.previous_owner = {};
  open.owner_since = now;
  open.last_unpinned_packet = now;
  open.replicated = false;
  const std::uint16_t coarse = CoarseTime(now);
  for (const pin& pinned : open.pins) {
    pin_table::Touch(pinned, coarse);
  }
}

void flow_router::impl::UpdateAllOwners(time_point now) {
  for (std::uint32_t i = 0; i < services_.size(); ++i) {
    for (open_bucket* open : services_[i]->open.all()) {
      const std::uint64_t key = OwnerKey(*services_[i], open->bucket);
      UpdateOwner(i, open->bucket, *open, peers_.Owners(key), now);
    }
  }
}

bool flow_router::impl::IsConditionPropagated(const flow_target& target,
                                              time_point now) const {
  if (now - target.condition_since >= kPropagationBound) {
    return true;
  }
  return std::all_of(
      peers_.peers().begin(), peers_.peers().end(), [&](const peer& other) {
        const auto found = target.peer_epochs.find(other.id.value);
        const std::uint32_t epoch =
            found == target.peer_epochs.end() ? 0 : found->second;
        return epoch >= target.epoch;
      });
}

// Returns whether all peers send the packets of the bucket to its owner.
bool flow_router::impl::IsBucketPropagated(const service_state& service,
                                           std::uint32_t bucket,
                                           const open_bucket& open,
                                           time_point now) const {
  const duration age = now - open.opened_at;
  if (age < kMinAnnounceTime) {
    return false;
  }
  if (age >= kPropagationBound) {
    return true;
  }
  if (!peers_.ConfigurationNumbersWithin(open.configuration_number,
                                         configuration_number_)) {
    return false;
  }
  const std::uint16_t assigned_target = service.assigned_target[bucket];
  return service.unpinned_target[bucket] != assigned_target ||
         !service.IsRestricted(assigned_target) ||
         IsConditionPropagated(service.targets[assigned_target], now);
}

void flow_router::impl::AnnounceBuckets(time_point now) {
  if (synchronizing_) {
    return;
  }
  std::vector<bucket_ref> remaining;
  for (const bucket_ref& ref : unannounced_) {
    service_state& service = *services_[ref.service];
    open_bucket* open = service.FindOpen(ref.bucket);
    if (open == nullptr || open->announced) {
      continue;
    }
    if (!IsBucketPropagated(service, ref.bucket, *open, now)) {
      remaining.push_back(ref);
      continue;
    }
    open->announced = true;
    if (open->role == bucket_role::kOwner) {
      SweepBucket(ref.service, ref.bucket, now);
    }
  }
  unannounced_ = std::move(remaining);
}

void flow_router::impl::SweepBuckets(time_point now) {
  for (std::uint32_t i = 0; i < services_.size(); ++i) {
    service_state& service = *services_[i];
    const std::vector<open_bucket*>& all = service.open.all();
    const std::size_t count = std::min(all.size(), kMaxSweptBuckets);
    for (std::size_t step = 0; step < count && !all.empty(); ++step) {
      service.sweep_position = (service.sweep_position + 1) % all.size();
      const std::uint32_t bucket = all[service.sweep_position]->bucket;
      if (BelongsToWorker(bucket)) {
        SweepBucket(i, bucket, now);
      }
    }
  }
}

void flow_router::impl::ErasePins(
    open_bucket& open,
    const std::function<bool(const pin&)>& predicate) {
  stats_.pins -= open.pins.EraseIf(predicate);
}

void flow_router::impl::SweepBucket(std::uint32_t service,
                                    std::uint32_t bucket,
                                    time_point now) {
  service_state& state = *services_[service];
  open_bucket& open = *state.FindOpen(bucket);
  const std::uint16_t coarse = CoarseTime(now);
  const bool owner = open.role == bucket_role::kOwner;
  const std::uint16_t unpinned_target = state.unpinned_target[bucket];
  const bool tcp = state.protocol == transport_protocol::kTcp;
  const std::chrono::milliseconds idle =
      owner ? state.idle_timeout : 2 * state.idle_timeout;
  ErasePins(open, [&](const pin& pinned) {
    const std::chrono::seconds age = CoarseAge(pinned.last_seen, coarse);
    return age > idle ||
           (pinned.target == unpinned_target && tcp && age >= kSynPinTime);
  });
  if (!owner) {
    return;
  }
  const time_point idle_since =
      std::max({open.last_unpinned_packet, open.opened_at, open.owner_since});
  const bool unpinned_flows_ended = state.LacksUnpinnedTarget(bucket) ||
                                    now - idle_since > state.idle_timeout;
  if (open.announced && unpinned_target != state.assigned_target[bucket] &&
      unpinned_flows_ended) {
    SwitchUnpinnedTarget(service, bucket, open, now);
  }
  const bool due =
      !open.replicated || now - open.replicated_at > state.idle_timeout / 2;
  if (due && open.pins.size() > 0 && !open.replication_queued) {
    open.replication_queued = true;
    replication_queue_.push_back({service, bucket});
  }
  CloseIfConverged(service, bucket);
}

// Makes the assigned target the target of all flows without a pin.
void flow_router::impl::SwitchUnpinnedTarget(std::uint32_t service,
                                             std::uint32_t bucket,
                                             open_bucket& open,
                                             time_point now) {
  service_state& state = *services_[service];
  const std::uint16_t assigned_target = state.assigned_target[bucket];
  state.unpinned_target[bucket] = assigned_target;
  open.last_unpinned_packet = now;
  ErasePins(open, [&](const pin& pinned) {
    return pinned.target == assigned_target;
  });
  changed_buckets_.push_back({service, bucket});
}

void flow_router::impl::CloseIfConverged(std::uint32_t service,
                                         std::uint32_t bucket) {
  service_state& state = *services_[service];
  const open_bucket& open = *state.FindOpen(bucket);
  const std::uint16_t assigned_target = state.assigned_target[bucket];
  if (synchronizing_ || state.unpinned_target[bucket] != assigned_target ||
      state.IsRestricted(assigned_target) || open.pins.size() > 0) {
    return;
  }
  CloseBucket(service, bucket);
  changed_buckets_.push_back({service, bucket});
}

void flow_router::impl::CloseBucket(std::uint32_t service,
                                    std::uint32_t bucket) {
  service_state& state = *services_[service];
  stats_.pins -= state.FindOpen(bucket)->pins.size();
  state.open.Erase(bucket);
  state.steady_target[bucket] = state.unpinned_target[bucket];
}

void flow_router::impl::CountOwnedBuckets() {
  for (const std::unique_ptr<service_state>& service : services_) {
    for (flow_target& target : service->targets) {
      target.owned_buckets = 0;
    }
    for (const open_bucket* open : service->open.all()) {
      const std::uint16_t assigned_target =
          service->assigned_target[open->bucket];
      if (open->is_authoritative() && assigned_target != kNoEntry) {
        ++service->targets[assigned_target].owned_buckets;
      }
    }
  }
}

bool flow_router::impl::handed_over() const {
  for (const std::unique_ptr<service_state>& service : services_) {
    for (const open_bucket* open : service->open.all()) {
      if (open->is_authoritative()) {
        return false;
      }
    }
  }
  return true;
}

flow_router_stats flow_router::impl::stats() const {
  flow_router_stats stats = stats_;
  for (const std::unique_ptr<service_state>& service : services_) {
    stats.open_buckets += service->open.all().size();
    for (const open_bucket* open : service->open.all()) {
      stats.owned_buckets += open->role == bucket_role::kOwner ? 1 : 0;
    }
  }
  return stats;
}

}  // namespace rosemaryreach
