// A target in virtual time: slots, service times, cold starts, shedding,
// cancellation and deadlines. Counts what it should never have got.
#ifndef ROSEMARYREACH_BENCH_REQUESTS_FAKE_TARGET_H_
#define ROSEMARYREACH_BENCH_REQUESTS_FAKE_TARGET_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>

#include "fakes/event_queue.h"
#include "rosemaryreach/request_types.h"

namespace rosemaryreach::bench {

// One stream that a target runs.
struct target_work {
  std::uint64_t stream = 0;
  request_class kind = request_class::kInteractive;
  duration service_time{};
  duration timeout{};
};

struct target_counts {
  std::uint64_t started = 0;
  std::uint64_t above_slots = 0;
  std::uint64_t above_bearing = 0;
  std::uint64_t refused = 0;
  duration busy{};
};

enum class target_mode : std::uint8_t {
  kNormal,
  kDown,       // connections are refused
  kResetsAll,  // runs each request and resets its stream
  kShedsAll,   // refuses each request
};

class fake_target {
 public:
  struct options {
    std::uint32_t slots = 2;
    duration warmup{};
    double cold_slowdown = 3;
    duration cancel_time = std::chrono::milliseconds(50);
  };
  // Called when the work is over and its answer leaves the target.
  using answer = std::function<void(std::uint64_t stream, attempt_outcome end)>;

  fake_target(fakes::event_queue& queue, options options, answer on_answer)
      : queue_(queue), options_(options), on_answer_(std::move(on_answer)) {}

  // Starts or refuses the work. Returns whether it runs.
  bool Start(const target_work& work) {
    if (mode_ == target_mode::kShedsAll) {
      Refuse(work);
      return false;
    }
    const bool holds_slot = work.kind != request_class::kWatch;
    if (holds_slot && running_ >= options_.slots) {
      ++counts_.above_slots;
      Refuse(work);
      return false;
    }
    if (holds_slot && running_ >= Bearing()) {
      ++counts_.above_bearing;
      Refuse(work);
      return false;
    }
    Run(work, holds_slot);
    return true;
  }

  // The caller's cancel has been read.
  void Cancel(std::uint64_t stream) {
    const std::uint64_t epoch = epoch_;
    queue_.After(options_.cancel_time, [this, stream, epoch] {
      if (epoch == epoch_) {
        Stop(stream);
      }
    });
  }

  // The process ends: nothing runs any more.
  void Crash() {
    ++epoch_;
    mode_ = target_mode::kDown;
    works_.clear();
    running_ = 0;
  }

  void Restart() {
    mode_ = target_mode::kNormal;
    TurnCold();
  }

  void TurnCold() {
    cold_ = true;
    warming_ = false;
  }

  void SetMode(target_mode mode) { mode_ = mode; }

  // Returns how many requests the target bears at once now.
  std::uint32_t Bearing() const {
    if (!cold_) {
      return options_.slots;
    }
    return 1 + static_cast<std::uint32_t>((options_.slots - 1) * Warmth());
  }

  target_mode mode() const { return mode_; }
  bool cold() const { return cold_ && Warmth() < 1; }
  std::uint32_t running() const { return running_; }
  const target_counts& counts() const { return counts_; }

 private:
  struct running_work {
    time_point started;
    bool holds_slot = true;
  };

  double Warmth() const {
    if (!warming_ || options_.warmup <= duration::zero()) {
      return 0;
    }
    const double passed =
        static_cast<double>((queue_.now() - warming_since_).count());
    return std::min(1.0, passed / static_cast<double>(options_.warmup.count()));
  }

  void Refuse(const target_work& work) {
    ++counts_.refused;
    on_answer_(work.stream, attempt_outcome::kRefused);
  }

  void Run(const target_work& work, bool holds_slot) {
    if (cold_ && !warming_) {
      warming_ = true;
      warming_since_ = queue_.now();
    }
    ++counts_.started;
    running_ += holds_slot ? 1 : 0;
    works_[work.stream] = {queue_.now(), holds_slot};
    const double factor = cold() ? options_.cold_slowdown : 1;
    const duration needed(static_cast<duration::rep>(
        static_cast<double>(work.service_time.count()) * factor));
    const bool resets = mode_ == target_mode::kResetsAll;
    const bool in_time = needed <= work.timeout;
    const std::uint64_t epoch = epoch_;
    const std::uint64_t stream = work.stream;
    queue_.After(std::min(needed, work.timeout), [=, this] {
      if (epoch != epoch_ || !Stop(stream)) {
        return;
      }
      on_answer_(stream, in_time && !resets ? attempt_outcome::kDone
                                            : attempt_outcome::kReset);
    });
  }

  bool Stop(std::uint64_t stream) {
    const auto found = works_.find(stream);
    if (found == works_.end()) {
      return false;
    }
    if (found->second.holds_slot) {
      --running_;
      counts_.busy += queue_.now() - found->second.started;
    }
    works_.erase(found);
    return true;
  }

  fakes::event_queue& queue_;
  options options_;
  answer on_answer_;
  target_mode mode_ = target_mode::kNormal;
  bool cold_ = false;
  bool warming_ = false;
  time_point warming_since_;
  std::uint64_t epoch_ = 0;
  std::uint32_t running_ = 0;
  std::unordered_map<std::uint64_t, running_work> works_;
  target_counts counts_;
};

}  // namespace rosemaryreach::bench

#endif  // ROSEMARYREACH_BENCH_REQUESTS_FAKE_TARGET_H_
