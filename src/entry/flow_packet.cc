#include "rosemaryreach/flow_packet.h"

#include <array>

namespace rosemaryreach {
namespace {

constexpr std::size_t kMappedPrefixBytes = 12;
constexpr int kByteBits = 8;

std::uint64_t Pack(const ipv4_endpoint& value) {
  constexpr int kPortBits = 16;
  return static_cast<std::uint64_t>(value.address) << kPortBits | value.port;
}

}  // namespace

endpoint ToEndpoint(const ipv4_endpoint& value) {
  endpoint mapped;
  mapped.address.bytes = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};
  std::uint32_t rest = value.address;
  for (std::size_t at = mapped.address.bytes.size(); at > kMappedPrefixBytes;
       --at) {
    mapped.address.bytes[at - 1] = static_cast<std::uint8_t>(rest);
    rest >>= kByteBits;
  }
  mapped.port = value.port;
  return mapped;
}

ipv4_endpoint ToIpv4Endpoint(const endpoint& value) {
  if (!value.address.is_v4()) {
    return {};
  }
  std::uint32_t address = 0;
  for (std::size_t at = kMappedPrefixBytes; at < value.address.bytes.size();
       ++at) {
    address = address << kByteBits | value.address.bytes[at];
  }
  return {address, value.port};
}

std::string FormatIpv4Endpoint(const ipv4_endpoint& value) {
  return FormatEndpoint(ToEndpoint(value));
}

std::uint64_t HashFlow(const flow_key& key) {
  return HashPair(Pack(key.caller), Pack(key.destination));
}

std::string FormatFlow(const flow_key& key) {
  return FormatIpv4Endpoint(key.caller) + ">" +
         FormatIpv4Endpoint(key.destination);
}

std::optional<flow_refusal> flow_refusal::Of(const flow_packet& packet) {
  return packet.opens ? std::optional(flow_refusal(packet.flow)) : std::nullopt;
}

}  // namespace rosemaryreach
