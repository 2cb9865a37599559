#include "rosemaryreach/request_messages.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace rosemaryreach {
namespace {

std::vector<request_message> MakeSamples() {
  handover_grant grant;
  grant.target = {1};
  grant.nonce = 2;
  grant.holder = {3};
  grant.running = 4;
  grant.ends_in = duration(-5);
  grant.warm_percent = 0;
  const key_record record{
      1, 2, {3}, {4}, key_state::kReserved, duration(5), duration(6)};
  return {handover_request{{1}, 2},
          grant,
          slot_released{{1}, 2, 3},
          key_reserve{1, {2}, duration(3), duration(4)},
          key_reply{1, {2}, key_verdict::kUnknown},
          key_finish{1, {2}, run_state::kRun},
          key_copy{record},
          key_copied{1, 2, true},
          key_pull{1, 2},
          key_transfer{1, 2, 3, {record, record}}};
}

TEST_CASE("every kind of message survives encoding and decoding") {
  const std::vector<request_message> samples = MakeSamples();
  REQUIRE(samples.size() == std::variant_size_v<request_message>);
  for (const request_message& sample : samples) {
    const std::string bytes = EncodeRequestMessage(sample);
    const result<request_message> decoded = DecodeRequestMessage(bytes);
    REQUIRE(decoded);
    CHECK(decoded.value().index() == sample.index());
    CHECK(EncodeRequestMessage(decoded.value()) == bytes);
  }
}

TEST_CASE("an enum value out of range and an empty message are rejected") {
  const key_reply invalid{1, {2}, static_cast<key_verdict>(9)};
  for (const std::string& bytes :
       {EncodeRequestMessage(invalid), std::string()}) {
    const result<request_message> decoded = DecodeRequestMessage(bytes);
    REQUIRE(!decoded);
    CHECK(decoded.error().code == errc::kSchemaViolation);
  }
}

TEST_CASE("arbitrary bytes are decoded or rejected") {
  CHECK(rc::check([](const std::string& bytes) {
    const result<request_message> decoded = DecodeRequestMessage(bytes);
    RC_ASSERT(decoded || decoded.error().code == errc::kSchemaViolation);
  }));
}

}  // namespace
}  // namespace rosemaryreach
