// The operators' platform in virtual time: entries that can be read and
// watched, and the faults that it may have.
#ifndef ROSEMARYREACH_FAKES_PLATFORM_H_
#define ROSEMARYREACH_FAKES_PLATFORM_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include "fakes/event_queue.h"
#include "rosemaryreach/platform_source.h"

namespace rosemaryreach::fakes {

class platform {
 public:
  explicit platform(event_queue& queue) : queue_(queue) {}

  // Publishes `text` as the next entry.
  void Publish(std::string text) {
    Publish(log_entry{entries_.empty() ? 1 : entries_.back().sequence + 1, 0, 0,
                      std::move(text)});
  }

  void Publish(log_entry entry) {
    entries_.push_back(std::move(entry));
    AnswerWaiting();
  }

  // While down, every call fails after a while.
  void SetDown(bool down) { down_ = down; }

  // Calls are never answered.
  void SetSilent(bool silent) { silent_ = silent; }

  // Hides the last `count` entries, as a replica that lags does.
  void SetStale(std::size_t count) {
    stale_ = count;
    AnswerWaiting();
  }

  // Replaces what is stored, as a restore from a backup does.
  void Replace(std::vector<log_entry> entries) {
    entries_ = std::move(entries);
  }

  void SetLiveList(std::vector<listed_instance> list) {
    list_ = std::move(list);
  }

  void Watch(const log_position& after, duration wait, entries_callback done) {
    CountCall();
    if (silent_) {
      return;
    }
    if (down_) {
      queue_.After(kLatency, [done = std::move(done)] {
        done(Fail(errc::kUnavailable, "the platform is down"));
      });
      return;
    }
    const std::uint64_t id = next_id_++;
    waiting_.push_back({id, after, std::move(done)});
    if (!PageAfter(after).entries.empty() || wait == duration{}) {
      Answer(id);
    } else {
      queue_.After(wait, [this, id] { Answer(id); });
    }
  }

  void ReadInstanceList(instance_list_callback done) {
    CountCall();
    if (silent_) {
      return;
    }
    queue_.After(kLatency, [this, done = std::move(done), down = down_] {
      if (down) {
        done(Fail(errc::kUnavailable, "the platform is down"));
      } else {
        done(list_);
      }
    });
  }

  const std::vector<log_entry>& entries() const { return entries_; }
  std::uint64_t calls() const { return calls_; }

  // Returns the most calls within one second.
  std::uint64_t peak_calls() const { return peak_calls_; }

 private:
  static constexpr duration kLatency = std::chrono::milliseconds(3);

  struct waiting_call {
    std::uint64_t id = 0;
    log_position after;
    entries_callback done;
  };

  platform_page PageAfter(const log_position& after) const {
    platform_page page;
    const std::size_t shown =
        entries_.size() - std::min(stale_, entries_.size());
    for (std::size_t i = 0; i < shown; ++i) {
      page.head_sequence = entries_[i].sequence;
      if (entries_[i].sequence > after.sequence) {
        page.entries.push_back(entries_[i]);
      }
    }
    return page;
  }

  void Answer(std::uint64_t id) {
    const auto found =
        std::find_if(waiting_.begin(), waiting_.end(),
                     [id](const waiting_call& call) { return call.id == id; });
    if (found == waiting_.end()) {
      return;
    }
    waiting_call call = std::move(*found);
    waiting_.erase(found);
    if (silent_) {
      return;
    }
    queue_.After(kLatency, [this, call = std::move(call)] {
      if (down_) {
        call.done(Fail(errc::kUnavailable, "the platform is down"));
      } else {
        call.done(PageAfter(call.after));
      }
    });
  }

  void AnswerWaiting() {
    std::vector<std::uint64_t> ids;
    for (const waiting_call& call : waiting_) {
      if (!PageAfter(call.after).entries.empty()) {
        ids.push_back(call.id);
      }
    }
    for (const std::uint64_t id : ids) {
      Answer(id);
    }
  }

  void CountCall() {
    ++calls_;
    const time_point second =
        std::chrono::floor<std::chrono::seconds>(queue_.now());
    if (second != counted_second_) {
      counted_second_ = second;
      second_calls_ = 0;
    }
    peak_calls_ = std::max(peak_calls_, ++second_calls_);
  }

  event_queue& queue_;
  std::vector<log_entry> entries_;
  std::vector<listed_instance> list_;
  std::vector<waiting_call> waiting_;
  bool down_ = false;
  bool silent_ = false;
  std::size_t stale_ = 0;
  std::uint64_t next_id_ = 1;
  std::uint64_t calls_ = 0;
  std::uint64_t second_calls_ = 0;
  std::uint64_t peak_calls_ = 0;
  time_point counted_second_{};
};

}  // namespace rosemaryreach::fakes

#endif  // ROSEMARYREACH_FAKES_PLATFORM_H_
