#include "requests/idempotency_service.h"

#include <algorithm>

namespace rosemaryreach {

namespace {

constexpr std::size_t kMaxKeys = 1'000'000;
constexpr std::size_t kMaxRecordsPerTransfer = 16;
constexpr duration kResendPeriod = std::chrono::milliseconds(50);
constexpr duration kPullResendPeriod = std::chrono::milliseconds(100);
constexpr duration kExpirePeriod = std::chrono::seconds(10);
// Copies to a successor complete within this time of a change of the view.
constexpr duration kReplicationTime = std::chrono::seconds(2);
constexpr duration kLossRetention = std::chrono::minutes(10);
constexpr unsigned kIncarnationShift = 32;
constexpr std::size_t kMinLostInstances = 2;

}  // namespace

idempotency_service::idempotency_service(instance_id self,
                                         idempotency_hooks hooks)
    : self_(self),
      hooks_(std::move(hooks)),
      ranking_({}, {}),
      synced_ranking_({}, {}),
      table_(kMaxKeys) {}

void idempotency_service::Reserve(time_point now,
                                  request_id request,
                                  std::uint64_t key,
                                  time_point deadline,
                                  duration window) {
  const request_id wire_id = WireId(request);
  pending_reservation& reservation = pending_reservations_[wire_id];
  reservation = {request, key, deadline, window, now};
  SendReserve(now, wire_id, reservation);
}

void idempotency_service::Finish(time_point now,
                                 request_id request,
                                 std::uint64_t key,
                                 run_state run) {
  const request_id wire_id = WireId(request);
  pending_reservations_.erase(wire_id);
  const instance_id owner = ranking_.Owners(key).owner;
  const key_finish message{key, wire_id, run};
  if (owner == self_) {
    OnFinish(now, self_, message);
  } else if (owner) {
    hooks_.send(owner, message);
  }
}

void idempotency_service::ApplyView(time_point now, const fleet_view& view) {
  const fleet_view before = std::move(view_);
  view_ = view;
  if (const instance_info* own = FindInstance(view, self_)) {
    region_ = own->region;
    pull_nonce_ = std::max(pull_nonce_, own->incarnation << kIncarnationShift);
    salt_ = salt_ == 0 ? HashPair(self_.value, own->incarnation) : salt_;
  }
  const owner_ranking ranking(view_, region_);
  if (ranking.candidates() == ranking_.candidates()) {
    return;
  }
  past_rankings_.push_back({now, ranking_});
  ranking_ = ranking;
  if (!hooks_.has_majority()) {
    // The majority side decides meanwhile, so the state here is out of date.
    synced_ranking_ = owner_ranking({}, {});
  }
  const bool instance_lost =
      std::any_of(before.instances.begin(), before.instances.end(),
                  [this](const instance_info& instance) {
                    return instance.state == instance_state::kActive &&
                           FindInstance(view_, instance.id) == nullptr;
                  });
  if (instance_lost) {
    sync_not_before_ = now + kReplicationTime;
  }
  RecordLosses(now, before);
  StartSync(now);
}

void idempotency_service::OnPause() {
  paused_ = true;
  synced_ = false;
  synced_ranking_ = owner_ranking({}, {});
  pending_grants_.clear();
}

void idempotency_service::OnResumed(time_point now) {
  if (paused_) {
    paused_ = false;
    StartSync(now);
  }
}

void idempotency_service::OnReserve(time_point now,
                                    instance_id from,
                                    const key_reserve& message) {
  if (!CanDecide(message.key) || !hooks_.view_confirmed(now)) {
    SendReply(now, from, message, key_verdict::kUnavailable);
    return;
  }
  if (!table_.Find(now, message.key) && RecordMayBeLost(now, message.key)) {
    SendReply(now, from, message, key_verdict::kUnknown);
    return;
  }
  const key_verdict verdict = table_.Reserve(now, from, message);
  if (verdict == key_verdict::kGranted) {
    Grant(now, from, message);
  } else {
    SendReply(now, from, message, verdict);
  }
}

void idempotency_service::OnReply(time_point now, const key_reply& message) {
  const auto found = pending_reservations_.find(message.request);
  if (found == pending_reservations_.end() ||
      found->second.key != message.key ||
      message.verdict == key_verdict::kUnavailable) {
    return;
  }
  const request_id local_id = found->second.local_id;
  pending_reservations_.erase(found);
  hooks_.decided(now, local_id, message.verdict);
}

void idempotency_service::OnFinish(time_point now,
                                   instance_id from,
                                   const key_finish& message) {
  pending_grants_.erase(message.key);
  if (table_.Finish(from, message)) {
    CopyToSuccessor(now, message.key);
  }
}

void idempotency_service::OnCopy(time_point now,
                                 instance_id from,
                                 const key_copy& message) {
  const key_record& record = message.record;
  const bool is_owner = ranking_.Owners(record.key).owner == from;
  // A final state is valid from any sender, not only from the owner.
  const bool ended = record.state != key_state::kReserved;
  const bool merged = (is_owner || ended) && table_.MergeRecord(now, record);
  hooks_.send(from, key_copied{record.key, record.version,
                               is_owner && merged && !paused_});
}

void idempotency_service::OnCopied(time_point now,
                                   instance_id from,
                                   const key_copied& message) {
  const auto found = pending_grants_.find(message.key);
  if (found == pending_grants_.end() || found->second.successor != from ||
      found->second.version != message.version) {
    return;
  }
  const pending_grant grant = found->second;
  pending_grants_.erase(found);
  const bool safe =
      message.accepted && CanDecide(message.key) && hooks_.view_confirmed(now);
  key_reserve reserve;
  reserve.key = message.key;
  reserve.request = grant.request;
  SendReply(now, grant.holder, reserve,
            safe ? key_verdict::kGranted : key_verdict::kUnavailable);
}

void idempotency_service::OnPull(time_point now,
                                 instance_id from,
                                 const key_pull& message) {
  if (message.candidates_digest != CandidatesDigest()) {
    return;
  }
  const std::vector<key_record> records =
      table_.Select(now, [this, from](std::uint64_t key) {
        const owner_pair pair = ranking_.Owners(key);
        return pair.owner == from || pair.successor == from;
      });
  const std::size_t parts =
      std::max<std::size_t>(1, (records.size() + kMaxRecordsPerTransfer - 1) /
                                   kMaxRecordsPerTransfer);
  for (std::size_t part = 0; part < parts; ++part) {
    const std::size_t begin = part * kMaxRecordsPerTransfer;
    const std::size_t end =
        std::min(records.size(), begin + kMaxRecordsPerTransfer);
    key_transfer transfer;
    transfer.nonce = message.nonce;
    transfer.part = static_cast<std::uint32_t>(part);
    transfer.parts = static_cast<std::uint32_t>(parts);
    transfer.records.assign(records.begin() + static_cast<long>(begin),
                            records.begin() + static_cast<long>(end));
    hooks_.send(from, transfer);
  }
}

void idempotency_service::OnTransfer(time_point now,
                                     instance_id from,
                                     const key_transfer& message) {
  for (const key_record& record : message.records) {
    table_.MergeRecord(now, record);
  }
  const auto found = pulls_.find(from);
  if (found == pulls_.end() || message.nonce != pull_nonce_) {
    return;
  }
  pending_pull& pull = found->second;
  pull.parts.insert(message.part);
  pull.complete = pull.parts.size() >= message.parts;
  FinishSyncIfComplete(now);
}

void idempotency_service::Tick(time_point now) {
  if (paused_) {
    return;
  }
  std::vector<request_id> due;
  for (const auto& [request, reservation] : pending_reservations_) {
    if (reservation.resend_at <= now) {
      due.push_back(request);
    }
  }
  for (const request_id request : due) {
    const auto found = pending_reservations_.find(request);
    if (found != pending_reservations_.end()) {
      SendReserve(now, request, found->second);
    }
  }
  if (!synced_ && next_pull_at_ <= now) {
    SendPulls(now);
    FinishSyncIfComplete(now);
  }
  if (next_expiry_at_ <= now) {
    next_expiry_at_ = now + kExpirePeriod;
    table_.Expire(now);
    std::erase_if(loss_events_, [now](const loss_event& event) {
      return event.expires_at <= now;
    });
  }
}

request_id idempotency_service::WireId(request_id request) const {
  return {HashPair(salt_, request.value)};
}

void idempotency_service::SendReserve(time_point now,
                                      request_id wire_id,
                                      pending_reservation& reservation) {
  reservation.resend_at = now + kResendPeriod;
  const key_reserve message{reservation.key, wire_id,
                            reservation.deadline - now, reservation.window};
  const instance_id owner = ranking_.Owners(reservation.key).owner;
  if (owner == self_) {
    OnReserve(now, self_, message);
  } else if (owner) {
    hooks_.send(owner, message);
  }
}

void idempotency_service::SendReply(time_point now,
                                    instance_id holder,
                                    const key_reserve& message,
                                    key_verdict verdict) {
  const key_reply reply{message.key, message.request, verdict};
  if (holder == self_) {
    OnReply(now, reply);
  } else {
    hooks_.send(holder, reply);
  }
}

void idempotency_service::Grant(time_point now,
                                instance_id holder,
                                const key_reserve& message) {
  const instance_id successor = ranking_.Owners(message.key).successor;
  if (!successor) {
    SendReply(now, holder, message, key_verdict::kGranted);
    return;
  }
  const std::uint64_t version = table_.Find(now, message.key)->version;
  pending_grants_[message.key] = {holder, message.request, version, successor};
  CopyToSuccessor(now, message.key);
}

void idempotency_service::CopyToSuccessor(time_point now, std::uint64_t key) {
  const owner_pair pair = ranking_.Owners(key);
  const std::optional<key_record> record = table_.Find(now, key);
  if (record && pair.owner == self_ && pair.successor) {
    hooks_.send(pair.successor, key_copy{*record});
  }
}

bool idempotency_service::CanDecide(std::uint64_t key) const {
  const bool owns = ranking_.Owners(key).owner == self_;
  return owns && !paused_ &&
         (synced_ || synced_ranking_.Owners(key).owner == self_);
}

bool idempotency_service::RecordMayBeLost(time_point now,
                                          std::uint64_t key) const {
  for (const loss_event& event : loss_events_) {
    const owner_pair pair = event.ranking.Owners(key);
    if (event.expires_at > now && event.incarnations.contains(pair.owner) &&
        event.incarnations.contains(pair.successor)) {
      return true;
    }
  }
  return false;
}

void idempotency_service::StartSync(time_point now) {
  synced_ = false;
  ++pull_nonce_;
  pulls_.clear();
  for (const instance_info& instance : view_.instances) {
    if (instance.id != self_ && instance.region == region_ &&
        instance.state != instance_state::kJoining) {
      pulls_[instance.id] = pending_pull();
    }
  }
  SendPulls(now);
  FinishSyncIfComplete(now);
}

void idempotency_service::SendPulls(time_point now) {
  next_pull_at_ = now + kPullResendPeriod;
  const key_pull message{pull_nonce_, CandidatesDigest()};
  for (const auto& [instance, pull] : pulls_) {
    if (!pull.complete) {
      hooks_.send(instance, message);
    }
  }
}

void idempotency_service::FinishSyncIfComplete(time_point now) {
  const bool complete =
      std::all_of(pulls_.begin(), pulls_.end(),
                  [](const auto& item) { return item.second.complete; });
  if (complete && !paused_ && now >= sync_not_before_ &&
      hooks_.has_majority()) {
    synced_ = true;
    synced_ranking_ = ranking_;
  }
}

void idempotency_service::RecordLosses(time_point now,
                                       const fleet_view& before) {
  while (past_rankings_.size() > 1 &&
         past_rankings_.front().replaced_at + kReplicationTime < now) {
    past_rankings_.erase(past_rankings_.begin());
  }
  for (loss_event& event : loss_events_) {
    std::erase_if(event.incarnations, [this](const auto& lost) {
      const instance_info* returned = FindInstance(view_, lost.first);
      return returned != nullptr && returned->incarnation == lost.second;
    });
  }
  const owner_ranking& old = past_rankings_.front().ranking;
  loss_event event{now + kLossRetention, old, {}};
  for (const instance_id candidate : old.candidates()) {
    if (FindInstance(view_, candidate) == nullptr) {
      const instance_info* previous = FindInstance(before, candidate);
      event.incarnations[candidate] =
          previous == nullptr ? 0 : previous->incarnation;
    }
  }
  if (event.incarnations.size() >= kMinLostInstances) {
    loss_events_.push_back(std::move(event));
  }
}

std::uint64_t idempotency_service::CandidatesDigest() const {
  std::uint64_t digest = 0;
  for (const instance_id candidate : ranking_.candidates()) {
    digest += HashPair(candidate.value, candidate.value);
  }
  return digest;
}

}  // namespace rosemaryreach
