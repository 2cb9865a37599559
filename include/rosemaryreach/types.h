// Basic types that every module shares: time, addresses and identifiers.
#ifndef ROSEMARYREACH_TYPES_H_
#define ROSEMARYREACH_TYPES_H_

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "rosemaryreach/result.h"

namespace rosemaryreach {

using duration = std::chrono::microseconds;

// Converts to whole milliseconds, for logs and messages.
constexpr std::int64_t ToMillis(duration value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

// Tag type of the monotonic clock behind time_point. Code that makes decisions
// never reads a clock: its callers pass the time.
struct monotonic_clock {};

using time_point = std::chrono::time_point<monotonic_clock, duration>;

// An IPv4 or IPv6 address in network byte order; IPv4 is stored v4-mapped.
struct ip_address {
  std::array<std::uint8_t, 16> bytes{};

  bool is_v4() const;
  auto operator<=>(const ip_address&) const = default;
};

// Parses a numeric IPv4 or IPv6 address; returns errc::kInvalidAddress if
// `text` is anything else.
result<ip_address> ParseIp(std::string_view text);

// Returns the numeric form of `address`, without a v4-mapped prefix.
std::string FormatIp(const ip_address& address);

// An IP address with a port in host byte order.
struct endpoint {
  ip_address address;
  std::uint16_t port = 0;

  auto operator<=>(const endpoint&) const = default;
};

// Parses "1.2.3.4:80" or "[::1]:80".
result<endpoint> ParseEndpoint(std::string_view text);

// Formats `endpoint` as ParseEndpoint() reads it.
std::string FormatEndpoint(const endpoint& endpoint);

// Parses a decimal number of digits only; returns errc::kUnsupported if `text`
// is anything else or the number does not fit.
result<std::uint64_t> ParseUint64(std::string_view text);

// Identifies an instance across restarts: a hash of its name.
struct instance_id {
  std::uint64_t value = 0;

  explicit operator bool() const { return value != 0; }
  auto operator<=>(const instance_id&) const = default;
};

// Returns the identifier of the instance called `name`; never zero.
instance_id MakeInstanceId(std::string_view name);

// Returns a 64-bit hash that is the same on every instance and in every build.
std::uint64_t HashBytes(std::string_view bytes, std::uint64_t seed = 0);

// Returns a 64-bit hash of two words, for example a rendezvous score.
std::uint64_t HashPair(std::uint64_t a, std::uint64_t b);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TYPES_H_
