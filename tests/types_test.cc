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

}  // namespace
}  // namespace rosemaryreach
