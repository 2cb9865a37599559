// One HTTP/2 connection over TCP, as server or client: an nghttp2 session, its
// socket, and the limits enforced on both.
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
  // The header list exceeds max_header_list_bytes and was truncated.
  bool too_large = false;
};

struct h2_hooks {
  // A request's headers arrived; the callee must call SetStreamHandler(),
  // SubmitResponse() or Reset(). Not used by clients.
  std::function<void(h2_connection& connection, const h2_request& request)>
      on_request;
  // The peer sent GOAWAY: no stream can be opened, open streams continue.
  std::function<void(h2_connection& connection, std::string_view reason)>
      on_draining;
  // The connection and its streams are closed. The callee must not destroy the
  // connection before it returns.
  std::function<void(h2_connection& connection, std::string_view reason)>
      on_closed;
};

class h2_connection {
 public:
  // Serves an accepted, non-blocking socket and takes ownership of it.
  h2_connection(event_loop& loop,
                int descriptor,
                const h2_limits& limits,
                h2_hooks hooks);

  // Connects to `remote`; a failure is reported through on_closed.
  h2_connection(event_loop& loop,
                const endpoint& remote,
                const h2_limits& limits,
                h2_hooks hooks);

  // Handlers of open streams are not called; use Abort() for that.
  ~h2_connection();
  h2_connection(const h2_connection&) = delete;
  h2_connection& operator=(const h2_connection&) = delete;

  // Sets the handler of a request's stream; it must live until its OnClosed()
  // returns.
  void SetStreamHandler(std::int32_t id, h2_stream_handler* handler);

  // Starts a request; returns its stream id, or nullopt if no stream can be
  // opened. With `has_body`, the body is read from `handler`.
  std::optional<std::int32_t> SubmitRequest(const h2_headers& headers,
                                            bool has_body,
                                            h2_stream_handler* handler);

  // Sends the response headers; with `has_body`, the body is read from the
  // stream's handler.
  void SubmitResponse(std::int32_t id,
                      const h2_headers& headers,
                      bool has_body);

  // Resumes reading the body from the handler after an empty read.
  void ResumeBody(std::int32_t id);

  // Returns `bytes` of the stream's flow-control window to the peer.
  void Consume(std::int32_t id, std::size_t bytes);

  void Reset(std::int32_t id, std::uint32_t code);

  // Resets a request with CANCEL; its handler gets no further calls. Runs
  // `on_confirmed` once the peer has acknowledged a PING sent after the
  // RST_STREAM, or at once if the request was never sent.
  void Cancel(std::int32_t id, std::function<void()> on_confirmed);

  // Starts a graceful shutdown: a server announces it, then sends GOAWAY with
  // the last stream processed; a client opens no more streams. The connection
  // closes after its last stream.
  void Drain();

  // Closes all streams and the connection; deferred until the running callback
  // of the session has returned.
  void Abort(std::string_view reason);

  // Enforces the timeouts; must be called at least every 250 ms.
  void Tick(time_point now);

  // Returns whether SubmitRequest() can open a stream now.
  bool CanOpenStream() const;

  // Returns whether a PING has been unacknowledged for more than half of
  // ping_timeout; new streams should use another connection.
  bool PingOverdue(time_point now) const;

  std::size_t streams() const { return streams_.size(); }
  bool closed() const { return state_ == state::kClosed; }
  bool draining() const { return draining_; }
  const endpoint& remote() const { return remote_; }
  const endpoint& local() const { return local_; }
  // Bytes queued for the socket.
  std::size_t output_bytes() const { return output_.size() - output_sent_; }

 private:
  enum class state : std::uint8_t { kConnecting, kOpen, kClosed };

  struct open_stream {
    h2_stream_handler* handler = nullptr;
    bool sent = false;
  };

  struct cancelled_stream {
    std::int32_t id;
    std::uint64_t ping = 0;  // zero until the RST_STREAM is sent
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
