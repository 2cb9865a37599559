#include "rosemaryreach/detour_frame.h"

#include <cstring>

namespace rosemaryreach {
namespace {

constexpr std::uint8_t kMagic = 0xd7;
constexpr std::uint8_t kVersion = 1;
constexpr std::uint8_t kSynchronizingFlag = 1;
constexpr std::size_t kWordsOffset = 4;

static_assert(kDetourHeaderBytes == kWordsOffset + 4 * sizeof(std::uint64_t));

void StoreWord(std::span<std::uint8_t> out, int index, std::uint64_t word) {
  std::uint8_t* at = &out[kWordsOffset + index * sizeof(word)];
  for (std::size_t i = 0; i < sizeof(word); ++i) {
    at[i] = static_cast<std::uint8_t>(word >> (8 * i));
  }
}

std::uint64_t LoadWord(std::span<const std::uint8_t> frame, int index) {
  const std::uint8_t* at = &frame[kWordsOffset + index * sizeof(std::uint64_t)];
  std::uint64_t word = 0;
  for (std::size_t i = 0; i < sizeof(word); ++i) {
    word |= static_cast<std::uint64_t>(at[i]) << (8 * i);
  }
  return word;
}

}  // namespace

bool EncodeDetour(const detour_info& info, std::span<std::uint8_t> out) {
  if (out.size() < kDetourHeaderBytes) {
    return false;
  }
  out[0] = kMagic;
  out[1] = kVersion;
  out[2] = info.hops;
  out[3] = info.synchronizing ? kSynchronizingFlag : 0;
  StoreWord(out, 0, info.sender.value);
  StoreWord(out, 1, info.configuration_number);
  StoreWord(out, 2, info.view_digest);
  StoreWord(out, 3, info.pinned_target);
  return true;
}

std::optional<detour_info> DecodeDetour(std::span<const std::uint8_t> frame) {
  if (frame.size() < kDetourHeaderBytes || frame[0] != kMagic ||
      frame[1] != kVersion || frame[2] == 0 || frame[2] > kMaxDetourHops) {
    return std::nullopt;
  }
  detour_info info;
  info.hops = frame[2];
  info.synchronizing = (frame[3] & kSynchronizingFlag) != 0;
  info.sender = instance_id{LoadWord(frame, 0)};
  info.configuration_number = LoadWord(frame, 1);
  info.view_digest = LoadWord(frame, 2);
  info.pinned_target = LoadWord(frame, 3);
  return info;
}

}  // namespace rosemaryreach
