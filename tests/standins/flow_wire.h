// Encodes and decodes packets of flows for the stand-ins.
#ifndef ROSEMARYREACH_TESTS_STANDINS_FLOW_WIRE_H_
#define ROSEMARYREACH_TESTS_STANDINS_FLOW_WIRE_H_

#include <cstring>
#include <string>
#include <string_view>

#include "adapters/socket_address.h"
#include "adapters/udp_socket.h"
#include "packet_header.h"

namespace rosemaryreach {

inline constexpr std::uint8_t kWireSyn = 4;
inline constexpr std::uint8_t kWireAck = 64;
inline constexpr std::uint8_t kWireFin = 16;
inline constexpr std::uint8_t kWireRst = 8;

// Header of a packet in the platform's layout.
struct wire_packet {
  std::uint32_t checksum = 0x5EA1;
  std::uint8_t flags = 0;
  std::uint8_t padding = 0;
  std::uint16_t to_port = 0;
  std::uint32_t from_address = 0;
  std::uint32_t to_address = 0;
  std::uint16_t from_port = 0;
  std::uint16_t data_bytes = 0;
  std::uint32_t cookie = 0;
  std::uint32_t sequence = 0;
  std::uint32_t acknowledged = 0;
};
static_assert(sizeof(wire_packet) == kPacketHeaderBytes);

inline void SendTo(int fd, const endpoint& to, std::string_view bytes) {
  socket_address address = ToSocketAddress(to);
  // A datagram that does not fit into the send buffer is dropped, as a network
  // may drop it.
  (void)sendto(fd, bytes.data(), bytes.size(), MSG_DONTWAIT, address.get(),
               address.size);
}

inline std::string EncodeWirePacket(wire_packet packet,
                                    std::string_view data = {}) {
  packet.data_bytes = static_cast<std::uint16_t>(data.size());
  std::string bytes(kPacketHeaderBytes, '\0');
  std::memcpy(bytes.data(), &packet, kPacketHeaderBytes);
  return bytes.append(data);
}

inline wire_packet DecodeWirePacket(std::string_view bytes) {
  wire_packet packet;
  std::memcpy(&packet, bytes.data(), kPacketHeaderBytes);
  return packet;
}

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TESTS_STANDINS_FLOW_WIRE_H_
