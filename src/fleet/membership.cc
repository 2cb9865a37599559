#include "rosemaryreach/membership.h"

#include <algorithm>

#include "fleet/membership_impl.h"

namespace rosemaryreach {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kExpiryMs = 10'000;
// Gap between calls from which pending probes are discarded.
constexpr std::uint32_t kLateMs = 300;
constexpr std::size_t kMaxHints = 4'096;

}  // namespace

membership::impl::impl(membership_options options,
                       instance_info self,
                       std::span<const endpoint> seeds,
                       std::uint64_t seed)
    : options_(options),
      self_(self.id),
      data_centre_(self.data_centre),
      region_(self.region),
      seeds_(seeds.begin(), seeds.end()),
      random_(seed) {
  number_ = self.configuration_number;
  view_.self = self_;
  member_record record;
  record.info = std::move(self);
  table_.Merge({}, record);
  RefreshLocalMembers();
  RefreshView();
}

membership_actions membership::impl::Tick(time_point now) {
  if (stopped_) {
    return {};
  }
  CheckGap(now);
  RefreshLocalMembers();
  RunJoin(now);
  if (trusted_) {
    RunProbes(now);
    CheckProbes(now);
    CheckSuspects(now);
    CheckIsolation(now);
    RefreshLocalMembers();
    RunLinks(now);
    CountVotes(now);
    CheckRegion(now);
    PublishSummary(now);
    PingAbsent(now);
  }
  ReportNumber(now);
  FlushGossip(now);
  if (now >= next_expiry_) {
    next_expiry_ = now + milliseconds(kExpiryMs);
    table_.ExpireTombstones(now, milliseconds(options_.tombstone_ttl_ms));
  }
  return FlushActions();
}

membership_actions membership::impl::OnMessage(time_point now,
                                               const endpoint& source,
                                               const control_message& message) {
  if (stopped_ || message.from == self_) {
    return {};
  }
  CheckGap(now);
  MergeRecords(now, source, message);
  RecordSender(now, source, message);
  RefreshLocalMembers();
  if (std::holds_alternative<ping>(message.body)) {
    OnPing(source, message);
  } else if (std::holds_alternative<ack>(message.body)) {
    OnAck(now, message);
  } else if (std::holds_alternative<ping_request>(message.body)) {
    OnPingRequest(now, source, message);
  } else if (std::holds_alternative<sync_reply>(message.body)) {
    OnSyncReply(now, message);
  } else if (std::holds_alternative<link_ping>(message.body)) {
    OnLinkPing(source, message);
  } else if (std::holds_alternative<link_ack>(message.body)) {
    OnLinkAck(now, message);
  }
  CompareDigests(now, message);
  CheckRegion(now);
  return FlushActions();
}

// Handles a gap since the last call, when messages may have been missed:
// extends timeouts by the gap and, if it is long, joins again.
void membership::impl::CheckGap(time_point now) {
  if (!started_) {
    Start(now);
    return;
  }
  const duration gap = now - last_call_;
  last_call_ = now;
  if (gap < milliseconds(kLateMs)) {
    return;
  }
  probes_.clear();
  relays_.clear();
  last_local_heard_ += gap;
  for (auto& [id, entry] : table_.members()) {
    entry.changed_at += gap;
  }
  for (auto& [name, link] : links_) {
    link.answered += gap;
    link.created += gap;
  }
  if (gap >= milliseconds(options_.resync_pause_ms)) {
    ++counters_.pauses;
    BeginJoin(now);
  }
  if (gap >= milliseconds(options_.rejoin_pause_ms)) {
    NewIncarnation(now);
  }
}

void membership::impl::Start(time_point now) {
  started_ = true;
  last_call_ = now;
  BeginJoin(now);
}

void membership::impl::UpdateSelf(time_point now, member_record record) {
  record.compact = false;
  table_.Merge(now, record);
  table_changed_ = now;
  members_changed_ = true;
  QueueMember(self_);
}

void membership::impl::OnLiveList(std::span<const instance_info> instances) {
  const std::size_t count = std::min(instances.size(), kMaxHints);
  hints_.assign(instances.begin(),
                instances.begin() + static_cast<std::ptrdiff_t>(count));
}

membership_actions membership::impl::SetState(time_point now,
                                              instance_state state) {
  member_record record = Self();
  if (record.info.state != state) {
    record.info.state = state;
    ++record.revision;
    UpdateSelf(now, record);
  }
  RefreshLocalMembers();
  return FlushActions();
}

membership_actions membership::impl::Leave() {
  member_record record = Self();
  ++record.revision;
  record.health = liveness::kLeft;
  control_message message = MakeControlMessage(gossip{});
  message.members.push_back(CompactForGossip(record));
  RefreshLocalMembers();
  for (const member_entry* entry : RandomLocalMembers(
           options_.gossip_fanout * options_.gossip_rounds, self_)) {
    Send(entry->record, message);
  }
  ForwardToLinks(message);
  stopped_ = true;
  trusted_ = false;
  membership_actions actions = std::move(out_);
  out_ = {};
  return actions;
}

control_message membership::impl::MakeControlMessage(control_body body) const {
  control_message message;
  message.from = self_;
  message.incarnation = incarnation();
  message.configuration_number = number_;
  message.configuration_sequence = sequence_;
  message.table_digest = table_.digest();
  message.votes_digest = table_.votes_digest();
  message.live_count = live_count_;
  message.body = std::move(body);
  return message;
}

void membership::impl::Send(const peer_address& to, control_message message) {
  out_.send.push_back({to.id, to.control, std::move(message)});
}

