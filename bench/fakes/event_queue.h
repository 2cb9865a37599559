// Virtual time for benches and tests: runs callbacks in order of time.
#ifndef ROSEMARYREACH_FAKES_EVENT_QUEUE_H_
#define ROSEMARYREACH_FAKES_EVENT_QUEUE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "rosemaryreach/types.h"

namespace rosemaryreach::fakes {

class event_queue {
 public:
  using callback = std::function<void()>;

  time_point now() const { return now_; }

  // Runs `run` at `when`, or at once if that is past; equal times run in the
  // order of the calls.
  void At(time_point when, callback run) {
    events_.push({std::max(when, now_), next_sequence_++, std::move(run)});
  }

  void After(duration delay, callback run) { At(now_ + delay, std::move(run)); }

  // Runs `run` each `period` until it returns false.
  void Every(duration period, std::function<bool()> run) {
    After(period, [this, period, run = std::move(run)]() mutable {
      if (run()) {
        Every(period, std::move(run));
      }
    });
  }

  // Runs everything up to and including `end`, then sets the time to `end`.
  void RunUntil(time_point end) {
    while (!events_.empty() && events_.top().when <= end) {
      // The callback may push, so it leaves the queue before it runs.
      event next = std::move(const_cast<event&>(events_.top()));
      events_.pop();
      now_ = next.when;
      next.run();
    }
    now_ = end;
  }

  void RunFor(duration span) { RunUntil(now_ + span); }

 private:
  struct event {
    time_point when;
    std::uint64_t sequence;
    callback run;

    bool operator<(const event& other) const {
      return std::pair(when, sequence) > std::pair(other.when, other.sequence);
    }
  };

  time_point now_{};
  std::uint64_t next_sequence_ = 0;
  std::priority_queue<event> events_;
};

}  // namespace rosemaryreach::fakes

#endif  // ROSEMARYREACH_FAKES_EVENT_QUEUE_H_
