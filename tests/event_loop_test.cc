#include "adapters/event_loop.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <thread>

namespace rosemaryreach {
namespace {

TEST_CASE("messages of each thread run in their order on the loop's thread") {
  constexpr int kThreads = 4;
  constexpr int kMessages = 2'000;
  event_loop loop;
  std::array<int, kThreads> next{};
  bool in_order = true;
  bool on_loop_thread = true;
  const std::thread::id self = std::this_thread::get_id();
  std::vector<std::thread> posters;
  posters.reserve(kThreads);
  for (int thread = 0; thread < kThreads; ++thread) {
    posters.emplace_back([&, thread] {
      for (int i = 0; i < kMessages; ++i) {
        loop.Post([&, thread, i] {
          in_order = in_order && next[thread]++ == i;
          on_loop_thread = on_loop_thread && std::this_thread::get_id() == self;
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
    CHECK(count == kMessages);
  }
}

TEST_CASE("a stop before the run is kept") {
  event_loop loop;
  bool ran = false;
  loop.Post([&] { ran = true; });
  loop.Stop();
  loop.Run();
  CHECK(ran);
}

TEST_CASE("a message posted by a message runs") {
  event_loop loop;
  int depth = 0;
  std::function<void()> nest = [&] {
    if (++depth == 3) {
      loop.Stop();
    } else {
      loop.Post(nest);
    }
  };
  loop.Post(nest);
  loop.Run();
  CHECK(depth == 3);
}

TEST_CASE("a stopped timer never fires and a periodic one goes on") {
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

TEST_CASE("a paused watch is silent until resumed") {
  event_loop loop;
  std::array<int, 2> pair{};
  REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, pair.data()) == 0);
  int seen = 0;
  descriptor_watch watch(loop, pair[0], io_event::kRead, [&] { ++seen; });
  REQUIRE(write(pair[1], "x", 1) == 1);
  watch.Pause();
  loop.RunPending();
  CHECK(seen == 0);
  watch.Resume();
  loop.RunPending();
  CHECK(seen == 1);
  close(pair[0]);
  close(pair[1]);
}

}  // namespace
}  // namespace rosemaryreach
