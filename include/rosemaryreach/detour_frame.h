// The header of a detoured packet: one that an instance sends to another
// instance to be routed there.
#ifndef ROSEMARYREACH_DETOUR_FRAME_H_
#define ROSEMARYREACH_DETOUR_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

// Fields of the header.
struct detour_info {
  std::uint8_t hops = 0;  // instances passed, the sender included
  // The sender does not know yet which buckets are open.
  bool synchronizing = false;
  instance_id sender;
  std::uint64_t configuration_number = 0;
  std::uint64_t view_digest = 0;
  // The target that the bucket's owner chose for this new flow; 0 if none.
  // The receiver pins the flow to it and forwards the packet to it.
  std::uint64_t pinned_target = 0;

  bool operator==(const detour_info&) const = default;
};

// Maximum number of instances that a packet passes after the first.
inline constexpr std::uint8_t kMaxDetourHops = 2;

// Size of an encoded header.
inline constexpr std::size_t kDetourHeaderBytes = 36;

// Writes the header to the first kDetourHeaderBytes octets of `out`. Returns
// false if `out` is too short.
bool EncodeDetour(const detour_info& info, std::span<std::uint8_t> out);

// Parses the header at the start of `frame`; the packet follows it. Returns
// nullopt if the frame is too short, has another version or too many hops.
std::optional<detour_info> DecodeDetour(std::span<const std::uint8_t> frame);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_DETOUR_FRAME_H_
