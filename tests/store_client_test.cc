#include "store_client.h"

#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "adapters/deflate.h"
#include "http_server_fixture.h"
#include "rosemaryreach/view_codec.h"

namespace rosemaryreach {
namespace {

constexpr duration kDeadline = std::chrono::seconds(5);

TEST_CASE("A watch sends the revision it continues after") {
  event_loop loop;
  std::string uri;
  const http_server_fixture server(
      loop, [&uri](const std::string& requested_uri) {
        uri = requested_uri;
        return scripted_reply{200, R"({"events":[],"storeRevision":9})"};
      });
  store_client client(loop, server.address());
  std::optional<std::uint64_t> revision;
  client.Watch(7, std::chrono::milliseconds(50), kDeadline,
               [&](const result<store_answer>& answer) {
                 revision = answer.value().cursor.revision;
                 loop.Stop();
               });
  loop.Run();
  CHECK(revision == 9);
  CHECK(uri == "/rosemaryreach/kv-watch?prefix=&after=7&waitMs=50");
}

TEST_CASE("The history is that of targets alone") {
  event_loop loop;
  std::string uri;
  const http_server_fixture server(
      loop, [&uri](const std::string& requested_uri) {
        uri = requested_uri;
        return scripted_reply{200, R"({"events":[],"storeRevision":9})"};
      });
  store_client client(loop, server.address());
  client.ReadHistory(7, kDeadline,
                     [&](const result<store_answer>&) { loop.Stop(); });
  loop.Run();
  CHECK(uri == "/rosemaryreach/kv-watch?prefix=servers%2F&after=7&waitMs=0");
}

TEST_CASE("A listing sends the key it continues after") {
  event_loop loop;
  std::string uri;
  const http_server_fixture server(
      loop, [&uri](const std::string& requested_uri) {
        uri = requested_uri;
        return scripted_reply{200, R"({"items":[],"storeRevision":9})"};
      });
  store_client client(loop, server.address());
  client.List("servers/i-1", kDeadline,
              [&](const result<store_answer>&) { loop.Stop(); });
  loop.Run();
  CHECK(uri == "/rosemaryreach/kv-range?prefix=&after=servers%2Fi-1");
}

TEST_CASE("Each kind of failed call has its own error code") {
  const std::vector<std::pair<scripted_reply, errc>> cases = {
      {{410, ""}, errc::kStale},        {{429, ""}, errc::kLimit},
      {{503, ""}, errc::kUnavailable},  {{404, ""}, errc::kUnsupported},
      {{200, "{"}, errc::kInvalidJson}, {{0, ""}, errc::kTimeout}};
  for (const auto& [reply, code] : cases) {
    event_loop loop;
    const http_server_fixture server(
        loop, [answer = reply](const std::string&) { return answer; });
    store_client client(loop, server.address());
    std::optional<errc> failed;
    client.Watch(0, duration(0), std::chrono::milliseconds(50),
                 [&](const result<store_answer>& answer) {
                   failed = answer.error().code;
                   loop.Stop();
                 });
    loop.Run();
    CHECK(failed == code);
  }
}

TEST_CASE("Answers have the era of the header, and errors teach it, too") {
  const std::string body = R"({"events":[],"storeRevision":9})";
  struct era_case {
    scripted_reply reply;
    std::optional<std::uint64_t> answered;
    std::uint64_t newest = 0;
  };
  const std::vector<era_case> cases = {
      {{200, body}, 0, 0},
      {{200, body, {{"store-era", "3"}}}, 3, 3},
      {{410, "", {{"Store-Era", "4"}}}, std::nullopt, 4},
      {{503, "", {{"Store-Era", "5"}}}, std::nullopt, 5},
      {{200, body, {{"Store-Era", "x3"}}}, std::nullopt, 0}};
  for (const era_case& one : cases) {
    event_loop loop;
    const http_server_fixture server(
        loop, [reply = one.reply](const std::string&) { return reply; });
    store_client client(loop, server.address());
    std::optional<std::uint64_t> era;
    client.Watch(0, duration(0), kDeadline,
                 [&](const result<store_answer>& answer) {
                   if (answer) {
                     era = answer.value().cursor.era;
                   }
                   loop.Stop();
                 });
    loop.Run();
    CHECK(era == one.answered);
    CHECK(client.newest_era() == one.newest);
  }
}

TEST_CASE("Answers of peers are inflated") {
  event_loop loop;
  const std::string body = Deflate(EncodeView({}));
  const http_server_fixture server(
      loop, [&body](const std::string& requested_uri) {
        return scripted_reply{
            200, requested_uri.ends_with("=7&era=0") ? body : "{}"};
      });
  std::vector<bool> decoded;
  for (const std::uint64_t revision : {7U, 8U}) {
    store_client client(loop, server.address());
    client.PullFromPeer({0, revision}, kDeadline,
                        [&](const result<store_answer>& answer) {
                          decoded.push_back(answer.has_value());
                          loop.Stop();
                        });
    loop.Run();
  }
  CHECK(decoded == std::vector<bool>{true, false});
}

}  // namespace
}  // namespace rosemaryreach
