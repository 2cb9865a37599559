// Limits on callers that violate or abuse HTTP/2.
#include "adapters/h2_connection.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "raw_caller.h"
#include "request_plane_fixture.h"

namespace rosemaryreach {
namespace {

using standins::h2_call;
using standins::h2_client;

using call_ptr = std::shared_ptr<h2_call>;

constexpr std::uint8_t kPriority = 2;
constexpr std::uint8_t kSettings = 4;
constexpr std::uint8_t kPing = 6;
constexpr std::uint8_t kWindowUpdate = 8;
constexpr std::uint8_t kContinuation = 9;
constexpr std::uint8_t kHeaders = 1;
constexpr std::uint8_t kRstStream = 3;
// :method GET, :scheme http, :path /, :authority pots.
constexpr std::string_view kRequestFields = "\x82\x86\x84\x41\x04pots";

request_plane_fixture& SharedPlane() {
  static request_plane_fixture plane(
      {.task = {.caller_limits = {
                    .preface_timeout = std::chrono::milliseconds(300),
                    .frame_timeout = std::chrono::milliseconds(300),
                    .idle_timeout = std::chrono::seconds(1),
                }}});
  return plane;
}

endpoint CallerEndpoint(const request_plane_fixture& plane) {
  return plane.tasks[0]->caller_endpoints().front();
}

std::string ConnectionPreface() {
  return std::string(kPreface) + RawFrame(kSettings, 0, 0, "");
}

std::string Repeat(const std::string& frame, int count) {
  std::string all;
  for (int i = 0; i < count; ++i) {
    all += frame;
  }
  return all;
}

// Sends `bytes`, waits until the connection is closed, and checks that another
// caller is still served.
void ExpectClosed(const std::string& bytes) {
  request_plane_fixture& plane = SharedPlane();
  raw_caller caller(CallerEndpoint(plane));
  REQUIRE(caller.connected());
  caller.Send(bytes);
  plane.RunUntil([&] { return caller.PollClosed(); });
  const std::unique_ptr<h2_client> other = plane.MakeCaller();
  CHECK(plane.Call(*other, {.path = "/bytes/1"})->Succeeded());
}

TEST_CASE("a connection on which nothing arrives is closed") {
  ExpectClosed("");
}

TEST_CASE("a connection that isn't HTTP/2 is closed") {
  ExpectClosed("GET / HTTP/1.1\r\nhost: pots\r\n\r\n");
}

TEST_CASE("a connection stalled within a HEADERS frame is closed") {
  const std::string headers = RawFrame(kHeaders, 0, 1, std::string(64, '\x82'));
  ExpectClosed(ConnectionPreface() + headers.substr(0, 20));
}

TEST_CASE("a connection stalled before a CONTINUATION frame is closed") {
  request_plane_fixture plane(
      {.task = {.caller_limits = {.frame_timeout =
                                      std::chrono::milliseconds(200)}}});
  raw_caller caller(CallerEndpoint(plane));
  caller.Send(ConnectionPreface() + RawFrame(kHeaders, 0, 1, kRequestFields));
  plane.RunUntil([&] { return caller.PollClosed(); });
}

TEST_CASE("a connection without requests is closed after the idle timeout") {
  ExpectClosed(ConnectionPreface());
}

TEST_CASE("a flood of pings closes its connection") {
  ExpectClosed(ConnectionPreface() +
               Repeat(RawFrame(kPing, 0, 0, "12345678"), 1'000));
}

TEST_CASE("a flood of pings gets GOAWAY with ENHANCE_YOUR_CALM") {
  request_plane_fixture& plane = SharedPlane();
  raw_caller caller(CallerEndpoint(plane));
  caller.Send(ConnectionPreface() +
              Repeat(RawFrame(kPing, 0, 0, "12345678"), 300));
  plane.RunUntil([&] { return caller.PollClosed(); });
  const std::string code({0, 0, 0, NGHTTP2_ENHANCE_YOUR_CALM});
  CHECK(caller.received().ends_with(code));
}

TEST_CASE("a flood of settings closes its connection") {
  ExpectClosed(ConnectionPreface() +
               Repeat(RawFrame(kSettings, 0, 0, ""), 1'000));
}

TEST_CASE("a flood of priorities closes its connection") {
  ExpectClosed(ConnectionPreface() +
               Repeat(RawFrame(kPriority, 0, 1, {"\0\0\0\3\1", 5}), 1'000));
}

TEST_CASE("a flood of continuations closes its connection") {
  ExpectClosed(ConnectionPreface() + RawFrame(kHeaders, 0, 1, "\x82") +
               Repeat(RawFrame(kContinuation, 0, 1, ""), 1'000));
}

TEST_CASE("a flood of resets closes its connection") {
  std::string flood = ConnectionPreface();
  for (std::uint32_t stream = 1; stream < 4'000; stream += 2) {
    flood += RawFrame(kHeaders, 5, stream, kRequestFields);
    flood += RawFrame(kRstStream, 0, stream, {"\0\0\0\x8", 4});
  }
  ExpectClosed(flood);
  CHECK(SharedPlane().targets[0]->stats().started < 2'000);
}

TEST_CASE("a header list above the limit is refused") {
  request_plane_fixture plane;
  const std::unique_ptr<h2_client> caller = plane.MakeCaller();
  const call_ptr call =
      plane.Call(*caller, {.headers = {{"x-long", std::string(20'000, 'x')}}});
  CHECK(call->Header(":status") == "431");
  CHECK(call->Header("rosemaryreach-run") == "not-run");
  CHECK(plane.Call(*caller, {.path = "/bytes/1"})->Succeeded());
}

TEST_CASE("no more requests than the stream limit are accepted") {
  request_plane_fixture plane({.task = {.caller_limits = {.max_streams = 4}}});
  const std::unique_ptr<h2_client> caller = plane.MakeCaller();
  plane.Call(*caller, {.path = "/bytes/1"});
  std::vector<call_ptr> calls;
  calls.reserve(8);
  for (int i = 0; i < 8; ++i) {
    calls.push_back(caller->Start({.method = "POST", .path = "/never"}));
  }
  plane.RunFor(std::chrono::milliseconds(50));
  CHECK(plane.tasks[0]->stats().requests == 4);
}

TEST_CASE("a caller with open windows that reads nothing has bounded output") {
  constexpr std::size_t kMaxOutputBytes = 128 * 1'024;
  request_plane_fixture plane;
  raw_caller caller(CallerEndpoint(plane));
  // SETTINGS_INITIAL_WINDOW_SIZE and the connection's window, near 2^31.
  caller.Send(std::string(kPreface) +
              RawFrame(kSettings, 0, 0, {"\0\4\x7f\xff\xff\xff", 6}) +
              RawFrame(kWindowUpdate, 0, 0, {"\x7f\xf0\0\0", 4}) +
              RawFrame(kHeaders, 5, 1, "\x82\x86\x41\x04pots\x44\x08/endless"));
  plane.RunUntil([&] { return plane.targets[0]->stats().running == 1; });
  const std::unique_ptr<h2_client> other = plane.MakeCaller();
  CHECK(plane.Call(*other, {.path = "/bytes/50000000"})->Succeeded());
  const request_task_stats stats = plane.tasks[0]->stats();
  CHECK(stats.output_bytes > 0);
  CHECK(stats.output_bytes <= kMaxOutputBytes);
  CHECK(stats.peak_buffered_bytes <=
        2 * request_task_settings().upstream_limits.stream_window_bytes);
}

// Returns a random frame of which only the length is valid.
std::string AnyFrame() {
  const std::uint8_t type = *rc::gen::inRange<std::uint8_t>(0, 12);
  const std::uint8_t flags = *rc::gen::arbitrary<std::uint8_t>();
  const std::uint32_t stream = *rc::gen::inRange<std::uint32_t>(0, 8);
  const std::string payload = *rc::gen::container<std::string>(
      *rc::gen::inRange<std::size_t>(0, 64), rc::gen::arbitrary<char>());
  return RawFrame(type, flags, stream, payload);
}

TEST_CASE("arbitrary frames don't affect other connections") {
  request_plane_fixture& plane = SharedPlane();
  const std::unique_ptr<h2_client> other_caller = plane.MakeCaller();
  const bool passed = rc::check("frames of any kind", [&] {
    raw_caller hostile(CallerEndpoint(plane));
    std::string bytes = ConnectionPreface();
    const int frames = *rc::gen::inRange(1, 30);
    for (int i = 0; i < frames; ++i) {
      bytes += AnyFrame();
    }
    hostile.Send(bytes);
    RC_ASSERT(plane.Call(*other_caller, {.path = "/bytes/1"})->Succeeded());
  });
  CHECK(passed);
}

TEST_CASE("mutated requests don't affect other connections") {
  request_plane_fixture& plane = SharedPlane();
  const std::unique_ptr<h2_client> other_caller = plane.MakeCaller();
  const std::string request = ConnectionPreface() +
                              RawFrame(kHeaders, 4, 1, kRequestFields) +
                              RawFrame(0, 1, 1, "body");
  const bool passed = rc::check("octets changed at random", [&] {
    raw_caller hostile(CallerEndpoint(plane));
    std::string bytes = request;
    const int changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i) {
      const std::size_t at = *rc::gen::inRange(kPreface.size(), bytes.size());
      bytes[at] = *rc::gen::arbitrary<char>();
    }
    hostile.Send(bytes);
    RC_ASSERT(plane.Call(*other_caller, {.path = "/bytes/1"})->Succeeded());
  });
  CHECK(passed);
}

}  // namespace
}  // namespace rosemaryreach
