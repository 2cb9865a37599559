#include "rosemaryreach/view_codec.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace rosemaryreach {
namespace {

TEST_CASE("Decoding an encoded view keeps arbitrary bytes in values") {
  store_answer answer;
  answer.items = {{"a", std::string("\0\xff{", 3), 4, false},
                  {"b", "", 9, true}};
  answer.cursor = {3, 1'000'000'000'012};
  answer.changed = {3, 9};
  answer.full_snapshot = true;
  const result<store_answer> read = DecodeView(EncodeView(answer));
  REQUIRE(read);
  CHECK(read.value().items == answer.items);
  CHECK(read.value().cursor == answer.cursor);
  CHECK(read.value().changed == answer.changed);
  CHECK(read.value().full_snapshot);
}

// Builds that know no eras read and write revisions as plain numbers.
TEST_CASE("A view of era 0 holds revisions as plain numbers") {
  const std::string bytes = EncodeView({{}, {0, 9}, {0, 4}});
  const std::string expected = {'\x85', '\x01', '\x09', '\x04', '\xF4', '\x80'};
  CHECK(bytes == expected);
}

TEST_CASE("Input that is not a view is refused") {
  CHECK(rc::check(
      [](const std::string& bytes) { RC_ASSERT(!DecodeView(bytes)); }));
  const std::string whole =
      EncodeView({{{"a", "x", 4, false}}, {1, 9}, {1, 4}});
  for (std::size_t bytes = 0; bytes < whole.size(); ++bytes) {
    CHECK_FALSE(DecodeView(whole.substr(0, bytes)));
  }
}

TEST_CASE("Departed targets keep arbitrary bytes, and bad input is refused") {
  const departed_answer answer{
      {{"a", std::string("\0\xff{", 3), std::chrono::milliseconds(1'234)}},
      std::chrono::seconds(9)};
  const std::string whole = EncodeDeparted(answer);
  const result<departed_answer> read = DecodeDeparted(whole);
  REQUIRE(read);
  CHECK(read.value().items == answer.items);
  CHECK(read.value().known_for == answer.known_for);
  for (std::size_t bytes = 0; bytes < whole.size(); ++bytes) {
    CHECK_FALSE(DecodeDeparted(whole.substr(0, bytes)));
  }
  CHECK(rc::check(
      [](const std::string& bytes) { RC_ASSERT(!DecodeDeparted(bytes)); }));
}

}  // namespace
}  // namespace rosemaryreach
