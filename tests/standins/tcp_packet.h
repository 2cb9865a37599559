// Encodes and decodes inner IPv4 TCP packets for the stand-ins.
#ifndef ROSEMARYREACH_STANDINS_TCP_PACKET_H_
#define ROSEMARYREACH_STANDINS_TCP_PACKET_H_

#include <arpa/inet.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstring>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "rosemaryreach/types.h"

namespace rosemaryreach::standins {

enum tcp_flag : std::uint8_t {
  kFin = 0x01,
  kSyn = 0x02,
  kRst = 0x04,
  kAck = 0x10,
};

// One TCP segment between two endpoints.
struct tcp_segment {
  endpoint from;
  endpoint to;
  std::uint8_t flags = 0;
  std::string payload;
};

inline constexpr std::size_t kIpHeaderBytes = 20;
inline constexpr std::size_t kTcpHeaderBytes = 20;
inline constexpr std::size_t kV4MappedOffset = 12;
inline constexpr std::uint8_t kTimeToLive = 64;

// Returns the Internet checksum of `bytes`: the complement of their ones'
// complement sum, folded to 16 bits.
inline std::uint16_t Checksum(std::span<const std::uint8_t> bytes,
                              std::uint32_t sum = 0) {
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    sum += i % 2 == 0 ? bytes[i] << 8 : bytes[i];
  }
  while ((sum >> 16) != 0) {
    sum = (sum & 0xffff) + (sum >> 16);
  }
  return static_cast<std::uint16_t>(~sum);
}

// Encodes `segment` as an IPv4 packet with valid checksums.
inline std::vector<std::uint8_t> EncodeSegment(const tcp_segment& segment) {
  const std::size_t tcp_bytes = kTcpHeaderBytes + segment.payload.size();
  std::vector<std::uint8_t> packet(kIpHeaderBytes + tcp_bytes);
  iphdr ip{};
  ip.version = 4;
  ip.ihl = kIpHeaderBytes / 4;
  ip.tot_len = htons(static_cast<std::uint16_t>(packet.size()));
  ip.ttl = kTimeToLive;
  ip.protocol = IPPROTO_TCP;
  std::memcpy(&ip.saddr, &segment.from.address.bytes[kV4MappedOffset], 4);
  std::memcpy(&ip.daddr, &segment.to.address.bytes[kV4MappedOffset], 4);
  std::memcpy(packet.data(), &ip, sizeof(ip));
  ip.check = htons(Checksum({packet.data(), kIpHeaderBytes}));
  std::memcpy(packet.data(), &ip, sizeof(ip));

  tcphdr tcp{};
  tcp.th_sport = htons(segment.from.port);
  tcp.th_dport = htons(segment.to.port);
  tcp.th_off = kTcpHeaderBytes / 4;
  tcp.th_flags = segment.flags;
  tcp.th_win = htons(65'535);
  std::uint8_t* body = packet.data() + kIpHeaderBytes;
  std::memcpy(body, &tcp, sizeof(tcp));
  std::copy(segment.payload.begin(), segment.payload.end(),
            body + kTcpHeaderBytes);
  std::array<std::uint8_t, 12> pseudo{};
  std::memcpy(pseudo.data(), packet.data() + 12, 8);
  pseudo[9] = IPPROTO_TCP;
  pseudo[10] = static_cast<std::uint8_t>(tcp_bytes >> 8);
  pseudo[11] = static_cast<std::uint8_t>(tcp_bytes);
  const std::uint16_t pseudo_sum =
      static_cast<std::uint16_t>(~Checksum(pseudo));
  tcp.th_sum = htons(Checksum({body, tcp_bytes}, pseudo_sum));
  std::memcpy(body, &tcp, sizeof(tcp));
  return packet;
}

// Decodes the segment in `packet`; nothing if it is not IPv4 TCP.
inline std::optional<tcp_segment> DecodeSegment(
    std::span<const std::uint8_t> packet) {
  if (packet.size() < kIpHeaderBytes + kTcpHeaderBytes || packet[0] != 0x45 ||
      packet[9] != IPPROTO_TCP) {
    return std::nullopt;
  }
  tcp_segment segment;
  segment.from.address = ParseIp("0.0.0.0").value();
  segment.to.address = segment.from.address;
  std::memcpy(&segment.from.address.bytes[kV4MappedOffset], &packet[12], 4);
  std::memcpy(&segment.to.address.bytes[kV4MappedOffset], &packet[16], 4);
  tcphdr tcp{};
  std::memcpy(&tcp, &packet[kIpHeaderBytes], sizeof(tcp));
  segment.from.port = ntohs(tcp.th_sport);
  segment.to.port = ntohs(tcp.th_dport);
  segment.flags = tcp.th_flags;
  const std::size_t offset = kIpHeaderBytes + tcp.th_off * 4U;
  if (offset <= packet.size()) {
    segment.payload.assign(packet.begin() + static_cast<long>(offset),
                           packet.end());
  }
  return segment;
}

}  // namespace rosemaryreach::standins

#endif  // ROSEMARYREACH_STANDINS_TCP_PACKET_H_
