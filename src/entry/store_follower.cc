#include "rosemaryreach/store_follower.h"

#include <algorithm>

namespace rosemaryreach {
namespace {

constexpr duration kFirstBackoff = std::chrono::milliseconds(200);
constexpr duration kHighestBackoff = std::chrono::seconds(2);
// Peers that know the store answer within a few milliseconds; the rest of this
// spreads a start of all instances at once.
constexpr duration kFirstReadLowest = std::chrono::milliseconds(5);
constexpr duration kFirstReadSpread = std::chrono::milliseconds(15);
// Time for an instance with a wider link to list the store and to tell of it.
// Twice as long serves 300 instances of 3,000 targets sooner and 90 instances
// of 150 targets later, half as long the other way round.
constexpr duration kThinReadLowest = std::chrono::milliseconds(30);
constexpr duration kThinReadSpread = std::chrono::milliseconds(60);
// Turns at the second page. Reading some ten pages and passing them on takes
// about a tenth of a second, on thin links several times that.
constexpr duration kTurnSpread = std::chrono::milliseconds(150);
constexpr duration kThinTurnSpread = std::chrono::milliseconds(600);

}  // namespace

store_follower::store_follower(time_point start,
                               double link_mbps,
                               std::uint64_t seed)
    : known_at_(start),
      thin_link_(link_mbps < kThinLinkMbps),
      random_(seed),
      backoff_(kFirstBackoff, kHighestBackoff, seed) {
  first_read_ = start + (thin_link_ ? kThinReadLowest : kFirstReadLowest) +
                RandomBelow(thin_link_ ? kThinReadSpread : kFirstReadSpread);
}

duration store_follower::RandomBelow(duration limit) {
  std::uniform_int_distribution<duration::rep> draw(0, limit.count() - 1);
  return duration(draw(random_));
}

duration store_follower::PagePause(std::size_t pages) {
  if (listed_ || pages != 1) {
    return duration(0);
  }
  return RandomBelow(thin_link_ ? kThinTurnSpread : kTurnSpread);
}

time_point store_follower::NextRead(std::uint32_t rank) const {
  if (hurry_ || !listed_) {
    return std::max(first_read_, backoff_.next());
  }
  const duration wait = kReadPeriod + kRankStep * std::min(rank, kMaxRank);
  return std::max(known_at_ + wait, backoff_.next());
}

read_kind store_follower::NextKind(time_point now) const {
  return !listed_ || now - listed_at_ >= kListPeriod ? read_kind::kList
                                                     : read_kind::kWatch;
}

void store_follower::TakeAnswer(read_kind kind,
                                time_point asked,
                                time_point now) {
  hurry_ = false;
  backoff_.Succeed();
  known_at_ = std::max(known_at_, asked);
  if (kind == read_kind::kList) {
    listed_ = true;
    listed_at_ = now;
  }
}

void store_follower::TakeFailure(bool history_gone, time_point now) {
  if (history_gone) {
    listed_at_ = now - kListPeriod;
    hurry_ = true;
    return;
  }
  hurry_ = false;
  backoff_.Fail(now);
}

void store_follower::TakePeer(time_point known_at) {
  known_at_ = std::max(known_at_, known_at);
  if (!listed_) {
    listed_ = true;
    listed_at_ = known_at;
  }
}

}  // namespace rosemaryreach
