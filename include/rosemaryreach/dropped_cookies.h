// Remembers the cookies of packets that were dropped for want of a target, to
// tell afterwards whose flows they were.
#ifndef ROSEMARYREACH_DROPPED_COOKIES_H_
#define ROSEMARYREACH_DROPPED_COOKIES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

// The earliest ones are forgotten first.
inline constexpr std::size_t kMaxDroppedCookies = 1'024;

class dropped_cookies {
 public:
  void OnDropped(std::uint32_t cookie, time_point now);

  // Records that the target with `cookie` is known now. Returns the time since
  // its first packet was dropped, if one was.
  std::optional<duration> OnLearned(std::uint32_t cookie, time_point now);

  std::size_t size() const { return first_dropped_.size(); }

 private:
  std::map<std::uint32_t, time_point> first_dropped_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_DROPPED_COOKIES_H_
