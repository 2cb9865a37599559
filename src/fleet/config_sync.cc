#include "rosemaryreach/config_sync.h"

#include <algorithm>

namespace rosemaryreach {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kWatchKey = 0x77617463;
constexpr std::size_t kMaxPeersAhead = 4;
constexpr std::uint32_t kMaxBackoffShift = 10;
// Delay after a pull that returned no new entries.
constexpr std::uint32_t kIdlePullMs = 200;

bool IsRefusedVerdict(entry_verdict verdict) {
  return verdict != entry_verdict::kAccepted &&
         verdict != entry_verdict::kConfirmed &&
         verdict != entry_verdict::kPartial &&
         verdict != entry_verdict::kReplay;
}

}  // namespace

config_sync::config_sync(config_sync_options options,
                         patch_log& log,
                         instance_id self,
                         std::string data_centre,
                         std::uint64_t seed)
    : options_(options),
      log_(log),
      self_(self),
      data_centre_(std::move(data_centre)),
      random_(seed) {}

std::vector<config_sync_action> config_sync::Tick(time_point now) {
  actions out;
  if (!started_) {
    started_ = true;
    start_time_ = now;
    last_watcher_heartbeat_ = now;
  }
  if (read_token_ != 0 && now >= read_deadline_) {
    ReadFailed(now, {errc::kTimeout, "",
                     "the platform's watch was silent until its deadline"});
  }
  if (pull_token_ != 0 && now >= pull_deadline_) {
    PullFailed(now, {errc::kTimeout, "",
                     "no answer from the peer before the pull timeout"});
  }
  MaybePull(now, out);
  if (ShouldWatch(now)) {
    StartRead(now, ready() ? milliseconds(options_.watch_wait_ms) : duration{},
              out);
  }
  Heartbeat(now, out);
  return out;
}

void config_sync::OnView(const fleet_view& view,
                         std::vector<contact> link_peers) {
  link_peers_ = std::move(link_peers);
  local_peers_.clear();
  std::vector<std::pair<std::uint64_t, instance_id>> ranked;
  for (const instance_info& info : view.instances) {
    if (info.data_centre != data_centre_) {
      continue;
    }
    if (info.state == instance_state::kActive) {
      ranked.emplace_back(HashPair(info.id.value, kWatchKey), info.id);
    }
    if (info.id != self_) {
      local_peers_.push_back(
          {info.id, {info.address, info.control_port}, info.grpc_port});
    }
  }
  std::sort(ranked.rbegin(), ranked.rend());
  watch_order_.clear();
  for (const auto& [score, id] : ranked) {
    watch_order_.push_back(id);
  }
}

// Returns the position in the watch order; kNoRank if not an active instance
// of the data centre.
std::size_t config_sync::RankOf(instance_id id) const {
  const auto found = std::find(watch_order_.begin(), watch_order_.end(), id);
  return found == watch_order_.end()
             ? kNoRank
             : static_cast<std::size_t>(found - watch_order_.begin());
}

// Returns whether to read the platform: as a watcher, as a standby when no
// watcher is heard, or because no peer has offered a configuration.
bool config_sync::ShouldWatch(time_point now) const {
  if (read_token_ != 0 || now < next_read_) {
    return false;
  }
  const std::size_t rank = Rank();
  if (rank < options_.watchers) {
    return true;
  }
  if (rank < options_.watchers + options_.standbys) {
    return now - last_watcher_heartbeat_ >=
           milliseconds(options_.watcher_timeout_ms);
  }
  return !ready() && peers_ahead_.empty() && pull_token_ == 0 &&
         now - start_time_ >= milliseconds(options_.peer_wait_ms);
}

void config_sync::StartRead(time_point now, duration wait, actions& out) {
  read_token_ = next_token_++;
  read_deadline_ = now + milliseconds(options_.watch_deadline_ms);
  ++status_.platform_reads;
  out.emplace_back(read_platform{read_token_, log_.Position(), wait});
}

std::vector<config_sync_action> config_sync::OnPlatformPage(
    time_point now,
    std::uint64_t token,
    const result<platform_page>& page) {
  actions out;
  if (!page) {
    if (token == read_token_) {
      ReadFailed(now, page.error());
    }
    return out;
  }
  // Answers that arrive after the deadline are still used.
  const bool advanced = ApplyEntries(now, page.value().entries, out);
  status_.platform_sequence = page.value().head_sequence;
  if (token == read_token_) {
    read_token_ = 0;
    read_failures_ = 0;
    last_watch_answer_ = now;
    status_.platform_error.clear();
    // If no entry advanced the log, back off instead of reading them again at
    // once.
    const bool stuck = !advanced && !page.value().entries.empty();
    next_read_ = stuck ? now + Backoff(2) : now;
  }
  return out;
}

void config_sync::ReadFailed(time_point now, const error& error) {
  read_token_ = 0;
  ++status_.platform_errors;
  status_.platform_error = FormatError(error);
  next_read_ = now + Backoff(read_failures_++);
}

std::vector<config_sync_action> config_sync::OnPeerDigest(
    time_point now,
    const contact& peer,
    const configuration_digest& digest) {
  actions out;
  const log_head head = log_.Head();
  if (digest.watch_answered && RankOf(peer.id) < Rank()) {
    last_watcher_heartbeat_ = now;
  }
  if (digest.content != 0 && digest.number == head.number &&
      digest.content != head.digest) {
    ++status_.forks;
  }
  if (digest.sequence > head.sequence) {
    RemovePeerAhead(peer.id);
    peers_ahead_.insert(peers_ahead_.begin(), {peer, digest.sequence});
    peers_ahead_.resize(std::min(peers_ahead_.size(), kMaxPeersAhead));
    MaybePull(now, out);
  }
  return out;
}

