// Parses the inner IPv4 and IPv6 packets that the fabric hands over, and builds
// the TCP reset that tells a caller its connection was given up.
#ifndef ROSEMARYREACH_PACKET_H_
#define ROSEMARYREACH_PACKET_H_

#include <cstddef>
#include <cstdint>
#include <span>

#include "rosemaryreach/config.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

// What a packet is to the router. Only kFlow and kIcmpError carry a flow.
enum class packet_kind : std::uint8_t {
  kFlow,
  kIcmpError,    // an ICMP error about a packet that the service sent
  kFragment,     // any fragment, the first one included
  kUnsupported,  // neither TCP nor UDP nor an ICMP error about them
  kTruncated,
  kMalformed,
};

// Returns the stable name of `kind`, as logs show it.
const char* PacketKindName(packet_kind kind);

// A flow as the caller sees it.
struct flow_key {
  endpoint caller;
  endpoint service;
  transport_protocol protocol = transport_protocol::kTcp;

  bool operator==(const flow_key&) const = default;
};

// Returns the hash that chooses the bucket of a flow, equal on all instances.
std::uint64_t FlowHash(const flow_key& flow);

// What the router needs to know of one packet.
struct packet_info {
  packet_kind kind = packet_kind::kMalformed;
  flow_key flow;
  std::uint64_t flow_hash = 0;
  bool syn = false;  // SYN without ACK: opens a connection
  bool fin = false;
  bool reset = false;
};

// Parses the IP packet in `packet`. Never reads outside of the span, and never
// allocates; what can't be parsed comes back with the kind that says why.
packet_info ParsePacket(std::span<const std::uint8_t> packet);

// Octets that BuildReset() may write.
inline constexpr std::size_t kMaxResetBytes = 60;

// Writes to `out` the IP packet with a TCP reset that answers `packet`, from
// the service to the caller. Returns its size; 0 if `packet` is no TCP packet,
// is itself a reset, or `out` is shorter than kMaxResetBytes.
std::size_t BuildReset(std::span<const std::uint8_t> packet,
                       std::span<std::uint8_t> out);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_PACKET_H_
