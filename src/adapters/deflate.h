// Compression of what instances send each other.
#ifndef ROSEMARYREACH_ADAPTERS_DEFLATE_H_
#define ROSEMARYREACH_ADAPTERS_DEFLATE_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "rosemaryreach/result.h"

namespace rosemaryreach {

// Returns `text` in zlib's format.
std::string Deflate(std::string_view text);

// Returns what Deflate() got; kUnsupported for other bytes, kTooLarge beyond
// `max_bytes`.
result<std::string> Inflate(std::string_view bytes, std::size_t max_bytes);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_DEFLATE_H_