void config_sync::RemovePeerAhead(instance_id id) {
  std::erase_if(peers_ahead_,
                [id](const peer_head& head) { return head.peer.id == id; });
}

// Pulls from the peer that last announced a higher sequence.
void config_sync::MaybePull(time_point now, actions& out) {
  const std::uint64_t sequence = log_.Position().sequence;
  std::erase_if(peers_ahead_, [sequence](const peer_head& head) {
    return head.sequence <= sequence;
  });
  if (pull_token_ != 0 || now < next_pull_ || peers_ahead_.empty()) {
    return;
  }
  StartPull(now, out);
}

void config_sync::StartPull(time_point now, actions& out) {
  pull_token_ = next_token_++;
  pull_source_ = peers_ahead_.front().peer.id;
  pull_deadline_ = now + milliseconds(options_.pull_timeout_ms);
  ++status_.pulls;
  out.emplace_back(
      pull_from_peer{pull_token_, peers_ahead_.front().peer, log_.Position()});
}

std::vector<config_sync_action> config_sync::OnPulled(
    time_point now,
    std::uint64_t token,
    const result<std::vector<log_entry>>& entries) {
  actions out;
  if (!entries) {
    if (token == pull_token_) {
      PullFailed(now, entries.error());
    }
    return out;
  }
  const bool advanced = ApplyEntries(now, entries.value(), out);
  if (token != pull_token_) {
    return out;
  }
  pull_token_ = 0;
  pull_failures_ = 0;
  status_.peer_error.clear();
  if (!advanced) {
    RemovePeerAhead(pull_source_);
    next_pull_ = now + milliseconds(kIdlePullMs);
  }
  MaybePull(now, out);
  return out;
}

void config_sync::PullFailed(time_point now, const error& error) {
  pull_token_ = 0;
  ++status_.pull_errors;
  status_.peer_error = FormatError(error);
  RemovePeerAhead(pull_source_);
  next_pull_ = peers_ahead_.empty() ? now + Backoff(pull_failures_++) : now;
}

// Passes the entries to the log. Returns whether its position changed.
bool config_sync::ApplyEntries(time_point now,
                               std::span<const log_entry> entries,
                               actions& out) {
  const log_position before = log_.Position();
  for (const log_entry& entry : entries) {
    entry_outcome outcome = log_.ApplyEntry(entry);
    ++status_.verdicts[static_cast<std::size_t>(outcome.verdict)];
    if (IsRefusedVerdict(outcome.verdict)) {
      out.emplace_back(refused_entry{std::move(outcome)});
    }
  }
  const log_position after = log_.Position();
  if (after.sequence > before.sequence) {
    PushDigest(now, out);
  }
  return !(after == before);
}

// Sends the digest to random local peers and the link peers; they pull the
// entries and announce them in turn.
void config_sync::PushDigest(time_point now, actions& out) {
  const configuration_digest digest = Digest(now);
  std::vector<contact> recipients;
  std::sample(local_peers_.begin(), local_peers_.end(),
              std::back_inserter(recipients), options_.push_fanout, random_);
  recipients.insert(recipients.end(), link_peers_.begin(), link_peers_.end());
  for (const contact& peer : recipients) {
    out.emplace_back(push_digest{peer, digest});
  }
}

// Returns whether the platform answered within the last watch deadline.
bool config_sync::WatchAnswered(time_point now) const {
  return last_watch_answer_ &&
         now - *last_watch_answer_ <= milliseconds(options_.watch_deadline_ms);
}

// Sends a digest to the standbys while the platform answers this instance, so
// that they don't take over.
void config_sync::Heartbeat(time_point now, actions& out) {
  if (!WatchAnswered(now) || now < next_heartbeat_) {
    return;
  }
  next_heartbeat_ = now + milliseconds(options_.heartbeat_ms);
  const std::size_t last = std::min<std::size_t>(
      watch_order_.size(), options_.watchers + options_.standbys);
  for (std::size_t rank = options_.watchers; rank < last; ++rank) {
    const auto peer = std::find_if(
        local_peers_.begin(), local_peers_.end(),
        [&](const contact& one) { return one.id == watch_order_[rank]; });
    if (peer != local_peers_.end()) {
      out.emplace_back(push_digest{*peer, Digest(now)});
    }
  }
}

configuration_digest config_sync::Digest(time_point now) const {
  const log_head head = log_.Head();
  return {head.number, head.sequence, head.digest, WatchAnswered(now)};
}

// Returns an exponential backoff delay with jitter over its upper half.
duration config_sync::Backoff(std::uint32_t failures) {
  const std::uint64_t full = std::min<std::uint64_t>(
      options_.backoff_max_ms, std::uint64_t{options_.backoff_min_ms}
                                   << std::min(failures, kMaxBackoffShift));
  std::uniform_int_distribution<std::uint64_t> jitter(full / 2, full);
  return milliseconds(jitter(random_));
}

std::string config_sync::WaitingFor() const {
  if (ready()) {
    return {};
  }
  const std::string platform =
      status_.platform_error.empty() ? "no answer yet" : status_.platform_error;
  std::string peers = status_.peer_error;
  if (local_peers_.empty()) {
    peers = "none known";
  } else if (peers.empty()) {
    peers = "none has a configuration";
  }
  return "a configuration; platform: " + platform + "; peers: " + peers;
}

config_sync_status config_sync::status() const {
  config_sync_status status = status_;
  status.head = log_.Head();
  status.watching = read_token_ != 0;
  return status;
}

}  // namespace rosemaryreach
