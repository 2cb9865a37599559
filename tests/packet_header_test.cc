#include "packet_header.h"

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <string>
#include <type_traits>
#include <vector>

namespace rosemaryreach {
namespace {

std::vector<std::uint8_t> Bytes(const std::string& hex) {
  std::vector<std::uint8_t> bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 3) {
    bytes.push_back(
        static_cast<std::uint8_t>(std::stoi(hex.substr(i, 2), nullptr, 16)));
  }
  return bytes;
}

// The SYN shown in the platform's specification.
const std::vector<std::uint8_t> kFirst = Bytes(
    "d5 c3 b2 a1 04 00 bb 01 07 00 40 64 01 00 12 c6 "
    "41 9c 00 00 00 00 00 00 44 33 22 11 00 00 00 00 ");
const std::vector<std::uint8_t> kReset = Bytes(
    "00 00 00 00 08 00 41 9c 01 00 12 c6 07 00 40 64 "
    "bb 01 00 00 00 00 00 00 00 00 00 00 00 00 00 00 ");

TEST_CASE("The SYN of the specification is parsed") {
  const result<flow_packet> packet = ParseFlowPacket(kFirst);
  REQUIRE(packet);
  CHECK(packet.value().opens);
  CHECK(FormatFlow(packet.value().flow) == "100.64.0.7:40001>198.18.0.1:443");
  CHECK(packet.value().sequence == 0x11223344);
}

packet_header ResetOf(const flow_packet& packet) {
  return MakeReset(flow_refusal::Of(packet).value());
}

TEST_CASE("A reset matches the specification") {
  const packet_header header = ResetOf(ParseFlowPacket(kFirst).value());
  CHECK(std::vector<std::uint8_t>(header.begin(), header.end()) == kReset);
}

// A reset that an open flow takes states a number near the caller's.
static_assert(!std::is_invocable_v<decltype(MakeReset), flow_packet>);
static_assert(!std::is_invocable_v<decltype(MakeReset), flow_key>);
static_assert(!std::is_constructible_v<flow_refusal, flow_packet>);
static_assert(!std::is_constructible_v<flow_refusal, flow_key>);
static_assert(!std::is_default_constructible_v<flow_refusal>);

TEST_CASE("No reset can be made that an open flow takes") {
  constexpr std::size_t kFlagsAt = 4;
  constexpr std::size_t kSequenceAt = 24;
  constexpr std::uint8_t kSyn = 4;
  CHECK(rc::check([](std::array<std::uint8_t, kPacketHeaderBytes> header) {
    header[18] = 0;  // no data
    header[19] = 0;
    const result<flow_packet> packet = ParseFlowPacket(header);
    if (!packet) {
      return;
    }
    const bool opens = (header[kFlagsAt] & kSyn) != 0;
    RC_ASSERT(flow_refusal::Of(packet.value()).has_value() == opens);
    if (opens) {
      const packet_header reset = ResetOf(packet.value());
      RC_ASSERT(std::all_of(reset.begin() + kSequenceAt, reset.end(),
                            [](std::uint8_t byte) { return byte == 0; }));
    }
  }));
}

TEST_CASE("WriteCookie changes only the cookie") {
  std::vector<std::uint8_t> packet = kFirst;
  WriteCookie(packet, 0x01020304);
  CHECK(ParseFlowPacket(packet).value().cookie == 0x01020304);
  std::fill_n(packet.begin() + 20, 4, std::uint8_t{0});
  CHECK(packet == kFirst);
}

TEST_CASE("The target prefix is big-endian") {
  std::array<std::uint8_t, kTargetPrefixBytes> prefix{};
  WriteTargetPrefix(prefix, 0x7f3a91c2);
  CHECK(prefix ==
        std::array<std::uint8_t, 8>{0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2});
}

TEST_CASE("Malformed datagrams are rejected without reading past their end") {
  CHECK(rc::check([](const std::vector<std::uint8_t>& bytes) {
    const result<flow_packet> packet = ParseFlowPacket(bytes);
    // Computed first, since RC_ASSERT evaluates both sides of an "or".
    const bool consistent =
        !packet ||
        bytes.size() == kPacketHeaderBytes + packet.value().data_bytes;
    RC_ASSERT(consistent);
  }));
  for (std::size_t size = 0; size < kFirst.size(); ++size) {
    CHECK_FALSE(ParseFlowPacket(std::span(kFirst).first(size)));
  }
}

TEST_CASE("SYN with ACK is rejected as a packet of a caller") {
  std::vector<std::uint8_t> answer = kFirst;
  answer[4] = 4 | 64;
  CHECK_FALSE(ParseFlowPacket(answer));
}

}  // namespace
}  // namespace rosemaryreach
