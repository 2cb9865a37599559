#include "rosemaryreach/unknown_cookies.h"

#include <algorithm>

namespace rosemaryreach {

void unknown_cookies::Update(const view_state& view, time_point now) {
  const bool doubt = !view.complete || view.store_unavailable ||
                     view.entries_may_be_missing || view.holds_items ||
                     view.cookies_conflict || !view.settled ||
                     !view.departed_known;
  if (doubt) {
    certain_ = false;
  } else if (!certain_) {
    certain_ = true;
    // Not the time of confirmation: the view may be one that a peer had read
    // before this instance started.
    certain_since_ = now;
  }
  confirmed_at_ = view.confirmed_at;
  trusted_ = certain_ && confirmed_at_ - certain_since_ >= kListedAgainTime;
}

bool unknown_cookies::IsDead(std::uint32_t cookie, time_point now) {
  const auto known = first_seen_.find(cookie);
  if (known != first_seen_.end()) {
    return trusted_ && confirmed_at_ - known->second >= kEntryReadTime;
  }
  if (first_seen_.size() < kMaxUnknownCookies) {
    first_seen_.emplace(cookie, now);
    by_age_.emplace_back(now, cookie);
  }
  return false;
}

void unknown_cookies::Tick(duration flow_lifetime, time_point now) {
  while (!by_age_.empty() && now - by_age_.front().first >= flow_lifetime) {
    first_seen_.erase(by_age_.front().second);
    by_age_.pop_front();
  }
}

}  // namespace rosemaryreach
