// Decides when this instance reads the store itself. One instance of those
// that hear each other reads, the rest follow with growing delays, so that
// the next one steps in when nothing new is heard.
#ifndef ROSEMARYREACH_STORE_FOLLOWER_H_
#define ROSEMARYREACH_STORE_FOLLOWER_H_

#include <cstddef>
#include <cstdint>
#include <random>

#include "rosemaryreach/retry_backoff.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

// How often the store is read by one of the instances; a third of the
// shortest bound on taking a change, with room for a lost message.
inline constexpr duration kReadPeriod = std::chrono::milliseconds(500);
// How much longer each further instance waits; several times a read's time.
inline constexpr duration kRankStep = std::chrono::milliseconds(200);
inline constexpr std::uint32_t kMaxRank = 10;
// Without news for this long the store counts as away.
inline constexpr duration kStoreAway = std::chrono::milliseconds(1'800);
// A listing repeats what watches told, in case one lost something.
inline constexpr duration kListPeriod = std::chrono::seconds(20);
// A slow store takes hundreds of milliseconds; a silent one is asked again.
inline constexpr duration kReadDeadline = std::chrono::milliseconds(1'000);
// How long the store may hold a watch when nothing changes: shorter than
// kRankStep, so that a waiting reader is not taken for a lost one.
inline constexpr duration kWatchWait = std::chrono::milliseconds(50);

// Below this a listing is left to others for a while: one of 12,000 targets,
// 7 MB, takes half a second at this rate.
inline constexpr double kThinLinkMbps = 100;

enum class read_kind : std::uint8_t { kList, kWatch };

class store_follower {
 public:
  // `start` is when the process began; `seed` spreads the first reads, which
  // come later on a thin link.
  store_follower(time_point start, double link_mbps, std::uint64_t seed);

  // Returns when this instance should read next. `rank` counts the instances
  // that come before it.
  time_point NextRead(std::uint32_t rank) const;
  read_kind NextKind(time_point now) const;

  // Returns how long to wait before the next page of a listing of which
  // `pages` were read. The first view of a fleet with many pages is read in
  // turns, so that most instances hear of one that has it before they go on.
  duration PagePause(std::size_t pages);

  // Notes this instance's own reads.
  void TakeAnswer(read_kind kind, time_point asked, time_point now);
  void TakeFailure(bool history_gone, time_point now);

  // Notes that a peer knows the store as of `known_at`, and this instance all
  // that the peer does.
  void TakePeer(time_point known_at);

  // Makes the next read due at once.
  void Hurry() { hurry_ = true; }

  // As of when the store is known; the start if it isn't.
  time_point known_at() const { return known_at_; }
  bool listed() const { return listed_; }
  bool away(time_point now) const { return now - known_at_ >= kStoreAway; }

 private:
  duration RandomBelow(duration limit);

  time_point known_at_;
  time_point first_read_;
  time_point listed_at_{};
  bool listed_ = false;
  bool hurry_ = false;
  bool thin_link_ = false;
  std::mt19937_64 random_;
  retry_backoff backoff_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_STORE_FOLLOWER_H_
