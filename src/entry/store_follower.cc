#include "rosemaryreach/store_follower.h"

#include <algorithm>

namespace rosemaryreach {
namespace {

constexpr duration kFirstBackoff = std::chrono::milliseconds(200);
constexpr duration kHighestBackoff = std::chrono::seconds(2);
// Peers that know the store answer within a few milliseconds; the rest of this
// spreads a start of all instances at once.
constexpr duration kFirstReadLowest = std::chrono::milliseconds(5);
constexpr duration::rep kFirstReadSpread = 15'000;  // microseconds

}  // namespace

store_follower::store_follower(time_point start, std::uint64_t seed)
    : known_at_(start),
      first_read_(start + kFirstReadLowest +
                  duration(static_cast<duration::rep>(
                      seed % static_cast<std::uint64_t>(kFirstReadSpread)))),
      backoff_(kFirstBackoff, kHighestBackoff, seed) {}

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
