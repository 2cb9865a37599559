// Authenticates messages between instances: HMAC, sequence numbers against
// replay, and several keys at once for key rotation.
#ifndef ROSEMARYREACH_PEER_AUTH_H_
#define ROSEMARYREACH_PEER_AUTH_H_

#include <array>
#include <bitset>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "rosemaryreach/result.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

inline constexpr std::size_t kMinPeerKeyBytes = 32;

// Shared secrets of at least kMinPeerKeyBytes octets. The first signs, all
// verify. ReadSecret() in settings.h reads them.
using peer_keys = std::vector<std::string>;

// Octets that Seal() adds to a payload.
inline constexpr std::size_t kSealOverheadBytes = 34;

// An authenticated datagram.
struct opened_datagram {
  instance_id from;
  // Whether it was sealed for the receiver's id rather than its address.
  bool bound_to_id = false;
  std::string_view payload;
};

class peer_auth {
 public:
  struct counters {
    std::uint64_t accepted = 0;
    std::uint64_t truncated = 0;
    std::uint64_t forged = 0;
    std::uint64_t replayed = 0;
  };

  // `first_sequence` must exceed every sequence used before a restart; the wall
  // clock in microseconds meets this. `address` is the own endpoint, to open
  // datagrams that are sealed for an address.
  peer_auth(instance_id self,
            peer_keys keys,
            std::uint64_t first_sequence,
            const endpoint& address = {});

  // Returns `payload` sealed for the receiver `to`; Open() fails elsewhere.
  std::string Seal(instance_id to, std::string_view payload);

  // As Seal(), for a receiver whose id isn't known yet.
  std::string SealByAddress(const endpoint& to, std::string_view payload);

  // Verifies `datagram` and returns its sender and payload, a view into it.
  // Errors: kTruncated, kUnauthenticated, and kStale for a replay.
  result<opened_datagram> Open(std::string_view datagram);

  // Returns a hexadecimal authenticator of `text`, for headers and metadata.
  std::string Sign(std::string_view text) const;

  // Returns whether `signature` is Sign(text) with one of the keys.
  bool Verify(std::string_view text, std::string_view signature) const;

  // Replaces the keys and keeps the sequences.
  void SetKeys(peer_keys keys);

  // Continues above `highest`, the highest sequence a peer received from here.
  void RaiseSequence(std::uint64_t highest);

  // Returns the highest sequence received from `from`, or 0.
  std::uint64_t HighestSequenceFrom(instance_id from) const;

  // Returns and clears the sender of the last datagram that Open() refused
  // because its sequence is below the replay window; zero if there is none.
  instance_id TakeRegressedSender();

  const counters& stats() const { return counters_; }

 private:
  static constexpr std::size_t kReplayWindow = 1'024;

  struct replay_window {
    std::uint64_t highest = 0;
    std::bitset<kReplayWindow> seen;
  };

  std::string SealFor(std::uint64_t to,
                      std::uint8_t version,
                      std::string_view payload);
  bool AcceptSequence(instance_id from, std::uint64_t sequence);

  instance_id self_;
  std::uint64_t address_key_;
  peer_keys keys_;
  std::uint64_t next_sequence_;
  std::unordered_map<std::uint64_t, replay_window> windows_;
  instance_id regressed_sender_;
  counters counters_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_PEER_AUTH_H_
