// One HTTP/2 connection over a TCP socket, as server or client: nghttp2's
// session, its socket, and the limits that it is held to.
#ifndef ROSEMARYREACH_ADAPTERS_H2_CONNECTION_H_
#define ROSEMARYREACH_ADAPTERS_H2_CONNECTION_H_

#include <absl/container/flat_hash_map.h>
#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/event_loop.h"
#include "adapters/h2_types.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

class h2_connection;

// A request whose headers have arrived.
struct h2_request {
  std::int32_t stream = 0;
  h2_headers headers;
  // The request has no body.
  bool end_stream = false;
  // Fields were left out: the list exceeds max_header_list_bytes.
  bool too_large = false;
};

struct h2_hooks {
  // A request's headers arrived; the receiver calls Attach() or Reset(). Left
  // empty by clients.
  std::function<void(h2_connection& connection, const h2_request& request)>
      on_request;
  // The connection takes no new streams; those that it has go on.
  std::function<void(h2_connection& connection, std::string_view reason)>
      on_draining;
  // The connection is gone and its streams have ended. It must not be
  // destroyed before the call returns.
  std::function<void(h2_connection& connection, std::string_view reason)>
      on_closed;
};

class h2_connection {
 public:
  // Serves the accepted, non-blocking socket `descriptor`, which it owns.
  h2_connection(event_loop& loop,
                int descriptor,
                const h2_limits& limits,
                h2_hooks hooks);

  // Opens a connection to `remote`. A failure shows as on_closed.
  h2_connection(event_loop& loop,
                const endpoint& remote,
                const h2_limits& limits,
                h2_hooks hooks);

  // Streams still open get no event; see Abort().
  ~h2_connection();
  h2_connection(const h2_connection&) = delete;
  h2_connection& operator=(const h2_connection&) = delete;

  // Gives the events of a request to `stream`, which must outlive its
  // OnClosed().
  void SetStreamHandler(std::int32_t id, h2_stream_handler* handler);

  // Starts a request; returns its stream, or nothing if the connection takes
  // none. With `has_body`, the body is read from `stream`.
  std::optional<std::int32_t> SubmitRequest(const h2_headers& headers,
                                            bool has_body,
                                            h2_stream_handler* handler);

  // Answers a request; the body is read from its h2_stream_handler if
  // `has_body`.
  void SubmitResponse(std::int32_t id,
                      const h2_headers& headers,
                      bool has_body);

  // Asks the stream for its body again after an empty read.
  void ResumeBody(std::int32_t id);

  // Lets the peer send `bytes` more on the stream.
  void Consume(std::int32_t id, std::size_t bytes);

  void Reset(std::int32_t id, std::uint32_t code);

  // Resets a request with CANCEL; runs `proved` once the peer has answered a
  // PING sent after it. The stream gets no event any more.
  void Cancel(std::int32_t id, std::function<void()> on_confirmed);

  // Stops new streams: announces it, then names the last stream processed. The
  // connection closes after its last stream.
  void Drain();

  // Ends all streams and the connection now.
  void Abort(std::string_view reason);

  // Checks the timeouts; to be called at least every 250 ms.
  void Tick(time_point now);

  // Returns whether SubmitRequest() would take a request now.
  bool CanOpenStream() const;

  // Returns whether a PING has gone unanswered for long: new streams had better
  // go elsewhere.
  bool PingOverdue(time_point now) const;

  std::size_t streams() const { return streams_.size(); }
  bool closed() const { return state_ == state::kClosed; }
  bool draining() const { return draining_; }
  const endpoint& remote() const { return remote_; }
  const endpoint& local() const { return local_; }
  // Bytes waiting for the socket.
  std::size_t output_bytes() const { return output_.size() - output_sent_; }

 private:
  enum class state : std::uint8_t { kConnecting, kOpen, kClosed };

  struct open_stream {
    h2_stream_handler* handler = nullptr;
    bool sent = false;
  };

  struct cancelled_stream {
    std::int32_t id;
    std::uint64_t ping = 0;  // zero until the reset has left
    std::function<void()> on_confirmed;
  };

  struct session_callbacks;

  void SetUpSocket();
  void OnReadable();
  void OnWritable();
  bool FinishConnect();
  void RequestFlush();
  void Flush();
  bool FillOutput();
  bool SendOutput();
  void FinishDrain(time_point now);
  bool CheckKeepalive(time_point now);
  void Close(std::string_view reason);

  void StartSession();
  void SubmitInitialSettings();
  void ProcessInput(std::span<const std::uint8_t> bytes);
  bool CountControlFrame(const nghttp2_frame_hd& header);
  void OnHeader(std::string_view name, std::string_view value);
  void OnFrame(const nghttp2_frame& frame);
  void OnHeadersFrame(const nghttp2_frame& frame);
  void EndStream(std::int32_t id, h2_headers trailers);
  void OnStreamClosed(std::int32_t id, std::uint32_t code);
  void OnFrameSent(const nghttp2_frame& frame);
  void OnFrameNotSent(const nghttp2_frame& frame);
  bool SubmitCancelPing();
  void SubmitPing(time_point now);
  void OnPingAck(std::uint64_t sequence);
  ssize_t ReadBody(std::int32_t id,
                   std::span<std::uint8_t> into,
                   std::uint32_t& flags);

  event_loop& loop_;
  h2_role role_;
  h2_limits limits_;
  h2_hooks hooks_;
  state state_ = state::kOpen;
  int descriptor_ = -1;
  endpoint remote_;
  endpoint local_;
  nghttp2_session* session_ = nullptr;
  std::unique_ptr<descriptor_watch> read_watch_;
  std::unique_ptr<descriptor_watch> write_watch_;
  absl::flat_hash_map<std::int32_t, open_stream> streams_;
  std::vector<cancelled_stream> cancelled_;
  bool cancel_ping_pending_ = false;

  std::vector<std::uint8_t> output_;
  std::size_t output_sent_ = 0;
  bool in_callback_ = false;
  std::string abort_reason_;

  h2_headers received_headers_;
  std::size_t received_header_bytes_ = 0;
  bool received_headers_too_large_ = false;

  bool draining_ = false;
  bool drain_finished_ = false;
  time_point drain_started_;
  time_point opened_at_;
  time_point last_read_;
  time_point last_tick_;
  time_point idle_since_;
  std::optional<time_point> frame_started_;
  bool settings_received_ = false;
  std::uint64_t pings_sent_ = 0;
  std::uint64_t pings_acked_ = 0;
  time_point ping_sent_at_;
  std::uint32_t control_frames_ = 0;
  time_point control_period_start_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_H2_CONNECTION_H_
