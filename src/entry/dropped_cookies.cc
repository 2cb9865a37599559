#include "rosemaryreach/dropped_cookies.h"

#include <algorithm>

namespace rosemaryreach {

void dropped_cookies::OnDropped(std::uint32_t cookie, time_point now) {
  const bool added = first_dropped_.emplace(cookie, now).second;
  if (added && first_dropped_.size() > kMaxDroppedCookies) {
    first_dropped_.erase(std::min_element(
        first_dropped_.begin(), first_dropped_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
}

std::optional<duration> dropped_cookies::OnLearned(std::uint32_t cookie,
                                                   time_point now) {
  const auto found = first_dropped_.find(cookie);
  if (found == first_dropped_.end()) {
    return std::nullopt;
  }
  const duration since = now - found->second;
  first_dropped_.erase(found);
  return since;
}

}  // namespace rosemaryreach
