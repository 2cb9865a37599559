#include "rosemaryreach/packet.h"

#include <algorithm>
#include <array>
#include <cstring>

namespace rosemaryreach {
namespace {

using bytes_view = std::span<const std::uint8_t>;

constexpr std::uint8_t kProtocolIcmp = 1;
constexpr std::uint8_t kProtocolTcp = 6;
constexpr std::uint8_t kProtocolUdp = 17;
constexpr std::uint8_t kProtocolIcmpV6 = 58;
constexpr std::uint8_t kHopByHop = 0;
constexpr std::uint8_t kRouting = 43;
constexpr std::uint8_t kFragmentHeader = 44;
constexpr std::uint8_t kDestinationOptions = 60;

constexpr std::size_t kIpv4HeaderBytes = 20;
constexpr std::size_t kIpv6HeaderBytes = 40;
constexpr std::size_t kTcpHeaderBytes = 20;
constexpr std::size_t kUdpHeaderBytes = 8;
constexpr std::size_t kIcmpHeaderBytes = 8;
// An ICMP error carries at least the ports of the packet that caused it.
constexpr std::size_t kPortBytes = 4;
constexpr int kMaxExtensionHeaders = 4;

constexpr std::uint8_t kFin = 0x01;
constexpr std::uint8_t kSyn = 0x02;
constexpr std::uint8_t kRst = 0x04;
constexpr std::uint8_t kAck = 0x10;

std::uint16_t Load16(bytes_view bytes, std::size_t at) {
  return static_cast<std::uint16_t>(bytes[at] << 8 | bytes[at + 1]);
}

std::uint32_t Load32(bytes_view bytes, std::size_t at) {
  return static_cast<std::uint32_t>(Load16(bytes, at)) << 16 |
         Load16(bytes, at + 2);
}

void Store16(std::span<std::uint8_t> bytes, std::size_t at, std::uint32_t v) {
  bytes[at] = static_cast<std::uint8_t>(v >> 8);
  bytes[at + 1] = static_cast<std::uint8_t>(v);
}

void Store32(std::span<std::uint8_t> bytes, std::size_t at, std::uint32_t v) {
  Store16(bytes, at, v >> 16);
  Store16(bytes, at + 2, v);
}

ip_address LoadV4(bytes_view bytes, std::size_t at) {
  ip_address address;
  address.bytes[10] = 0xff;
  address.bytes[11] = 0xff;
  std::copy_n(&bytes[at], 4, &address.bytes[12]);
  return address;
}

ip_address LoadV6(bytes_view bytes, std::size_t at) {
  ip_address address;
  std::copy_n(&bytes[at], address.bytes.size(), address.bytes.data());
  return address;
}

// The parsed IP header; the payload is not parsed yet.
struct ip_header {
  packet_kind kind = packet_kind::kFlow;  // kFlow if the payload can be parsed
  bool v6 = false;
  ip_address source;
  ip_address destination;
  std::uint8_t protocol = 0;
  bytes_view payload;
};

ip_header Reject(packet_kind kind) {
  ip_header header;
  header.kind = kind;
  return header;
}

// If `quoted`, the packet is from an ICMP error and may be truncated: its
// length field may exceed its size.
ip_header ParseV4(bytes_view packet, bool quoted) {
  if (packet.size() < kIpv4HeaderBytes) {
    return Reject(packet_kind::kTruncated);
  }
  const std::size_t header_bytes = (packet[0] & 0x0f) * 4U;
  const std::size_t total = Load16(packet, 2);
  if (header_bytes < kIpv4HeaderBytes || total < header_bytes) {
    return Reject(packet_kind::kMalformed);
  }
  if (packet.size() < header_bytes || (packet.size() < total && !quoted)) {
    return Reject(packet_kind::kTruncated);
  }
  const std::uint16_t fragment = Load16(packet, 6);
  if ((fragment & 0x3fff) != 0 && !quoted) {
    return Reject(packet_kind::kFragment);
  }
  ip_header header;
  header.source = LoadV4(packet, 12);
  header.destination = LoadV4(packet, 16);
  header.protocol = packet[9];
  const std::size_t end = std::min(total, packet.size());
  header.payload = packet.subspan(header_bytes, end - header_bytes);
  return header;
}

// Skips the extension headers before the transport header.
void SkipExtensions(ip_header& header) {
  for (int i = 0; i < kMaxExtensionHeaders; ++i) {
    if (header.protocol == kFragmentHeader) {
      header.kind = packet_kind::kFragment;
      return;
    }
    if (header.protocol != kHopByHop && header.protocol != kRouting &&
        header.protocol != kDestinationOptions) {
      return;
    }
    if (header.payload.size() < 8) {
      header.kind = packet_kind::kTruncated;
      return;
    }
    const std::size_t bytes = (header.payload[1] + 1U) * 8U;
    if (header.payload.size() < bytes) {
      header.kind = packet_kind::kTruncated;
      return;
    }
    header.protocol = header.payload[0];
    header.payload = header.payload.subspan(bytes);
  }
  header.kind = packet_kind::kUnsupported;
}

ip_header ParseV6(bytes_view packet, bool quoted) {
  if (packet.size() < kIpv6HeaderBytes) {
    return Reject(packet_kind::kTruncated);
  }
  const std::size_t payload_bytes = Load16(packet, 4);
  const std::size_t available = packet.size() - kIpv6HeaderBytes;
  if (available < payload_bytes && !quoted) {
    return Reject(packet_kind::kTruncated);
  }
  ip_header header;
  header.v6 = true;
  header.source = LoadV6(packet, 8);
  header.destination = LoadV6(packet, 24);
  header.protocol = packet[6];
  header.payload =
      packet.subspan(kIpv6HeaderBytes, std::min(payload_bytes, available));
  SkipExtensions(header);
  return header;
}

ip_header ParseIpHeader(bytes_view packet, bool quoted) {
  if (packet.empty()) {
    return Reject(packet_kind::kTruncated);
  }
  switch (packet[0] >> 4) {
    case 4:
      return ParseV4(packet, quoted);
    case 6:
      return ParseV6(packet, quoted);
    default:
      return Reject(packet_kind::kMalformed);
  }
}

packet_kind ParseTcp(bytes_view segment, packet_info& info) {
  if (segment.size() < kTcpHeaderBytes) {
    return packet_kind::kTruncated;
  }
  const std::size_t header_bytes = (segment[12] >> 4) * 4U;
  if (header_bytes < kTcpHeaderBytes) {
    return packet_kind::kMalformed;
  }
  if (segment.size() < header_bytes) {
    return packet_kind::kTruncated;
  }
  const std::uint8_t flags = segment[13];
  info.syn = (flags & (kSyn | kAck)) == kSyn;
  info.fin = (flags & kFin) != 0;
  info.reset = (flags & kRst) != 0;
  // No target opens a connection for a SYN with FIN or RST.
  if (info.syn && (info.fin || info.reset)) {
    return packet_kind::kMalformed;
  }
  return packet_kind::kFlow;
}

packet_kind ParseTransport(const ip_header& header, packet_info& info) {
  packet_kind kind = packet_kind::kFlow;
  if (header.protocol == kProtocolTcp) {
    info.flow.protocol = transport_protocol::kTcp;
    kind = ParseTcp(header.payload, info);
  } else {
    info.flow.protocol = transport_protocol::kUdp;
    if (header.payload.size() < kUdpHeaderBytes) {
      kind = packet_kind::kTruncated;
    }
  }
  if (kind != packet_kind::kFlow) {
    return kind;
  }
  info.flow.caller = {header.source, Load16(header.payload, 0)};
  info.flow.service = {header.destination, Load16(header.payload, 2)};
  return packet_kind::kFlow;
}

bool IsIcmpError(const ip_header& header) {
  const std::uint8_t type = header.payload[0];
  if (header.v6) {
    return type >= 1 && type <= 4;
  }
  return type == 3 || type == 11 || type == 12;
}

// Parses the packet quoted in an ICMP error. The service sent it to the caller,
// so its source is the service.
packet_kind ParseIcmp(const ip_header& header, packet_info& info) {
  if (header.payload.size() < kIcmpHeaderBytes) {
    return packet_kind::kTruncated;
  }
  if (!IsIcmpError(header)) {
    return packet_kind::kUnsupported;
  }
  const ip_header quoted =
      ParseIpHeader(header.payload.subspan(kIcmpHeaderBytes), true);
  if (quoted.kind != packet_kind::kFlow) {
    return quoted.kind;
  }
  const bool tcp = quoted.protocol == kProtocolTcp;
  if (!tcp && quoted.protocol != kProtocolUdp) {
    return packet_kind::kUnsupported;
  }
  if (quoted.payload.size() < kPortBytes) {
    return packet_kind::kTruncated;
  }
  info.flow.protocol =
      tcp ? transport_protocol::kTcp : transport_protocol::kUdp;
  info.flow.service = {quoted.source, Load16(quoted.payload, 0)};
  info.flow.caller = {quoted.destination, Load16(quoted.payload, 2)};
  return packet_kind::kIcmpError;
}

// Adds the 16-bit words of `bytes` to a checksum.
std::uint32_t AddWords(std::uint32_t sum, bytes_view bytes) {
  for (std::size_t i = 0; i + 1 < bytes.size(); i += 2) {
    sum += Load16(bytes, i);
  }
  if (bytes.size() % 2 != 0) {
    sum += static_cast<std::uint32_t>(bytes.back()) << 8;
  }
  return sum;
}

std::uint16_t Checksum(std::uint32_t sum) {
  while (sum >> 16 != 0) {
    sum = (sum & 0xffff) + (sum >> 16);
  }
  return static_cast<std::uint16_t>(~sum);
}

void WriteV4(const ip_header& answered, std::span<std::uint8_t> out) {
  out[0] = 0x45;
  Store16(out, 2, kIpv4HeaderBytes + kTcpHeaderBytes);
  out[6] = 0x40;  // don't fragment
  out[8] = 64;
  out[9] = kProtocolTcp;
  std::copy_n(&answered.destination.bytes[12], 4, &out[12]);
  std::copy_n(&answered.source.bytes[12], 4, &out[16]);
  Store16(out, 10, Checksum(AddWords(0, out.first(kIpv4HeaderBytes))));
}

void WriteV6(const ip_header& answered, std::span<std::uint8_t> out) {
  out[0] = 0x60;
  Store16(out, 4, kTcpHeaderBytes);
  out[6] = kProtocolTcp;
  out[7] = 64;
  std::copy_n(answered.destination.bytes.data(), 16, &out[8]);
  std::copy_n(answered.source.bytes.data(), 16, &out[24]);
}

void WriteTcpReset(const ip_header& answered, std::span<std::uint8_t> segment) {
  const bytes_view request = answered.payload;
  const std::uint8_t flags = request[13];
  Store16(segment, 0, Load16(request, 2));
  Store16(segment, 2, Load16(request, 0));
  segment[12] = 0x50;
  if ((flags & kAck) != 0) {
    Store32(segment, 4, Load32(request, 8));
    segment[13] = kRst;
  } else {
    const std::size_t data = request.size() - (request[12] >> 4) * 4U;
    const std::uint32_t control =
        ((flags & kSyn) != 0 ? 1U : 0U) + ((flags & kFin) != 0 ? 1U : 0U);
    Store32(segment, 8,
            Load32(request, 4) + static_cast<std::uint32_t>(data) + control);
    segment[13] = kRst | kAck;
  }
}

}  // namespace

const char* PacketKindName(packet_kind kind) {
  switch (kind) {
    case packet_kind::kFlow:
      return "flow";
    case packet_kind::kIcmpError:
      return "icmp_error";
    case packet_kind::kFragment:
      return "fragment";
    case packet_kind::kUnsupported:
      return "unsupported";
    case packet_kind::kTruncated:
      return "truncated";
    case packet_kind::kMalformed:
      return "malformed";
  }
  return "unknown";
}

std::uint64_t FlowHash(const flow_key& flow) {
  std::array<char, 37> bytes;
  std::memcpy(bytes.data(), flow.caller.address.bytes.data(), 16);
  std::memcpy(&bytes[16], flow.service.address.bytes.data(), 16);
  std::memcpy(&bytes[32], &flow.caller.port, 2);
  std::memcpy(&bytes[34], &flow.service.port, 2);
  bytes[36] = static_cast<char>(flow.protocol);
  return HashBytes({bytes.data(), bytes.size()});
}

packet_info ParsePacket(std::span<const std::uint8_t> packet) {
  packet_info info;
  const ip_header header = ParseIpHeader(packet, false);
  info.kind = header.kind;
  if (header.kind != packet_kind::kFlow) {
    return info;
  }
  const std::uint8_t icmp = header.v6 ? kProtocolIcmpV6 : kProtocolIcmp;
  if (header.protocol == kProtocolTcp || header.protocol == kProtocolUdp) {
    info.kind = ParseTransport(header, info);
  } else if (header.protocol == icmp) {
    info.kind = ParseIcmp(header, info);
  } else {
    info.kind = packet_kind::kUnsupported;
  }
  if (info.kind == packet_kind::kFlow || info.kind == packet_kind::kIcmpError) {
    info.flow_hash = FlowHash(info.flow);
  }
  return info;
}

std::size_t BuildReset(std::span<const std::uint8_t> packet,
                       std::span<std::uint8_t> out) {
  if (out.size() < kMaxResetBytes) {
    return 0;
  }
  const ip_header header = ParseIpHeader(packet, false);
  packet_info info;
  if (header.kind != packet_kind::kFlow || header.protocol != kProtocolTcp ||
      ParseTcp(header.payload, info) != packet_kind::kFlow || info.reset) {
    return 0;
  }
  const std::size_t ip_bytes = header.v6 ? kIpv6HeaderBytes : kIpv4HeaderBytes;
  const std::size_t total = ip_bytes + kTcpHeaderBytes;
  std::fill_n(out.begin(), total, std::uint8_t{0});
  if (header.v6) {
    WriteV6(header, out);
  } else {
    WriteV4(header, out);
  }
  const std::span<std::uint8_t> segment =
      out.subspan(ip_bytes, kTcpHeaderBytes);
  WriteTcpReset(header, segment);
  const std::size_t addresses_at = header.v6 ? 8 : 12;
  std::uint32_t sum = kProtocolTcp + kTcpHeaderBytes;
  sum = AddWords(sum, out.subspan(addresses_at, ip_bytes - addresses_at));
  Store16(segment, 16, Checksum(AddWords(sum, segment)));
  return total;
}

}  // namespace rosemaryreach
