#include "rosemaryreach/departed_schedule.h"

#include <algorithm>

namespace rosemaryreach {
namespace {

// A second answer is a guard against a giver that was cut off from the store.
constexpr std::size_t kMaxAnswers = 2;
// Between questions that add nothing; doubles with each two further ones.
constexpr duration kFirstDelay = std::chrono::milliseconds(200);
constexpr std::size_t kMaxDoublings = 6;
// Time to hear of peers before the first instance reads the history. The others
// wait longer by rank, as long as nobody has told them more.
constexpr duration kHistoryDelay = std::chrono::milliseconds(300);
constexpr duration kHistoryRankDelay = std::chrono::seconds(1);
constexpr std::uint64_t kFirstDepth = 64;  // revisions
constexpr std::uint64_t kDepthFactor = 4;
constexpr std::size_t kMaxHistoryCalls = 8;
constexpr std::size_t kMaxHistoryFailures = 5;
constexpr duration kHistoryRetryDelay = std::chrono::seconds(1);

}  // namespace

departed_schedule::departed_schedule(duration retention, duration history)
    : retention_(retention), history_(history), depth_(kFirstDepth) {}

void departed_schedule::OnView(time_point now) {
  viewed_at_ = viewed_at_.value_or(now);
}

departed_question departed_schedule::Next(const peer_group& peers,
                                          time_point now) {
  const bool seen_all = viewed_at_ && now - *viewed_at_ >= retention_;
  if (!viewed_at_ || (seen_all && !wanted_)) {
    return {};
  }
  const history_source best = peers.HistorySource(failed_, retention_);
  if (IsOldest(best)) {
    // What younger ones told is not enough any more.
    answers_ = 0;
    fruitless_ = 0;
    return AskPeer(best);
  }
  const bool informed = seen_all || answers_ >= kMaxAnswers;
  if (informed && !wanted_) {
    return {};
  }
  if (!informed && HistoryDue(peers, now)) {
    return {departed_source::kHistory, 0};
  }
  if (now < retry_at_) {
    return {};
  }
  if (now - retry_at_ >= kFirstDelay * (1 << kMaxDoublings)) {
    fruitless_ = 0;
  }
  // Every second question goes to the best peer, which may have learned more
  // since; the others in turn to the next best.
  const bool ask_best = questions_ % 2 == 0;
  const history_source source =
      ask_best ? best : peers.HistorySource(asked_, retention_);
  if (source.address == 0) {
    asked_.clear();
    failed_.clear();
    questions_ += ask_best ? 0 : 1;
    return {};
  }
  return AskPeer(source);
}

bool departed_schedule::IsOldest(const history_source& source) const {
  constexpr std::uint64_t kSpreadMillis =
      std::chrono::duration_cast<std::chrono::milliseconds>(kStartSpread)
          .count();
  return source.older &&
         (!oldest_asked_ || source.started + kSpreadMillis < *oldest_asked_);
}

departed_question departed_schedule::AskPeer(const history_source& source) {
  if (source.older) {
    oldest_asked_ =
        std::min(oldest_asked_.value_or(source.started), source.started);
  }
  if (std::find(asked_.begin(), asked_.end(), source.address) == asked_.end()) {
    asked_.push_back(source.address);
  }
  last_asked_ = source.address;
  ++questions_;
  wanted_ = false;
  return {departed_source::kPeer, source.address};
}

bool departed_schedule::HistoryDue(const peer_group& peers,
                                   time_point now) const {
  const duration known = now - *viewed_at_;
  return !history_known_for_ && answers_ == 0 &&
         history_failures_ < kMaxHistoryFailures && known < history_ &&
         known >= kHistoryDelay + kHistoryRankDelay * peers.Rank() &&
         now >= history_retry_at_;
}

void departed_schedule::OnAnswer(duration known_for,
                                 bool added,
                                 time_point now) {
  const bool counts = known_for >= now - *viewed_at_ + kStartSpread;
  answers_ += counts ? 1 : 0;
  failed_.clear();
  if (added) {
    fruitless_ = 0;
  }
  if (counts && answers_ < kMaxAnswers) {
    retry_at_ = now;
    return;
  }
  Delay(now);
}

void departed_schedule::OnNoAnswer(time_point now) {
  failed_.push_back(last_asked_);
  Delay(now);
}

void departed_schedule::Delay(time_point now) {
  retry_at_ =
      now + kFirstDelay * (1 << std::min(fruitless_++ / 2, kMaxDoublings));
}

void departed_schedule::OnHistoryRead(bool whole) {
  readable_ = true;
  // Four times as far back is gone, if it was tried before.
  const bool longest = depth_ < kFirstDepth;
  if (whole || longest || ++history_calls_ >= kMaxHistoryCalls) {
    EndHistory(whole ? history_ : duration(0));
  } else {
    depth_ *= kDepthFactor;
  }
}

void departed_schedule::OnHistoryGone() {
  if (readable_ || ++history_calls_ >= kMaxHistoryCalls ||
      depth_ < kDepthFactor) {
    EndHistory(duration(0));
  } else {
    depth_ /= kDepthFactor;
  }
}

void departed_schedule::EndHistory(duration known_for) {
  history_known_for_ = known_for;
  answers_ += known_for >= kStartSpread ? 1 : 0;
}

duration departed_schedule::HistoryKnownFor() const {
  return history_known_for_.value_or(duration(0));
}

void departed_schedule::OnHistoryFailed(time_point now) {
  if (readable_) {
    EndHistory(duration(0));
    return;
  }
  ++history_failures_;
  history_retry_at_ = now + kHistoryRetryDelay;
}

}  // namespace rosemaryreach