void membership::impl::Send(const member_record& to, control_message message) {
  Send(peer_address{to.info.id, ControlEndpoint(to.info)}, std::move(message));
}

std::size_t membership::impl::RandomIndex(std::size_t size) {
  return std::uniform_int_distribution<std::size_t>(0, size - 1)(random_);
}

std::vector<const member_entry*> membership::impl::RandomLocalMembers(
    std::size_t count,
    instance_id except) {
  std::vector<const member_entry*> picked;
  std::sample(local_members_.begin(), local_members_.end(),
              std::back_inserter(picked), count + 1, random_);
  std::shuffle(picked.begin(), picked.end(), random_);
  std::erase_if(picked, [except](const member_entry* entry) {
    return entry->record.info.id == except;
  });
  picked.resize(std::min(picked.size(), count));
  return picked;
}

// Rebuilds the ring and the contacts if members have changed.
void membership::impl::RefreshLocalMembers() {
  if (!members_changed_) {
    return;
  }
  members_changed_ = false;
  view_stale_ = true;
  local_members_.clear();
  suspects_ = 0;
  std::vector<std::pair<std::uint64_t, instance_id>> active;
  std::vector<std::pair<std::uint64_t, instance_id>> others;
  for (auto& [id, entry] : table_.members()) {
    const instance_info& info = entry.record.info;
    if (!IsLocal(info) || !IsLive(entry.record)) {
      continue;
    }
    if (info.id != self_) {
      local_members_.push_back(&entry);
      suspects_ += entry.record.health == liveness::kSuspect ? 1 : 0;
    }
    std::vector<std::pair<std::uint64_t, instance_id>>& ranked =
        info.state == instance_state::kActive ? active : others;
    ranked.emplace_back(HashPair(id, HashBytes(data_centre_)), info.id);
  }
  live_count_ = static_cast<std::uint32_t>(local_members_.size()) + 1;
  const auto next = std::find_if(local_members_.begin(), local_members_.end(),
                                 [this](const member_entry* entry) {
                                   return entry->record.info.id > self_;
                                 });
  std::rotate(local_members_.begin(), next, local_members_.end());
  std::vector<std::pair<std::uint64_t, instance_id>>& ranked =
      active.empty() ? others : active;
  std::sort(ranked.rbegin(), ranked.rend());
  contacts_.clear();
  for (std::size_t i = 0; i < ranked.size() && i < options_.contacts; ++i) {
    contacts_.push_back(ranked[i].second);
  }
}

// Rebuilds the view; increments its version if owners may have changed.
void membership::impl::RefreshView() {
  if (!view_stale_) {
    return;
  }
  view_stale_ = false;
  std::map<std::string, std::uint64_t> minimum;
  for (const auto& [name, summary] : table_.centres()) {
    const bool covers = summary.region == region_ &&
                        summary.members_digest == MembersDigest(name);
    minimum[name] = covers ? summary.minimum_number : 0;
  }
  std::vector<instance_info> instances;
  for (const auto& [id, entry] : table_.members()) {
    const instance_info& info = entry.record.info;
    const auto reachable = reachable_.find(info.data_centre);
    const bool near =
        IsLocal(info) || (reachable != reachable_.end() && reachable->second);
    if (near && IsLive(entry.record)) {
      instances.push_back(info);
      instances.back().configuration_number =
          std::max(info.configuration_number, minimum[info.data_centre]);
    }
  }
  const std::uint64_t before = ViewDigest(view_);
  view_.instances = std::move(instances);
  if (ViewDigest(view_) != before) {
    ++view_.version;
  }
  out_.view_changed = true;
}

membership_actions membership::impl::FlushActions() {
  RefreshLocalMembers();
  RefreshView();
  membership_actions actions = std::move(out_);
  out_ = {};
  return actions;
}

membership::membership(membership_options options,
                       instance_info self,
                       std::span<const endpoint> seeds,
                       std::uint64_t seed)
    : impl_(std::make_unique<impl>(options, std::move(self), seeds, seed)) {}

membership::~membership() = default;
membership::membership(membership&&) noexcept = default;

membership_actions membership::Tick(time_point now) {
  return impl_->Tick(now);
}

membership_actions membership::OnMessage(time_point now,
                                         const endpoint& source,
                                         const control_message& message) {
  return impl_->OnMessage(now, source, message);
}

control_message membership::MakeSyncReply(
    const control_message& request) const {
  return impl_->MakeSyncReply(request);
}

void membership::OnLiveList(std::span<const instance_info> instances) {
  impl_->OnLiveList(instances);
}

membership_actions membership::SetState(time_point now, instance_state state) {
  return impl_->SetState(now, state);
}

membership_actions membership::Leave() {
  return impl_->Leave();
}

membership_actions membership::SetConfiguration(time_point now,
                                                std::uint64_t number,
                                                std::uint64_t sequence) {
  return impl_->SetConfiguration(now, number, sequence);
}

control_message membership::MakeControlMessage(control_body body) const {
  return impl_->MakeControlMessage(std::move(body));
}

const fleet_view& membership::view() const {
  return impl_->view();
}

bool membership::trusted() const {
  return impl_->trusted();
}

std::vector<instance_info> membership::Contacts() const {
  return impl_->Contacts();
}

std::vector<contact> membership::LinkPeers() const {
  return impl_->LinkPeers();
}

std::vector<data_centre_status> membership::DataCentres() const {
  return impl_->DataCentres();
}

instance_state membership::state() const {
  return impl_->state();
}

std::uint64_t membership::incarnation() const {
  return impl_->incarnation();
}

const membership_counters& membership::counters() const {
  return impl_->counters();
}

}  // namespace rosemaryreach
