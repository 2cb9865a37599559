// Decides when this instance reads the store itself. One instance of those
// that hear each other reads, the rest follow with growing delays, so that
// the next one steps in when nothing new is heard.
#ifndef ROSEMARYREACH_STORE_READ_SCHEDULER_H_
#define ROSEMARYREACH_STORE_READ_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <random>

#include "rosemaryreach/retry_backoff.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

// How often the store is read by one of the instances; a third of the
// shortest bound on taking a change, with room for a lost message.
inline constexpr duration kReadInterval = std::chrono::milliseconds(500);
// How much longer each further instance waits; several times a read's time.
inline constexpr duration kRankDelay = std::chrono::milliseconds(200);
inline constexpr std::uint32_t kMaxRank = 10;
// Without news for this long the store counts as away.
inline constexpr duration kStoreUnavailableAfter =
    std::chrono::milliseconds(1'800);
// A listing repeats what watches told, in case one lost something.
inline constexpr duration kListInterval = std::chrono::seconds(20);
// A slow store takes hundreds of milliseconds; a silent one is asked again.
inline constexpr duration kReadDeadline = std::chrono::milliseconds(1'000);
// How long the store may hold a watch when nothing changes: shorter than
// kRankDelay, so that a waiting reader is not taken for a lost one.
inline constexpr duration kWatchWait = std::chrono::milliseconds(50);

// Below this a listing is left to others for a while: one of 12,000 targets,
// 7 MB, takes half a second at this rate.
inline constexpr double kSlowLinkMbps = 100;

enum class read_kind : std::uint8_t { kList, kWatch };

class store_read_scheduler {
 public:
  // `start` is when the process began; `seed` spreads the first reads, which
  // come later on a thin link.
  store_read_scheduler(time_point start, double link_mbps, std::uint64_t seed);

  // Returns when this instance should read next. `rank` counts the instances
  // that come before it.
  time_point NextRead(std::uint32_t rank) const;
  read_kind NextReadKind(time_point now) const;

  // Returns how long to wait before the next page of a listing of which
  // `pages` were read. The first view of a fleet with many pages is read in
  // turns, so that most instances hear of one that has it before they go on.
  duration PageDelay(std::size_t pages);

  // Notes this instance's own reads.
  void OnReadSuccess(read_kind kind, time_point asked, time_point now);
  void OnReadFailure(bool history_gone, time_point now);

  // Notes that a peer knows the store as of `known_at`, and this instance all
  // that the peer does.
  void OnPeerSync(time_point synced_at);

  // Makes the next read due at once.
  void ExpediteNextRead() { expedited_ = true; }

  // As of when the store is known; the start if it isn't.
  time_point synced_at() const { return synced_at_; }
  bool listed() const { return listed_; }
  bool store_unavailable(time_point now) const {
    return now - synced_at_ >= kStoreUnavailableAfter;
  }

 private:
  duration RandomBelow(duration limit);

  time_point synced_at_;
  time_point first_read_;
  time_point listed_at_{};
  bool listed_ = false;
  bool expedited_ = false;
  bool slow_link_ = false;
  std::mt19937_64 random_;
  retry_backoff backoff_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_STORE_READ_SCHEDULER_H_
