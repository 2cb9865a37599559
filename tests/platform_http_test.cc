#include "adapters/platform_http.h"

#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "http_server_fixture.h"

namespace rosemaryreach {
namespace {

constexpr duration kWait = std::chrono::milliseconds(20);

platform_http_options Options(const endpoint& server) {
  platform_http_options options;
  options.server = server;
  options.answer_timeout_ms = 100;
  return options;
}

// Runs one watch and returns its result.
result<platform_page> Watch(event_loop& loop, platform_source& platform) {
  std::optional<result<platform_page>> page_or_error;
  platform.WatchEntries({4, 6, 2}, kWait, [&](result<platform_page> page) {
    page_or_error = std::move(page);
    loop.Stop();
  });
  loop.Run();
  return *page_or_error;
}

TEST_CASE("A watch sends its index and reads the page") {
  event_loop loop;
  std::string uri;
  const http_server_fixture server(loop, [&uri](const std::string& requested) {
    uri = requested;
    return scripted_reply{
        200, R"({"head": 7, "entries": [{"sequence": 5, "text": "x"}]})"};
  });
  platform_http platform(loop, Options(server.address()), 1);
  const result<platform_page> page = Watch(loop, platform);
  REQUIRE(page);
  CHECK(uri == "/v1/entries?index=4&snapshot=6&parts=2&wait=20ms");
  CHECK(page.value().head_sequence == 7);
  CHECK(page.value().entries.at(0) == log_entry{5, 0, 0, "x"});
}

TEST_CASE(
    "A platform that doesn't reply is a timeout, and the next watch backs "
    "off") {
  event_loop loop;
  int request_count = 0;
  const http_server_fixture server(loop, [&request_count](const std::string&) {
    ++request_count;
    return scripted_reply{0, ""};
  });
  platform_http_options options = Options(server.address());
  options.backoff_min_ms = 60'000;
  options.backoff_max_ms = 60'000;
  platform_http platform(loop, options, 1);
  CHECK(Watch(loop, platform).error().code == errc::kTimeout);
  CHECK(Watch(loop, platform).error().code == errc::kLimit);
  CHECK(request_count == 1);
}

TEST_CASE("Invalid replies map to error codes") {
  const std::vector<std::pair<scripted_reply, errc>> cases = {
      {{503, ""}, errc::kUnavailable},
      {{429, ""}, errc::kLimit},
      {{200, "{"}, errc::kInvalidJson},
      {{200, "{\"head\": -1, \"entries\": []}"}, errc::kSchemaViolation}};
  for (const auto& [reply, code] : cases) {
    event_loop loop;
    const http_server_fixture server(
        loop, [scripted = reply](const std::string&) { return scripted; });
    platform_http platform(loop, Options(server.address()), 1);
    CHECK(Watch(loop, platform).error().code == code);
  }
}

TEST_CASE("A platform that refuses the connection is unavailable") {
  event_loop loop;
  std::optional<http_server_fixture> server(std::in_place, loop,
                                            [](const std::string&) {
                                              return scripted_reply{0, ""};
                                            });
  const endpoint address = server->address();
  server.reset();
  platform_http platform(loop, Options(address), 1);
  CHECK(Watch(loop, platform).error().code == errc::kUnavailable);
}

TEST_CASE("Reads above the rate limit fail without a request") {
  event_loop loop;
  int request_count = 0;
  const http_server_fixture server(loop, [&request_count](const std::string&) {
    ++request_count;
    return scripted_reply{200, R"({"head": 0, "entries": []})"};
  });
  platform_http_options options = Options(server.address());
  options.reads_per_minute = 2;
  platform_http platform(loop, options, 1);
  CHECK(Watch(loop, platform));
  CHECK(Watch(loop, platform));
  CHECK(Watch(loop, platform).error().code == errc::kLimit);
  CHECK(request_count == 2);
}

TEST_CASE("The list of instances is read while a watch is pending") {
  event_loop loop;
  const http_server_fixture server(loop, [](const std::string& uri) {
    const bool list = uri == "/v1/instances";
    return list ? scripted_reply{200, R"({"instances": []})"}
                : scripted_reply{0, ""};
  });
  platform_http platform(loop, Options(server.address()), 1);
  platform.WatchEntries({}, kWait, [](const result<platform_page>&) {});
  bool read = false;
  platform.ReadInstanceList(
      [&](const result<std::vector<listed_instance>>& list) {
        read = list.has_value();
        loop.Stop();
      });
  loop.Run();
  CHECK(read);
}

}  // namespace
}  // namespace rosemaryreach
