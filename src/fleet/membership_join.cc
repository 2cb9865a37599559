#include <algorithm>

#include "fleet/membership_impl.h"

namespace rosemaryreach {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kJoinFanout = 3;
constexpr std::uint32_t kAbsentPingIntervalMs = 1'000;

}  // namespace

void membership::impl::BeginJoin(time_point now) {
  joining_ = true;
  trusted_ = false;
  region_known_ = false;
  links_.clear();
  reachable_.clear();
  table_.RetainVotesOf({});
  view_stale_ = true;
  join_started_ = now;
  next_join_ = now;
  last_local_heard_ = now;
  next_sync_request_ = now;
  gossip_ = {};
  for (auto& [id, entry] : table_.members()) {
    entry.listed_by_peer = id == self_.value;
  }
  QueueMember(self_);
}

void membership::impl::RunJoin(time_point now) {
  if (!joining_) {
    return;
  }
  if (now - join_started_ >= milliseconds(options_.isolation_timeout_ms)) {
    MarkSilentDead(now, join_started_);
    FinishJoin(now);
    return;
  }
  if (now < next_join_) {
    return;
  }
  next_join_ = now + milliseconds(options_.join_retry_ms);
  if (!local_members_.empty() && join_hints_.empty()) {
    RequestSync(now, *local_members_[RandomIndex(local_members_.size())], true);
    return;
  }
  const std::vector<peer_address> candidates = JoinCandidates();
  for (std::size_t i = 0; i < std::min(candidates.size(), kJoinFanout); ++i) {
    SendHello(candidates[i]);
  }
}

// Pings an instance that may not know this one, with the own record. An
// instance that answers is then asked for its table.
void membership::impl::SendHello(const peer_address& to) {
  control_message message = MakeControlMessage(ping{next_sequence_++});
  message.members.push_back(Self());
  if (const data_centre_summary* own = OwnSummary()) {
    message.centres.push_back(*own);
  }
  Send(to, std::move(message));
}

// Returns candidates to join through, shuffled: hints from a rejoin first, then
// members of the own data centre, then other known addresses.
std::vector<membership::impl::peer_address> membership::impl::JoinCandidates() {
  std::vector<peer_address> nearby = join_hints_;
  join_hints_.clear();
  const std::size_t hinted = nearby.size();
  for (const member_entry* entry : local_members_) {
    nearby.push_back(
        {entry->record.info.id, ControlEndpoint(entry->record.info)});
  }
  std::shuffle(nearby.begin() + static_cast<std::ptrdiff_t>(hinted),
               nearby.end(), random_);
  if (nearby.size() >= kJoinFanout) {
    return nearby;
  }
  std::vector<peer_address> far;
  for (const instance_info& hint : hints_) {
    if (hint.id != self_ && IsLocal(hint)) {
      far.push_back({hint.id, ControlEndpoint(hint)});
    }
  }
  for (const endpoint& seed : seeds_) {
    if (seed != ControlEndpoint(Self().info)) {
      far.push_back({{}, seed});
    }
  }
  if (const data_centre_summary* own = OwnSummary()) {
    for (const contact& peer : own->contacts) {
      if (peer.id != self_) {
        far.push_back({peer.id, peer.control});
      }
    }
  }
  std::shuffle(far.begin(), far.end(), random_);
  nearby.insert(nearby.end(), far.begin(), far.end());
  return nearby;
}

void membership::impl::OnSyncReply(time_point now,
                                   const control_message& message) {
  const member_entry* sender = table_.Find(message.from);
  if (!joining_ || sender == nullptr) {
    return;
  }
  for (const member_record& record : message.members) {
    if (member_entry* entry = table_.Find(record.info.id)) {
      entry->listed_by_peer = true;
    }
  }
  const bool complete =
      IsLocal(sender->record.info) || IsOnlyLocalMember(*sender);
  if (std::get<sync_reply>(message.body).trusted && complete) {
    FinishJoin(now);
  }
}

// Returns whether this instance is the only live member of its data centre, by
// the table of `sender` in another data centre of the region. All seeds must
// have answered, so that no data centre of the region is left out.
bool membership::impl::IsOnlyLocalMember(const member_entry& sender) const {
  const bool all_answered =
      std::all_of(seeds_.begin(), seeds_.end(), [this](const endpoint& seed) {
        return seed_data_centres_.contains(seed) ||
               seed == ControlEndpoint(Self().info);
      });
  return all_answered && sender.record.info.region == region_ &&
         std::none_of(table_.members().begin(), table_.members().end(),
                      [this](const auto& member) {
                        const member_record& record = member.second.record;
                        return record.info.id != self_ &&
                               IsLocal(record.info) && IsLive(record);
                      });
}

