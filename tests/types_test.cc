#include "rosemaryreach/types.h"

#include <catch2/catch.hpp>

namespace rosemaryreach {
namespace {

TEST_CASE("FormatEndpoint inverts ParseEndpoint for IPv4 and IPv6") {
  for (const char* text : {"10.0.0.1:80", "[2001:db8::1]:443"}) {
    const result<endpoint> parsed = ParseEndpoint(text);
    REQUIRE(parsed);
    CHECK(FormatEndpoint(parsed.value()) == text);
  }
}

TEST_CASE("ParseEndpoint rejects anything else") {
  for (const char* text : {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:65536",
                           "::1:80", "host:80", "10.0.0.1:8x"}) {
    const result<endpoint> parsed = ParseEndpoint(text);
    REQUIRE(!parsed);
    CHECK(parsed.error().code == errc::kInvalidAddress);
  }
}

TEST_CASE("ParseUint64 accepts digits only") {
  CHECK(ParseUint64("0").value() == 0);
  CHECK(ParseUint64("18446744073709551615").value() == ~std::uint64_t{0});
  for (const char* text :
       {"", "12abc", "-1", "+1", " 1", "1.0", "18446744073709551616"}) {
    const result<std::uint64_t> parsed = ParseUint64(text);
    REQUIRE(!parsed);
    CHECK(parsed.error().code == errc::kUnsupported);
  }
}

}  // namespace
}  // namespace rosemaryreach
