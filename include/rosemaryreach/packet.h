// Parses the inner IPv4 and IPv6 packets that the fabric delivers, and builds
// TCP resets for callers whose target was withdrawn.
#ifndef ROSEMARYREACH_PACKET_H_
#define ROSEMARYREACH_PACKET_H_

#include <cstddef>
#include <cstdint>
#include <span>

#include "rosemaryreach/config.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

// Classifies a packet. Only kFlow and kIcmpError have a flow.
enum class packet_kind : std::uint8_t {
  kFlow,
  kIcmpError,    // an ICMP error about a packet that the service sent
  kFragment,     // any fragment, the first one included
  kUnsupported,  // neither TCP nor UDP nor an ICMP error about them
  kTruncated,
  kMalformed,
};

// Returns the stable name of `kind` used in logs.
const char* PacketKindName(packet_kind kind);

// A flow by the addresses that its caller uses.
struct flow_key {
  endpoint caller;
  endpoint service;
  transport_protocol protocol = transport_protocol::kTcp;

  bool operator==(const flow_key&) const = default;
};

// Returns the hash that selects the bucket of a flow; same on all instances.
std::uint64_t FlowHash(const flow_key& flow);

// The parsed fields that the router uses.
struct packet_info {
  packet_kind kind = packet_kind::kMalformed;
  flow_key flow;
  std::uint64_t flow_hash = 0;
  bool syn = false;  // SYN without ACK: opens a connection
  bool fin = false;
  bool reset = false;
};

// Parses an IP packet without allocating memory. If that fails, the returned
// kind is the reason.
packet_info ParsePacket(std::span<const std::uint8_t> packet);

// Maximum size of a packet that BuildReset() writes.
inline constexpr std::size_t kMaxResetBytes = 60;

// Writes an IP packet to `out` with the TCP reset that answers `packet`, from
// the service to the caller. Returns its size, or 0 if `packet` is not TCP or
// is a reset, or `out` is shorter than kMaxResetBytes.
std::size_t BuildReset(std::span<const std::uint8_t> packet,
                       std::span<std::uint8_t> out);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_PACKET_H_
