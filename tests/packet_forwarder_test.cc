#include "entryd/packet_forwarder.h"

#include <catch2/catch.hpp>

#include "entry_fixture.h"
#include "loopback_address.h"
#include "standins/flow_wire.h"

namespace rosemaryreach {
namespace {

// A forwarder with one target; the route "watch" declares a latency objective.
struct forwarder_fixture {
  forwarder_fixture() {
    entry_config config = Config(2);
    config.routes[0].latency_target = std::chrono::milliseconds(400);
    entry.directory.Apply({}, config, At(0));
    target_record ledger = Target("l1", 1);
    ledger.slots = 64;  // admission holds nothing back
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

  // Has the instance find for a second that packets keep waiting.
  void RunShort() {
    const time_point now = BootTimeNow();
    for (int ms = -1'000; ms <= 0; ms += 5) {
      load.OnBatch(0, false, now + std::chrono::milliseconds(ms));
    }
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
  instance_load load{1'000};
  packet_forwarder forwarder{loop,
                             address,
                             entry.directory,
                             entry.director,
                             load,
                             [] {
                               return view_freshness{true, true};
                             },
                             log,
                             metrics};
};

// Requests of open flows were late behind first packets that were late anyway.
TEST_CASE(
    "A short instance forwards open flows first and sheds first packets") {
  for (const bool is_short : {false, true}) {
    forwarder_fixture fixture;
    if (is_short) {
      fixture.RunShort();
    }
    fixture.Send(kWireSyn, kBookAddress, 1, 10);
    for (std::uint16_t port = 2; port < 22; ++port) {
      fixture.Send(kWireSyn, kWatchAddress, port, 20);
    }
    fixture.Send(kWireAck, kBookAddress, 50, 30);
    const std::vector<std::uint32_t> got = fixture.Handle();
    REQUIRE(got.size() >= 2);
    CHECK(got.front() == (is_short ? 30U : 10U));
    CHECK((got.size() < 12) == is_short);
    CHECK((got.size() == 22) == !is_short);
  }
}

// A reset would cut a flow that may be open for its caller.
TEST_CASE("A flow whose first packet was forwarded is not shed") {
  forwarder_fixture fixture;
  for (std::uint16_t port = 2; port < 22; ++port) {
    fixture.Send(kWireSyn, kWatchAddress, port, 20);
  }
  CHECK(fixture.Handle().size() == 20);
  fixture.RunShort();
  for (std::uint16_t port = 2; port < 22; ++port) {
    fixture.Send(kWireSyn, kWatchAddress, port, 20);
  }
  CHECK(fixture.Handle().size() == 20);
}

}  // namespace
}  // namespace rosemaryreach
