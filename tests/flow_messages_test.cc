#include "rosemaryreach/flow_messages.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace rosemaryreach {
namespace {

std::span<const std::uint8_t> Bytes(const std::string& text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

flow_message MakeFull() {
  flow_message message;
  message.kind = flow_message_kind::kPins;
  message.worker = 3;
  message.configuration_number = 41;
  message.service = 0xfedcba9876543210;
  message.part = 1;
  message.parts = 2;
  message.buckets = {{7, 100, 2, true}, {65'535, 200, 0, false}};
  message.pins = {{0x123456789abc, 100}, {1, 200}, {2, 100}};
  message.targets = {{100, 9, target_condition::kCold}};
  return message;
}

TEST_CASE("decoding returns the encoded flow message") {
  const std::string encoded = EncodeFlowMessage(MakeFull());
  const result<flow_message> decoded = DecodeFlowMessage(Bytes(encoded));
  REQUIRE(decoded.has_value());
  CHECK(decoded.value() == MakeFull());
}

TEST_CASE("an encoded pin takes seven octets") {
  flow_message message = MakeFull();
  const std::size_t before = EncodeFlowMessage(message).size();
  for (std::uint64_t i = 0; i < 100; ++i) {
    message.pins.push_back({HashPair(i, 1) & 0xffff'ffff'ffff, 100});
  }
  CHECK(EncodeFlowMessage(message).size() - before <= 100 * 7 + 4);
  CHECK(MaxEncodedBytes(message) >= EncodeFlowMessage(message).size());
}

TEST_CASE("MaxEncodedBytes bounds records that all have different targets") {
  flow_message message = MakeFull();
  for (std::uint32_t i = 0; i < 300; ++i) {
    message.pins.push_back({HashPair(i, 1) & 0xffff'ffff'ffff, 1'000 + i});
    message.buckets.push_back({65'000 + i, 5'000 + i, 300, true});
    CHECK(MaxEncodedBytes(message) >= EncodeFlowMessage(message).size());
  }
}

TEST_CASE("corrupt messages are rejected or decode to valid part numbers") {
  const std::string encoded = EncodeFlowMessage(MakeFull());
  CHECK(rc::check([&encoded] {
    std::string corrupt = encoded;
    const std::size_t at = *rc::gen::inRange<std::size_t>(0, corrupt.size());
    corrupt[at] = *rc::gen::arbitrary<char>();
    corrupt.resize(*rc::gen::inRange<std::size_t>(0, corrupt.size() + 1));
    const result<flow_message> decoded = DecodeFlowMessage(Bytes(corrupt));
    if (decoded.has_value()) {
      RC_ASSERT(decoded.value().part < decoded.value().parts);
    }
  }));
}

}  // namespace
}  // namespace rosemaryreach
