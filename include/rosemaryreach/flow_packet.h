// One packet of a flow as an entry instance sees it on its way to a target.
#ifndef ROSEMARYREACH_FLOW_PACKET_H_
#define ROSEMARYREACH_FLOW_PACKET_H_

#include <cstdint>
#include <string>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

// An IPv4 address and port, both in host byte order.
struct ipv4_endpoint {
  std::uint32_t address = 0;
  std::uint16_t port = 0;

  auto operator<=>(const ipv4_endpoint&) const = default;
};

// Returns `value` as endpoint; the address is v4-mapped.
endpoint ToEndpoint(const ipv4_endpoint& value);

// Returns the IPv4 form of `value`; all zero if it holds an IPv6 address.
ipv4_endpoint ToIpv4Endpoint(const endpoint& value);

// Returns the form "1.2.3.4:80".
std::string FormatIpv4Endpoint(const ipv4_endpoint& value);

// The two ends of a flow: who opened it, and the address it was opened to.
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

// Returns the same hash on every instance.
std::uint64_t HashFlow(const flow_key& key);

// Returns "caller>destination", the flow's id in logs.
std::string FormatFlow(const flow_key& key);

// The parts of a packet that decide where it goes.
struct flow_packet {
  flow_key flow;
  bool opens = false;  // first packet of a flow, or a copy of it
  bool finishes = false;
  bool resets = false;
  // How many times the first packet was sent before; 0 on other packets.
  std::uint32_t retransmit_count = 0;
  // Names the flow's target, see MakeCookie(); 0 before one was chosen.
  std::uint32_t cookie = 0;
  std::uint32_t sequence = 0;
  std::uint32_t acknowledged = 0;
  std::uint16_t data_bytes = 0;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_FLOW_PACKET_H_
