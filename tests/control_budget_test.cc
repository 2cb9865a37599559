#include "rosemaryreach/control_budget.h"

#include <catch2/catch.hpp>

namespace rosemaryreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point At(duration since) {
  return time_point(since);
}

queued_datagram MakeDatagram(control_priority priority, std::size_t bytes) {
  return {{}, priority, std::string(bytes - kIpUdpHeaderBytes, 'x')};
}

TEST_CASE("the bytes sent in ten seconds stay within the rate and burst") {
  control_queue queue({});
  const control_budget::options limit;
  std::size_t sent = 0;
  for (int tick = 0; tick < 1'000; ++tick) {
    const time_point now = At(milliseconds(10) * tick);
    for (int i = 0; i < 4; ++i) {
      queue.Push(now, MakeDatagram(control_priority::kProbes, 200));
    }
    for (const queued_datagram& one : queue.Pop(now)) {
      sent += one.bytes.size() + kIpUdpHeaderBytes;
    }
  }
  CHECK(sent <= 10 * limit.bytes_per_s + limit.burst_bytes);
  CHECK(sent <= 10 * 5'000);
  CHECK(sent >= 9 * limit.bytes_per_s);
}

TEST_CASE("lower priorities run out of budget first") {
  control_budget budget({.bytes_per_s = 0, .burst_bytes = 1'000});
  std::array<std::size_t, kControlPriorities> available{};
  for (std::size_t i = 0; i < kControlPriorities; ++i) {
    available[i] = budget.Available(At({}), control_priority(i));
  }
  CHECK(available == std::array<std::size_t, 4>{1'000, 800, 600, 500});
  CHECK(budget.TrySpend(At({}), control_priority::kDigests, 500));
  CHECK_FALSE(budget.TrySpend(At({}), control_priority::kDigests, 1));
  CHECK(budget.TrySpend(At({}), control_priority::kPins, 100));
  CHECK_FALSE(budget.TrySpend(At({}), control_priority::kPins, 1));
  CHECK(budget.TrySpend(At({}), control_priority::kOwnership, 200));
  CHECK_FALSE(budget.TrySpend(At({}), control_priority::kOwnership, 1));
  CHECK(budget.TrySpend(At({}), control_priority::kProbes, 200));
  CHECK_FALSE(budget.TrySpend(At({}), control_priority::kProbes, 1));
}

TEST_CASE("probes are sent before all other queued datagrams") {
  control_queue queue({});
  queue.Push(At({}), MakeDatagram(control_priority::kDigests, 100));
  queue.Push(At({}), MakeDatagram(control_priority::kPins, 100));
  queue.Push(At({}), MakeDatagram(control_priority::kProbes, 100));
  const std::vector<queued_datagram> sent = queue.Pop(At({}));
  REQUIRE(sent.size() == 3);
  CHECK(sent[0].priority == control_priority::kProbes);
  CHECK(sent[2].priority == control_priority::kDigests);
  CHECK(queue.empty());
}

TEST_CASE("a clock that goes back does not refill the budget") {
  control_budget budget({.bytes_per_s = 1'000, .burst_bytes = 1'000});
  CHECK(budget.TrySpend(At(seconds(10)), control_priority::kProbes, 1'000));
  CHECK(budget.Available(At(seconds(1)), control_priority::kProbes) == 0);
  CHECK(budget.Available(At(seconds(10)), control_priority::kProbes) == 0);
}

TEST_CASE("queues are bounded and drop expired datagrams") {
  control_queue::options options;
  options.budget = {.bytes_per_s = 0, .burst_bytes = 0};
  options.max_datagrams = 3;
  control_queue queue(options);
  for (int i = 0; i < 5; ++i) {
    queue.Push(At({}), MakeDatagram(control_priority::kPins, 100));
  }
  CHECK(queue.stats().dropped[2] == 2);
  CHECK(queue.Pop(At({})).empty());
  CHECK_FALSE(queue.empty());
  CHECK(queue.Pop(At(seconds(10))).empty());
  CHECK(queue.empty());
  CHECK(queue.stats().dropped[2] == 5);
}

}  // namespace
}  // namespace rosemaryreach
