#include "adapters/event_loop.h"

#include <event2/event.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <utility>

namespace rosemaryreach {
namespace {

// A process that can't make an event has lost an invariant of its start.
template <typename T>
T Require(T value, bool valid, const char* what) {
  if (!valid) {
    std::perror(what);
    std::abort();
  }
  return value;
}

event* RequireEvent(event* made) {
  return Require(made, made != nullptr, "event_new");
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
                                       EV_READ | EV_PERSIST, OnWake, this));
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

void event_loop::Post(message run) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    messages_.push_back(std::move(run));
    if (messages_.size() > 1) {
      return;  // The first message has woken the loop already.
    }
  }
  const std::uint64_t one = 1;
  // The write fails only when the counter is full: the loop is awake then.
  [[maybe_unused]] const ssize_t written =
      write(wake_descriptor_, &one, sizeof(one));
}

void event_loop::RunPending() {
  event_base_loop(base_.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
}

void event_loop::RunOnce() {
  event_base_loop(base_.get(), EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::OnWake(int descriptor, short /*what*/, void* self) {
  std::uint64_t count = 0;
  [[maybe_unused]] const ssize_t got = read(descriptor, &count, sizeof(count));
  static_cast<event_loop*>(self)->RunMessages();
}

void event_loop::RunMessages() {
  std::vector<message> batch;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    batch.swap(messages_);
  }
  for (const message& run : batch) {
    run();
  }
}

loop_timer::loop_timer(event_loop& loop, std::function<void()> run)
    : run_(std::move(run)),
      event_(RequireEvent(event_new(loop.base(), -1, 0, OnTimer, this))) {}

loop_timer::~loop_timer() {
  event_free(event_);
}

void loop_timer::Start(duration delay) {
  period_ = duration::zero();
  Add(delay);
}

void loop_timer::StartEvery(duration period) {
  period_ = std::max(period, duration(1));
  Add(period_);
}

void loop_timer::Stop() {
  event_del(event_);
  running_ = false;
}

void loop_timer::Add(duration delay) {
  const timeval wait = ToTimeval(delay);
  event_add(event_, &wait);
  running_ = true;
}

void loop_timer::OnTimer(int /*descriptor*/, short /*what*/, void* self) {
  loop_timer& timer = *static_cast<loop_timer*>(self);
  timer.running_ = false;
  if (timer.period_ > duration::zero()) {
    timer.Add(timer.period_);
  }
  timer.run_();
}

descriptor_watch::descriptor_watch(event_loop& loop,
                                   int descriptor,
                                   io_event what,
                                   std::function<void()> run)
    : run_(std::move(run)) {
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
  static_cast<descriptor_watch*>(self)->run_();
}

}  // namespace rosemaryreach
