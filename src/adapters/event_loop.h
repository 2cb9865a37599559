// An event loop on libevent for one thread: timers, descriptor watches and a
// queue of callbacks that other threads can post to.
#ifndef ROSEMARYREACH_ADAPTERS_EVENT_LOOP_H_
#define ROSEMARYREACH_ADAPTERS_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string_view>
#include <utility>
#include <vector>

#include "rosemaryreach/types.h"

struct event;
struct event_base;

namespace rosemaryreach {

// Returns the current time of the monotonic clock.
time_point MonotonicNow();

// Returns the current time of CLOCK_BOOTTIME, which also advances while the
// machine is suspended. Not comparable with MonotonicNow().
time_point BootTimeNow();

// Only Post() and Stop() may be called from threads other than the one that
// calls Run(). Timers and watches must be destroyed before their loop.
class event_loop {
 public:
  using callback = std::function<void()>;

  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  // Processes events on the calling thread until Stop().
  void Run();

  // Makes Run() return after the callbacks posted earlier have run. Also takes
  // effect if called before Run().
  void Stop();

  // Queues `run` to run on the loop's thread, in the order of the calls.
  // Callbacks still queued when the loop is destroyed never run.
  void Post(callback run);

  // Processes the events that are ready, without blocking.
  void RunPending();

  // Blocks until at least one event is ready and processes the ready events.
  void RunOnce();

  // Sets what is called with the text of an exception that a callback throws;
  // the loop runs on. Without a handler, or after kMaxErrorsPerSecond, the
  // exception ends the process.
  void SetErrorHandler(std::function<void(std::string_view)> handler) {
    error_handler_ = std::move(handler);
  }

  // Calls `run` and reports its exceptions, for callbacks that other libraries
  // make. Returns whether there was none.
  bool Call(const callback& run);

  time_point now() const { return MonotonicNow(); }
  event_base* base() { return base_.get(); }

 private:
  struct base_deleter {
    void operator()(event_base* base) const;
  };

  static void OnWakeup(int descriptor, short what, void* self);
  void RunPostedCallbacks();

  // A callback that fails each time it is called, such as one of a descriptor
  // that stays readable, must not keep the process busy for ever.
  static constexpr int kMaxErrorsPerSecond = 100;

  std::function<void(std::string_view)> error_handler_;
  time_point errors_since_{};
  int errors_ = 0;  // since errors_since_
  std::unique_ptr<event_base, base_deleter> base_;
  int wake_descriptor_;
  event* wake_event_;
  std::mutex mutex_;
  std::vector<callback> posted_;  // Guarded by mutex_.
};

// Runs a callback once after a delay or periodically. Stopped when destroyed.
class loop_timer {
 public:
  loop_timer(event_loop& loop, std::function<void()> callback);
  ~loop_timer();
  loop_timer(const loop_timer&) = delete;
  loop_timer& operator=(const loop_timer&) = delete;

  // Runs the callback once after `delay`; replaces any earlier schedule.
  void Start(duration delay);

  // Runs the callback every `period`; replaces any earlier schedule.
  void StartEvery(duration period);

  void Stop();
  bool running() const { return running_; }

 private:
  static void OnTimer(int descriptor, short what, void* self);
  void Schedule(duration delay);

  event_loop& loop_;
  std::function<void()> callback_;
  event* event_;
  duration period_{};
  bool running_ = false;
};

enum class io_event : std::uint8_t { kRead, kWrite };

// Runs a callback whenever a descriptor is readable or writable, until it is
// destroyed or paused. Does not own the descriptor.
class descriptor_watch {
 public:
  descriptor_watch(event_loop& loop,
                   int descriptor,
                   io_event what,
                   std::function<void()> callback);
  ~descriptor_watch();
  descriptor_watch(const descriptor_watch&) = delete;
  descriptor_watch& operator=(const descriptor_watch&) = delete;

  void Pause();
  void Resume();

  // Schedules one call of the callback, after the events already active.
  void Trigger();

 private:
  static void OnReady(int descriptor, short what, void* self);

  event_loop& loop_;
  std::function<void()> callback_;
  event* event_;
  bool active_ = true;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_EVENT_LOOP_H_
