// Checks of CBOR before it is decoded: the JSON library decodes nested values
// by recursion, so that a short message could exhaust the stack.
#ifndef ROSEMARYREACH_ENTRY_CBOR_LIMITS_H_
#define ROSEMARYREACH_ENTRY_CBOR_LIMITS_H_

#include <concepts>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string_view>

namespace rosemaryreach {

// Nesting of arrays and maps in messages between instances; the present ones
// have 4 levels.
inline constexpr std::size_t kMaxCborDepth = 16;

// Returns whether `bytes` hold no value nested deeper than kMaxCborDepth and
// none of indefinite length, which EncodeView() and EncodeBeacon() never write.
// Other errors are left to the decoder.
bool HasBoundedNesting(std::string_view bytes);

// Returns `value` as `Number`. Throws unless it is an integer in the range of
// that type; the library would convert others silently.
template <std::unsigned_integral Number>
Number UnsignedFromJson(const nlohmann::json& value) {
  if (!value.is_number_unsigned() ||
      value.get<std::uint64_t>() > std::numeric_limits<Number>::max()) {
    throw std::invalid_argument("expected an unsigned integer in range");
  }
  return value.get<Number>();
}

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ENTRY_CBOR_LIMITS_H_
