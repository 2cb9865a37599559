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

// What a beacon says of one instance. `beats` rises while it lives.
struct peer_summary {
  std::uint32_t address = 0;  // IPv4, host byte order
  std::uint64_t incarnation = 0;
  std::uint32_t beats = 0;
  std::uint32_t data_centre = 0;  // hash of its name
  bool leaving = false;

  bool operator==(const peer_summary&) const = default;
};

// One datagram between instances.
struct beacon {
  peer_summary from;
  bool wants_answer = false;
  std::uint64_t changed = 0;   // item_cache::changed()
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
inline constexpr duration kPeerSilence = std::chrono::milliseconds(3'500);

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
  void Hear(const beacon& heard, time_point now);

  // Returns the next beacon's summaries of this instance and of others.
  beacon MakeBeacon();

  // Returns whom the periodic beacon goes to; now and then a seed or a lost
  // peer is among them, so that the sides of a healed cut find each other.
  std::vector<std::uint32_t> Recipients();

  // Returns whom news goes to at once.
  std::vector<std::uint32_t> NewsRecipients();

  // Drops peers that are silent.
  void Tick(time_point now);

  void SetLeaving() { self_.leaving = true; }

  // How many live instances come before this one in reading the store.
  std::uint32_t Rank() const;
  // Live instances in this instance's data centre, itself too.
  std::uint32_t InstancesHere() const;
  // Whether this instance is the one in charge of `subject`.
  bool Owns(std::uint64_t subject) const;
  std::size_t size() const { return peers_.size(); }
  std::vector<peer_summary> peers() const;

 private:
  struct peer {
    peer_summary summary;
    time_point heard{};
  };

  void Learn(const peer_summary& summary, time_point now);
  std::vector<std::uint32_t> Sample(std::size_t count);
  std::uint32_t RandomOf(std::span<const std::uint32_t> addresses);

  peer_summary self_;
  std::vector<std::uint32_t> seeds_;
  std::mt19937_64 random_;
  report report_;
  std::map<std::uint32_t, peer> peers_;
  std::map<std::uint32_t, peer> lost_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_PEER_GROUP_H_
