// Decides whether an unknown cookie can be that of a live target.
#ifndef ROSEMARYREACH_UNKNOWN_COOKIES_H_
#define ROSEMARYREACH_UNKNOWN_COOKIES_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>

#include "rosemaryreach/target_directory.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

// Targets renew their entries this often.
inline constexpr duration kTargetHeartbeat = std::chrono::milliseconds(800);

// How long a live target may be unlisted in a view that is confirmed all the
// while: the return of an entry that had expired, and one heartbeat that is
// lost meanwhile.
inline constexpr duration kListedAgainTime =
    kEntryReturnGrace + kTargetHeartbeat;

// A cookie in a packet is that of a target which another instance knew, so its
// entry was written before. This instance has read it when its view was
// confirmed so much later: a slow store takes this long for an answer.
inline constexpr duration kEntryReadTime = std::chrono::milliseconds(600);

// Bounds the memory for cookies. Packets with invented cookies may use it up;
// further cookies are then taken as possibly alive.
inline constexpr std::size_t kMaxUnknownCookies = 16'384;

// What the instance knows of its view at the time of a packet.
struct view_state {
  bool complete = false;                // a configuration and targets are known
  bool store_unavailable = false;       // no read was confirmed for some time
  bool entries_may_be_missing = false;  // away or restored until recently
  bool holds_items = false;             // of a restored store
  bool cookies_conflict = false;        // two known targets share one
  bool settled = false;  // confirmed since the process was paused
  // Whether the targets that left were learned from peers that have run longer,
  // as far as there are any. Instances without that may lack a live target
  // whose entry expired, which the others still know.
  bool departed_known = false;
  time_point confirmed_at{};  // as of when the view is current
};

class unknown_cookies {
 public:
  // Notes the state of the view. Called periodically and before IsDead(): any
  // doubt starts kListedAgainTime anew.
  void Update(const view_state& view, time_point now);

  // Returns whether `cookie`, which no known target has, is that of no live
  // target: the view has been complete and confirmed for kListedAgainTime, and
  // was confirmed kEntryReadTime after the cookie was first seen.
  bool IsDead(std::uint32_t cookie, time_point now);

  // Removes the cookies of flows that ended.
  void Tick(duration flow_lifetime, time_point now);

  // Whether the view is trusted to list all live targets.
  bool trusted() const { return trusted_; }
  std::size_t size() const { return first_seen_.size(); }

 private:
  std::map<std::uint32_t, time_point> first_seen_;
  std::deque<std::pair<time_point, std::uint32_t>> by_age_;
  bool certain_ = false;        // no doubt at the last Update()
  time_point certain_since_{};  // the time of confirmation it began with
  time_point confirmed_at_{};
  bool trusted_ = false;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_UNKNOWN_COOKIES_H_
