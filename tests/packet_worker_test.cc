#include "adapters/packet_worker.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "packet_fixture.h"

namespace rosemaryreach {
namespace {

using standins::kAck;
using standins::kSyn;
using standins::tcp_segment;

TEST_CASE("packets of one flow reach one target unchanged") {
  packet_fixture fixture(1);
  std::map<std::string, std::vector<std::string>> by_caller;
  for (int flow = 0; flow < 50; ++flow) {
    const tcp_segment syn = fixture.Segment(flow, kSyn, "");
    const tcp_segment data = fixture.Segment(flow, kAck, "data");
    fixture.Send(0, standins::EncodeSegment(syn));
    fixture.Send(0, standins::EncodeSegment(data));
    const std::vector<received_packet> received = fixture.Receive(2);
    REQUIRE(received.size() == 2);
    CHECK(received[0].target == received[1].target);
    CHECK(received[0].bytes == standins::EncodeSegment(syn));
    CHECK(received[1].bytes == standins::EncodeSegment(data));
  }
  CHECK(fixture.stats(0).sent == 100);
}

TEST_CASE("instances agree on the target of a flow without state") {
  packet_fixture fixture(3);
  for (int flow = 0; flow < 50; ++flow) {
    for (int instance = 0; instance < 3; ++instance) {
      fixture.Send(instance,
                   standins::EncodeSegment(fixture.Segment(flow, kAck, "")));
    }
    const std::vector<received_packet> received = fixture.Receive(3);
    REQUIRE(received.size() == 3);
    CHECK(received[0].target == received[1].target);
    CHECK(received[1].target == received[2].target);
  }
}

TEST_CASE(
    "malformed packets and packets to no declared service are dropped and "
    "counted") {
  packet_fixture fixture(1);
  tcp_segment stray = fixture.Segment(1, kSyn, "");
  stray.to.port = 81;
  fixture.Send(0, standins::EncodeSegment(stray));
  fixture.Send(0, {0x45, 0x00});
  fixture.Send(0, std::vector<std::uint8_t>(1'500, 0xff));
  CHECK(fixture.Receive(1).empty());
  CHECK(fixture.stats(0).received == 3);
  CHECK(fixture.stats(0).sent == 0);
}

TEST_CASE("an instance without a view of the fleet forwards nothing") {
  packet_fixture fixture(1);
  fixture.AddWithoutView();
  fixture.Send(1, standins::EncodeSegment(fixture.Segment(1, kAck, "")));
  CHECK(fixture.Receive(1).empty());
  CHECK(fixture.stats(1).router.dropped == 1);
  CHECK_FALSE(fixture.stats(1).synchronized);
}

TEST_CASE("a detoured packet without a valid authenticator is refused") {
  packet_fixture fixture(1);
  const std::vector<std::uint8_t> packet =
      standins::EncodeSegment(fixture.Segment(1, kSyn, ""));
  std::vector<std::uint8_t> frame(kDetourHeaderBytes);
  EncodeDetour({}, frame);
  frame.insert(frame.end(), packet.begin(), packet.end());
  fixture.SendDetour(0, frame);
  CHECK(fixture.Receive(1).empty());
  CHECK(fixture.stats(0).detours_refused == 1);
}

TEST_CASE("a detoured packet that is replayed is refused") {
  packet_fixture fixture(1);
  peer_auth sender(MakeInstanceId("peer"), fixture.keys(), 1);
  const std::vector<std::uint8_t> packet =
      standins::EncodeSegment(fixture.Segment(1, kAck, ""));
  std::string frame(kDetourHeaderBytes, '\0');
  detour_info info;
  info.hops = 1;
  info.sender = MakeInstanceId("i0");
  EncodeDetour(info, {reinterpret_cast<std::uint8_t*>(frame.data()),
                      kDetourHeaderBytes});
  frame.append(packet.begin(), packet.end());
  const std::string sealed = sender.Seal(fixture.DetourReceiver(0), frame);
  const std::vector<std::uint8_t> bytes(sealed.begin(), sealed.end());
  fixture.SendDetour(0, bytes);
  CHECK(fixture.Receive(1).size() == 1);
  fixture.SendDetour(0, bytes);
  CHECK(fixture.Receive(1).empty());
  CHECK(fixture.stats(0).detours_refused == 1);
}

TEST_CASE("a draining target keeps its open flows and gets no new ones") {
  packet_fixture fixture(3);
  std::map<int, std::string> target_of;
  for (int flow = 0; flow < 60; ++flow) {
    fixture.Send(flow % 3,
                 standins::EncodeSegment(fixture.Segment(flow, kSyn, "")));
    const std::vector<received_packet> received = fixture.Receive(1);
    REQUIRE(received.size() == 1);
    target_of[flow] = received[0].target;
  }
  fixture.Drain("t0");
  for (int flow = 100; flow < 160; ++flow) {
    fixture.Send(flow % 3,
                 standins::EncodeSegment(fixture.Segment(flow, kSyn, "")));
    const std::vector<received_packet> received = fixture.Receive(1);
    REQUIRE(received.size() == 1);
    CHECK(received[0].target != "t0");
    target_of[flow] = received[0].target;
  }
  for (const auto& [flow, target] : target_of) {
    const std::vector<std::uint8_t> data =
        standins::EncodeSegment(fixture.Segment(flow, kAck, "more"));
    fixture.Send((flow + 1) % 3, data);
    const std::vector<received_packet> received = fixture.Receive(1);
    REQUIRE(received.size() == 1);
    CHECK(received[0].target == target);
    CHECK(received[0].bytes == data);
  }
}

TEST_CASE(
    "an instance that joins during a drain keeps flows on their targets") {
  packet_fixture fixture(2);
  fixture.Drain("t0");
  std::map<int, std::string> target_of;
  for (int flow = 0; flow < 120; ++flow) {
    fixture.Send(flow % 2,
                 standins::EncodeSegment(fixture.Segment(flow, kSyn, "")));
    const std::vector<received_packet> received = fixture.Receive(1);
    REQUIRE(received.size() == 1);
    target_of[flow] = received[0].target;
  }
  const int joined = fixture.Join();
  for (const auto& [flow, target] : target_of) {
    fixture.Send(joined,
                 standins::EncodeSegment(fixture.Segment(flow, kAck, "")));
  }
  std::map<std::string, int> received_by_target;
  for (const received_packet& packet : fixture.Receive(target_of.size())) {
    const int flow = standins::DecodeSegment(packet.bytes)->from.port - 1'024;
    CHECK(packet.target == target_of[flow]);
    ++received_by_target[packet.target];
  }
  CHECK_FALSE(received_by_target.empty());
}

TEST_CASE("a drain right after an instance joins leaves no bucket unowned") {
  packet_fixture fixture(5);
  fixture.Activate(fixture.Join());
  fixture.Drain("t0");
  CHECK_FALSE(fixture.HasUnownedBuckets());
  for (int flow = 0; flow < 120; ++flow) {
    fixture.Send(flow % 6,
                 standins::EncodeSegment(fixture.Segment(flow, kSyn, "")));
  }
  CHECK(fixture.Receive(120).size() == 120);
}

}  // namespace
}  // namespace rosemaryreach
