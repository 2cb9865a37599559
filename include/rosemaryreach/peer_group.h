// The other entry instances, found by the seeds and told by beacons; no
// leader, and each side of a cut goes on with those it hears.
#ifndef ROSEMARYREACH_PEER_GROUP_H_
#define ROSEMARYREACH_PEER_GROUP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

// What a beacon says of one instance. `heartbeat_count` rises while it lives.
struct peer_summary {
  std::uint32_t address = 0;  // IPv4, host byte order
  std::uint64_t incarnation = 0;
  std::uint32_t heartbeat_count = 0;
  std::uint32_t data_centre = 0;     // hash of its name
  std::uint32_t cpu_millicores = 0;  // thousandths of a core
  bool leaving = false;
  std::uint64_t changed_revision =
      0;  // item_cache::changed(); 0 without a view

  bool operator==(const peer_summary&) const = default;
};

// One datagram between instances.
struct beacon {
  peer_summary from;
  bool wants_answer = false;
  std::uint64_t revision = 0;  // item_cache::revision()
  duration age{};              // how old the sender's view of the store is
  std::vector<peer_summary> others;

  bool operator==(const beacon&) const = default;
};

// Beacons tell of at most this many others, which keeps them in one datagram.
inline constexpr std::size_t kMaxBeaconPeers = 16;

std::string EncodeBeacon(const beacon& beacon);

// Returns nothing for anything that EncodeBeacon() did not write.
std::optional<beacon> DecodeBeacon(std::string_view bytes);

// How often an instance tells others that it lives.
inline constexpr duration kBeaconPeriod = std::chrono::seconds(1);
// Three beacons and their jitter may be lost.
inline constexpr duration kPeerTimeout = std::chrono::milliseconds(3'500);
// In larger fleets most is heard through others: an instance gets some 70
// summaries a second, so news of one peer comes each (peers / 70) seconds on
// average. Ten times that makes a false loss rare.
inline constexpr duration kTimeoutPerPeer = std::chrono::milliseconds(150);
// Up to this many peers, everyone tells everyone.
inline constexpr std::size_t kSmallFleet = 16;

class peer_group {
 public:
  // Called with a peer's address and what is now believed of it.
  using report =
      std::function<void(std::uint32_t address, const char* outcome)>;

  // `seeds` are IPv4 addresses that may be stale or this instance's own.
  peer_group(const peer_summary& self,
             std::vector<std::uint32_t> seeds,
             std::uint64_t seed,
             report report_change);

  void SetSeeds(std::vector<std::uint32_t> seeds);

  // Takes what a beacon says of its sender and of others.
  void ApplyBeacon(const beacon& received, time_point now);

  // Returns the next beacon's summaries of this instance, which knows the
  // store up to the change `changed`, and of others.
  beacon MakeBeacon(std::uint64_t changed_revision);

  // Returns whom the periodic beacon goes to; now and then a seed or a lost
  // peer is among them, so that the sides of a healed cut find each other.
  std::vector<std::uint32_t> Recipients();

  // Returns whom this instance's own reading of the store goes to: everyone in
  // a small fleet; in a large one those that would read next, and some of
  // each data centre, who pass changes on.
  std::vector<std::uint32_t> UpdateRecipients();

  // Returns whom a change goes to that a peer told: some of this data centre,
  // so that it crosses to each data centre only a few times.
  std::vector<std::uint32_t> RelayRecipients();

  // Returns some peers that had no view of the store when last heard of.
  std::vector<std::uint32_t> PeersWithoutView();

  // Returns a peer that knows of changes after `known`, of this data centre if
  // there is one, larger ones more often; 0 if there is none. Only peers that
  // were heard themselves: what others tell of them may be of a former life.
  // Not `failed` unless there is no other one.
  std::uint32_t ViewSource(std::uint64_t known, std::uint32_t failed);

  // Drops peers that are silent.
  void Tick(time_point now);

  void SetLeaving() { self_.leaving = true; }

  // How many live instances come before this one in reading the store.
  std::uint32_t Rank() const;
  // Live instances in this instance's data centre, itself too.
  std::uint32_t LocalInstances() const;
  // Whether this instance is the one in charge of `subject`.
  bool Owns(std::uint64_t subject) const;
  std::size_t size() const { return peers_.size(); }
  std::vector<peer_summary> peers() const;

 private:
  struct peer {
    peer_summary summary;
    time_point last_heard{};
    bool direct = false;  // heard itself, in this life
  };

  void MergeSummary(const peer_summary& summary, time_point now);
  using address_list = std::vector<std::uint32_t>;

  bool small() const { return peers_.size() <= kSmallFleet; }
  address_list All() const;
  // The peers of each data centre.
  std::map<std::uint32_t, address_list> ByDataCentre() const;
  // Adds `here` random peers of this data centre and `elsewhere` of each other.
  void AddSpread(std::size_t local, std::size_t remote, address_list& to);
  void AddSample(const address_list& from, std::size_t count, address_list& to);
  void AddNextReaders(address_list& to) const;
  std::uint32_t RandomOf(std::span<const std::uint32_t> addresses);
  std::uint32_t RandomSource(std::uint64_t known,
                             bool local,
                             std::uint32_t excluded);

  peer_summary self_;
  std::vector<std::uint32_t> seeds_;
  std::mt19937_64 random_;
  report report_;
  std::map<std::uint32_t, peer> peers_;
  std::map<std::uint32_t, peer> lost_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_PEER_GROUP_H_
