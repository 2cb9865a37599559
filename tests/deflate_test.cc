#include "adapters/deflate.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace rosemaryreach {
namespace {

TEST_CASE("Inflate restores any deflated text") {
  CHECK(rc::check([](const std::string& text) {
    RC_ASSERT(Inflate(Deflate(text), text.size()).value() == text);
  }));
}

TEST_CASE("Repetitive text compresses well") {
  const std::string text(300'000, 'x');
  CHECK(Deflate(text).size() < 3'000);
}

TEST_CASE("Inflate rejects invalid, truncated and oversized data") {
  CHECK_FALSE(Inflate("no deflated text", 1'000));
  CHECK_FALSE(Inflate("", 1'000));
  const std::string deflated = Deflate("some text that is cut short");
  CHECK_FALSE(Inflate(deflated.substr(0, deflated.size() - 3), 1'000));
  const result<std::string> large =
      Inflate(Deflate(std::string(200'000, 'x')), 100'000);
  REQUIRE_FALSE(large);
  CHECK(large.error().code == errc::kTooLarge);
}

}  // namespace
}  // namespace rosemaryreach