// Marks the table as complete and removes members that no peer listed and that
// weren't heard from since the join began.
void membership::impl::FinishJoin(time_point now) {
  joining_ = false;
  trusted_ = true;
  joined_ = now;
  view_stale_ = true;
  last_local_heard_ = now;
  next_random_probe_ = now;
  std::vector<instance_id> unknown;
  for (const auto& [id, entry] : table_.members()) {
    if (!entry.listed_by_peer && entry.last_heard < join_started_) {
      unknown.push_back({id});
    }
  }
  for (const instance_id id : unknown) {
    table_.Erase(id);
  }
  members_changed_ = true;
  RefreshLocalMembers();
}

// Starts a new incarnation, since peers may have declared the old one dead. An
// active instance returns to kJoining until its state is current.
void membership::impl::NewIncarnation(time_point now) {
  ++counters_.rejoins;
  member_record record = Self();
  ++record.info.incarnation;
  record.revision = 0;
  record.health = liveness::kAlive;
  if (record.info.state == instance_state::kActive) {
    record.info.state = instance_state::kJoining;
  }
  UpdateSelf(now, record);
}

// Clears the table and joins again after peers declared this instance dead.
void membership::impl::Rejoin(time_point now,
                              const endpoint& source,
                              instance_id from) {
  NewIncarnation(now);
  const member_record record = Self();
  table_ = {};
  table_.Merge(now, record);
  probes_.clear();
  links_.clear();
  join_hints_ = {{from, source}};
  members_changed_ = true;
  RefreshLocalMembers();
  BeginJoin(now);
}

// Handles a record of this instance that is newer than its own: refutes it with
// a higher revision or rejoins.
void membership::impl::RefuteClaim(time_point now,
                                   const endpoint& source,
                                   const member_record& claim,
                                   const control_message& message) {
  member_record own = Self();
  if (!IsNewer(claim, own)) {
    return;
  }
  if (claim.info.incarnation > own.info.incarnation) {
    own.info.incarnation = claim.info.incarnation;
    UpdateSelf(now, own);
    Rejoin(now, source, message.from);
    return;
  }
  if (claim.health == liveness::kSuspect) {
    ++counters_.refutations;
  } else if (!IsLive(claim)) {
    const member_entry* sender = table_.Find(message.from);
    const bool same_side = sender != nullptr && IsLive(sender->record);
    if (joining_ || same_side || SenderSideIsLarger(message)) {
      Rejoin(now, source, message.from);
      return;
    }
  }
  own.revision = claim.revision + 1;
  own.health = liveness::kAlive;
  UpdateSelf(now, own);
}

// Returns whether the sender's side of a partition has more live members; ties
// are broken by id.
bool membership::impl::SenderSideIsLarger(
    const control_message& message) const {
  return std::pair(message.live_count, message.from) >
         std::pair(live_count_, self_);
}

// Marks members of the own data centre dead that weren't heard from since
// `since`.
void membership::impl::MarkSilentDead(time_point now, time_point since) {
  RefreshLocalMembers();
  for (member_entry* entry : local_members_) {
    if (entry->last_heard < since || entry->last_heard == time_point{}) {
      member_record record = entry->record;
      record.health = liveness::kDead;
      table_.Merge(now, record);
      members_changed_ = true;
    }
  }
  RefreshLocalMembers();
}

// Pings a random instance that is expected but not known to be live: a dead
// member, a seed or an entry of the platform's list.
void membership::impl::PingAbsent(time_point now) {
  if (now < next_absent_ping_) {
    return;
  }
  next_absent_ping_ = now + milliseconds(kAbsentPingIntervalMs);
  std::set<endpoint> known;
  std::vector<peer_address> absent;
  for (const auto& [id, entry] : table_.members()) {
    const instance_info& info = entry.record.info;
    if (IsLive(entry.record)) {
      known.insert(ControlEndpoint(info));
    } else if (IsLocal(info) && entry.record.health == liveness::kDead) {
      absent.push_back({info.id, ControlEndpoint(info)});
    }
  }
  for (const auto& [name, summary] : table_.centres()) {
    for (const contact& peer : summary.contacts) {
      known.insert(peer.control);
    }
  }
  for (const endpoint& seed : seeds_) {
    const auto seed_data_centre = seed_data_centres_.find(seed);
    const bool linked = seed_data_centre != seed_data_centres_.end() &&
                        seed_data_centre->second != data_centre_ &&
                        table_.centres().contains(seed_data_centre->second);
    if (!linked && !known.contains(seed)) {
      absent.push_back({{}, seed});
    }
  }
  for (const instance_info& hint : hints_) {
    const bool wanted =
        IsLocal(hint) || !table_.centres().contains(hint.data_centre);
    if (wanted && !known.contains(ControlEndpoint(hint))) {
      absent.push_back({hint.id, ControlEndpoint(hint)});
    }
  }
  if (absent.empty()) {
    return;
  }
  SendHello(absent[RandomIndex(absent.size())]);
}

}  // namespace rosemaryreach
