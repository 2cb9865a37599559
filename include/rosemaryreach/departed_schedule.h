// Decides when an instance asks for the targets that left before it had a view
// of the store, and whom: its peers, or the store for its history.
#ifndef ROSEMARYREACH_DEPARTED_SCHEDULE_H_
#define ROSEMARYREACH_DEPARTED_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "rosemaryreach/peer_group.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

enum class departed_source : std::uint8_t { kNone, kPeer, kHistory };

struct departed_question {
  departed_source source = departed_source::kNone;
  std::uint32_t peer = 0;  // address of the peer to ask
};

// An answer counts if its giver has known departures since well before this
// instance had a view. Peers that started together know as little as each
// other, so they are asked again until one of them has read the history of the
// store, or an older peer comes into reach, as after a cut.
class departed_schedule {
 public:
  // Departures matter for `retention`; the store keeps its history for
  // `history`, unless it drops it sooner.
  departed_schedule(duration retention, duration history);

  // Records that this instance has a view, so that it learns of departures.
  void OnView(time_point now);

  // Records that a packet was dropped, as no target with its cookie is known.
  void OnUnknownCookie() { wanted_ = true; }

  // Returns the question to ask now. Must not be called while a question is
  // open.
  departed_question Next(const peer_group& peers, time_point now);

  // Records an answer of a peer that knows the departures of `known_for`, and
  // whether it named targets that were not known here.
  void OnAnswer(duration known_for, bool added, time_point now);
  void OnNoAnswer(time_point now);

  // Returns how many revisions before the present one the next reading of the
  // history should begin. The store tells only by an error how many it keeps,
  // so they are searched for in steps.
  std::uint64_t HistoryDepth() const { return depth_; }
  // Records that the history was read from there; `whole` if it is all there
  // ever was.
  void OnHistoryRead(bool whole);
  // The store no longer has the history of HistoryDepth().
  void OnHistoryGone();
  void OnHistoryFailed(time_point now);
  // Returns how long before the reading departures are known from it: nothing
  // unless all of the history was read, as revisions don't tell times.
  duration HistoryKnownFor() const;

 private:
  bool HistoryDue(const peer_group& peers, time_point now) const;
  // Whether a peer started well before all that were asked.
  bool IsOldest(const history_source& source) const;
  departed_question AskPeer(const history_source& source);
  void Delay(time_point now);
  void EndHistory(duration known_for);

  duration retention_;
  duration history_;
  std::optional<time_point> viewed_at_;
  std::vector<std::uint32_t> asked_;   // in this round
  std::vector<std::uint32_t> failed_;  // to answer, since the last answer
  std::uint32_t last_asked_ = 0;
  std::size_t questions_ = 0;
  std::optional<std::uint64_t> oldest_asked_;  // when it started, Unix ms
  std::size_t answers_ = 0;                    // that count
  std::size_t fruitless_ = 0;  // questions in a row that added nothing
  bool wanted_ = false;
  time_point retry_at_{};
  std::uint64_t depth_;
  bool readable_ = false;  // a history of a lower depth
  std::size_t history_calls_ = 0;
  std::size_t history_failures_ = 0;
  std::optional<duration> history_known_for_;  // once its reading has ended
  time_point history_retry_at_{};
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_DEPARTED_SCHEDULE_H_
