#include <algorithm>

#include "fleet/membership_impl.h"

namespace rosemaryreach {
namespace {

using std::chrono::milliseconds;

// Limit on the records in one datagram, in octets; the sizes below are the
// largest usual ones.
constexpr std::size_t kMaxRecordsBytes = 1'000;
// Octets of a gossip datagram besides its records.
constexpr std::size_t kHeaderBytes = 110;
constexpr std::size_t kFixedMemberBytes = 62;
constexpr std::size_t kCompactMemberBytes = 32;
constexpr std::size_t kFixedSummaryBytes = 46;
constexpr std::size_t kContactBytes = 26;
constexpr std::size_t kFixedVoteBytes = 26;
// Revisions up to this one are sent in full, since many peers don't have the
// member yet.
constexpr std::uint32_t kMaxFullRevision = 1;
// If a sync_reply has more new records than this, they are not gossiped on.
constexpr std::size_t kMaxRegossipedPerReply = 4;
constexpr std::size_t kMaxQueuedMembers = 24;
constexpr std::uint32_t kMaxUpdateAgeMs = 1'500;
// Time without table changes after which a local member that isn't in the table
// counts as removed.
constexpr std::uint32_t kRemovedQuietMs = 5'000;
constexpr std::uint32_t kTableQuietMs = 500;
constexpr std::uint32_t kSyncIntervalMs = 1'000;
// Suspicions and deaths are ignored if their sender's side of a partition is
// smaller than this one by this factor.
constexpr std::uint32_t kMinorityFactor = 2;

std::size_t SizeOf(const member_record& record) {
  if (record.compact) {
    return kCompactMemberBytes;
  }
  const instance_info& info = record.info;
  return kFixedMemberBytes + info.name.size() + info.data_centre.size() +
         info.region.size() + info.address.bytes.size();
}

std::size_t SizeOf(const data_centre_summary& summary) {
  return kFixedSummaryBytes + summary.data_centre.size() +
         summary.region.size() + summary.contacts.size() * kContactBytes;
}

std::size_t SizeOf(const link_vote& vote) {
  return kFixedVoteBytes + vote.data_centre.size();
}

// Counts one transmission of `update`; returns whether it was the last.
template <typename Update>
bool ConsumeRound(Update& update) {
  return --update.rounds == 0;
}

}  // namespace

// Updates the time and configuration number of a known, live sender. A sender
// whose record here is newer or dead is sent that record.
void membership::impl::RecordSender(time_point now,
                                    const endpoint& source,
                                    const control_message& message) {
  member_entry* entry = table_.Find(message.from);
  if (entry == nullptr) {
    return;
  }
  const std::uint64_t known = entry->record.info.incarnation;
  if (known < message.incarnation) {
    return;
  }
  if (known > message.incarnation || !IsLive(entry->record)) {
    control_message answer = MakeControlMessage(gossip{});
    answer.members.push_back(entry->record);
    Send({message.from, source}, std::move(answer));
    return;
  }
  entry->last_heard = now;
  if (IsLocal(entry->record.info)) {
    last_local_heard_ = now;
  }
  std::uint64_t& number = entry->record.info.configuration_number;
  if (message.configuration_number > number) {
    number = message.configuration_number;
    view_stale_ = true;
  }
}

// Returns whether the sender of `message` may change `record`: members of this
// data centre only by themselves or each other, except during a join.
bool membership::impl::MayMerge(const member_record& record,
                                const control_message& message) const {
  const member_entry* known = table_.Find(record.info.id);
  if (record.compact && known == nullptr) {
    return false;
  }
  const instance_info& info = record.compact ? known->record.info : record.info;
  if (info.region != region_) {
    return false;
  }
  const member_entry* sender = table_.Find(message.from);
  const bool sender_is_local =
      sender != nullptr && IsLocal(sender->record.info);
  if (IsLocal(info) && !sender_is_local && !joining_ &&
      record.info.id != message.from) {
    return false;
  }
  const bool claims_death =
      record.health == liveness::kDead || record.health == liveness::kSuspect;
  return !claims_death || !sender_is_local ||
         message.live_count * kMinorityFactor >= live_count_;
}

// Returns whether another data centre reports a live member of this one that is
// no longer in the table, so that its death must be announced again.
bool membership::impl::IsRemovedMember(const member_record& record,
                                       const control_message& message) const {
  const member_entry* sender = table_.Find(message.from);
  const bool settled =
      last_call_ - table_changed_ >= milliseconds(kRemovedQuietMs);
  return settled && !joining_ && !record.compact && IsLocal(record.info) &&
         IsLive(record) && record.info.state != instance_state::kJoining &&
         record.info.id != message.from && sender != nullptr &&
         !IsLocal(sender->record.info) &&
         table_.Find(record.info.id) == nullptr;
}

// Returns whether the table has a newer version of `record`.
bool membership::impl::IsOutdated(const member_record& record) const {
  const member_entry* known = table_.Find(record.info.id);
  return known != nullptr && IsNewer(known->record, record);
}

void membership::impl::MergeRecords(time_point now,
                                    const endpoint& source,
                                    const control_message& message) {
  const bool reply = std::holds_alternative<sync_reply>(message.body);
  std::vector<instance_id> fresh;
  for (const member_record& record : message.members) {
    if (record.info.id == message.from && !record.compact &&
        std::find(seeds_.begin(), seeds_.end(), source) != seeds_.end()) {
      seed_data_centres_[source] = record.info.data_centre;
    }
    if (record.info.id == self_) {
      RefuteClaim(now, source, record, message);
      continue;
    }
    if (IsRemovedMember(record, message)) {
      member_record dead = record;
      dead.health = liveness::kDead;
      table_.Merge(now, dead);
      fresh.push_back(record.info.id);
    } else if (MayMerge(record, message) &&
               table_.Merge(now, record) == merge_outcome::kMerged) {
      fresh.push_back(record.info.id);
    } else if (reply && trusted_ && IsOutdated(record)) {
      QueueMember(record.info.id);
    }
  }
  if (!fresh.empty()) {
    members_changed_ = true;
    table_changed_ = now;
  }
  if (!reply || (trusted_ && fresh.size() <= kMaxRegossipedPerReply)) {
    for (const instance_id id : fresh) {
      QueueMember(id);
    }
  }
  for (const data_centre_summary& summary : message.centres) {
    if (table_.Merge(summary)) {
      gossip_.centres[summary.data_centre] = MakeUpdate();
      table_changed_ = now;
      view_stale_ = true;
    }
  }
  for (const link_vote& vote : message.votes) {
    const bool voter = std::find(contacts_.begin(), contacts_.end(),
                                 vote.voter) != contacts_.end();
    if (voter && vote.data_centre != data_centre_ && vote.voter != self_ &&
        table_.Merge(vote)) {
      gossip_.votes[{vote.data_centre, vote.voter.value}] = MakeUpdate();
      table_changed_ = now;
    }
  }
}

// Queues a member for gossip. Beyond the queue limit peers get it by comparing
// tables instead. Suspicions are sent to the suspect only.
void membership::impl::QueueMember(instance_id id) {
  const member_entry* entry = table_.Find(id);
  const bool many = gossip_.members.size() >= kMaxQueuedMembers;
  if (entry == nullptr || entry->record.health == liveness::kSuspect ||
      (many && id != self_)) {
    return;
  }
  gossip_.members[id.value] = MakeUpdate();
}

// Returns the record as gossip sends it: in full only while it is alive and its
// revision is low, otherwise compact.
member_record membership::impl::CompactForGossip(
    const member_record& record) const {
  member_record compacted = record;
  if (record.revision > kMaxFullRevision || record.health != liveness::kAlive) {
    compacted.info = {};
    compacted.info.id = record.info.id;
    compacted.info.incarnation = record.info.incarnation;
    compacted.info.state = record.info.state;
    compacted.info.configuration_number = record.info.configuration_number;
    compacted.compact = true;
  }
  return compacted;
}

// Adds the queued records that fit to `message` and removes those that were
// sent often enough. Returns the octets added.
std::size_t membership::impl::FillGossip(control_message& message,
                                         gossip_queue& queue) const {
  std::size_t used = 0;
  const auto fits = [&used](std::size_t bytes) {
    const bool room = used + bytes <= kMaxRecordsBytes;
    used += room ? bytes : 0;
    return room;
  };
  for (auto next = queue.members.begin(); next != queue.members.end();) {
    const member_entry* entry = table_.Find({next->first});
    if (entry != nullptr) {
      member_record record = CompactForGossip(entry->record);
      if (!fits(SizeOf(record))) {
        return used;
      }
      message.members.push_back(std::move(record));
    }
    next = ConsumeRound(next->second) ? queue.members.erase(next)
                                      : std::next(next);
  }
  for (auto next = queue.votes.begin(); next != queue.votes.end();) {
    const auto vote = table_.votes().find(next->first);
    if (vote != table_.votes().end()) {
      if (!fits(SizeOf(vote->second))) {
        return used;
      }
      message.votes.push_back(vote->second);
    }
    next =
        ConsumeRound(next->second) ? queue.votes.erase(next) : std::next(next);
  }
  for (auto next = queue.centres.begin(); next != queue.centres.end();) {
    const auto summary = table_.centres().find(next->first);
    if (summary != table_.centres().end()) {
      if (!fits(SizeOf(summary->second))) {
        return used;
      }
      message.centres.push_back(summary->second);
    }
    next = ConsumeRound(next->second) ? queue.centres.erase(next)
                                      : std::next(next);
  }
  return used;
}

// Removes updates that were queued too long; peers get them by comparing
// tables.
void membership::impl::ExpireUpdates(time_point now) {
  const auto is_old = [now](const auto& item) {
    return now - item.second.queued_at > milliseconds(kMaxUpdateAgeMs);
  };
  std::erase_if(gossip_.members, is_old);
  std::erase_if(gossip_.centres, is_old);
  std::erase_if(gossip_.votes, is_old);
}

// Sends queued updates to random members within the gossip rate. Updates that
// are held back are merged with later ones.
void membership::impl::FlushGossip(time_point now) {
  const double elapsed_s =
      std::chrono::duration<double>(now - gossip_refilled_).count();
  gossip_refilled_ = now;
  gossip_tokens_ = std::min<double>(
      options_.gossip_burst_bytes,
      gossip_tokens_ + elapsed_s * options_.gossip_bytes_per_s);
  ExpireUpdates(now);
  if (gossip_.empty() || local_members_.empty() || gossip_tokens_ < 0 ||
      now < next_gossip_) {
    return;
  }
  next_gossip_ = now + milliseconds(options_.gossip_interval_ms);
  control_message message = MakeControlMessage(gossip{});
  const std::size_t bytes = FillGossip(message, gossip_) + kHeaderBytes;
  for (const member_entry* entry :
       RandomLocalMembers(options_.gossip_fanout, self_)) {
    Send(entry->record, message);
    gossip_tokens_ -= static_cast<double>(bytes);
  }
  ForwardToLinks(message);
}

// On a contact, forwards records of its own data centre to the others.
void membership::impl::ForwardToLinks(const control_message& message) {
  if (!IsContact()) {
    return;
  }
  control_message forwarded = message;
  forwarded.votes.clear();
  std::erase_if(forwarded.members, [this](const member_record& record) {
    const member_entry* entry = table_.Find(record.info.id);
    return entry == nullptr || !IsLocal(entry->record.info) ||
           record.health == liveness::kSuspect;
  });
  std::erase_if(forwarded.centres, [this](const data_centre_summary& summary) {
    return summary.data_centre != data_centre_;
  });
  if (forwarded.members.empty() && forwarded.centres.empty()) {
    return;
  }
  for (const auto& [name, link] : links_) {
    const std::vector<peer_address> candidates = LinkCandidates(name);
    if (!candidates.empty()) {
      Send(candidates.front(), forwarded);
    }
  }
}

// Requests a sync from a sender whose table digest stays different.
void membership::impl::CompareDigests(time_point now,
                                      const control_message& message) {
  const member_entry* sender = table_.Find(message.from);
  if (sender == nullptr || !IsLive(sender->record) ||
      now < next_sync_request_) {
    return;
  }
  if (joining_) {
    RequestSync(now, *sender, true);
    return;
  }
  const bool votes_differ = IsLocal(sender->record.info) &&
                            message.votes_digest != table_.votes_digest();
  if (message.table_digest == table_.digest() && !votes_differ) {
    table_differs_ = false;
    return;
  }
  if (!table_differs_) {
    table_differs_ = true;
    table_differs_since_ = now;
  }
  if (now - table_changed_ >= milliseconds(kTableQuietMs) ||
      now - table_differs_since_ >= milliseconds(kSyncIntervalMs)) {
    RequestSync(now, *sender, false);
  }
}

void membership::impl::RequestSync(time_point now,
                                   const member_entry& peer,
                                   bool joining) {
  ++counters_.syncs;
  next_sync_request_ =
      now + milliseconds(joining ? options_.join_retry_ms : kSyncIntervalMs);
  control_message message =
      MakeControlMessage(sync_request{table_.digests(), joining});
  if (joining) {
    message.members.push_back(Self());
  }
  const instance_info& info = peer.record.info;
  out_.sync_requests.push_back(
      {{info.id, ControlEndpoint(info), info.grpc_port}, std::move(message)});
}

control_message membership::impl::MakeSyncReply(
    const control_message& request) const {
  const sync_request& body = std::get<sync_request>(request.body);
  control_message answer = MakeControlMessage(sync_reply{trusted_});
  const member_entry* sender = table_.Find(request.from);
  for (const auto& [name, summary] : table_.centres()) {
    answer.centres.push_back(summary);
  }
  if (sender == nullptr) {
    return answer;
  }
  for (const auto& [id, entry] : table_.members()) {
    const std::size_t bucket = TableBucket({id});
    if (body.joining || body.digests[bucket] != table_.digests()[bucket]) {
      answer.members.push_back(entry.record);
    }
  }
  if (IsLocal(sender->record.info)) {
    for (const auto& [key, vote] : table_.votes()) {
      answer.votes.push_back(vote);
    }
  }
  return answer;
}

}  // namespace rosemaryreach
