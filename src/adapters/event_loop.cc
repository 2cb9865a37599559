#include "adapters/event_loop.h"

#include <event2/event.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <utility>

namespace rosemaryreach {
namespace {

// Returns `value`, or aborts if it is invalid: the process cannot run without
// its events.
template <typename T>
T Require(T value, bool valid, const char* call) {
  if (!valid) {
    std::perror(call);
    std::abort();
  }
  return value;
}

event* RequireEvent(event* created) {
  return Require(created, created != nullptr, "event_new");
}

timeval ToTimeval(duration delay) {
  const duration::rep micros = std::max<duration::rep>(delay.count(), 0);
  return {static_cast<time_t>(micros / 1'000'000),
          static_cast<suseconds_t>(micros % 1'000'000)};
}

}  // namespace

time_point MonotonicNow() {
  return time_point(std::chrono::duration_cast<duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

time_point BootTimeNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::duration_cast<duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

void event_loop::base_deleter::operator()(event_base* base) const {
  event_base_free(base);
}

event_loop::event_loop() : base_(event_base_new()) {
  Require(0, base_ != nullptr, "event_base_new");
  wake_descriptor_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  Require(0, wake_descriptor_ >= 0, "eventfd");
  wake_event_ = RequireEvent(event_new(base_.get(), wake_descriptor_,
                                       EV_READ | EV_PERSIST, OnWakeup, this));
  event_add(wake_event_, nullptr);
}

event_loop::~event_loop() {
  event_free(wake_event_);
  close(wake_descriptor_);
}

void event_loop::Run() {
  event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::Stop() {
  Post([this] { event_base_loopbreak(base_.get()); });
}

void event_loop::Post(callback run) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    posted_.push_back(std::move(run));
    if (posted_.size() > 1) {
      return;  // The first queued callback has already woken the loop.
    }
  }
  const std::uint64_t increment = 1;
  // The write fails only if the counter is full; the descriptor is readable
  // then and wakes the loop anyway.
  [[maybe_unused]] const ssize_t written =
      write(wake_descriptor_, &increment, sizeof(increment));
}

void event_loop::RunPending() {
  event_base_loop(base_.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
}

void event_loop::RunOnce() {
  event_base_loop(base_.get(), EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::OnWakeup(int descriptor, short /*what*/, void* self) {
  std::uint64_t count = 0;
  [[maybe_unused]] const ssize_t bytes =
      read(descriptor, &count, sizeof(count));
  static_cast<event_loop*>(self)->RunPostedCallbacks();
}

void event_loop::RunPostedCallbacks() {
  std::vector<callback> batch;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    batch.swap(posted_);
  }
  for (const callback& run : batch) {
    Call(run);
  }
}

bool event_loop::Call(const callback& run) {
  try {
    run();
    return true;
  } catch (const std::exception& failure) {
    if (now() - errors_since_ >= std::chrono::seconds(1)) {
      errors_since_ = now();
      errors_ = 0;
    }
    if (!error_handler_ || ++errors_ > kMaxErrorsPerSecond) {
      throw;
    }
    error_handler_(failure.what());
    return false;
  }
}

loop_timer::loop_timer(event_loop& loop, std::function<void()> callback)
    : loop_(loop),
      callback_(std::move(callback)),
      event_(RequireEvent(event_new(loop.base(), -1, 0, OnTimer, this))) {}

loop_timer::~loop_timer() {
  event_free(event_);
}

void loop_timer::Start(duration delay) {
  period_ = duration::zero();
  Schedule(delay);
}

void loop_timer::StartEvery(duration period) {
  period_ = std::max(period, duration(1));
  Schedule(period_);
}

void loop_timer::Stop() {
  event_del(event_);
  running_ = false;
}

void loop_timer::Schedule(duration delay) {
  const timeval timeout = ToTimeval(delay);
  event_add(event_, &timeout);
  running_ = true;
}

void loop_timer::OnTimer(int /*descriptor*/, short /*what*/, void* self) {
  loop_timer& timer = *static_cast<loop_timer*>(self);
  timer.running_ = false;
  if (timer.period_ > duration::zero()) {
    timer.Schedule(timer.period_);
  }
  timer.loop_.Call(timer.callback_);
}

descriptor_watch::descriptor_watch(event_loop& loop,
                                   int descriptor,
                                   io_event what,
                                   std::function<void()> callback)
    : loop_(loop), callback_(std::move(callback)) {
  const int events = (what == io_event::kRead ? EV_READ : EV_WRITE);
  event_ = RequireEvent(event_new(loop.base(), descriptor,
                                  static_cast<short>(events | EV_PERSIST),
                                  OnReady, this));
  event_add(event_, nullptr);
}

descriptor_watch::~descriptor_watch() {
  event_free(event_);
}

void descriptor_watch::Pause() {
  if (active_) {
    event_del(event_);
    active_ = false;
  }
}

void descriptor_watch::Resume() {
  if (!active_) {
    event_add(event_, nullptr);
    active_ = true;
  }
}

void descriptor_watch::Trigger() {
  event_active(event_, EV_TIMEOUT, 0);
}

void descriptor_watch::OnReady(int /*descriptor*/, short /*what*/, void* self) {
  const descriptor_watch& watch = *static_cast<descriptor_watch*>(self);
  watch.loop_.Call(watch.callback_);
}

}  // namespace rosemaryreach
