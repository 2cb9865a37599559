// Schedules how an instance reads the published configuration log: a few
// instances of each data centre watch the platform, the others pull from peers.
#ifndef ROSEMARYREACH_CONFIG_SYNC_H_
#define ROSEMARYREACH_CONFIG_SYNC_H_

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "rosemaryreach/control_messages.h"
#include "rosemaryreach/fleet_view.h"
#include "rosemaryreach/patch_log.h"
#include "rosemaryreach/platform_source.h"

namespace rosemaryreach {

struct config_sync_options {
  // Instances per data centre that watch the platform, and those that take
  // over when no watcher is heard.
  std::uint32_t watchers = 2;
  std::uint32_t standbys = 2;
  // Local peers that receive a digest of each new configuration.
  std::uint32_t push_fanout = 4;
  std::uint32_t watch_wait_ms = 800;
  std::uint32_t watch_deadline_ms = 1'100;
  std::uint32_t watcher_timeout_ms = 1'300;
  std::uint32_t heartbeat_ms = 400;
  std::uint32_t pull_timeout_ms = 500;
  std::uint32_t peer_wait_ms = 500;
  std::uint32_t backoff_min_ms = 100;
  std::uint32_t backoff_max_ms = 2'000;
};

// Read the platform; complete with OnPlatformPage() and the same token.
struct read_platform {
  std::uint64_t token = 0;
  log_position after;
  duration wait{};
};

// Request entries from a peer; complete with OnPulled() and the same token.
struct pull_from_peer {
  std::uint64_t token = 0;
  contact peer;
  log_position after;
};

// Send a digest to a peer.
struct push_digest {
  contact peer;
  configuration_digest digest;
};

// Reports an entry that the log refused, with its verdict.
struct refused_entry {
  entry_outcome outcome;
};

using config_sync_action =
    std::variant<read_platform, pull_from_peer, push_digest, refused_entry>;

// State of configuration synchronisation, for operators.
struct config_sync_status {
  log_head head;
  bool watching = false;
  std::string platform_error;  // empty if the last read succeeded
  std::string peer_error;      // empty if the last pull succeeded
  std::uint64_t platform_reads = 0;
  std::uint64_t platform_errors = 0;
  std::uint64_t pulls = 0;
  std::uint64_t pull_errors = 0;
  // Number of entries by verdict, in the order of entry_verdict.
  std::array<std::uint64_t, 10> verdicts{};
  // Digests received with the own configuration number but other content.
  std::uint64_t forks = 0;
  // The platform's highest sequence in its last successful answer.
  std::uint64_t platform_sequence = 0;
};

class config_sync {
 public:
  // `log` must outlive the object; its handler receives each configuration
  // that comes into force.
  config_sync(config_sync_options options,
              patch_log& log,
              instance_id self,
              std::string data_centre,
              std::uint64_t seed);

  // Starts due reads and pulls and handles timeouts. Call about every 50 ms.
  std::vector<config_sync_action> Tick(time_point now);

  // Sets the live instances and, if this instance is a contact of its data
  // centre, one contact of each other data centre.
  void OnView(const fleet_view& view, std::vector<contact> link_peers);

  // Handles a peer's log position. Zero `content` means no content digest.
  std::vector<config_sync_action> OnPeerDigest(
      time_point now,
      const contact& peer,
      const configuration_digest& digest);

  std::vector<config_sync_action> OnPlatformPage(
      time_point now,
      std::uint64_t token,
      const result<platform_page>& page);

  std::vector<config_sync_action> OnPulled(
      time_point now,
      std::uint64_t token,
      const result<std::vector<log_entry>>& entries);

  // Returns whether this instance is a watcher of the platform.
  bool IsWatcher() const { return Rank() < options_.watchers; }

  // Returns whether a configuration is in force.
  bool ready() const { return log_.Head().number != 0; }

  // Returns a readable reason for not being ready; empty if ready.
  std::string WaitingFor() const;

  config_sync_status status() const;

 private:
  static constexpr std::size_t kNoRank = 1'000'000;

  struct peer_head {
    contact peer;
    std::uint64_t sequence = 0;
  };

  using actions = std::vector<config_sync_action>;

  std::size_t RankOf(instance_id id) const;
  std::size_t Rank() const { return RankOf(self_); }
  bool ShouldWatch(time_point now) const;
  void StartRead(time_point now, duration wait, actions& out);
  void StartPull(time_point now, actions& out);
  void MaybePull(time_point now, actions& out);
  void Heartbeat(time_point now, actions& out);
  bool ApplyEntries(time_point now,
                    std::span<const log_entry> entries,
                    actions& out);
  void PushDigest(time_point now, actions& out);
  bool WatchAnswered(time_point now) const;
  void ReadFailed(time_point now, const error& error);
  void PullFailed(time_point now, const error& error);
  void RemovePeerAhead(instance_id id);
  configuration_digest Digest(time_point now) const;
  duration Backoff(std::uint32_t failures);

  config_sync_options options_;
  patch_log& log_;
  instance_id self_;
  std::string data_centre_;
  std::mt19937_64 random_;
  std::vector<contact> local_peers_;  // other instances of the data centre
  std::vector<contact> link_peers_;
  std::vector<instance_id> watch_order_;  // watchers, then standbys
  std::vector<peer_head> peers_ahead_;    // the most recent first
  std::uint64_t next_token_ = 1;
  std::uint64_t read_token_ = 0;  // 0: no read is pending
  time_point read_deadline_{};
  time_point next_read_{};
  std::uint64_t pull_token_ = 0;  // 0: no pull is pending
  instance_id pull_source_;
  time_point pull_deadline_{};
  time_point next_pull_{};
  time_point next_heartbeat_{};
  time_point start_time_{};
  time_point last_watcher_heartbeat_{};
  bool started_ = false;
  std::optional<time_point> last_watch_answer_;
  std::uint32_t read_failures_ = 0;
  std::uint32_t pull_failures_ = 0;
  config_sync_status status_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CONFIG_SYNC_H_
