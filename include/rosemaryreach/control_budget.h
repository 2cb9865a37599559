// Limits the rate of control traffic that an instance sends. Under pressure
// digests are held back first, then pins and ownership; probes come last.
#ifndef ROSEMARYREACH_CONTROL_BUDGET_H_
#define ROSEMARYREACH_CONTROL_BUDGET_H_

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "rosemaryreach/control_messages.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

// A token bucket in octets. Each priority leaves a reserve in the bucket for
// the priorities above it.
class control_budget {
 public:
  struct options {
    std::uint32_t bytes_per_s = 3'000;
    std::uint32_t burst_bytes = 20'000;
  };

  explicit control_budget(options options);

  // Consumes `bytes` octets and returns true if `priority` may send them now.
  bool TrySpend(time_point now, control_priority priority, std::size_t bytes);

  // Returns the octets that `priority` may send at `now`.
  std::size_t Available(time_point now, control_priority priority);

 private:
  void Refill(time_point now);

  options options_;
  double tokens_;
  time_point refilled_{};
};

// Octets of IP and UDP headers, which count against the budget.
inline constexpr std::size_t kIpUdpHeaderBytes = 28;

// A sealed datagram that is queued until the budget allows it.
struct queued_datagram {
  endpoint to;
  control_priority priority = control_priority::kProbes;
  std::string bytes;
};

// Send queues with a bounded length, one per priority. A full queue drops its
// oldest datagram.
class control_queue {
 public:
  struct options {
    control_budget::options budget;
    std::size_t max_datagrams = 256;
    // Longest queueing time by priority. Older datagrams are dropped, since
    // their senders retransmit.
    std::array<std::uint32_t, kControlPriorities> max_wait_ms = {200, 1'000,
                                                                 2'000, 1'000};
  };

  struct counters {
    std::array<std::uint64_t, kControlPriorities> sent{};
    std::array<std::uint64_t, kControlPriorities> sent_bytes{};
    std::array<std::uint64_t, kControlPriorities> dropped{};
  };

  explicit control_queue(options options);

  void Push(time_point now, queued_datagram datagram);

  // Removes and returns the datagrams that may be sent at `now`, highest
  // priority first.
  std::vector<queued_datagram> Pop(time_point now);

  bool empty() const;
  const counters& stats() const { return counters_; }

 private:
  struct queue_item {
    time_point queued_at;
    queued_datagram datagram;
  };

  options options_;
  control_budget budget_;
  std::array<std::deque<queue_item>, kControlPriorities> queues_;
  counters counters_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CONTROL_BUDGET_H_
