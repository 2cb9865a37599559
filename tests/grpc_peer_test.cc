#include "adapters/grpc_peer.h"

#include <catch2/catch.hpp>
#include <optional>

namespace rosemaryreach {
namespace {

using std::chrono::seconds;

const endpoint kAnyPort = ParseEndpoint("127.0.0.1:0").value();

// Runs the loop until the response arrives.
result<std::string> Await(event_loop& loop,
                          const std::optional<result<std::string>>& response) {
  while (!response) {
    loop.RunPending();
  }
  return *response;
}

TEST_CASE("the client receives a 5 MB response") {
  event_loop loop;
  grpc_peer server(loop);
  grpc_peer client(loop);
  const result<endpoint> bound = server.Listen(
      kAnyPort, [](std::string_view bytes) -> result<std::string> {
        return std::string(5'000'000, bytes[0]);
      });
  REQUIRE(bound);
  std::optional<result<std::string>> response;
  client.Ask(bound.value(), "x", seconds(10),
             [&](result<std::string> got) { response = std::move(got); });
  const result<std::string> got = Await(loop, response);
  REQUIRE(got);
  CHECK(got.value() == std::string(5'000'000, 'x'));
}

TEST_CASE("a handler error and a closed port yield different errors") {
  event_loop loop;
  grpc_peer client(loop);
  std::optional<result<std::string>> response;
  endpoint bound;
  {
    grpc_peer server(loop);
    bound = server
                .Listen(kAnyPort,
                        [](std::string_view) -> result<std::string> {
                          return Fail(errc::kUnauthenticated, "no");
                        })
                .value();
    client.Ask(bound, "x", seconds(10),
               [&](result<std::string> got) { response = std::move(got); });
    CHECK(Await(loop, response).error().code == errc::kUnauthenticated);
  }
  response.reset();
  client.Ask(bound, "x", seconds(10),
             [&](result<std::string> got) { response = std::move(got); });
  CHECK(Await(loop, response).error().code == errc::kUnavailable);
}

TEST_CASE("no callback runs after destruction with requests in flight") {
  event_loop loop;
  bool called = false;
  {
    grpc_peer server(loop);
    grpc_peer client(loop);
    const result<endpoint> bound = server.Listen(
        kAnyPort, [](std::string_view) -> result<std::string> { return "y"; });
    REQUIRE(bound);
    for (int i = 0; i < 100; ++i) {
      client.Ask(bound.value(), "x", seconds(10),
                 [&](const result<std::string>&) { called = true; });
    }
  }
  loop.RunPending();
  CHECK_FALSE(called);
}

}  // namespace
}  // namespace rosemaryreach
