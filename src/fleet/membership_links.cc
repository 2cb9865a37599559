#include <algorithm>

#include "fleet/membership_impl.h"

namespace rosemaryreach {
namespace {

using std::chrono::milliseconds;

// Minimum time between summaries, by what has changed.
constexpr std::uint32_t kPublishNumbersMs = 100;
constexpr std::uint32_t kPublishMembersMs = 1'000;
// Time for a vote to reach all members.
constexpr std::uint32_t kVotePropagationMs = 500;
constexpr std::uint32_t kReportMs = 1'000;
// Unanswered pings after which members other than contacts are pinged too.
constexpr std::uint32_t kContactAttempts = 2;

}  // namespace

bool membership::impl::IsContact() const {
  return trusted_ && std::find(contacts_.begin(), contacts_.end(), self_) !=
                         contacts_.end();
}

const data_centre_summary* membership::impl::OwnSummary() const {
  const auto found = table_.centres().find(data_centre_);
  return found == table_.centres().end() ? nullptr : &found->second;
}

// Returns the regions of the other known data centres by name, from summaries
// and members.
std::map<std::string, std::string> membership::impl::OtherDataCentres() const {
  std::map<std::string, std::string> regions;
  for (const auto& [name, summary] : table_.centres()) {
    regions[name] = summary.region;
  }
  for (const auto& [id, entry] : table_.members()) {
    regions[entry.record.info.data_centre] = entry.record.info.region;
  }
  regions.erase(data_centre_);
  return regions;
}

// On a contact, pings each other data centre, more often within the region.
void membership::impl::RunLinks(time_point now) {
  if (!IsContact()) {
    links_.clear();
    return;
  }
  for (const auto& [name, region] : OtherDataCentres()) {
    link& link = links_.try_emplace(name).first->second;
    if (link.created == time_point{}) {
      link.created = now;
    }
    const std::uint32_t period_ms = region == region_
                                        ? options_.link_interval_ms
                                        : options_.remote_link_interval_ms;
    if (link.sent == time_point{} ||
        now - link.sent >= milliseconds(period_ms)) {
      PingLink(now, name, link);
    }
    UpdateVote(now, name, link);
  }
}

void membership::impl::PingLink(time_point now,
                                const std::string& name,
                                link& link) {
  const std::vector<peer_address> candidates = LinkCandidates(name);
  if (candidates.empty()) {
    return;
  }
  link.sent = now;
  link.sequence = next_sequence_++;
  const auto theirs = table_.centres().find(name);
  const std::uint64_t known =
      theirs == table_.centres().end() ? 0 : theirs->second.version;
  control_message message = MakeControlMessage(link_ping{link.sequence, known});
  const data_centre_summary* own = OwnSummary();
  if (own != nullptr && own->version != link.acked_version) {
    message.centres.push_back(*own);
    link.sent_version = own->version;
  }
  if (!link.ever_answered) {
    message.members.push_back(Self());
  }
  // The contacts in turn; after kContactAttempts every second ping goes to a
  // random candidate.
  std::size_t index = link.attempts;
  if (link.attempts >= kContactAttempts && link.attempts % 2 == 1) {
    index = RandomIndex(candidates.size());
  }
  ++link.attempts;
  Send(candidates[index % candidates.size()], std::move(message));
}

// Returns the known addresses in a data centre, starting with the contact of
// the same rank as this one.
std::vector<membership::impl::peer_address> membership::impl::LinkCandidates(
    const std::string& name) const {
  std::vector<peer_address> candidates;
  const auto found = table_.centres().find(name);
  if (found != table_.centres().end()) {
    for (const contact& peer : found->second.contacts) {
      candidates.push_back({peer.id, peer.control});
    }
  }
  if (!candidates.empty()) {
    const auto rank = std::find(contacts_.begin(), contacts_.end(), self_);
    const std::ptrdiff_t first = (rank - contacts_.begin()) %
                                 static_cast<std::ptrdiff_t>(candidates.size());
    std::rotate(candidates.begin(), candidates.begin() + first,
                candidates.end());
  }
  for (const auto& [id, entry] : table_.members()) {
    const instance_info& info = entry.record.info;
    if (info.data_centre == name && IsLive(entry.record)) {
      candidates.push_back({info.id, ControlEndpoint(info)});
    }
  }
  for (const auto& [seed, data_centre] : seed_data_centres_) {
    if (data_centre == name) {
      candidates.push_back({{}, seed});
    }
  }
  for (const instance_info& hint : hints_) {
    if (hint.data_centre == name) {
      candidates.push_back({hint.id, ControlEndpoint(hint)});
    }
  }
  return candidates;
}

// Votes in the own data centre when the state of the link has changed.
void membership::impl::UpdateVote(time_point now,
                                  const std::string& name,
                                  const link& link) {
  const duration limit = milliseconds(options_.link_timeout_ms);
  if (!link.ever_answered && now - link.created < limit) {
    return;
  }
  const bool up = link.ever_answered && now - link.answered < limit;
  const auto known = table_.votes().find(std::pair(name, self_.value));
  const bool told = known != table_.votes().end();
  if (told && known->second.up == up) {
    return;
  }
  const std::uint64_t last = told ? known->second.version : 0;
  table_.Merge(link_vote{self_, name, std::max(last + 1, incarnation()), up});
  gossip_.votes[{name, self_.value}] = MakeUpdate();
  table_changed_ = now;
}

void membership::impl::OnLinkPing(const endpoint& source,
                                  const control_message& message) {
  const link_ping& body = std::get<link_ping>(message.body);
  control_message answer = MakeControlMessage(link_ack{body.sequence});
  const data_centre_summary* own = OwnSummary();
  if (own != nullptr && own->version != body.known_version) {
    answer.centres.push_back(*own);
  }
  if (!message.members.empty()) {
    answer.members.push_back(Self());
  }
  Send({message.from, source}, std::move(answer));
}

void membership::impl::OnLinkAck(time_point now,
                                 const control_message& message) {
  const std::uint32_t sequence = std::get<link_ack>(message.body).sequence;
  for (auto& [name, link] : links_) {
    if (link.sequence == sequence) {
      link.answered = now;
      link.ever_answered = true;
      link.attempts = 0;
      link.acked_version = link.sent_version;
      UpdateVote(now, name, link);
      return;
    }
  }
}

// A data centre is reachable if any contact votes that its link is up, and
// unreachable if all votes say that it is down.
void membership::impl::CountVotes(time_point now) {
  table_.RetainVotesOf(contacts_);
  std::map<std::string, bool> counted;
  for (const auto& [key, vote] : table_.votes()) {
    counted[vote.data_centre] = counted[vote.data_centre] || vote.up;
  }
  for (const auto& [name, up] : counted) {
    bool& reachable = reachable_[name];
    if (reachable == up) {
      continue;
    }
    reachable = up;
    view_stale_ = true;
    if (!up) {
      unreachable_since_[name] = now;
      continue;
    }
    const auto since = unreachable_since_.find(name);
    if (since != unreachable_since_.end() &&
        now - since->second >= milliseconds(options_.tombstone_ttl_ms)) {
      // Tombstones may have expired there, so that records of dead members
      // would come back: remove its members and learn them anew.
      std::vector<instance_id> old;
      for (const auto& [id, entry] : table_.members()) {
        if (entry.record.info.data_centre == name) {
          old.push_back({id});
        }
      }
      for (const instance_id id : old) {
        table_.Erase(id);
      }
      members_changed_ = true;
    }
  }
}

// After a join, waits for votes on each data centre of the region, or a
// timeout, before the view is trusted.
void membership::impl::CheckRegion(time_point now) {
  if (!trusted_ || region_known_) {
    return;
  }
  const duration limit =
      milliseconds(options_.link_timeout_ms + kVotePropagationMs);
  bool settled = true;
  for (const auto& [name, region] : OtherDataCentres()) {
    settled = settled && (region != region_ || reachable_.contains(name));
  }
  if (settled || now - joined_ >= limit) {
    region_known_ = true;
    view_stale_ = true;
  }
}

std::uint64_t membership::impl::MembersDigest(
    const std::string& data_centre) const {
  std::uint64_t digest = 0;
  for (const auto& [id, entry] : table_.members()) {
    const instance_info& info = entry.record.info;
    if (info.data_centre == data_centre && IsLive(entry.record) &&
        info.state != instance_state::kJoining) {
      digest += HashPair(id, info.incarnation);
    }
  }
  return digest;
}

data_centre_summary membership::impl::MakeSummary() const {
  data_centre_summary summary;
  summary.data_centre = data_centre_;
  summary.region = region_;
  summary.members_digest = MembersDigest(data_centre_);
  summary.minimum_number = number_;
  for (const auto& [id, entry] : table_.members()) {
    const instance_info& info = entry.record.info;
    if (!IsLocal(info) || !IsLive(entry.record)) {
      continue;
    }
    summary.highest_number =
        std::max(summary.highest_number, info.configuration_number);
    if (info.state != instance_state::kJoining) {
      summary.minimum_number =
          std::min(summary.minimum_number, info.configuration_number);
    }
  }
  for (const instance_id id : contacts_) {
    const instance_info& info = table_.Find(id)->record.info;
    summary.contacts.push_back({id, ControlEndpoint(info), info.grpc_port});
  }
  return summary;
}

// On the first contact, publishes a new summary of the data centre if it has
// changed.
void membership::impl::PublishSummary(time_point now) {
  if (contacts_.empty() || contacts_.front() != self_) {
    return;
  }
  data_centre_summary summary = MakeSummary();
  const data_centre_summary* known = OwnSummary();
  std::uint32_t period_ms = kPublishNumbersMs;
  if (known != nullptr) {
    summary.version = known->version;
    if (summary == *known) {
      return;
    }
    const bool numbers = summary.minimum_number > known->minimum_number ||
                         summary.highest_number > known->highest_number;
    period_ms = numbers ? kPublishNumbersMs : kPublishMembersMs;
  }
  if (now - published_ < milliseconds(period_ms)) {
    return;
  }
  summary.version = std::max(summary.version + 1, incarnation());
  published_ = now;
  table_.Merge(summary);
  table_changed_ = now;
  view_stale_ = true;
  gossip_.centres[data_centre_] = MakeUpdate();
}

membership_actions membership::impl::SetConfiguration(time_point now,
                                                      std::uint64_t number,
                                                      std::uint64_t sequence) {
  number_ = number;
  sequence_ = sequence;
  table_.Find(self_)->record.info.configuration_number = number;
  view_stale_ = true;
  for (const instance_id id : contacts_) {
    if (id != self_) {
      Send(table_.Find(id)->record, MakeControlMessage(gossip{}));
    }
  }
  next_report_ = now + milliseconds(kReportMs);
  return FlushActions();
}

// Repeats the own configuration number to the first contact while the minimum
// in the summary is lower.
void membership::impl::ReportNumber(time_point now) {
  const data_centre_summary* own = OwnSummary();
  if (now < next_report_ || contacts_.empty() || contacts_.front() == self_ ||
      (own != nullptr && own->minimum_number >= number_)) {
    return;
  }
  next_report_ = now + milliseconds(kReportMs);
  Send(table_.Find(contacts_.front())->record, MakeControlMessage(gossip{}));
}

std::vector<instance_info> membership::impl::Contacts() const {
  std::vector<instance_info> contacts;
  for (const instance_id id : contacts_) {
    if (id != self_) {
      contacts.push_back(table_.Find(id)->record.info);
    }
  }
  return contacts;
}

std::vector<contact> membership::impl::LinkPeers() const {
  std::vector<contact> peers;
  if (!IsContact()) {
    return peers;
  }
  for (const auto& [name, summary] : table_.centres()) {
    if (name != data_centre_ && !summary.contacts.empty()) {
      peers.push_back(summary.contacts.front());
    }
  }
  return peers;
}

std::vector<data_centre_status> membership::impl::DataCentres() const {
  std::vector<data_centre_status> centres;
  for (const auto& [name, summary] : table_.centres()) {
    data_centre_status status;
    status.name = name;
    status.region = summary.region;
    const auto reachable = reachable_.find(name);
    status.reachable = name == data_centre_ ||
                       (reachable != reachable_.end() && reachable->second);
    status.minimum_number = summary.minimum_number;
    status.highest_number = summary.highest_number;
    status.live_members = static_cast<std::uint32_t>(std::count_if(
        table_.members().begin(), table_.members().end(),
        [&name = name](const member_table::members_map::value_type& member) {
          return member.second.record.info.data_centre == name &&
                 IsLive(member.second.record);
        }));
    centres.push_back(std::move(status));
  }
  return centres;
}

}  // namespace rosemaryreach
