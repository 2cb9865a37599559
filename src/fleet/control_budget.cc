#include "rosemaryreach/control_budget.h"

#include <algorithm>

namespace rosemaryreach {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

// Share of the burst that each priority leaves to the priorities above it.
constexpr std::array<double, kControlPriorities> kReservedShare = {0, 0.2, 0.4,
                                                                   0.5};

std::size_t Index(control_priority priority) {
  return static_cast<std::size_t>(priority);
}

}  // namespace

control_budget::control_budget(options options)
    : options_(options), tokens_(options.burst_bytes) {}

void control_budget::Refill(time_point now) {
  const double elapsed_s =
      static_cast<double>((now - refilled_).count()) / kMicrosecondsPerSecond;
  refilled_ = std::max(now, refilled_);
  tokens_ = std::min<double>(
      options_.burst_bytes,
      tokens_ + std::max(0.0, elapsed_s) * options_.bytes_per_s);
}

std::size_t control_budget::Available(time_point now,
                                      control_priority priority) {
  Refill(now);
  const double reserve = kReservedShare[Index(priority)] * options_.burst_bytes;
  return static_cast<std::size_t>(std::max(0.0, tokens_ - reserve));
}

bool control_budget::TrySpend(time_point now,
                              control_priority priority,
                              std::size_t bytes) {
  if (Available(now, priority) < bytes) {
    return false;
  }
  tokens_ -= static_cast<double>(bytes);
  return true;
}

control_queue::control_queue(options options)
    : options_(options), budget_(options.budget) {}

void control_queue::Push(time_point now, queued_datagram datagram) {
  const std::size_t index = Index(datagram.priority);
  std::deque<queue_item>& queue = queues_[index];
  if (queue.size() >= options_.max_datagrams) {
    queue.pop_front();
    ++counters_.dropped[index];
  }
  queue.push_back({now, std::move(datagram)});
}

std::vector<queued_datagram> control_queue::Pop(time_point now) {
  std::vector<queued_datagram> ready;
  for (std::size_t index = 0; index < queues_.size(); ++index) {
    const duration max_wait =
        std::chrono::milliseconds(options_.max_wait_ms[index]);
    std::deque<queue_item>& queue = queues_[index];
    while (!queue.empty()) {
      queue_item& next = queue.front();
      const std::size_t bytes = next.datagram.bytes.size() + kIpUdpHeaderBytes;
      if (now - next.queued_at > max_wait) {
        ++counters_.dropped[index];
      } else if (budget_.TrySpend(now, next.datagram.priority, bytes)) {
        ++counters_.sent[index];
        counters_.sent_bytes[index] += bytes;
        ready.push_back(std::move(next.datagram));
      } else {
        break;
      }
      queue.pop_front();
    }
  }
  return ready;
}

bool control_queue::empty() const {
  return std::all_of(
      queues_.begin(), queues_.end(),
      [](const std::deque<queue_item>& queue) { return queue.empty(); });
}

}  // namespace rosemaryreach
