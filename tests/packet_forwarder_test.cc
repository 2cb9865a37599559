#include "entryd/packet_forwarder.h"

#include <catch2/catch.hpp>

#include "entry_fixture.h"
#include "loopback_address.h"
#include "standins/flow_wire.h"

namespace rosemaryreach {
namespace {

// A forwarder with one target.
struct forwarder_fixture {
  forwarder_fixture() {
    target_record ledger = Target("l1", 1);
    ledger.address = ToIpv4Endpoint(target.local());
    entry.Add(ledger);
    REQUIRE(forwarder.Start());
  }

  // Sends a packet with this sequence number to the forwarder.
  void Send(std::uint8_t flags,
            const ipv4_endpoint& to,
            std::uint16_t port,
            std::uint32_t sequence) {
    wire_packet packet;
    packet.flags = flags;
    packet.from_address = 0x7F000001;
    packet.from_port = port;
    packet.to_address = to.address;
    packet.to_port = to.port;
    packet.cookie = MakeCookie("l1", 1);
    packet.sequence = sequence;
    SendTo(sender.fd(), address, EncodeWirePacket(packet, {}));
  }

  // Handles what was sent; returns the sequence numbers that the target got.
  std::vector<std::uint32_t> Handle() {
    forwarder.HandleWaiting(BootTimeNow() + std::chrono::seconds(5));
    std::vector<std::uint32_t> sequences;
    for (const datagram& got : received.Receive(target.fd())) {
      const std::string_view bytes(
          reinterpret_cast<const char*>(got.bytes.data()), got.bytes.size());
      sequences.push_back(
          DecodeWirePacket(bytes.substr(kTargetPrefixBytes)).sequence);
    }
    return sequences;
  }

  static udp_socket Bind(const endpoint& at) {
    return std::move(
        udp_socket::Bind(at, port_sharing::kExclusive, 1'000'000).value());
  }

  event_loop loop;
  entry_fixture entry;
  null_log_sink silent;
  entry_log log{silent};
  std::unique_ptr<metrics_registry> registry = MakeMetricsRegistry();
  entry_metrics metrics{*registry};
  endpoint address{UniqueLoopbackAddress(), 7'000};
  udp_socket target = Bind({UniqueLoopbackAddress(), 8'000});
  udp_socket sender = Bind({UniqueLoopbackAddress(), 0});
  receive_batch received;
  packet_forwarder forwarder{loop,
                             address,
                             entry.directory,
                             entry.director,
                             [] {
                               return view_freshness{true, true};
                             },
                             log,
                             metrics};
};

// Packets that wait since the socket was bound must not be lost or reordered.
TEST_CASE("Waiting packets are forwarded in the order of their arrival") {
  forwarder_fixture fixture;
  fixture.Send(kWireSyn, kBookAddress, 1, 10);
  for (std::uint16_t port = 2; port < 22; ++port) {
    fixture.Send(kWireSyn, kWatchAddress, port, 20);
  }
  fixture.Send(kWireAck, kBookAddress, 50, 30);
  const std::vector<std::uint32_t> got = fixture.Handle();
  REQUIRE(got.size() == 22);
  CHECK(got.front() == 10U);
  CHECK(got.back() == 30U);
}

}  // namespace
}  // namespace rosemaryreach
