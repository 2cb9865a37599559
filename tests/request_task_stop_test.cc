// A planned stop of request_task: no accepted request goes without an answer.
#include <algorithm>
#include <catch2/catch.hpp>

#include "raw_caller.h"
#include "request_plane_fixture.h"

namespace rosemaryreach {
namespace {

constexpr std::uint8_t kHeaders = 1;
constexpr std::uint8_t kSettings = 4;
constexpr std::uint8_t kWindowUpdate = 8;

// The instance ended with the last bytes of an answer in its own buffer, so
// that a slow reader got a part of it.
TEST_CASE("A stop waits until all answers are sent to a slow reader") {
  request_plane_fixture plane;
  raw_caller caller(plane.tasks[0]->caller_endpoints().front());
  // SETTINGS_INITIAL_WINDOW_SIZE and the connection's window, near 2^31.
  caller.Send(std::string(kPreface) +
              RawFrame(kSettings, 0, 0, {"\0\4\x7f\xff\xff\xff", 6}) +
              RawFrame(kWindowUpdate, 0, 0, {"\x7f\xf0\0\0", 4}));
  const auto stats = [&] { return plane.tasks[0]->stats(); };
  std::uint32_t stream = 1;
  std::uint64_t calls = 0;
  // Fills the socket's buffers with complete answers.
  while (stats().output_bytes == 0) {
    caller.Send(RawFrame(kHeaders, 5, stream,
                         "\x82\x86\x41\x04pots\x44\x0c/bytes/40000"));
    stream += 2;
    ++calls;
    plane.RunUntil([&] { return stats().requests_total >= calls; });
    plane.RunUntil([&] { return stats().requests == 0; });
  }
  plane.Stop(0);
  plane.RunFor(std::chrono::seconds(5));
  CHECK((plane.stopped == 0 || stats().output_bytes == 0));
  plane.RunUntil([&] {
    caller.PollClosed();
    return plane.stopped == 1;
  });
  CHECK(stats().output_bytes == 0);
}

// Connections that wait to be accepted when the listener closes are reset.
TEST_CASE("Callers that connect until the listener closes get an answer") {
  request_plane_fixture plane({.instances = 2, .targets = 1});
  plane.Stop(0);
  const time_point end = plane.loop.now() + std::chrono::milliseconds(950);
  plane.RunUntil([&] { return plane.loop.now() >= end; });
  std::vector<std::unique_ptr<raw_caller>> callers;
  const std::string request =
      std::string(kPreface) + RawFrame(kSettings, 0, 0, "") +
      RawFrame(kHeaders, 5, 1, "\x82\x86\x84\x41\x04pots");
  // More than one event accepts, all while the loop is busy elsewhere.
  for (int i = 0; i < 200; ++i) {
    callers.push_back(std::make_unique<raw_caller>(
        plane.tasks[0]->caller_endpoints().front()));
    callers.back()->Send(request);
  }
  usleep(200'000);
  std::size_t answered = 0;
  plane.RunUntil([&] {
    for (const std::unique_ptr<raw_caller>& caller : callers) {
      caller->PollClosed();
    }
    answered = static_cast<std::size_t>(
        std::count_if(callers.begin(), callers.end(), [](const auto& caller) {
          return caller->received().find(
                     "\x08\x03"
                     "503") != std::string::npos ||
                 caller->received().size() > 100;
        }));
    return plane.stopped == 1;
  });
  CHECK(answered == callers.size());
}

}  // namespace
}  // namespace rosemaryreach
