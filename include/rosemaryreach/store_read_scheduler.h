// Schedules the reads of the store by this instance. Among peers that hear each
// other, the first in rank reads and gossips the result; the others wait longer
// by rank, so that the next one takes over when no update arrives.
#ifndef ROSEMARYREACH_STORE_READ_SCHEDULER_H_
#define ROSEMARYREACH_STORE_READ_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <random>

#include "rosemaryreach/retry_backoff.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

// Interval of reads by the first instance: a third of the shortest limit for
// applying a change, which leaves time for a lost message.
inline constexpr duration kReadInterval = std::chrono::milliseconds(500);
// Additional wait per rank; several times the duration of a read.
inline constexpr duration kRankDelay = std::chrono::milliseconds(200);
inline constexpr std::uint32_t kMaxRank = 10;
// The store counts as unavailable after this long without an update.
inline constexpr duration kStoreUnavailableAfter =
    std::chrono::milliseconds(1'800);
// Periodic listings repair changes that watches missed.
inline constexpr duration kListInterval = std::chrono::seconds(20);
// A slow store takes hundreds of milliseconds; a silent one is retried.
inline constexpr duration kReadDeadline = std::chrono::milliseconds(1'000);
// How long the store may hold a watch without changes: shorter than kRankDelay,
// so that a waiting reader does not look failed.
inline constexpr duration kWatchWait = std::chrono::milliseconds(50);

// Instances with slower links delay their first listing in favour of others:
// one of 12,000 targets, 7 MB, takes half a second at this rate.
inline constexpr double kSlowLinkMbps = 100;

enum class read_kind : std::uint8_t { kList, kWatch };

class store_read_scheduler {
 public:
  // `start` is when the process started; `seed` randomizes the time of the
  // first read, which is later on a slow link.
  store_read_scheduler(time_point start, double link_mbps, std::uint64_t seed);

  // Returns when this instance should read next. `rank` is the number of
  // instances that precede it.
  time_point NextRead(std::uint32_t rank) const;
  read_kind NextReadKind(time_point now) const;

  // Returns the wait before the next page of a listing of which `pages` were
  // read. It is random after the first page of a first listing, so that most
  // instances get the view from a peer before they read on; after the second
  // one if no peer is known, as while the seeds are down.
  duration PageDelay(std::size_t pages, bool peers_known);

  // Records the result of a read by this instance. `history_gone` means that
  // the store no longer has the changes to watch from, so a listing is needed.
  void OnReadSuccess(read_kind kind, time_point asked, time_point now);
  void OnReadFailure(bool history_gone, time_point now);

  // Makes the next read a listing.
  void RequireListing(time_point now) { listed_at_ = now - kListInterval; }

  // Records that this instance has caught up with a peer whose view is as of
  // `synced_at`.
  void OnPeerSync(time_point synced_at);

  // Makes the next read due immediately.
  void ExpediteNextRead() { expedited_ = true; }

  // The time as of which the view is current; the start time if there is none.
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
