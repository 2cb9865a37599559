#include "adapters/event_loop.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace rosemaryreach {
namespace {

TEST_CASE("callbacks posted by one thread run in order on the loop's thread") {
  constexpr int kThreads = 4;
  constexpr int kCallbacks = 2'000;
  event_loop loop;
  std::array<int, kThreads> next{};
  bool in_order = true;
  bool on_loop_thread = true;
  const std::thread::id loop_thread = std::this_thread::get_id();
  std::vector<std::thread> posters;
  posters.reserve(kThreads);
  for (int thread = 0; thread < kThreads; ++thread) {
    posters.emplace_back([&, thread] {
      for (int i = 0; i < kCallbacks; ++i) {
        loop.Post([&, thread, i] {
          in_order = in_order && next[thread]++ == i;
          on_loop_thread =
              on_loop_thread && std::this_thread::get_id() == loop_thread;
        });
      }
    });
  }
  std::thread stopper([&] {
    for (std::thread& poster : posters) {
      poster.join();
    }
    loop.Stop();
  });
  loop.Run();
  stopper.join();
  CHECK(in_order);
  CHECK(on_loop_thread);
  for (const int count : next) {
    CHECK(count == kCallbacks);
  }
}

TEST_CASE("Stop() before Run() makes Run() return after posted callbacks") {
  event_loop loop;
  bool ran = false;
  loop.Post([&] { ran = true; });
  loop.Stop();
  loop.Run();
  CHECK(ran);
}

TEST_CASE("a callback posted by a callback runs") {
  event_loop loop;
  int depth = 0;
  std::function<void()> post_again = [&] {
    if (++depth == 3) {
      loop.Stop();
    } else {
      loop.Post(post_again);
    }
  };
  loop.Post(post_again);
  loop.Run();
  CHECK(depth == 3);
}

TEST_CASE("a stopped timer does not fire and a periodic timer repeats") {
  event_loop loop;
  bool stopped_fired = false;
  loop_timer stopped(loop, [&] { stopped_fired = true; });
  stopped.Start(duration(1));
  int ticks = 0;
  loop_timer periodic(loop, [&] {
    if (++ticks == 3) {
      loop.Stop();
    }
  });
  periodic.StartEvery(std::chrono::milliseconds(1));
  stopped.Stop();
  loop.Run();
  CHECK_FALSE(stopped_fired);
  CHECK(ticks == 3);
}

TEST_CASE("a paused watch runs no callback until it is resumed") {
  event_loop loop;
  std::array<int, 2> pair{};
  REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, pair.data()) == 0);
  int calls = 0;
  descriptor_watch watch(loop, pair[0], io_event::kRead, [&] { ++calls; });
  REQUIRE(write(pair[1], "x", 1) == 1);
  watch.Pause();
  loop.RunPending();
  CHECK(calls == 0);
  watch.Resume();
  loop.RunPending();
  CHECK(calls == 1);
  close(pair[0]);
  close(pair[1]);
}

// An unexpected exception in one callback ended the process.
TEST_CASE("An exception in a callback is reported, and the loop runs on") {
  event_loop loop;
  std::vector<std::string> errors;
  loop.SetErrorHandler(
      [&](std::string_view what) { errors.emplace_back(what); });
  loop_timer failing(loop, [] { throw std::runtime_error("timer"); });
  failing.Start(duration(0));
  loop.Post([] { throw std::runtime_error("posted"); });
  loop.Post([&] { loop.Stop(); });
  loop.Run();
  loop.RunPending();
  std::sort(errors.begin(), errors.end());
  CHECK(errors == std::vector<std::string>{"posted", "timer"});
}

TEST_CASE("Exceptions without end are not caught for ever") {
  event_loop loop;
  int errors = 0;
  loop.SetErrorHandler([&](std::string_view) { ++errors; });
  const auto fail = [] { throw std::runtime_error("again"); };
  CHECK_THROWS([&] {
    for (int i = 0; i < 10'000; ++i) {
      loop.Call(fail);
    }
  }());
  CHECK(errors >= 100);
}

}  // namespace
}  // namespace rosemaryreach
