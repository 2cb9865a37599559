// zlib compression of the data that instances exchange.
#ifndef ROSEMARYREACH_ADAPTERS_DEFLATE_H_
#define ROSEMARYREACH_ADAPTERS_DEFLATE_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "rosemaryreach/result.h"

namespace rosemaryreach {

// Returns `text` compressed in zlib format.
std::string Deflate(std::string_view text);

// Decompresses the output of Deflate(). Errors: kUnsupported for invalid or
// truncated data, kTooLarge if the result exceeds `max_bytes`.
result<std::string> Inflate(std::string_view bytes, std::size_t max_bytes);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_DEFLATE_H_
