#include "rosemaryreach/view_codec.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace rosemaryreach {
namespace {

TEST_CASE("Decoding an encoded view keeps arbitrary bytes in values") {
  store_answer answer;
  answer.items = {{"a", std::string("\0\xff{", 3), 4, false},
                  {"b", "", 9, true}};
  answer.revision = 1'000'000'000'012;
  answer.changed_revision = 9;
  answer.full_snapshot = true;
  const result<store_answer> read = DecodeView(EncodeView(answer));
  REQUIRE(read);
  CHECK(read.value().items == answer.items);
  CHECK(read.value().revision == answer.revision);
  CHECK(read.value().changed_revision == 9);
  CHECK(read.value().full_snapshot);
}

TEST_CASE("Input that is not a view is refused") {
  CHECK(rc::check(
      [](const std::string& bytes) { RC_ASSERT(!DecodeView(bytes)); }));
  const std::string whole = EncodeView({{{"a", "x", 4, false}}, 9, 4});
  for (std::size_t bytes = 0; bytes < whole.size(); ++bytes) {
    CHECK_FALSE(DecodeView(whole.substr(0, bytes)));
  }
}

}  // namespace
}  // namespace rosemaryreach
