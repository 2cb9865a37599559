#include "adapters/udp_socket.h"

#include <poll.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace rosemaryreach {
namespace {

constexpr int kBufferBytes = 1 << 20;

udp_socket BindLoopback() {
  const endpoint local = ParseEndpoint("127.0.0.1:0").value();
  return udp_socket::Bind(local, port_sharing::kExclusive, kBufferBytes)
      .value();
}

void WaitReadable(int fd) {
  pollfd poll_fd{fd, POLLIN, 0};
  poll(&poll_fd, 1, 1'000);
}

TEST_CASE("a batch larger than one system call arrives whole and in order") {
  udp_socket sender = BindLoopback();
  udp_socket receiver = BindLoopback();
  send_batch sending(sender.fd());
  std::vector<std::uint8_t> bodies(kBatchDatagrams + 10);
  for (std::size_t i = 0; i < bodies.size(); ++i) {
    bodies[i] = static_cast<std::uint8_t>(i);
    sending.NextHeader()[0] = 0xab;
    sending.Add(1, {&bodies[i], 1}, receiver.local());
  }
  sending.Flush();
  CHECK(sending.sent() == bodies.size());

  receive_batch receiving;
  std::size_t received = 0;
  while (received < bodies.size()) {
    WaitReadable(receiver.fd());
    const std::span<const datagram> batch = receiving.Receive(receiver.fd());
    REQUIRE_FALSE(batch.empty());
    for (const datagram& one : batch) {
      REQUIRE(one.bytes.size() == 2);
      CHECK(one.bytes[0] == 0xab);
      CHECK(one.bytes[1] == bodies[received++]);
      CHECK(one.from == sender.local());
    }
  }
}

TEST_CASE("a datagram longer than the buffer is dropped and counted") {
  udp_socket sender = BindLoopback();
  udp_socket receiver = BindLoopback();
  send_batch sending(sender.fd());
  const std::vector<std::uint8_t> body(kMaxDatagramBytes + 1);
  sending.Add(0, body, receiver.local());
  sending.Flush();
  WaitReadable(receiver.fd());
  receive_batch receiving;
  CHECK(receiving.Receive(receiver.fd()).empty());
  CHECK(receiving.truncated() == 1);
}

TEST_CASE("a datagram that the kernel rejects does not stop the batch") {
  udp_socket sender = BindLoopback();
  udp_socket receiver = BindLoopback();
  send_batch sending(sender.fd());
  const std::vector<std::uint8_t> too_long(70'000);
  const std::vector<std::uint8_t> body(1);
  sending.Add(0, too_long, receiver.local());
  sending.Add(0, body, receiver.local());
  sending.Flush();
  CHECK(sending.dropped() == 1);
  CHECK(sending.sent() == 1);
}

TEST_CASE("binding a port in use fails with the address in the error") {
  udp_socket first = BindLoopback();
  const result<udp_socket> second =
      udp_socket::Bind(first.local(), port_sharing::kExclusive, kBufferBytes);
  REQUIRE(!second);
  CHECK(second.error().detail.find(FormatEndpoint(first.local())) !=
        std::string::npos);
}

}  // namespace
}  // namespace rosemaryreach
