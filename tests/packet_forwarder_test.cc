#include "entryd/packet_forwarder.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include "adapters/json_log.h"
#include "entry_fixture.h"
#include "loopback_address.h"
#include "packet_header.h"
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

  // Handles what was sent; returns which targets the datagrams name.
  std::vector<std::uint64_t> HandlePrefixes() {
    forwarder.HandleWaiting(BootTimeNow() + std::chrono::seconds(5));
    std::vector<std::uint64_t> ids;
    for (const datagram& got : received.Receive(target.fd())) {
      std::uint64_t& id = ids.emplace_back();
      for (const std::uint8_t byte : got.bytes.first(kTargetPrefixBytes)) {
        id = id << 8 | byte;
      }
    }
    return ids;
  }

  static udp_socket Bind(const endpoint& at) {
    return std::move(
        udp_socket::Bind(at, port_sharing::kExclusive, 1'000'000).value());
  }

  event_loop loop;
  entry_fixture entry;
  std::vector<nlohmann::json> lines;
  json_log sink{{log_level::kInfo, 1}, "e", [this](const std::string& line) {
                  lines.push_back(nlohmann::json::parse(line));
                }};
  entry_log log{sink};
  std::unique_ptr<metrics_registry> registry = MakeMetricsRegistry();
  entry_metrics metrics{*registry};
  endpoint address{UniqueLoopbackAddress(), 7'000};
  udp_socket target = Bind({UniqueLoopbackAddress(), 8'000});
  udp_socket sender = Bind({UniqueLoopbackAddress(), 0});
  receive_batch received;
  std::vector<std::uint32_t> unknown_cookies;
  packet_forwarder forwarder{
      loop,
      address,
      entry.directory,
      entry.director,
      [] {
        return view_freshness{true, true};
      },
      [this](std::uint32_t cookie) { unknown_cookies.push_back(cookie); },
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

// Whichever target has the address would reset the flows that it lacks.
TEST_CASE("Packets of open flows name no other target at the same address") {
  forwarder_fixture fixture;
  target_record other = Target("f1", 2, "dc-a", "files");
  other.address = ToIpv4Endpoint(fixture.target.local());
  fixture.entry.Add(other);
  fixture.Send(kWireSyn, kWatchAddress, 1, 10);
  fixture.Send(kWireAck, kWatchAddress, 2, 20);
  CHECK(fixture.HandlePrefixes() == std::vector<std::uint64_t>{1, 1});
  fixture.entry.Remove("l1", At(10));
  fixture.Send(kWireAck, kWatchAddress, 2, 30);
  CHECK(fixture.HandlePrefixes() == std::vector<std::uint64_t>{1});
}

// Whatever is wrong with the cookie, the configuration or the view.
TEST_CASE("No packet of an open flow is answered with a reset") {
  const endpoint caller{UniqueLoopbackAddress(), 7'000};
  forwarder_fixture fixture;
  const udp_socket resets = forwarder_fixture::Bind(caller);
  std::uint32_t sequence = 0;
  const auto send_all = [&] {
    for (unsigned flags = 0; flags <= 0xFF; ++flags) {
      for (const ipv4_endpoint& to :
           {kWatchAddress, ipv4_endpoint{0xC6120009, 1}}) {
        for (const std::uint32_t cookie :
             {std::uint32_t{0}, MakeCookie("l1", 1), MakeCookie("l9", 1)}) {
          if ((flags & kWireSyn) == 0) {
            wire_packet packet;
            packet.flags = static_cast<std::uint8_t>(flags);
            packet.from_address = ToIpv4Endpoint(caller).address;
            packet.from_port = 40'001;
            packet.to_address = to.address;
            packet.to_port = to.port;
            packet.cookie = cookie;
            packet.sequence = ++sequence;
            SendTo(fixture.sender.fd(), fixture.address,
                   EncodeWirePacket(packet, {}));
          }
        }
      }
    }
    fixture.Handle();
  };
  send_all();
  fixture.entry.Remove("l1", At(10));
  fixture.entry.directory.Tick(false, At(200'000));
  send_all();
  CHECK(fixture.received.Receive(resets.fd()).empty());
  // The same socket gets the reset of a first packet.
  wire_packet first;
  first.flags = kWireSyn;
  first.from_address = ToIpv4Endpoint(caller).address;
  first.from_port = 40'001;
  first.to_address = kWatchAddress.address;
  first.to_port = kWatchAddress.port;
  SendTo(fixture.sender.fd(), fixture.address, EncodeWirePacket(first, {}));
  fixture.Handle();
  CHECK(fixture.received.Receive(resets.fd()).size() == 1);
}

TEST_CASE("Resets of first packets are counted by rule") {
  forwarder_fixture fixture;
  const packet_decision decision{packet_verdict::kReset, kNoTarget, 0,
                                 "over_capacity"};
  fixture.forwarder.Report(FirstPacket(Flow(1)), decision, At(1));
  CHECK(fixture.metrics.OpeningResets("over_capacity").value() == 1);
  CHECK(fixture.metrics.OpeningResets("no_target").value() == 0);
}

TEST_CASE("The cookie of a packet without a known target is passed on") {
  forwarder_fixture fixture;
  fixture.Send(kWireAck, kWatchAddress, 1, 10);
  CHECK(fixture.Handle().size() == 1);
  CHECK(fixture.unknown_cookies.empty());
  fixture.entry.Drain(Target("l1", 1), At(1));
  fixture.entry.Remove("l1", At(2));
  fixture.entry.directory.Tick(false, At(80'000));
  fixture.Send(kWireAck, kWatchAddress, 1, 20);
  CHECK(fixture.Handle().empty());
  CHECK(fixture.unknown_cookies ==
        std::vector<std::uint32_t>{MakeCookie("l1", 1)});
}

TEST_CASE("The line on a dropped packet names its cookie") {
  forwarder_fixture fixture;
  const packet_decision decision{packet_verdict::kDrop, kNoTarget, 0,
                                 "unknown_cookie"};
  fixture.forwarder.Report(LaterPacket(Flow(1), 12'345, 1'001, 5'001, 100),
                           decision, At(1));
  REQUIRE(fixture.lines.size() == 1);
  CHECK(fixture.lines.front()["cookie"] == 12'345);
}

}  // namespace
}  // namespace rosemaryreach
