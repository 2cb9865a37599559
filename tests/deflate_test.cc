#include "adapters/deflate.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace rosemaryreach {
namespace {

TEST_CASE("Any text comes back as it was") {
  CHECK(rc::check([](const std::string& text) {
    RC_ASSERT(Inflate(Deflate(text), text.size()).value() == text);
  }));
}

TEST_CASE("Repetitive text gets small") {
  const std::string text(300'000, 'x');
  CHECK(Deflate(text).size() < 3'000);
}

TEST_CASE("Other bytes and texts beyond the limit are errors") {
  CHECK_FALSE(Inflate("no deflated text", 1'000));
  CHECK_FALSE(Inflate("", 1'000));
  const std::string whole = Deflate("some text that is cut short");
  CHECK_FALSE(Inflate(whole.substr(0, whole.size() - 3), 1'000));
  const result<std::string> large =
      Inflate(Deflate(std::string(200'000, 'x')), 100'000);
  REQUIRE_FALSE(large);
  CHECK(large.error().code == errc::kTooLarge);
}

}  // namespace
}  // namespace rosemaryreach
