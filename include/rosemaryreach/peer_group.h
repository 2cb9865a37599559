// Gossip membership of the entry instances, bootstrapped from seeds. There is
// no leader; in a partition, each side continues with the peers that it hears.
#ifndef ROSEMARYREACH_PEER_GROUP_H_
#define ROSEMARYREACH_PEER_GROUP_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "rosemaryreach/entry_types.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

// The state of one instance in a beacon. `heartbeat_count` rises with each
// beacon of the instance.
struct peer_summary {
  std::uint32_t address = 0;  // IPv4, host byte order
  std::uint64_t incarnation = 0;
  std::uint32_t heartbeat_count = 0;
  std::uint32_t data_centre = 0;  // hash of its name
  std::uint32_t cpu_millicores = 0;
  bool leaving = false;
  store_cursor changed;  // item_cache::changed()

  bool operator==(const peer_summary&) const = default;
};

// A gossip message between instances, sent as one datagram.
struct beacon {
  peer_summary from;
  bool wants_answer = false;
  store_cursor cursor;  // item_cache::cursor()
  duration age{};       // of the sender's view of the store
  std::vector<peer_summary> others;

  bool operator==(const beacon&) const = default;
};

// Maximum number of other peers in a beacon, so that it fits one datagram.
inline constexpr std::size_t kMaxBeaconPeers = 16;

std::string EncodeBeacon(const beacon& beacon);

// Returns nothing if `bytes` is not a valid beacon.
std::optional<beacon> DecodeBeacon(std::string_view bytes);

