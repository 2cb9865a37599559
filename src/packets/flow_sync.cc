// Messages of a flow router: synchronization, pins, bucket updates, handovers
// and target conditions.
#include <algorithm>

#include "packets/flow_router_impl.h"

namespace rosemaryreach {
namespace {

// UDP and IP headers, authentication, and the fixed part of one message.
constexpr std::size_t kDatagramOverheadBytes = 100;
// Maximum size of one record of a message.
constexpr std::size_t kRecordBytes = 8;
// A message of this size or more gets no further record.
constexpr std::size_t kFullMessageBytes = kMaxFlowMessageBytes - 64;
constexpr std::size_t kMaxBucketUpdates = 64;
constexpr std::chrono::milliseconds kRetryInterval(200);
constexpr std::chrono::milliseconds kMaxRetryInterval(1'600);
constexpr std::chrono::seconds kSyncTimeout(3);
constexpr std::chrono::seconds kHandoverTimeout(30);
// For this time after a handover the new owner may not have taken over yet, so
// sync replies still list the bucket.
constexpr std::chrono::seconds kHandoverGraceTime(3);
constexpr std::chrono::seconds kMessageBurst(5);

bool IsElapsed(time_point since, duration span, time_point now) {
  return since == time_point::min() || now - since >= span;
}

std::size_t EstimateDatagramBytes(const flow_message& message) {
  const std::size_t records =
      message.buckets.size() + message.pins.size() + message.targets.size();
  return kDatagramOverheadBytes + records * kRecordBytes;
}

}  // namespace

std::optional<std::uint32_t> flow_router::impl::FindService(
    std::uint64_t name_hash) const {
  for (std::uint32_t i = 0; i < services_.size(); ++i) {
    if (services_[i]->name_hash == name_hash) {
      return i;
    }
  }
  return std::nullopt;
}

void flow_router::impl::OnMessage(instance_id from,
                                  const flow_message& message,
                                  time_point now) {
  DetectPause(now);
  peers_.RecordConfigurationNumber(from, message.configuration_number);
  if (message.kind == flow_message_kind::kSyncRequest) {
    SendSyncReply(from);
    return;
  }
  const std::optional<std::uint32_t> service = FindService(message.service);
  if (message.kind == flow_message_kind::kSyncReply) {
    if (service) {
      HandleSyncReply(from, message, *service, now);
    }
    RecordReplyPart(from, message);
    return;
  }
  if (!service) {
    return;
  }
  const std::uint32_t mask = services_[*service]->mask();
  const bool in_range = std::all_of(
      message.buckets.begin(), message.buckets.end(),
      [mask](const bucket_record& record) { return record.bucket <= mask; });
  if (!in_range) {
    return;
  }
  switch (message.kind) {
    case flow_message_kind::kPins:
      HandlePins(message, *service, now);
      return;
    case flow_message_kind::kBucketUpdates:
      HandleBucketUpdates(from, message, *service, now);
      return;
    case flow_message_kind::kHandover:
      HandleHandover(from, message, *service, now);
      return;
    case flow_message_kind::kHandoverRequest:
      HandleHandoverRequest(from, message, *service);
      return;
    case flow_message_kind::kTargetConditions:
      HandleTargetConditions(from, message, *service, now);
      return;
    case flow_message_kind::kSyncRequest:
    case flow_message_kind::kSyncReply:
      return;
  }
}

void flow_router::impl::HandleSyncReply(instance_id from,
                                        const flow_message& message,
                                        std::uint32_t service,
                                        time_point now) {
  service_state& state = *services_[service];
  for (const bucket_record& record : message.buckets) {
    const std::uint16_t unpinned_target =
        state.FindTarget(record.unpinned_target);
    if (record.bucket > state.mask()) {
      continue;
    }
    OpenBucket(service, record.bucket, now);
    open_bucket& open = *state.FindOpen(record.bucket);
    if (unpinned_target != kNoEntry) {
      state.unpinned_target[record.bucket] = unpinned_target;
    }
    // The sender is authoritative for the bucket and has the pins that were
    // set while this router was absent.
    if (BelongsToWorker(record.bucket) && open.owner == peers_.self() &&
        synchronizing_) {
      open.role = bucket_role::kAwaitingHandover;
      open.previous_owner = from;
      open.owner_since = now;
    }
  }
  HandleTargetConditions(from, message, service, now);
}

void flow_router::impl::RecordReplyPart(instance_id from,
                                        const flow_message& message) {
  if (!synchronizing_ ||
      message.configuration_number < sync_configuration_number_) {
    return;
  }
  for (awaited_reply& reply : awaited_replies_) {
    if (reply.from != from || reply.worker != message.worker) {
      continue;
    }
    if (reply.parts.size() != message.parts) {
      reply.parts.assign(message.parts, false);
    }
    reply.parts[message.part] = true;
    reply.complete = std::find(reply.parts.begin(), reply.parts.end(), false) ==
                     reply.parts.end();
  }
}

void flow_router::impl::HandlePins(const flow_message& message,
                                   std::uint32_t service,
                                   time_point now) {
  service_state& state = *services_[service];
  for (const bucket_record& record : message.buckets) {
    if (!BelongsToWorker(record.bucket)) {
      continue;
    }
    OpenBucket(service, record.bucket, now);
    const std::uint16_t unpinned_target =
        state.FindTarget(record.unpinned_target);
    const open_bucket& open = *state.FindOpen(record.bucket);
    if (unpinned_target != kNoEntry && open.role != bucket_role::kOwner) {
      state.unpinned_target[record.bucket] = unpinned_target;
    }
  }
  for (const pin_record& record : message.pins) {
    const std::uint32_t bucket =
        static_cast<std::uint32_t>(record.flow_hash) & state.mask();
    const std::uint16_t target = state.FindTarget(record.target);
    open_bucket* open = state.FindOpen(bucket);
    if (BelongsToWorker(bucket) && open != nullptr && target != kNoEntry) {
      SetPin(*open, record.flow_hash, target, now);
    }
  }
}

void flow_router::impl::HandleBucketUpdates(instance_id from,
                                            const flow_message& message,
                                            std::uint32_t service,
                                            time_point now) {
  service_state& state = *services_[service];
  for (const bucket_record& record : message.buckets) {
    const std::uint16_t unpinned_target =
        state.FindTarget(record.unpinned_target);
    const std::uint16_t assigned_target = state.assigned_target[record.bucket];
    if (unpinned_target == kNoEntry) {
      continue;
    }
    if (state.steady_target[record.bucket] != kOpenBucket) {
      if (unpinned_target == state.unpinned_target[record.bucket]) {
        continue;
      }
      OpenBucket(service, record.bucket, now);
    }
    open_bucket& open = *state.FindOpen(record.bucket);
    if (open.is_authoritative() || open.owner != from) {
      continue;
    }
    state.unpinned_target[record.bucket] = unpinned_target;
    if (!record.open && unpinned_target == assigned_target &&
        !state.IsRestricted(assigned_target) &&
        message.configuration_number >= open.configuration_number) {
      CloseBucket(service, record.bucket);
    }
  }
}

void flow_router::impl::HandleHandover(instance_id from,
                                       const flow_message& message,
                                       std::uint32_t service,
                                       time_point now) {
  service_state& state = *services_[service];
  for (const bucket_record& record : message.buckets) {
    open_bucket* open = state.FindOpen(record.bucket);
    if (!BelongsToWorker(record.bucket) || open == nullptr ||
        open->role != bucket_role::kAwaitingHandover ||
        open->previous_owner != from) {
      continue;
    }
    if (open->pins.size() < record.pins) {
      // Some pins were lost; the next handover request repeats them.
      continue;
    }
    const std::uint16_t unpinned_target =
        state.FindTarget(record.unpinned_target);
    if (unpinned_target != kNoEntry) {
      state.unpinned_target[record.bucket] = unpinned_target;
    }
    BecomeOwner(*open, now);
  }
}

void flow_router::impl::HandleHandoverRequest(instance_id from,
                                              const flow_message& message,
                                              std::uint32_t service) {
  service_state& state = *services_[service];
  for (const bucket_record& record : message.buckets) {
    const bucket_ref ref{service, record.bucket};
    if (!BelongsToWorker(record.bucket)) {
      continue;
    }
    const open_bucket* open = state.FindOpen(record.bucket);
    const bool was_handed_over = open != nullptr && open->owner == from &&
                                 open->role == bucket_role::kRemote;
    if ((open == nullptr || was_handed_over) &&
        std::find(handover_queue_.begin(), handover_queue_.end(), ref) ==
            handover_queue_.end()) {
      handover_queue_.push_back(ref);
    }
  }
}

void flow_router::impl::HandleTargetConditions(instance_id from,
                                               const flow_message& message,
                                               std::uint32_t service,
                                               time_point now) {
  service_state& state = *services_[service];
  for (const target_record& record : message.targets) {
    const std::uint16_t index = state.FindTarget(record.target);
    if (index == kNoEntry) {
      continue;
    }
    flow_target& target = state.targets[index];
    std::uint32_t& peer_epoch = target.peer_epochs[from.value];
    if (peer_epoch >= record.epoch && record.epoch == target.epoch) {
      // The peer repeats a condition known here, so it lacks the
      // acknowledgement.
      target_replies_.push_back({from, service, index});
    }
    peer_epoch = std::max(peer_epoch, record.epoch);
    const bool newer =
        record.epoch > target.epoch ||
        (record.epoch == target.epoch && record.condition > target.condition &&
         record.condition != target_condition::kCold);
    if (newer) {
      SetCondition(service, index, record.epoch, record.condition, now);
    }
  }
}

std::vector<outgoing_flow_message> flow_router::impl::Tick(time_point now) {
  DetectPause(now);
  last_tick_ = now;
  const double rate = options_.message_bytes_per_s;
  const double elapsed =
      budget_updated_at_
          ? std::chrono::duration<double>(now - *budget_updated_at_).count()
          : 0;
  const double burst = rate * kMessageBurst.count();
  budget_bytes_ = budget_updated_at_
                      ? std::min(burst, budget_bytes_ + elapsed * rate)
                      : burst;
  budget_updated_at_ = now;
  EndRamps(now);
  CountOwnedBuckets();
  SendSyncRequests(now);
  AnnounceBuckets(now);
  SweepBuckets(now);
  SendTargetConditions(now);
  SendHandovers(now);
  SendHandoverRequests(now);
  BroadcastChangedBuckets();
  SendBucketUpdates();
  SendReplicas(now);
  FlushBatches();
  return std::exchange(outgoing_, {});
}

void flow_router::impl::SendSyncRequests(time_point now) {
  if (!synchronizing_) {
    return;
  }
  std::erase_if(awaited_replies_, [this](const awaited_reply& reply) {
    return peers_.Find(reply.from) == nullptr;
  });
  const bool complete =
      std::all_of(awaited_replies_.begin(), awaited_replies_.end(),
                  [](const awaited_reply& reply) { return reply.complete; });
  if (complete || now - sync_began_ >= kSyncTimeout) {
    EndSync(now);
    return;
  }
  if (!IsElapsed(sync_requests_sent_, kRetryInterval, now)) {
    return;
  }
  sync_requests_sent_ = now;
  instance_id last;
  for (const awaited_reply& reply : awaited_replies_) {
    if (!reply.complete && reply.from != last) {
      last = reply.from;
      flow_message request;
      request.configuration_number = configuration_number_;
      request.worker = options_.worker;
      Send(reply.from, std::move(request));
    }
  }
}

void flow_router::impl::SendSyncReply(instance_id to) {
  std::vector<flow_message> parts;
  for (std::uint32_t i = 0; i < services_.size(); ++i) {
    const service_state& service = *services_[i];
    flow_message part = MakeMessage(flow_message_kind::kSyncReply, i);
    for (const open_bucket* open : service.open.all()) {
      const bool was_handed_over =
          open->handed_over_at != time_point() && last_tick_ &&
          *last_tick_ - open->handed_over_at < kHandoverGraceTime;
      if (!open->is_authoritative() && !was_handed_over) {
        continue;
      }
      part.buckets.push_back(MakeBucketRecord(service, open->bucket, open));
      if (MaxEncodedBytes(part) >= kFullMessageBytes) {
        parts.push_back(
            std::exchange(part, MakeMessage(flow_message_kind::kSyncReply, i)));
      }
    }
    for (const flow_target& target : service.targets) {
      if (target.epoch > 0 && target.condition != target_condition::kHealthy) {
        part.targets.push_back({target.id, target.epoch, target.condition});
      }
    }
    if (!part.buckets.empty() || !part.targets.empty()) {
      parts.push_back(std::move(part));
    }
  }
  if (parts.empty()) {
    flow_message empty_reply;
    empty_reply.kind = flow_message_kind::kSyncReply;
    empty_reply.worker = options_.worker;
    empty_reply.configuration_number = configuration_number_;
    parts.push_back(std::move(empty_reply));
  }
  for (std::size_t i = 0; i < parts.size(); ++i) {
    parts[i].part = static_cast<std::uint16_t>(i);
    parts[i].parts = static_cast<std::uint16_t>(parts.size());
    Send(to, std::move(parts[i]));
  }
}

void flow_router::impl::SendTargetConditions(time_point now) {
  if (options_.worker != 0) {
    target_replies_.clear();
    return;
  }
  for (const target_reply& reply : target_replies_) {
    const flow_target& target = services_[reply.service]->targets[reply.target];
    BatchFor(reply.to, flow_message_kind::kTargetConditions, reply.service)
        .targets.push_back({target.id, target.epoch, target.condition});
  }
  target_replies_.clear();
  for (std::uint32_t i = 0; i < services_.size(); ++i) {
    for (flow_target& target : services_[i]->targets) {
      if (target.epoch == 0 || target.condition == target_condition::kHealthy ||
          !IsElapsed(target.announced_at, kRetryInterval, now)) {
        continue;
      }
      const bool first = target.announced_at == time_point::min();
      target.announced_at = now;
      for (const peer& other : peers_.peers()) {
        const auto found = target.peer_epochs.find(other.id.value);
        const bool acknowledged =
            found != target.peer_epochs.end() && found->second >= target.epoch;
        if (first || !acknowledged) {
          BatchFor(other.id, flow_message_kind::kTargetConditions, i)
              .targets.push_back({target.id, target.epoch, target.condition});
        }
      }
    }
  }
}

void flow_router::impl::BroadcastChangedBuckets() {
  while (HasBudget() && !changed_buckets_.empty()) {
    const bucket_ref ref = changed_buckets_.front();
    changed_buckets_.pop_front();
    service_state& service = *services_[ref.service];
    const open_bucket* open = service.FindOpen(ref.bucket);
    for (const peer& other : peers_.peers()) {
      flow_message& message =
          BatchFor(other.id, flow_message_kind::kBucketUpdates, ref.service);
      message.buckets.push_back(MakeBucketRecord(service, ref.bucket, open));
    }
  }
}

void flow_router::impl::QueueBucketUpdate(instance_id to,
                                          const bucket_ref& bucket) {
  const bool queued =
      std::any_of(bucket_updates_.begin(), bucket_updates_.end(),
                  [&](const bucket_update& update) {
                    return update.to == to && update.bucket == bucket;
                  });
  if (!queued && bucket_updates_.size() < kMaxBucketUpdates) {
    bucket_updates_.push_back({to, bucket});
  }
}

void flow_router::impl::SendBucketUpdates() {
  for (const bucket_update& update : bucket_updates_) {
    service_state& service = *services_[update.bucket.service];
    if (HasBudget() &&
        service.steady_target[update.bucket.bucket] != kOpenBucket) {
      BatchFor(update.to, flow_message_kind::kBucketUpdates,
               update.bucket.service)
          .buckets.push_back(
              MakeBucketRecord(service, update.bucket.bucket, nullptr));
    }
  }
  bucket_updates_.clear();
}

void flow_router::impl::SendHandovers(time_point now) {
  std::vector<outgoing_flow_message> handovers;
  while (HasBudget() && !handover_queue_.empty()) {
    const bucket_ref ref = handover_queue_.front();
    handover_queue_.pop_front();
    service_state& service = *services_[ref.service];
    open_bucket* open = service.FindOpen(ref.bucket);
    const instance_id to =
        open != nullptr ? open->owner
                        : peers_.Owners(OwnerKey(service, ref.bucket)).owner;
    if (to == peers_.self() || !to ||
        (open != nullptr && open->role != bucket_role::kHandingOver &&
         open->role != bucket_role::kRemote)) {
      continue;
    }
    if (open != nullptr) {
      const bool complete =
          open->role == bucket_role::kHandingOver && open->replicated;
      if (!complete) {
        StreamPins(ref, *open, to);
      }
      open->role = bucket_role::kRemote;
      open->replicated = false;
      open->handed_over_at = now;
    }
    flow_message message =
        MakeMessage(flow_message_kind::kHandover, ref.service);
    message.buckets.push_back(MakeBucketRecord(service, ref.bucket, open));
    handovers.push_back({to, std::move(message)});
  }
  // Sends the pins before the handovers, so that few handovers lack pins.
  FlushBatches();
  for (const outgoing_flow_message& handover : handovers) {
    BatchFor(handover.to, flow_message_kind::kHandover,
             *FindService(handover.message.service))
        .buckets.push_back(handover.message.buckets.front());
  }
}

// Asks previous owners for the buckets that they have not handed over. Retries
// back off exponentially, to leave message budget for the replies.
void flow_router::impl::SendHandoverRequests(time_point now) {
  if (!IsElapsed(handover_requests_sent_, handover_request_interval_, now)) {
    return;
  }
  handover_requests_sent_ = now;
  bool asked = false;
  for (std::uint32_t i = 0; i < services_.size(); ++i) {
    for (open_bucket* open : services_[i]->open.all()) {
      if (open->role != bucket_role::kAwaitingHandover) {
        continue;
      }
      if (now - open->owner_since >= kHandoverTimeout) {
        BecomeOwner(*open, now);
        continue;
      }
      asked = true;
      if (HasBudget()) {
        BatchFor(open->previous_owner, flow_message_kind::kHandoverRequest, i)
            .buckets.push_back({open->bucket, 0, 0, true});
      }
    }
  }
  handover_request_interval_ =
      asked ? std::min<duration>(2 * handover_request_interval_,
                                 kMaxRetryInterval)
            : duration(kRetryInterval);
}

void flow_router::impl::SendReplicas(time_point now) {
  while (HasBudget() && !replication_queue_.empty()) {
    const bucket_ref ref = replication_queue_.front();
    replication_queue_.pop_front();
    open_bucket* open = services_[ref.service]->FindOpen(ref.bucket);
    if (open == nullptr) {
      continue;
    }
    open->replication_queued = false;
    if (open->role != bucket_role::kOwner || !open->successor) {
      continue;
    }
    StreamPins(ref, *open, open->successor);
    open->replicated = true;
    open->replicated_at = now;
  }
}

void flow_router::impl::StreamPins(const bucket_ref& ref,
                                   const open_bucket& open,
                                   instance_id to) {
  const service_state& service = *services_[ref.service];
  const bucket_record record = MakeBucketRecord(service, ref.bucket, &open);
  flow_message* message = &BatchFor(to, flow_message_kind::kPins, ref.service);
  message->buckets.push_back(record);
  for (const pin& pinned : open.pins) {
    if (pinned.target == service.unpinned_target[ref.bucket]) {
      continue;
    }
    message = &BatchFor(to, flow_message_kind::kPins, ref.service);
    if (message->buckets.empty()) {
      message->buckets.push_back(record);
    }
    message->pins.push_back({pinned.hash(), service.targets[pinned.target].id});
  }
}

bucket_record flow_router::impl::MakeBucketRecord(
    const service_state& service,
    std::uint32_t bucket,
    const open_bucket* open) const {
  bucket_record record;
  record.bucket = bucket;
  const std::uint16_t unpinned_target = service.unpinned_target[bucket];
  record.unpinned_target =
      unpinned_target == kNoEntry ? 0 : service.targets[unpinned_target].id;
  record.open = open != nullptr;
  if (open != nullptr) {
    record.pins = static_cast<std::uint32_t>(
        std::count_if(open->pins.begin(), open->pins.end(),
                      [unpinned_target](const pin& pinned) {
                        return pinned.target != unpinned_target;
                      }));
  }
  return record;
}

flow_message flow_router::impl::MakeMessage(flow_message_kind kind,
                                            std::uint32_t service) const {
  flow_message message;
  message.kind = kind;
  message.worker = options_.worker;
  message.configuration_number = configuration_number_;
  message.service = services_[service]->name_hash;
  return message;
}

// Returns the message to add the next record to. Sends it first if it is full.
flow_message& flow_router::impl::BatchFor(instance_id to,
                                          flow_message_kind kind,
                                          std::uint32_t service) {
  const std::uint64_t name_hash = services_[service]->name_hash;
  const auto found = std::find_if(batches_.begin(), batches_.end(),
                                  [&](const outgoing_flow_message& batch) {
                                    return batch.to == to &&
                                           batch.message.kind == kind &&
                                           batch.message.service == name_hash;
                                  });
  if (found == batches_.end()) {
    return batches_
        .emplace_back(outgoing_flow_message{to, MakeMessage(kind, service)})
        .message;
  }
  if (MaxEncodedBytes(found->message) >= kFullMessageBytes) {
    Send(to, std::exchange(found->message, MakeMessage(kind, service)));
  }
  return found->message;
}

// Returns whether the byte budget allows more records in this tick.
bool flow_router::impl::HasBudget() const {
  double pending = 0;
  for (const outgoing_flow_message& batch : batches_) {
    pending += static_cast<double>(EstimateDatagramBytes(batch.message));
  }
  return budget_bytes_ > pending;
}

void flow_router::impl::FlushBatches() {
  for (outgoing_flow_message& batch : std::exchange(batches_, {})) {
    Send(batch.to, std::move(batch.message));
  }
}

void flow_router::impl::Send(instance_id to, flow_message message) {
  budget_bytes_ -= static_cast<double>(EstimateDatagramBytes(message));
  outgoing_.push_back({to, std::move(message)});
}

}  // namespace rosemaryreach
