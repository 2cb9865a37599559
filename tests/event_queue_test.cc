#include "fakes/event_queue.h"

#include <catch2/catch.hpp>

#include "fakes/virtual_network.h"

namespace rosemaryreach::fakes {
namespace {

using std::chrono::milliseconds;

TEST_CASE("events run in order of time, then of the calls") {
  event_queue queue;
  std::string order;
  queue.After(milliseconds(2), [&] { order += 'c'; });
  queue.After(milliseconds(1), [&] { order += 'a'; });
  queue.After(milliseconds(1), [&] { order += 'b'; });
  queue.RunFor(milliseconds(1));
  CHECK(order == "ab");
  queue.RunFor(milliseconds(1));
  CHECK(order == "abc");
}

TEST_CASE("a paused instance receives what was held when it resumes") {
  event_queue queue;
  virtual_network<int> network(queue, {}, 1);
  int received = 0;
  const instance_id a{1};
  const instance_id b{2};
  network.Attach(b, [&](instance_id, const int& value) { received = value; });
  network.Pause(b);
  network.Send(a, b, 7, 100);
  queue.RunFor(milliseconds(10));
  CHECK(received == 0);
  network.Resume(b);
  CHECK(received == 7);
  CHECK(network.sent_bytes(a) == 100);
}

TEST_CASE("a partition loses datagrams") {
  event_queue queue;
  virtual_network<int> network(queue, {}, 1);
  int received = 0;
  network.Attach(instance_id{2}, [&](instance_id, const int&) { ++received; });
  network.SetReachability([](instance_id, instance_id) { return false; });
  network.Send(instance_id{1}, instance_id{2}, 7, 1);
  queue.RunFor(milliseconds(10));
  CHECK(received == 0);
}

}  // namespace
}  // namespace rosemaryreach::fakes
