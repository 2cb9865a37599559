// Types shared by the HTTP/2 adapter: headers, limits and stream events.
#ifndef ROSEMARYREACH_ADAPTERS_H2_TYPES_H_
#define ROSEMARYREACH_ADAPTERS_H2_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

// One header field; names are lower case.
struct h2_header {
  std::string name;
  std::string value;
  // Whether HPACK may add the field to its dynamic table.
  bool indexed = true;

  bool operator==(const h2_header&) const = default;
};

using h2_headers = std::vector<h2_header>;

// Returns the value of the first field called `name`, or an empty view.
std::string_view FindHeader(const h2_headers& headers, std::string_view name);

enum class h2_role : std::uint8_t { kServer, kClient };

// Limits and timeouts of one connection.
struct h2_limits {
  std::uint32_t max_streams = 256;
  std::uint32_t max_header_list_bytes = 16 * 1'024;
  // Also bounds the bytes buffered for one stream.
  std::uint32_t stream_window_bytes = 64 * 1'024;
  std::uint32_t connection_window_bytes = 16 * 1'024 * 1'024;
  // PING, SETTINGS, PRIORITY and empty DATA frames accepted per second.
  std::uint32_t max_control_frames_per_s = 200;
  // Burst and refill rate of the limit on streams that the peer resets.
  std::uint32_t reset_burst = 500;
  std::uint32_t resets_per_s = 100;
  // For the TCP connect, the preface, and each frame except DATA.
  duration connect_timeout = std::chrono::seconds(1);
  duration preface_timeout = std::chrono::seconds(5);
  duration frame_timeout = std::chrono::seconds(5);
  // A connection without streams is closed after this time; zero disables it.
  duration idle_timeout = std::chrono::minutes(5);
  // A PING is sent after `ping_interval` without input; the connection is
  // closed if it is not acknowledged within `ping_timeout`.
  duration ping_interval = std::chrono::seconds(10);
  duration ping_timeout = std::chrono::seconds(5);
};

// How a stream ended.
struct h2_close {
  // HTTP/2 error code; NGHTTP2_NO_ERROR for a complete exchange.
  std::uint32_t code = 0;
  // The connection closed while the stream was open.
  bool connection_lost = false;
  // Whether any of the stream's frames may have been sent.
  bool sent = true;
};

// Result of reading a body. Neither bytes nor `end` means that no data is
// available yet.
struct h2_body_read {
  std::size_t bytes = 0;
  bool end = false;
  // Sent after the body; ignored unless `end` is set.
  h2_headers trailers;
};

// Receives the events of one stream and supplies the body that it sends.
class h2_stream_handler {
 public:
  virtual ~h2_stream_handler() = default;

  // Response headers arrived (clients only; informational responses are
  // skipped). With `end_stream`, OnEnd() follows at once.
  virtual void OnHeaders(h2_headers headers, bool end_stream) = 0;
  virtual void OnData(std::span<const std::uint8_t> data) = 0;
  // The peer has ended its side; `trailers` may be empty.
  virtual void OnEnd(h2_headers trailers) = 0;
  // The stream has closed; no further calls follow.
  virtual void OnClosed(const h2_close& close) = 0;
  virtual h2_body_read ReadBody(std::span<std::uint8_t> into) = 0;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_H2_TYPES_H_
