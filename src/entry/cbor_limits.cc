#include "entry/cbor_limits.h"

#include <cstdint>
#include <vector>

namespace rosemaryreach {
namespace {

// Major types of CBOR, in the upper three bits of a value's first octet.
constexpr int kByteString = 2;
constexpr int kTextString = 3;
constexpr int kArray = 4;
constexpr int kMap = 5;
constexpr int kTag = 6;

constexpr int kMajorTypeShift = 5;
constexpr std::uint8_t kArgumentBits = 0x1f;
// Arguments up to 23 are in the first octet; 24 to 27 announce 1, 2, 4 or 8
// octets.
constexpr std::uint8_t kFirstLongArgument = 24;
constexpr std::uint8_t kLastLongArgument = 27;
constexpr int kByteBits = 8;

struct cbor_head {
  int major_type = 0;
  std::uint64_t argument = 0;
  bool valid = false;
};

// Reads the head of a value at `at` and advances past it.
cbor_head ReadHead(std::string_view bytes, std::size_t& at) {
  const std::uint8_t first = static_cast<std::uint8_t>(bytes[at++]);
  cbor_head head{first >> kMajorTypeShift,
                 static_cast<std::uint64_t>(first & kArgumentBits), true};
  if (head.argument > kLastLongArgument) {
    head.valid = false;
  } else if (head.argument >= kFirstLongArgument) {
    const std::size_t size = std::size_t{1}
                             << (head.argument - kFirstLongArgument);
    head.valid = bytes.size() - at >= size;
    head.argument = 0;
    for (std::size_t i = 0; head.valid && i < size; ++i) {
      head.argument =
          head.argument << kByteBits | static_cast<std::uint8_t>(bytes[at++]);
    }
  }
  return head;
}

}  // namespace

bool HasBoundedNesting(std::string_view bytes) {
  // Values left in each array and map around the present value.
  std::vector<std::uint64_t> left;
  std::size_t at = 0;
  while (at < bytes.size()) {
    const cbor_head head = ReadHead(bytes, at);
    if (!head.valid || head.major_type == kTag) {
      return false;
    }
    if (!left.empty()) {
      --left.back();
    }
    if (head.major_type == kByteString || head.major_type == kTextString) {
      if (head.argument > bytes.size() - at) {
        return false;
      }
      at += head.argument;
    } else if (head.major_type == kArray || head.major_type == kMap) {
      if (head.argument > bytes.size() || left.size() == kMaxCborDepth) {
        return false;
      }
      left.push_back(head.major_type == kMap ? 2 * head.argument
                                             : head.argument);
    }
    while (!left.empty() && left.back() == 0) {
      left.pop_back();
    }
  }
  return true;
}

}  // namespace rosemaryreach
