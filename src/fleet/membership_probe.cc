#include <algorithm>

#include "fleet/membership_impl.h"

namespace rosemaryreach {

using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t kMaxProbedSuccessors = 20;

}  // namespace

// Probes the successors on the ring, each once per interval, and one random
// member. Suspects are skipped, so that the members after them are probed too.
void membership::impl::RunProbes(time_point now) {
  const duration period = milliseconds(options_.probe_interval_ms);
  const auto late =
      std::count_if(probes_.begin(), probes_.end(),
                    [](const auto& item) { return item.second.indirect; });
  // Several unanswered probes suggest a partition: probe more successors.
  const auto wanted = std::min<std::uint32_t>(
      options_.ring_successors *
          static_cast<std::uint32_t>(1 + suspects_ + late),
      kMaxProbedSuccessors);
  std::uint32_t selected = 0;
  for (member_entry* entry : local_members_) {
    if (selected == wanted) {
      break;
    }
    if (entry->record.health != liveness::kAlive) {
      continue;
    }
    ++selected;
    if (now - entry->last_probed >= period) {
      Probe(now, *entry);
    }
  }
  if (now >= next_random_probe_ && !local_members_.empty()) {
    next_random_probe_ = now + period;
    Probe(now, *local_members_[RandomIndex(local_members_.size())]);
  }
}

void membership::impl::Probe(time_point now, member_entry& entry) {
  entry.last_probed = now;
  const std::uint32_t sequence = next_sequence_++;
  probes_[sequence] = {entry.record.info.id, now, false};
  control_message message = MakeControlMessage(ping{sequence});
  if (entry.record.health == liveness::kSuspect) {
    message.members.push_back(CompactForGossip(entry.record));
  }
  Send(entry.record, std::move(message));
}

// Requests indirect probes of members that haven't answered, then suspects
// those that still don't answer.
void membership::impl::CheckProbes(time_point now) {
  const duration direct = milliseconds(options_.ack_timeout_ms);
  const duration whole = direct + milliseconds(options_.indirect_timeout_ms);
  std::erase_if(relays_,
                [now](const auto& item) { return item.second.expires <= now; });
  std::vector<std::uint32_t> expired;
  for (auto& [sequence, probe] : probes_) {
    member_entry* entry = table_.Find(probe.subject);
    if (entry == nullptr || !IsLive(entry->record) ||
        entry->last_heard > probe.sent) {
      expired.push_back(sequence);
    } else if (now - probe.sent >= whole) {
      expired.push_back(sequence);
      Suspect(now, *entry);
    } else if (!probe.indirect && now - probe.sent >= direct) {
      probe.indirect = true;
      Send(entry->record, MakeControlMessage(ping{sequence}));
      for (const member_entry* relay_member :
           RandomLocalMembers(options_.indirect_probes, probe.subject)) {
        Send(relay_member->record,
             MakeControlMessage(ping_request{sequence, probe.subject}));
      }
    }
  }
  for (const std::uint32_t sequence : expired) {
    probes_.erase(sequence);
  }
}

void membership::impl::Suspect(time_point now, member_entry& entry) {
  if (entry.record.health != liveness::kAlive) {
    return;
  }
  ++counters_.suspicions;
  SetHealth(now, entry, liveness::kSuspect);
  entry.suspect_notified = {};
}

// Sends the suspect its record, so that it can refute the suspicion.
void membership::impl::NotifySuspect(time_point now, member_entry& entry) {
  if (now - entry.suspect_notified < milliseconds(options_.ack_timeout_ms)) {
    return;
  }
  entry.suspect_notified = now;
  control_message message = MakeControlMessage(gossip{});
  message.members.push_back(CompactForGossip(entry.record));
  Send(entry.record, message);
}

void membership::impl::SetHealth(time_point now,
                                 member_entry& entry,
                                 liveness health) {
  member_record record = entry.record;
  record.health = health;
  table_.Merge(now, record);
  table_changed_ = now;
  members_changed_ = true;
  QueueMember(record.info.id);
}

void membership::impl::CheckSuspects(time_point now) {
  if (suspects_ == 0) {
    return;
  }
  const duration limit = milliseconds(options_.suspicion_timeout_ms);
  for (member_entry* entry : local_members_) {
    if (entry->record.health != liveness::kSuspect) {
      continue;
    }
    if (now - entry->changed_at < limit) {
      NotifySuspect(now, *entry);
      continue;
    }
    if (entry->last_heard > entry->changed_at) {
      // Heard from since the suspicion: its refutation will follow.
      entry->record.health = liveness::kAlive;
      entry->changed_at = now;
      members_changed_ = true;
      continue;
    }
    ++counters_.deaths;
    SetHealth(now, *entry, liveness::kDead);
  }
}

// If no member has been heard from, this instance is isolated: marks all others
// of its data centre dead.
void membership::impl::CheckIsolation(time_point now) {
  const duration limit = milliseconds(options_.isolation_timeout_ms);
  if (!local_members_.empty() && now - last_local_heard_ >= limit) {
    counters_.deaths += local_members_.size();
    MarkSilentDead(now, now);
    gossip_ = {};
    probes_.clear();
  }
}

void membership::impl::OnPing(const endpoint& source,
                              const control_message& message) {
  control_message answer =
      MakeControlMessage(ack{std::get<ping>(message.body).sequence, self_});
  const member_entry* sender = table_.Find(message.from);
  const bool needs_record = sender == nullptr ||
                            !IsLocal(sender->record.info) ||
                            !message.members.empty();
  if (needs_record) {
    answer.members.push_back(Self());
    if (const data_centre_summary* own = OwnSummary()) {
      answer.centres.push_back(*own);
    }
  }
  Send({message.from, source}, std::move(answer));
}

void membership::impl::OnAck(time_point now, const control_message& message) {
  const ack& body = std::get<ack>(message.body);
  const auto found = probes_.find(body.sequence);
  if (found != probes_.end() && found->second.subject == body.subject) {
    if (member_entry* entry = table_.Find(body.subject)) {
      entry->last_heard = now;
    }
    probes_.erase(found);
  }
  const auto relayed = relays_.find(body.sequence);
  if (relayed != relays_.end() && body.subject == message.from) {
    const relay& back = relayed->second;
    Send(back.requester, MakeControlMessage(ack{back.sequence, body.subject}));
    relays_.erase(relayed);
  }
}

void membership::impl::OnPingRequest(time_point now,
                                     const endpoint& source,
                                     const control_message& message) {
  const ping_request& body = std::get<ping_request>(message.body);
  const member_entry* subject = table_.Find(body.subject);
  if (subject == nullptr) {
    return;
  }
  const std::uint32_t sequence = next_sequence_++;
  relays_[sequence] = {body.sequence,
                       {message.from, source},
                       now + milliseconds(options_.indirect_timeout_ms)};
  Send(subject->record, MakeControlMessage(ping{sequence}));
}

}  // namespace rosemaryreach
