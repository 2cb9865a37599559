#include "adapters/deflate.h"

#include <zlib.h>

namespace rosemaryreach {
namespace {

constexpr std::size_t kChunkBytes = 65'536;

const Bytef* AsInput(std::string_view text) {
  return reinterpret_cast<const Bytef*>(text.data());
}

}  // namespace

std::string Deflate(std::string_view text) {
  uLongf size = compressBound(text.size());
  std::string bytes(size, '\0');
  // The buffer has compressBound() bytes, so compress2() can only fail for lack
  // of memory, which ends the process.
  compress2(reinterpret_cast<Bytef*>(bytes.data()), &size, AsInput(text),
            text.size(), Z_BEST_SPEED);
  bytes.resize(size);
  return bytes;
}

result<std::string> Inflate(std::string_view bytes, std::size_t max_bytes) {
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return Fail(errc::kLimit, "cannot initialize zlib inflate");
  }
  // zlib does not write through next_in.
  stream.next_in = const_cast<Bytef*>(AsInput(bytes));
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string text;
  int status = Z_OK;
  while (status == Z_OK && text.size() <= max_bytes) {
    const std::size_t inflated = text.size();
    text.resize(inflated + kChunkBytes);
    stream.next_out = reinterpret_cast<Bytef*>(text.data() + inflated);
    stream.avail_out = kChunkBytes;
    status = inflate(&stream, Z_NO_FLUSH);
    text.resize(inflated + kChunkBytes - stream.avail_out);
  }
  inflateEnd(&stream);
  if (text.size() > max_bytes) {
    return Fail(errc::kTooLarge, "inflated data exceeds " +
                                     std::to_string(max_bytes) + " bytes");
  }
  if (status != Z_STREAM_END) {
    return Fail(errc::kUnsupported, "invalid or truncated zlib data");
  }
  return text;
}

}  // namespace rosemaryreach
