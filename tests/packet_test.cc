#include "rosemaryreach/packet.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "rosemaryreach/detour_frame.h"

namespace rosemaryreach {
namespace {

using bytes = std::vector<std::uint8_t>;

constexpr std::uint8_t kSynFlag = 0x02;
constexpr std::uint8_t kAckFlag = 0x10;

bytes TcpSegment(std::uint8_t flags) {
  bytes segment(20);
  segment[0] = 0x30;  // caller port 12345
  segment[1] = 0x39;
  segment[3] = 80;
  segment[7] = 7;   // sequence number
  segment[11] = 9;  // acknowledgment number
  segment[12] = 0x50;
  segment[13] = flags;
  return segment;
}

// From 10.0.0.1 to 10.0.0.2.
bytes V4(std::uint8_t protocol, const bytes& payload) {
  bytes packet = {0x45, 0, 0,  0, 0, 0, 0,  0, 64, protocol,
                  0,    0, 10, 0, 0, 1, 10, 0, 0,  2};
  packet.insert(packet.end(), payload.begin(), payload.end());
  packet[3] = static_cast<std::uint8_t>(packet.size());
  return packet;
}

bytes V6(std::uint8_t next_header, const bytes& payload) {
  bytes packet(40);
  packet[0] = 0x60;
  packet[5] = static_cast<std::uint8_t>(payload.size());
  packet[6] = next_header;
  packet[23] = 1;
  packet[39] = 2;
  packet.insert(packet.end(), payload.begin(), payload.end());
  return packet;
}

// An ICMP "fragmentation needed" about a packet from 10.0.0.2 to 10.0.0.1.
bytes IcmpError() {
  bytes quoted = V4(6, TcpSegment(kAckFlag));
  std::swap_ranges(&quoted[12], &quoted[16], &quoted[16]);
  std::swap_ranges(&quoted[20], &quoted[22], &quoted[22]);
  quoted.resize(28);
  bytes message = {3, 4, 0, 0, 0, 0, 5, 0};
  message.insert(message.end(), quoted.begin(), quoted.end());
  return V4(1, message);
}

std::uint16_t WordSum(const bytes& data, std::uint32_t sum) {
  for (std::size_t i = 0; i + 1 < data.size(); i += 2) {
    sum += static_cast<std::uint32_t>(data[i] << 8 | data[i + 1]);
  }
  while (sum >> 16 != 0) {
    sum = (sum & 0xffff) + (sum >> 16);
  }
  return static_cast<std::uint16_t>(sum);
}

TEST_CASE("a SYN opens a flow and an ACK belongs to the same one") {
  const packet_info syn = ParsePacket(V4(6, TcpSegment(kSynFlag)));
  const packet_info ack = ParsePacket(V4(6, TcpSegment(kAckFlag)));
  REQUIRE(syn.kind == packet_kind::kFlow);
  CHECK(syn.syn);
  CHECK_FALSE(ack.syn);
  CHECK(syn.flow == ack.flow);
  CHECK(syn.flow_hash == ack.flow_hash);
  CHECK(FormatEndpoint(syn.flow.caller) == "10.0.0.1:12345");
  CHECK(FormatEndpoint(syn.flow.service) == "10.0.0.2:80");
}

TEST_CASE("IPv6 extension headers are skipped") {
  bytes options = {6, 0, 0, 0, 0, 0, 0, 0};
  const bytes segment = TcpSegment(kSynFlag);
  options.insert(options.end(), segment.begin(), segment.end());
  const packet_info info = ParsePacket(V6(60, options));
  CHECK(info.kind == packet_kind::kFlow);
  CHECK(FormatEndpoint(info.flow.service) == "[::2]:80");
}

TEST_CASE("an ICMP error belongs to the flow of the packet that it quotes") {
  const packet_info error = ParsePacket(IcmpError());
  REQUIRE(error.kind == packet_kind::kIcmpError);
  CHECK(error.flow_hash == ParsePacket(V4(6, TcpSegment(kAckFlag))).flow_hash);
}

TEST_CASE("fragments, echoes and unknown protocols carry no flow") {
  bytes fragment = V4(6, TcpSegment(kAckFlag));
  fragment[6] = 0x20;
  CHECK(ParsePacket(fragment).kind == packet_kind::kFragment);
  CHECK(ParsePacket(V6(44, bytes(8))).kind == packet_kind::kFragment);
  CHECK(ParsePacket(V4(1, {8, 0, 0, 0, 0, 0, 0, 0})).kind ==
        packet_kind::kUnsupported);
  CHECK(ParsePacket(V4(47, bytes(20))).kind == packet_kind::kUnsupported);
}

TEST_CASE("a SYN with FIN or RST is malformed") {
  CHECK(ParsePacket(V4(6, TcpSegment(0x03))).kind == packet_kind::kMalformed);
  CHECK(ParsePacket(V4(6, TcpSegment(0x06))).kind == packet_kind::kMalformed);
}

TEST_CASE("every proper prefix of a packet is truncated") {
  const std::vector<bytes> packets = {V4(6, TcpSegment(kSynFlag)),
                                      V6(6, TcpSegment(kSynFlag)), IcmpError()};
  for (const bytes& packet : packets) {
    for (std::size_t size = 0; size < packet.size(); ++size) {
      // A copy of exactly this size, so that a sanitizer reports reads past it.
      const bytes prefix(packet.begin(), packet.begin() + size);
      CHECK(ParsePacket(prefix).kind == packet_kind::kTruncated);
    }
  }
}

TEST_CASE("random input is rejected or parsed without reading out of bounds") {
  CHECK(rc::check([](bytes noise, std::uint8_t version) {
    if (!noise.empty()) {
      noise[0] = static_cast<std::uint8_t>(version % 2 == 0 ? 0x45 : 0x60) |
                 (noise[0] & 0x0f);
    }
    std::array<std::uint8_t, kMaxResetBytes> answer;
    ParsePacket(noise);
    BuildReset(noise, answer);
    DecodeDetour(noise);
  }));
  CHECK(rc::check([] {
    bytes packet = V6(6, TcpSegment(kAckFlag));
    const std::size_t at = *rc::gen::inRange<std::size_t>(0, packet.size());
    packet[at] = *rc::gen::arbitrary<std::uint8_t>();
    const packet_info info = ParsePacket(packet);
    std::array<std::uint8_t, kMaxResetBytes> answer;
    const std::size_t size = BuildReset(packet, answer);
    RC_ASSERT(size == 0 || info.kind == packet_kind::kFlow);
  }));
}

TEST_CASE("a reset for an ACK takes its sequence number from the ACK") {
  bytes answer(kMaxResetBytes);
  answer.resize(BuildReset(V4(6, TcpSegment(kAckFlag)), answer));
  const packet_info info = ParsePacket(answer);
  REQUIRE(info.kind == packet_kind::kFlow);
  CHECK(info.reset);
  CHECK(FormatEndpoint(info.flow.caller) == "10.0.0.2:80");
  CHECK(FormatEndpoint(info.flow.service) == "10.0.0.1:12345");
  CHECK(answer[27] == 9);
  const bytes header(answer.begin(), answer.begin() + 20);
  CHECK(WordSum(header, 0) == 0xffff);
  const bytes rest(answer.begin() + 12, answer.end());
  CHECK(WordSum(rest, 6 + 20) == 0xffff);
}

TEST_CASE("a reset acknowledges the SYN that it answers") {
  bytes answer(kMaxResetBytes);
  answer.resize(BuildReset(V6(6, TcpSegment(kSynFlag)), answer));
  REQUIRE(answer.size() == 60);
  CHECK(answer[51] == 8);
  CHECK(answer[53] == 0x14);
  const bytes rest(answer.begin() + 8, answer.end());
  CHECK(WordSum(rest, 6 + 20) == 0xffff);
}

TEST_CASE("resets and UDP packets get no reset") {
  bytes answer(kMaxResetBytes);
  CHECK(BuildReset(V4(6, TcpSegment(0x04)), answer) == 0);
  CHECK(BuildReset(V4(17, bytes(8)), answer) == 0);
}

TEST_CASE("decoding returns the encoded detour header") {
  const detour_info info{2, true, instance_id{7}, 8, 9, 10};
  bytes frame(kDetourHeaderBytes);
  REQUIRE(EncodeDetour(info, frame));
  CHECK(DecodeDetour(frame) == info);
  frame[2] = kMaxDetourHops + 1;
  CHECK_FALSE(DecodeDetour(frame));
}

}  // namespace
}  // namespace rosemaryreach
