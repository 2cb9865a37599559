// The header in front of a packet that one instance hands to another.
#ifndef ROSEMARYREACH_DETOUR_FRAME_H_
#define ROSEMARYREACH_DETOUR_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

// What the sender of a detoured packet says about it and about itself.
struct detour_info {
  std::uint8_t hops = 0;  // instances passed, the sender included
  // The sender has yet to learn which buckets are in transition.
  bool synchronizing = false;
  instance_id sender;
  std::uint64_t configuration_number = 0;
  std::uint64_t view_digest = 0;
  // The target that the bucket's owner chose for this new flow; 0 if none.
  // The receiver records it and forwards the packet to it.
  std::uint64_t pinned_target = 0;

  bool operator==(const detour_info&) const = default;
};

// Instances that a packet passes after the first at most.
inline constexpr std::uint8_t kMaxDetourHops = 2;

// Octets of an encoded header.
inline constexpr std::size_t kDetourHeaderBytes = 36;

// Writes the header to the first kDetourHeaderBytes octets of `out`. Returns
// false if `out` is shorter.
bool EncodeDetour(const detour_info& info, std::span<std::uint8_t> out);

// Reads the header of `frame`; the packet follows it. Returns nullopt if the
// frame is too short, of another version, or has passed too many instances.
std::optional<detour_info> DecodeDetour(std::span<const std::uint8_t> frame);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_DETOUR_FRAME_H_
