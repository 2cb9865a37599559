#include "rosemaryreach/store_read_scheduler.h"

#include <algorithm>

namespace rosemaryreach {
namespace {

constexpr duration kFirstBackoff = std::chrono::milliseconds(200);
constexpr duration kMaxBackoff = std::chrono::seconds(2);
// Peers with a view of the store reply within a few milliseconds; the spread
// distributes the reads when all instances start at once.
constexpr duration kFirstReadMin = std::chrono::milliseconds(0);
constexpr duration kFirstReadSpread = std::chrono::milliseconds(5);
// Time for an instance with a faster link to list the store and to announce it.
// Doubling it gets 300 instances with 3,000 targets ready sooner and 90
// instances with 150 targets later; halving it does the opposite.
constexpr duration kSlowLinkFirstReadMin = std::chrono::milliseconds(30);
constexpr duration kSlowLinkFirstReadSpread = std::chrono::milliseconds(60);
// Random delay before the second page. Reading some ten pages and serving them
// to peers takes about a tenth of a second, on slow links several times that.
constexpr duration kPageDelaySpread = std::chrono::milliseconds(150);
constexpr duration kSlowLinkPageDelaySpread = std::chrono::milliseconds(600);

}  // namespace

store_read_scheduler::store_read_scheduler(time_point start,
                                           double link_mbps,
                                           std::uint64_t seed)
    : synced_at_(start),
      slow_link_(link_mbps < kSlowLinkMbps),
      random_(seed),
      backoff_(kFirstBackoff, kMaxBackoff, seed) {
  first_read_ =
      start + (slow_link_ ? kSlowLinkFirstReadMin : kFirstReadMin) +
      RandomBelow(slow_link_ ? kSlowLinkFirstReadSpread : kFirstReadSpread);
}

duration store_read_scheduler::RandomBelow(duration limit) {
  std::uniform_int_distribution<duration::rep> draw(0, limit.count() - 1);
  return duration(draw(random_));
}

duration store_read_scheduler::PageDelay(std::size_t pages, bool peers_known) {
  const std::size_t free_pages = peers_known ? 1 : 2;
  if (listed_ || pages != free_pages) {
    return duration(0);
  }
  return RandomBelow(slow_link_ ? kSlowLinkPageDelaySpread : kPageDelaySpread);
}

time_point store_read_scheduler::NextRead(std::uint32_t rank) const {
  if (expedited_ || !listed_) {
    return std::max(first_read_, backoff_.next_attempt());
  }
  const duration wait = kReadInterval + kRankDelay * std::min(rank, kMaxRank);
  return std::max(synced_at_ + wait, backoff_.next_attempt());
}

read_kind store_read_scheduler::NextReadKind(time_point now) const {
  return !listed_ || now - listed_at_ >= kListInterval ? read_kind::kList
                                                       : read_kind::kWatch;
}

void store_read_scheduler::OnReadSuccess(read_kind kind,
                                         time_point asked,
                                         time_point now) {
  expedited_ = false;
  backoff_.OnSuccess();
  synced_at_ = std::max(synced_at_, asked);
  if (kind == read_kind::kList) {
    listed_ = true;
    listed_at_ = now;
  }
}

void store_read_scheduler::OnReadFailure(bool history_gone, time_point now) {
  if (history_gone) {
    RequireListing(now);
    expedited_ = true;
    return;
  }
  expedited_ = false;
  backoff_.OnFailure(now);
}

void store_read_scheduler::OnPeerSync(time_point synced_at) {
  if (!listed_) {
    // A first view may be older than this process.
    listed_ = true;
    listed_at_ = synced_at;
    synced_at_ = synced_at;
  }
  synced_at_ = std::max(synced_at_, synced_at);
}

}  // namespace rosemaryreach
