// Owns a libevent base for one task: timers, socket watches and a mailbox that
// other threads post messages to.
#ifndef ROSEMARYREACH_ADAPTERS_EVENT_LOOP_H_
#define ROSEMARYREACH_ADAPTERS_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "rosemaryreach/types.h"

struct event;
struct event_base;

namespace rosemaryreach {

// Returns the monotonic time now.
time_point MonotonicNow();

// Returns the time now on a clock that also counts while the machine is
// suspended. Not to be mixed with MonotonicNow().
time_point BootTimeNow();

// Only Post() and Stop() may be called from other threads than the one in
// Run(). Timers and watches must be destroyed before their loop.
class event_loop {
 public:
  using message = std::function<void()>;

  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  // Serves events on the calling thread until Stop().
  void Run();

  // Makes Run() return once the messages posted before are done. A Stop()
  // before Run() is kept.
  void Stop();

  // Runs `run` on the loop's thread, in the order of the calls. What is left
  // when the loop is destroyed never runs.
  void Post(message run);

  // Runs the events that are due, without waiting.
  void RunPending();

  // Waits for events and runs those that are due then.
  void RunOnce();

  time_point now() const { return MonotonicNow(); }
  event_base* base() { return base_.get(); }

 private:
  struct base_deleter {
    void operator()(event_base* base) const;
  };

  static void OnWake(int descriptor, short what, void* self);
  void RunMessages();

  std::unique_ptr<event_base, base_deleter> base_;
  int wake_descriptor_;
  event* wake_event_;
  std::mutex mutex_;
  std::vector<message> messages_;  // Guarded by mutex_.
};

// Runs a callback after a delay or each period. Stopped when destroyed.
class loop_timer {
 public:
  loop_timer(event_loop& loop, std::function<void()> run);
  ~loop_timer();
  loop_timer(const loop_timer&) = delete;
  loop_timer& operator=(const loop_timer&) = delete;

  // Runs the callback once after `delay`; replaces an earlier start.
  void Start(duration delay);

  // Runs the callback each `period`; replaces an earlier start.
  void StartEvery(duration period);

  void Stop();
  bool running() const { return running_; }

 private:
  static void OnTimer(int descriptor, short what, void* self);
  void Add(duration delay);

  std::function<void()> run_;
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
                   std::function<void()> run);
  ~descriptor_watch();
  descriptor_watch(const descriptor_watch&) = delete;
  descriptor_watch& operator=(const descriptor_watch&) = delete;

  void Pause();
  void Resume();

  // Runs the callback once, after the events now being served.
  void Trigger();

 private:
  static void OnReady(int descriptor, short what, void* self);

  std::function<void()> run_;
  event* event_;
  bool active_ = true;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_EVENT_LOOP_H_
