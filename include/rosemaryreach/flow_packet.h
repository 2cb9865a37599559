// The fields of a caller's packet that forwarding depends on.
#ifndef ROSEMARYREACH_FLOW_PACKET_H_
#define ROSEMARYREACH_FLOW_PACKET_H_

#include <cstdint>
#include <optional>
#include <string>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

// An IPv4 address and port, both in host byte order.
struct ipv4_endpoint {
  std::uint32_t address = 0;
  std::uint16_t port = 0;

  auto operator<=>(const ipv4_endpoint&) const = default;
};

// Returns `value` as an endpoint with an IPv4-mapped IPv6 address.
endpoint ToEndpoint(const ipv4_endpoint& value);

// Returns the IPv4 form of `value`; all zeros if it isn't IPv4-mapped.
ipv4_endpoint ToIpv4Endpoint(const endpoint& value);

// Formats `value` as "1.2.3.4:80".
std::string FormatIpv4Endpoint(const ipv4_endpoint& value);

// Identifies a flow by the endpoint of its caller and its destination.
struct flow_key {
  ipv4_endpoint caller;
  ipv4_endpoint destination;

  auto operator<=>(const flow_key&) const = default;

  template <typename State>
  friend State AbslHashValue(State state, const flow_key& key) {
    return State::combine(std::move(state), key.caller.address, key.caller.port,
                          key.destination.address, key.destination.port);
  }
};

// Returns a hash of `key` that is the same on every instance.
std::uint64_t HashFlow(const flow_key& key);

// Formats `key` as "caller>destination", the id of the flow in logs.
std::string FormatFlow(const flow_key& key);

// The parsed header of one packet.
struct flow_packet {
  flow_key flow;
  bool opens = false;  // first packet of a flow, or a retransmission of it
  bool finishes = false;
  bool resets = false;
  // Earlier transmissions of this first packet; 0 on other packets.
  std::uint32_t retransmit_count = 0;
  // Identifies the target of the flow, see MakeCookie(); 0 if none is assigned.
  std::uint32_t cookie = 0;
  std::uint32_t sequence = 0;
  std::uint32_t acknowledged = 0;
  std::uint16_t data_bytes = 0;
};

// The refusal of a flow that is not open. Resets are made from refusals alone,
// and only first packets give one, so no packet of an open flow can be answered
// with a reset.
class flow_refusal {
 public:
  // Returns nothing unless `packet` opens a flow.
  static std::optional<flow_refusal> Of(const flow_packet& packet);

  const flow_key& flow() const { return flow_; }

 private:
  explicit flow_refusal(const flow_key& flow) : flow_(flow) {}

  flow_key flow_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_FLOW_PACKET_H_
