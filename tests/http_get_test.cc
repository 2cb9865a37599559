#include "adapters/http_get.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>

#include "adapters/h2_listener.h"

namespace rosemaryreach {
namespace {

// Returns the reply to a request whose answer is `text`, after which the server
// closes the connection.
result<http_reply> GetOnce(const std::string& text) {
  event_loop loop;
  int accepted = -1;
  const std::unique_ptr<h2_listener> server =
      h2_listener::Listen(loop, ParseEndpoint("127.0.0.1:0").value(),
                          [&](int descriptor) { accepted = descriptor; })
          .value();
  loop_timer answer(loop, [&] {
    // A close with unread data would reset the connection.
    std::array<char, 4'096> request{};
    if (accepted >= 0 &&
        recv(accepted, request.data(), request.size(), 0) > 0) {
      send(accepted, text.data(), text.size(), 0);
      close(std::exchange(accepted, -1));
    }
  });
  answer.StartEvery(std::chrono::microseconds(200));
  http_get_client client(loop, server->local(), 1'000);
  result<http_reply> received = Fail(errc::kIo, "no reply");
  client.Get("/x", std::chrono::seconds(5),
             [&](const result<http_reply>& reply) {
               received = reply;
               loop.Stop();
             });
  loop.Run();
  return received;
}

// A part of an answer must never pass for the whole.
TEST_CASE("An answer cut at any byte is an error") {
  for (const std::string whole :
       {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "4\r\nbody\r\n0\r\n\r\n"}) {
    const result<http_reply> complete = GetOnce(whole);
    REQUIRE(complete);
    CHECK(complete.value().body == "body");
    for (std::size_t bytes = 0; bytes < whole.size(); ++bytes) {
      CAPTURE(whole.substr(0, bytes));
      CHECK_FALSE(GetOnce(whole.substr(0, bytes)));
    }
  }
}

// The end of such a body is the end of the connection, so that the caller has
// to check its content.
TEST_CASE("A body without a length ends with the connection") {
  const result<http_reply> reply = GetOnce("HTTP/1.1 200 OK\r\n\r\nbo");
  REQUIRE(reply);
  CHECK(reply.value().body == "bo");
}

TEST_CASE("The error of a long body names the limit") {
  const std::string body(2'000, 'x');
  for (const std::string& text :
       {"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + body,
        "HTTP/1.1 200 OK\r\n\r\n" + body,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + body +
            "\r\n0\r\n\r\n"}) {
    const result<http_reply> reply = GetOnce(text);
    REQUIRE_FALSE(reply);
    CHECK(reply.error().code == errc::kTooLarge);
    CHECK(reply.error().detail == "answer of more than 1000 bytes");
  }
}

TEST_CASE("Malformed answers and long bodies are errors") {
  for (const std::string& text :
       {std::string("\0\xff", 2), std::string("HTTP/1.1 \r\n\r\n"),
        std::string("HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nbody"),
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999"
                    "\r\n\r\nbody"),
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "-1\r\nbody"),
        "HTTP/1.1 200 OK\r\n\r\n" + std::string(2'000, 'x'),
        "HTTP/1.1 200 OK\r\nX: " + std::string(40'000, 'x')}) {
    CAPTURE(text.substr(0, 60));
    CHECK_FALSE(GetOnce(text));
  }
}

}  // namespace
}  // namespace rosemaryreach
