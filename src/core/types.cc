#include "rosemaryreach/types.h"

#include <arpa/inet.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace rosemaryreach {
namespace {

constexpr std::array<std::uint8_t, 12> kV4Prefix = {0, 0, 0, 0, 0,    0,
                                                    0, 0, 0, 0, 0xff, 0xff};

// Parses all of `text` as a decimal number; returns whether that succeeded.
template <typename T>
bool ParseDigits(std::string_view text, T& number) {
  const char* end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, number);
  return !text.empty() && parsed.ec == std::errc() && parsed.ptr == end;
}

result<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  if (!ParseDigits(text, port)) {
    return Fail(
        errc::kInvalidAddress,
        "expected a port from 0 to 65535, got \"" + std::string(text) + "\"");
  }
  return port;
}

}  // namespace

bool ip_address::is_v4() const {
  return std::equal(kV4Prefix.begin(), kV4Prefix.end(), bytes.begin());
}

result<ip_address> ParseIp(std::string_view text) {
  const std::string copy(text);
  ip_address address;
  if (inet_pton(AF_INET6, copy.c_str(), address.bytes.data()) == 1) {
    return address;
  }
  std::copy(kV4Prefix.begin(), kV4Prefix.end(), address.bytes.begin());
  if (inet_pton(AF_INET, copy.c_str(), &address.bytes[kV4Prefix.size()]) == 1) {
    return address;
  }
  return Fail(errc::kInvalidAddress,
              "expected a numeric IPv4 or IPv6 address, got \"" + copy + "\"");
}

std::string FormatIp(const ip_address& address) {
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (address.is_v4()) {
    inet_ntop(AF_INET, &address.bytes[kV4Prefix.size()], text.data(),
              text.size());
  } else {
    inet_ntop(AF_INET6, address.bytes.data(), text.data(), text.size());
  }
  return text.data();
}

result<std::uint64_t> ParseUint64(std::string_view text) {
  std::uint64_t number = 0;
  if (!ParseDigits(text, number)) {
    return Fail(errc::kUnsupported, "expected a number of digits only, got \"" +
                                        std::string(text) + "\"");
  }
  return number;
}

result<endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return Fail(errc::kInvalidAddress,
                "expected ADDRESS:PORT, got \"" + std::string(text) + "\"");
  }
  std::string_view host = text.substr(0, colon);
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  } else if (host.find(':') != std::string_view::npos) {
    return Fail(
        errc::kInvalidAddress,
        "expected [ADDRESS]:PORT for IPv6, got \"" + std::string(text) + "\"");
  }
  BOOST_OUTCOME_TRY(address, ParseIp(host));
  BOOST_OUTCOME_TRY(port, ParsePort(text.substr(colon + 1)));
  return endpoint{address, port};
}

std::string FormatEndpoint(const endpoint& endpoint) {
  const std::string host = FormatIp(endpoint.address);
  const std::string port = std::to_string(endpoint.port);
  if (endpoint.address.is_v4()) {
    return host + ":" + port;
  }
  return "[" + host + "]:" + port;
}

instance_id MakeInstanceId(std::string_view name) {
  const std::uint64_t hash = HashBytes(name);
  return instance_id{hash == 0 ? 1 : hash};
}

std::uint64_t HashBytes(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t HashPair(std::uint64_t a, std::uint64_t b) {
  std::array<char, 2 * sizeof(std::uint64_t)> words;
  std::memcpy(words.data(), &a, sizeof(a));
  std::memcpy(words.data() + sizeof(a), &b, sizeof(b));
  return XXH3_64bits(words.data(), words.size());
}

}  // namespace rosemaryreach
