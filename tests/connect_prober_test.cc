#include "adapters/connect_prober.h"

#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "http_server_fixture.h"
#include "loopback_address.h"

namespace rosemaryreach {
namespace {

constexpr duration kDeadline = std::chrono::seconds(5);

connect_outcome Probe(event_loop& loop,
                      const endpoint& address,
                      duration deadline) {
  connect_prober prober(loop, 4);
  std::optional<connect_outcome> outcome;
  REQUIRE(prober.Probe(address, deadline, [&](connect_outcome answer) {
    outcome = answer;
    loop.Stop();
  }));
  loop.Run();
  return outcome.value();
}

TEST_CASE("A listening port is reported as reached") {
  event_loop loop;
  const http_server_fixture server(
      loop, [](const std::string&) { return scripted_reply{}; });
  CHECK(Probe(loop, server.address(), kDeadline) ==
        connect_outcome::kConnected);
}

TEST_CASE("A port that refuses connections is reported as such") {
  event_loop loop;
  CHECK(Probe(loop, {UniqueLoopbackAddress(), 9}, kDeadline) ==
        connect_outcome::kRefused);
}

TEST_CASE("A port that does not answer is reported as such at the deadline") {
  event_loop loop;
  // A listener with a full accept queue does not answer further SYNs.
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  socket_address local = ToSocketAddress({UniqueLoopbackAddress(), 0});
  REQUIRE(bind(listener, local.get(), local.size) == 0);
  REQUIRE(listen(listener, 0) == 0);
  getsockname(listener, local.get(), &local.size);
  std::vector<int> pending_connections;
  for (int i = 0; i < 4; ++i) {
    pending_connections.push_back(
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    (void)connect(pending_connections.back(), local.get(), local.size);
  }
  CHECK(Probe(loop, FromSocketAddress(local.storage),
              std::chrono::milliseconds(50)) == connect_outcome::kNoAnswer);
  for (const int fd : pending_connections) {
    close(fd);
  }
  close(listener);
}

TEST_CASE("Probe() returns false beyond the limit of running probes") {
  event_loop loop;
  connect_prober prober(loop, 1);
  const auto ignore = [](connect_outcome) {};
  const http_server_fixture server(
      loop, [](const std::string&) { return scripted_reply{}; });
  CHECK(prober.Probe(server.address(), kDeadline, ignore));
  CHECK_FALSE(prober.Probe(server.address(), kDeadline, ignore));
}

}  // namespace
}  // namespace rosemaryreach
