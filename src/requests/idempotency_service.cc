#include "requests/idempotency_service.h"

#include <algorithm>

namespace rosemaryreach {

namespace {

constexpr std::size_t kMaxKeys = 1'000'000;
constexpr std::size_t kRecordsInTransfer = 16;
constexpr duration kAskPeriod = std::chrono::milliseconds(50);
constexpr duration kPullPeriod = std::chrono::milliseconds(100);
constexpr duration kExpirePeriod = std::chrono::seconds(10);
// Copies to a successor are complete this long after a change of the view.
constexpr duration kSettleTime = std::chrono::seconds(2);
constexpr duration kLossMemory = std::chrono::minutes(10);
constexpr unsigned kIncarnationShift = 32;
constexpr std::size_t kLossesForGap = 2;

}  // namespace

idempotency_service::idempotency_service(instance_id self,
                                         idempotency_hooks hooks)
    : self_(self),
      hooks_(std::move(hooks)),
      ranking_({}, {}),
      settled_ranking_({}, {}),
      table_(kMaxKeys) {}

void idempotency_service::Reserve(time_point now,
                                  request_id request,
                                  std::uint64_t key,
                                  time_point ends_by,
                                  duration window) {
  const request_id wire = Wire(request);
  asked_key& asked = asked_[wire];
  asked = {request, key, ends_by, window, now};
  Ask(now, wire, asked);
}

void idempotency_service::Finish(time_point now,
                                 request_id request,
                                 std::uint64_t key,
                                 run_state run) {
  const request_id wire = Wire(request);
  asked_.erase(wire);
  const instance_id owner = ranking_.Owners(key).owner;
  const key_finish message{key, wire, run};
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
  past_.push_back({now, ranking_});
  ranking_ = ranking;
  if (!hooks_.majority()) {
    // The other part decides meanwhile; nothing known here is current.
    settled_ranking_ = owner_ranking({}, {});
  }
  const bool lost =
      std::any_of(before.instances.begin(), before.instances.end(),
                  [this](const instance_info& instance) {
                    return instance.state == instance_state::kActive &&
                           FindInstance(view_, instance.id) == nullptr;
                  });
  if (lost) {
    settle_at_ = now + kSettleTime;
  }
  NoteLosses(now, before);
  StartPull(now);
}

void idempotency_service::OnPause() {
  paused_ = true;
  settled_ = false;
  settled_ranking_ = owner_ranking({}, {});
  grants_.clear();
}

void idempotency_service::OnResumed(time_point now) {
  if (paused_) {
    paused_ = false;
    StartPull(now);
  }
}

void idempotency_service::OnReserve(time_point now,
                                    instance_id from,
                                    const key_reserve& message) {
  if (!Serves(message.key) || !hooks_.confirmed(now)) {
    Decide(now, from, message, key_verdict::kUnavailable);
    return;
  }
  if (!table_.Find(now, message.key) && Unaccounted(now, message.key)) {
    Decide(now, from, message, key_verdict::kUnknown);
    return;
  }
  const key_verdict verdict = table_.Reserve(now, from, message);
  if (verdict == key_verdict::kGranted) {
    Grant(now, from, message);
  } else {
    Decide(now, from, message, verdict);
  }
}

void idempotency_service::OnReply(time_point now, const key_reply& message) {
  const auto found = asked_.find(message.request);
  if (found == asked_.end() || found->second.key != message.key ||
      message.verdict == key_verdict::kUnavailable) {
    return;
  }
  const request_id local = found->second.local;
  asked_.erase(found);
  hooks_.decided(now, local, message.verdict);
}

void idempotency_service::OnFinish(time_point now,
                                   instance_id from,
                                   const key_finish& message) {
  grants_.erase(message.key);
  if (table_.Finish(from, message)) {
    CopyToSuccessor(now, message.key);
  }
}

void idempotency_service::OnCopy(time_point now,
                                 instance_id from,
                                 const key_copy& message) {
  const key_record& record = message.record;
  const bool is_owner = ranking_.Owners(record.key).owner == from;
  // How a request ended is true from whomever it comes.
  const bool ended = record.state != key_state::kReserved;
  const bool adopted = (is_owner || ended) && table_.MergeRecord(now, record);
  hooks_.send(from, key_copied{record.key, record.version,
                               is_owner && adopted && !paused_});
}

void idempotency_service::OnCopied(time_point now,
                                   instance_id from,
                                   const key_copied& message) {
  const auto found = grants_.find(message.key);
  if (found == grants_.end() || found->second.successor != from ||
      found->second.version != message.version) {
    return;
  }
  const open_grant grant = found->second;
  grants_.erase(found);
  const bool safe =
      message.accepted && Serves(message.key) && hooks_.confirmed(now);
  key_reserve reserve;
  reserve.key = message.key;
  reserve.request = grant.request;
  Decide(now, grant.holder, reserve,
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
  const std::size_t parts = std::max<std::size_t>(
      1, (records.size() + kRecordsInTransfer - 1) / kRecordsInTransfer);
  for (std::size_t part = 0; part < parts; ++part) {
    const std::size_t begin = part * kRecordsInTransfer;
    const std::size_t end =
        std::min(records.size(), begin + kRecordsInTransfer);
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
  open_pull& pull = found->second;
  pull.parts.insert(message.part);
  pull.complete = pull.parts.size() >= message.parts;
  CheckPulled(now);
}

void idempotency_service::Tick(time_point now) {
  if (paused_) {
    return;
  }
  std::vector<request_id> due;
  for (const auto& [request, asked] : asked_) {
    if (asked.ask_again_at <= now) {
      due.push_back(request);
    }
  }
  for (const request_id request : due) {
    const auto found = asked_.find(request);
    if (found != asked_.end()) {
      Ask(now, request, found->second);
    }
  }
  if (!settled_ && pull_again_at_ <= now) {
    SendPulls(now);
    CheckPulled(now);
  }
  if (expire_at_ <= now) {
    expire_at_ = now + kExpirePeriod;
    table_.Expire(now);
    std::erase_if(losses_,
                  [now](const loss& one) { return one.expires_at <= now; });
  }
}

request_id idempotency_service::Wire(request_id request) const {
  return {HashPair(salt_, request.value)};
}

void idempotency_service::Ask(time_point now,
                              request_id wire,
                              asked_key& asked) {
  asked.ask_again_at = now + kAskPeriod;
  const key_reserve message{asked.key, wire, asked.ends_by - now, asked.window};
  const instance_id owner = ranking_.Owners(asked.key).owner;
  if (owner == self_) {
    OnReserve(now, self_, message);
  } else if (owner) {
    hooks_.send(owner, message);
  }
}

void idempotency_service::Decide(time_point now,
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
    Decide(now, holder, message, key_verdict::kGranted);
    return;
  }
  const std::uint64_t version = table_.Find(now, message.key)->version;
  grants_[message.key] = {holder, message.request, version, successor};
  CopyToSuccessor(now, message.key);
}

void idempotency_service::CopyToSuccessor(time_point now, std::uint64_t key) {
  const owner_pair pair = ranking_.Owners(key);
  const std::optional<key_record> record = table_.Find(now, key);
  if (record && pair.owner == self_ && pair.successor) {
    hooks_.send(pair.successor, key_copy{*record});
  }
}

bool idempotency_service::Serves(std::uint64_t key) const {
  const bool owns = ranking_.Owners(key).owner == self_;
  return owns && !paused_ &&
         (settled_ || settled_ranking_.Owners(key).owner == self_);
}

bool idempotency_service::Unaccounted(time_point now, std::uint64_t key) const {
  for (const loss& one : losses_) {
    const owner_pair pair = one.ranking.Owners(key);
    if (one.expires_at > now && one.incarnations.contains(pair.owner) &&
        one.incarnations.contains(pair.successor)) {
      return true;
    }
  }
  return false;
}

void idempotency_service::StartPull(time_point now) {
  settled_ = false;
  ++pull_nonce_;
  pulls_.clear();
  for (const instance_info& instance : view_.instances) {
    if (instance.id != self_ && instance.region == region_ &&
        instance.state != instance_state::kJoining) {
      pulls_[instance.id] = open_pull();
    }
  }
  SendPulls(now);
  CheckPulled(now);
}

void idempotency_service::SendPulls(time_point now) {
  pull_again_at_ = now + kPullPeriod;
  const key_pull message{pull_nonce_, CandidatesDigest()};
  for (const auto& [instance, pull] : pulls_) {
    if (!pull.complete) {
      hooks_.send(instance, message);
    }
  }
}

void idempotency_service::CheckPulled(time_point now) {
  const bool complete =
      std::all_of(pulls_.begin(), pulls_.end(),
                  [](const auto& item) { return item.second.complete; });
  if (complete && !paused_ && now >= settle_at_ && hooks_.majority()) {
    settled_ = true;
    settled_ranking_ = ranking_;
  }
}

void idempotency_service::NoteLosses(time_point now, const fleet_view& before) {
  while (past_.size() > 1 && past_.front().until + kSettleTime < now) {
    past_.erase(past_.begin());
  }
  for (loss& one : losses_) {
    std::erase_if(one.incarnations, [this](const auto& lost) {
      const instance_info* back = FindInstance(view_, lost.first);
      return back != nullptr && back->incarnation == lost.second;
    });
  }
  const owner_ranking& old = past_.front().ranking;
  loss lost{now + kLossMemory, old, {}};
  for (const instance_id candidate : old.candidates()) {
    if (FindInstance(view_, candidate) == nullptr) {
      const instance_info* known = FindInstance(before, candidate);
      lost.incarnations[candidate] = known == nullptr ? 0 : known->incarnation;
    }
  }
  if (lost.incarnations.size() >= kLossesForGap) {
    losses_.push_back(std::move(lost));
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
