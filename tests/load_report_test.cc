#include "rosemaryreach/load_report.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

namespace rosemaryreach {
namespace {

load_message Sample() {
  load_message message;
  message.kind = load_message_kind::kSums;
  message.address = 0x0A010203;
  message.incarnation = 1'790'000'000'000;
  message.sequence = 70'000;
  message.part = 1;
  message.parts = 3;
  message.lacks_sums = true;
  message.age = std::chrono::milliseconds(90);
  message.other_centre_age = std::chrono::milliseconds(700);
  message.period = std::chrono::milliseconds(200);
  message.services = {{7, 8, 120, 30, 41}};
  message.targets = {{1, 2, 3, 4, 500, 6, 7, 8}, {0xFFFFFFFF, 0, 1}};
  return message;
}

std::string Encode(const std::vector<std::uint64_t>& numbers) {
  std::string bytes;
  nlohmann::json::to_cbor(nlohmann::json(numbers), bytes);
  return bytes;
}

TEST_CASE("Load messages survive encoding, and sizes are as announced") {
  const load_message message = Sample();
  const std::string bytes = EncodeLoadMessage(message);
  CHECK(DecodeLoadMessage(bytes) == message);
  load_message empty = message;
  empty.services.clear();
  empty.targets.clear();
  const std::size_t header = EncodeLoadMessage(empty).size();
  CHECK(header <= kLoadHeaderBytes);
  const std::size_t elements = EncodedSize(message.services[0]) +
                               EncodedSize(message.targets[0]) +
                               EncodedSize(message.targets[1]);
  // The length of the array takes one byte more.
  CHECK(bytes.size() == header + 1 + elements);
}

// A cut message that decodes would report less load than there is.
TEST_CASE("Truncated, extended and oversized messages are rejected") {
  const std::string bytes = EncodeLoadMessage(Sample());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(DecodeLoadMessage(std::string_view(bytes).substr(0, size)));
  }
  CHECK_FALSE(DecodeLoadMessage(bytes + '\0'));
  load_message large = Sample();
  for (std::uint32_t i = 100'000; i < 100'200; ++i) {
    large.targets.insert(large.targets.end() - 1, {i, 1, 1});
  }
  CHECK_FALSE(DecodeLoadMessage(EncodeLoadMessage(large)));
}

// Numbers that no instance can have would drown those of all others.
TEST_CASE("Numbers out of range are rejected") {
  const std::vector<std::uint64_t> valid = {1, 0, 5, 9, 1, 0, 1, 0,
                                            0, 0, 0, 0, 3, 1, 40};
  REQUIRE(DecodeLoadMessage(Encode(valid)));
  const auto with = [&valid](std::size_t at, std::uint64_t number) {
    std::vector<std::uint64_t> numbers = valid;
    numbers[at] = number;
    return DecodeLoadMessage(Encode(numbers)).has_value();
  };
  CHECK_FALSE(with(0, 2));  // format
  CHECK_FALSE(with(1, 3));  // kind
  CHECK_FALSE(with(2, 0));  // address
  CHECK_FALSE(with(2, 0x1'0000'0000));
  CHECK_FALSE(with(4, 0x1'0000'0000));  // sequence
  CHECK_FALSE(with(5, 1));              // part of one part
  CHECK_FALSE(with(6, 17));             // parts
  CHECK_FALSE(with(8, 60'001));         // age
  CHECK_FALSE(with(11, 1));             // services that do not follow
  CHECK_FALSE(with(11, 0xFFFF'FFFF));
  CHECK_FALSE(with(12, 0));       // cookie
  CHECK_FALSE(with(13, 128));     // mask
  CHECK_FALSE(with(14, 50'001));  // requests of one instance
  std::vector<std::uint64_t> twice = valid;
  twice.insert(twice.end(), {3, 1, 40});  // the same target again
  CHECK_FALSE(DecodeLoadMessage(Encode(twice)));
}

TEST_CASE("Other documents are rejected") {
  for (const nlohmann::json& document :
       {nlohmann::json(1), nlohmann::json({{"a", 1}}), nlohmann::json({1, -2}),
        nlohmann::json({1, "x"}),
        nlohmann::json::array({1, nlohmann::json::array({2})})}) {
    std::string bytes;
    nlohmann::json::to_cbor(document, bytes);
    CHECK_FALSE(DecodeLoadMessage(bytes));
  }
  rc::check("arbitrary bytes do not crash the decoder",
            [](const std::string& bytes) { DecodeLoadMessage(bytes); });
}

}  // namespace
}  // namespace rosemaryreach