// Interval of periodic beacons.
inline constexpr duration kBeaconPeriod = std::chrono::seconds(1);
// Tolerates the loss of three beacons, and jitter.
inline constexpr duration kPeerTimeout = std::chrono::milliseconds(3'500);
// In larger fleets most summaries arrive through other peers: an instance
// receives about 70 a second, so one of a given peer every (peers / 70) seconds
// on average. Ten times that makes false timeouts rare.
inline constexpr duration kTimeoutPerPeer = std::chrono::milliseconds(150);
// Up to this many peers, beacons describe all peers and updates go to all.
inline constexpr std::size_t kSmallFleet = 16;
// Instances that are started together start within 0.3 s of each other. Clocks
// of machines differ by less than the rest.
inline constexpr duration kStartSpread = std::chrono::seconds(2);

// A peer that may know of departed targets.
struct history_source {
  std::uint32_t address = 0;  // 0 if there is none
  // It started before this instance by more than kStartSpread.
  bool older = false;
  // When it started, Unix ms; 0 if it was older than what is asked for.
  std::uint64_t started = 0;

  bool operator==(const history_source&) const = default;
};

class peer_group {
 public:
  // Called when the state of a peer changes.
  using report =
      std::function<void(std::uint32_t address, const char* outcome)>;

  // `seeds` are IPv4 addresses; they may be stale or include this instance.
  peer_group(const peer_summary& self,
             std::vector<std::uint32_t> seeds,
             std::uint64_t seed,
             report report_change);

  void SetSeeds(std::vector<std::uint32_t> seeds);

  // Merges the summaries of a received beacon.
  void ApplyBeacon(const beacon& received, time_point now);

  // Returns the next beacon, with the summaries of this instance, whose view of
  // the store last changed at `changed`, and of others.
  beacon MakeBeacon(store_cursor changed);

  // Returns the recipients of a periodic beacon. They include timed out peers
  // and seeds from time to time, so that a healed partition merges again.
  std::vector<std::uint32_t> Recipients();

  // Returns whom an instance without a view asks for one: a seed, and two known
  // peers, one of them in this data centre if possible. Larger ones are asked
  // more often, since they read the store first.
  std::vector<std::uint32_t> SearchRecipients();

  // Returns the recipients of a beacon after this instance read the store: all
  // peers of a small fleet; in a large one the next readers and some peers of
  // each data centre, which relay changes.
  std::vector<std::uint32_t> UpdateRecipients();

  // Returns the recipients of a change that was learned from a peer: some peers
  // of this data centre only, since traffic between data centres is expensive.
  std::vector<std::uint32_t> RelayRecipients();

  // Returns the seeds that were not heard of lately. One that has started again
  // knows no other instance but the seeds, so it waits to be told of a view.
  std::vector<std::uint32_t> SilentSeeds(time_point now) const;

  // Returns some peers that had no view of the store by their last summary.
  std::vector<std::uint32_t> PeersWithoutView();

  // Returns a random peer whose view has changes after `known`, or 0. Prefers
  // this data centre and weights by CPU; picks `failed` only if there is no
  // other. Only peers heard directly count: summaries from others may predate a
  // restart.
  std::uint32_t ViewSource(store_cursor known, std::uint32_t failed);

  // Returns whom to ask for targets that left within `retention`: any peer that
  // was older than that when this instance started, or else the oldest; if no
  // peer is older than this instance, one that reads the store before it.
  // None of `excluded`, and none that is leaving.
  history_source HistorySource(std::span<const std::uint32_t> excluded,
                               duration retention) const;

  // Removes peers that have timed out.
  void Tick(time_point now);

  void SetLeaving() { self_.leaving = true; }

  // Returns how many live instances precede this one as readers of the store.
  std::uint32_t Rank() const;
  // Returns the live instances in this data centre, including this one.
  std::uint32_t LocalInstances() const;
  // Returns whether this instance owns `subject`, by rendezvous hashing.
  bool Owns(std::uint64_t subject) const;
  std::size_t size() const { return peers_.size(); }
  std::vector<peer_summary> peers() const;

  const peer_summary& self() const { return self_; }
  // Returns the last summary of a peer; nullptr if it isn't known.
  const peer_summary* Find(std::uint32_t address) const;
  void ForEach(const std::function<void(const peer_summary&)>& visit) const;

  // Returns the addresses of the collectors of a data centre: its first two
  // live instances, this one included, by CPU and then by hash of the address.
  // 0 stands for one that is missing. Instances for which `excluded` returns
  // true don't count.
  std::array<std::uint32_t, 2> Collectors(
      std::uint32_t data_centre,
      const std::function<bool(std::uint32_t address)>& excluded) const;

 private:
  struct peer {
    peer_summary summary;
    time_point last_heard{};
    bool direct = false;  // this incarnation was heard directly
  };

  void MergeSummary(const peer_summary& summary, time_point now);
  // Returns an older peer as HistorySource() does, of those heard directly or
  // of the others.
  history_source OlderPeer(std::span<const std::uint32_t> excluded,
                           duration retention,
                           bool direct) const;
  // Returns the first reader of the store in this data centre or, if that is
  // this instance, of all; otherwise any peer. None of `excluded`; 0 if there
  // is no other.
  std::uint32_t ReaderToAsk(std::span<const std::uint32_t> excluded) const;
  using address_list = std::vector<std::uint32_t>;

  bool small() const { return peers_.size() <= kSmallFleet; }
  address_list All() const;
  // Returns the peers grouped by data centre.
  std::map<std::uint32_t, address_list> ByDataCentre() const;
  // Adds `local` random peers of this data centre and `remote` of each other.
  void AddSpread(std::size_t local, std::size_t remote, address_list& to);
  void AddSample(const address_list& from, std::size_t count, address_list& to);
  void AddNextReaders(address_list& to) const;
  std::uint32_t RandomOf(std::span<const std::uint32_t> addresses);
  // Returns one of the peers, weighted by CPU; 0 if there are none.
  std::uint32_t RandomByCpu(std::span<const std::uint32_t> addresses);
  std::uint32_t RandomSource(store_cursor known,
                             bool local,
                             std::uint32_t excluded);

  peer_summary self_;
  std::vector<std::uint32_t> seeds_;
  std::mt19937_64 random_;
  report report_;
  std::map<std::uint32_t, peer> peers_;
  std::map<std::uint32_t, peer> timed_out_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_PEER_GROUP_H_
