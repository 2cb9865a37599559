// The nghttp2 side of h2_connection: frames, headers, streams and bodies.
#include <algorithm>
#include <cstring>
#include <utility>

#include "adapters/h2_connection.h"

namespace rosemaryreach {
namespace {

// Overhead per field in the size of a header list (RFC 9113, section 6.5.2).
constexpr std::size_t kFieldOverheadBytes = 32;
constexpr std::size_t kTypicalFieldCount = 16;
constexpr std::size_t kPingBytes = 8;
constexpr std::size_t kMaxSettingsEntries = 32;
constexpr std::size_t kMaxOutboundAcks = 200;
constexpr duration kControlFramePeriod = std::chrono::seconds(1);

std::string_view ToView(const std::uint8_t* bytes, std::size_t size) {
  return {reinterpret_cast<const char*>(bytes), size};
}

// Values that change with every message would only evict others from HPACK's
// dynamic table.
std::uint8_t FlagsOf(const h2_header& header) {
  return header.indexed ? NGHTTP2_NV_FLAG_NONE : NGHTTP2_NV_FLAG_NO_INDEX;
}

std::vector<nghttp2_nv> ToFields(const h2_headers& headers) {
  std::vector<nghttp2_nv> fields;
  fields.reserve(headers.size());
  for (const h2_header& header : headers) {
    // nghttp2 copies the bytes and doesn't modify them; its type lacks const.
    fields.push_back(
        {reinterpret_cast<std::uint8_t*>(const_cast<char*>(header.name.data())),
         reinterpret_cast<std::uint8_t*>(
             const_cast<char*>(header.value.data())),
         header.name.size(), header.value.size(), FlagsOf(header)});
  }
  return fields;
}

bool EndsStream(const nghttp2_frame& frame) {
  return (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
}

bool IsInformational(const h2_headers& headers) {
  return FindHeader(headers, ":status").starts_with('1');
}

h2_connection& Self(void* user) {
  return *static_cast<h2_connection*>(user);
}

}  // namespace

std::string_view FindHeader(const h2_headers& headers, std::string_view name) {
  const auto found = std::find_if(
      headers.begin(), headers.end(),
      [name](const h2_header& header) { return header.name == name; });
  return found == headers.end() ? std::string_view() : found->value;
}

// Callbacks of the nghttp2 session.
struct h2_connection::session_callbacks {
  static int BeginFrame(nghttp2_session* /*session*/,
                        const nghttp2_frame_hd* header,
                        void* user) {
    h2_connection& self = Self(user);
    if (header->type == NGHTTP2_DATA) {
      self.frame_started_.reset();
    } else if (header->type != NGHTTP2_CONTINUATION) {
      self.frame_started_ = self.last_read_;
    }
    return self.CountControlFrame(*header) ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
  }

  static int BeginHeaders(nghttp2_session* /*session*/,
                          const nghttp2_frame* /*frame*/,
                          void* user) {
    h2_connection& self = Self(user);
    self.received_headers_.clear();
    self.received_headers_.reserve(kTypicalFieldCount);
    self.received_header_bytes_ = 0;
    self.received_headers_too_large_ = false;
    return 0;
  }

  static int Header(nghttp2_session* /*session*/,
                    const nghttp2_frame* /*frame*/,
                    const std::uint8_t* name,
                    std::size_t name_size,
                    const std::uint8_t* value,
                    std::size_t value_size,
                    std::uint8_t /*flags*/,
                    void* user) {
    Self(user).OnHeader(ToView(name, name_size), ToView(value, value_size));
    return 0;
  }

  static int Frame(nghttp2_session* /*session*/,
                   const nghttp2_frame* frame,
                   void* user) {
    h2_connection& self = Self(user);
    self.frame_started_.reset();
    self.OnFrame(*frame);
    return 0;
  }

  static int InvalidFrame(nghttp2_session* /*session*/,
                          const nghttp2_frame* /*frame*/,
                          int code,
                          void* user) {
    // Invalid fields are reported before the rest of their frame has arrived.
    if (code != NGHTTP2_ERR_HTTP_HEADER) {
      Self(user).frame_started_.reset();
    }
    return 0;
  }

  static int Data(nghttp2_session* session,
                  std::uint8_t /*flags*/,
                  std::int32_t id,
                  const std::uint8_t* data,
                  std::size_t size,
                  void* user) {
    h2_connection& self = Self(user);
    // The connection's window is reopened at once: only the stream's window
    // limits the peer, so that one stalled stream doesn't block the others.
    nghttp2_session_consume_connection(session, size);
    const auto found = self.streams_.find(id);
    if (found != self.streams_.end() && found->second.handler != nullptr) {
      found->second.handler->OnData(std::span(data, size));
    }
    return 0;
  }

  static int StreamClose(nghttp2_session* /*session*/,
                         std::int32_t id,
                         std::uint32_t code,
                         void* user) {
    Self(user).OnStreamClosed(id, code);
    return 0;
  }

  static int FrameSent(nghttp2_session* /*session*/,
                       const nghttp2_frame* frame,
                       void* user) {
    Self(user).OnFrameSent(*frame);
    return 0;
  }

  static int FrameNotSent(nghttp2_session* /*session*/,
                          const nghttp2_frame* frame,
                          int /*code*/,
                          void* user) {
    Self(user).OnFrameNotSent(*frame);
    return 0;
  }

  static ssize_t Read(nghttp2_session* /*session*/,
                      std::int32_t id,
                      std::uint8_t* into,
                      std::size_t size,
                      std::uint32_t* flags,
                      nghttp2_data_source* /*source*/,
                      void* user) {
    return Self(user).ReadBody(id, std::span(into, size), *flags);
  }

  static nghttp2_session_callbacks* Shared() {
    static nghttp2_session_callbacks* const kCallbacks = Make();
    return kCallbacks;
  }

  static nghttp2_session_callbacks* Make() {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_frame_callback(callbacks,
                                                          BeginFrame);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                            BeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, Header);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, Frame);
    nghttp2_session_callbacks_set_on_invalid_frame_recv_callback(callbacks,
                                                                 InvalidFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Data);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                           StreamClose);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, FrameSent);
    nghttp2_session_callbacks_set_on_frame_not_send_callback(callbacks,
                                                             FrameNotSent);
    return callbacks;
  }
};

void h2_connection::StartSession() {
  nghttp2_option* options = nullptr;
  nghttp2_option_new(&options);
  nghttp2_option_set_no_auto_window_update(options, 1);
  nghttp2_option_set_no_closed_streams(options, 1);
  nghttp2_option_set_max_settings(options, kMaxSettingsEntries);
  nghttp2_option_set_max_outbound_ack(options, kMaxOutboundAcks);
  nghttp2_option_set_max_send_header_block_length(
      options, std::size_t{4} * limits_.max_header_list_bytes);
  nghttp2_option_set_stream_reset_rate_limit(options, limits_.reset_burst,
                                             limits_.resets_per_s);
  const nghttp2_session_callbacks* callbacks = session_callbacks::Shared();
  if (role_ == h2_role::kServer) {
    nghttp2_session_server_new2(&session_, callbacks, this, options);
  } else {
    nghttp2_session_client_new2(&session_, callbacks, this, options);
  }
  nghttp2_option_del(options);
  SubmitInitialSettings();
  RequestFlush();
}

void h2_connection::SubmitInitialSettings() {
  std::vector<nghttp2_settings_entry> entries = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits_.max_streams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, limits_.stream_window_bytes},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, limits_.max_header_list_bytes}};
  if (role_ == h2_role::kClient) {
    entries.push_back({NGHTTP2_SETTINGS_ENABLE_PUSH, 0});
  }
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, entries.data(),
                          entries.size());
  nghttp2_session_set_local_window_size(
      session_, NGHTTP2_FLAG_NONE, 0,
      static_cast<std::int32_t>(limits_.connection_window_bytes));
}

void h2_connection::ProcessInput(std::span<const std::uint8_t> bytes) {
  in_callback_ = true;
  const ssize_t consumed =
      nghttp2_session_mem_recv(session_, bytes.data(), bytes.size());
  in_callback_ = false;
  if (consumed < 0) {
    // Sends GOAWAY with the error code, if still possible, before closing.
    nghttp2_session_terminate_session(
        session_, control_frames_ > limits_.max_control_frames_per_s
                      ? NGHTTP2_ENHANCE_YOUR_CALM
                      : NGHTTP2_PROTOCOL_ERROR);
    FillOutput();
    SendOutput();
    Close("invalid input");
  } else if (!abort_reason_.empty()) {
    Close(abort_reason_);
  }
}

bool h2_connection::CountControlFrame(const nghttp2_frame_hd& header) {
  const bool is_ack =
      (header.type == NGHTTP2_PING || header.type == NGHTTP2_SETTINGS) &&
      (header.flags & NGHTTP2_FLAG_ACK) != 0;
  const bool empty_data = header.type == NGHTTP2_DATA && header.length == 0 &&
                          (header.flags & NGHTTP2_FLAG_END_STREAM) == 0;
  const bool counted = empty_data || header.type == NGHTTP2_PRIORITY ||
                       header.type == NGHTTP2_PING ||
                       header.type == NGHTTP2_SETTINGS;
  if (!counted || is_ack) {
    return true;
  }
  const time_point now = last_read_;
  if (now - control_period_start_ >= kControlFramePeriod) {
    control_period_start_ = now;
    control_frames_ = 0;
  }
  return ++control_frames_ <= limits_.max_control_frames_per_s;
}

void h2_connection::OnHeader(std::string_view name, std::string_view value) {
  received_header_bytes_ += name.size() + value.size() + kFieldOverheadBytes;
  if (received_header_bytes_ > limits_.max_header_list_bytes) {
    received_headers_too_large_ = true;
    return;
  }
  received_headers_.push_back({std::string(name), std::string(value)});
}

void h2_connection::OnFrame(const nghttp2_frame& frame) {
  switch (frame.hd.type) {
    case NGHTTP2_HEADERS:
      OnHeadersFrame(frame);
      break;
    case NGHTTP2_DATA:
      if (EndsStream(frame)) {
        EndStream(frame.hd.stream_id, {});
      }
      break;
    case NGHTTP2_SETTINGS:
      settings_received_ = true;
      break;
    case NGHTTP2_PING:
      if ((frame.hd.flags & NGHTTP2_FLAG_ACK) != 0) {
        std::uint64_t sequence = 0;
        std::memcpy(&sequence, frame.ping.opaque_data, kPingBytes);
        OnPingAck(sequence);
      }
      break;
    case NGHTTP2_GOAWAY:
      if (!draining_) {
        draining_ = true;
        drain_finished_ = true;
        hooks_.on_draining(*this, "goaway");
      }
      break;
    default:
      break;
  }
}

void h2_connection::OnHeadersFrame(const nghttp2_frame& frame) {
  const std::int32_t id = frame.hd.stream_id;
  h2_headers headers = std::move(received_headers_);
  received_headers_.clear();
  if (frame.headers.cat == NGHTTP2_HCAT_REQUEST) {
    streams_.try_emplace(id);
    hooks_.on_request(*this, {id, std::move(headers), EndsStream(frame),
                              received_headers_too_large_});
    if (EndsStream(frame)) {
      EndStream(id, {});
    }
    return;
  }
  const auto found = streams_.find(id);
  if (found == streams_.end() || found->second.handler == nullptr) {
    return;
  }
  if (received_headers_too_large_) {
    Reset(id, NGHTTP2_INTERNAL_ERROR);
    return;
  }
  if (FindHeader(headers, ":status").empty()) {
    EndStream(id, std::move(headers));
    return;
  }
  if (!IsInformational(headers)) {
    found->second.handler->OnHeaders(std::move(headers), EndsStream(frame));
  }
  if (EndsStream(frame)) {
    EndStream(id, {});
  }
}

void h2_connection::EndStream(std::int32_t id, h2_headers trailers) {
  const auto found = streams_.find(id);
  if (found != streams_.end() && found->second.handler != nullptr) {
    found->second.handler->OnEnd(std::move(trailers));
  }
}

void h2_connection::OnStreamClosed(std::int32_t id, std::uint32_t code) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) {
    return;
  }
  const open_stream stream = found->second;
  streams_.erase(found);
  if (streams_.empty()) {
    idle_since_ = loop_.now();
  }
  if (stream.handler != nullptr) {
    stream.handler->OnClosed({code, false, stream.sent});
  }
}

void h2_connection::OnFrameSent(const nghttp2_frame& frame) {
  const std::int32_t id = frame.hd.stream_id;
  const bool ends =
      (frame.hd.type == NGHTTP2_HEADERS || frame.hd.type == NGHTTP2_DATA) &&
      EndsStream(frame);
  if (role_ == h2_role::kServer && ends &&
      nghttp2_session_get_stream_remote_close(session_, id) == 0) {
    // The response is complete; the rest of the request is not needed.
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id,
                              NGHTTP2_NO_ERROR);
  }
  if (frame.hd.type == NGHTTP2_HEADERS) {
    const auto found = streams_.find(id);
    if (found != streams_.end()) {
      found->second.sent = true;
    }
  } else if (frame.hd.type == NGHTTP2_RST_STREAM) {
    for (cancelled_stream& cancelled : cancelled_) {
      if (cancelled.id == id && cancelled.ping == 0) {
        cancelled.ping = pings_sent_ + 1;
        cancel_ping_pending_ = true;
      }
    }
  }
}

void h2_connection::OnFrameNotSent(const nghttp2_frame& frame) {
  // The request headers were not sent; nghttp2 doesn't call
  // on_stream_close_callback for such a stream.
  if (frame.hd.type == NGHTTP2_HEADERS && role_ == h2_role::kClient) {
    OnStreamClosed(frame.hd.stream_id, NGHTTP2_REFUSED_STREAM);
  }
}

bool h2_connection::SubmitCancelPing() {
  if (!cancel_ping_pending_) {
    return false;
  }
  cancel_ping_pending_ = false;
  SubmitPing(loop_.now());
  return true;
}

void h2_connection::SubmitPing(time_point now) {
  if (pings_acked_ == pings_sent_) {
    ping_sent_at_ = now;
  }
  ++pings_sent_;
  std::uint8_t opaque[kPingBytes];
  std::memcpy(opaque, &pings_sent_, kPingBytes);
  nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, opaque);
}

void h2_connection::OnPingAck(std::uint64_t sequence) {
  if (sequence <= pings_acked_ || sequence > pings_sent_) {
    return;
  }
  pings_acked_ = sequence;
  ping_sent_at_ = loop_.now();
  std::vector<std::function<void()>> confirmed;
  std::erase_if(cancelled_, [&](cancelled_stream& cancelled) {
    if (cancelled.ping == 0 || cancelled.ping > sequence) {
      return false;
    }
    confirmed.push_back(std::move(cancelled.on_confirmed));
    return true;
  });
  for (const std::function<void()>& on_confirmed : confirmed) {
    on_confirmed();
  }
}

void h2_connection::SetStreamHandler(std::int32_t id,
                                     h2_stream_handler* handler) {
  streams_[id].handler = handler;
}

std::optional<std::int32_t> h2_connection::SubmitRequest(
    const h2_headers& headers,
    bool has_body,
    h2_stream_handler* handler) {
  if (!CanOpenStream()) {
    return std::nullopt;
  }
  const std::vector<nghttp2_nv> fields = ToFields(headers);
  nghttp2_data_provider body{};
  body.read_callback = session_callbacks::Read;
  const std::int32_t id =
      nghttp2_submit_request(session_, nullptr, fields.data(), fields.size(),
                             has_body ? &body : nullptr, nullptr);
  if (id < 0) {
    return std::nullopt;
  }
  streams_[id] = {handler, false};
  RequestFlush();
  return id;
}

void h2_connection::SubmitResponse(std::int32_t id,
                                   const h2_headers& headers,
                                   bool has_body) {
  const std::vector<nghttp2_nv> fields = ToFields(headers);
  nghttp2_data_provider body{};
  body.read_callback = session_callbacks::Read;
  nghttp2_submit_response(session_, id, fields.data(), fields.size(),
                          has_body ? &body : nullptr);
  RequestFlush();
}

ssize_t h2_connection::ReadBody(std::int32_t id,
                                std::span<std::uint8_t> into,
                                std::uint32_t& flags) {
  const auto found = streams_.find(id);
  if (found == streams_.end() || found->second.handler == nullptr) {
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  const h2_body_read read = found->second.handler->ReadBody(into);
  if (read.end) {
    flags |= NGHTTP2_DATA_FLAG_EOF;
    if (!read.trailers.empty()) {
      flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
      const std::vector<nghttp2_nv> fields = ToFields(read.trailers);
      nghttp2_submit_trailer(session_, id, fields.data(), fields.size());
    }
  } else if (read.bytes == 0) {
    return NGHTTP2_ERR_DEFERRED;
  }
  return static_cast<ssize_t>(read.bytes);
}

void h2_connection::ResumeBody(std::int32_t id) {
  if (nghttp2_session_resume_data(session_, id) == 0) {
    RequestFlush();
  }
}

void h2_connection::Consume(std::int32_t id, std::size_t bytes) {
  if (bytes > 0 && state_ != state::kClosed) {
    nghttp2_session_consume_stream(session_, id, bytes);
    RequestFlush();
  }
}

void h2_connection::Reset(std::int32_t id, std::uint32_t code) {
  if (state_ != state::kClosed) {
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, code);
    RequestFlush();
  }
}

void h2_connection::Cancel(std::int32_t id,
                           std::function<void()> on_confirmed) {
  const auto found = streams_.find(id);
  if (found == streams_.end() || state_ == state::kClosed) {
    return;
  }
  found->second.handler = nullptr;
  const bool sent = found->second.sent;
  Reset(id, NGHTTP2_CANCEL);
  if (sent) {
    cancelled_.push_back({id, 0, std::move(on_confirmed)});
  } else {
    on_confirmed();  // nghttp2 discards headers that are still queued.
  }
}

bool h2_connection::CanOpenStream() const {
  if (state_ == state::kClosed || draining_ || !abort_reason_.empty()) {
    return false;
  }
  const std::uint32_t allowed = nghttp2_session_get_remote_settings(
      session_, NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS);
  return streams_.size() < allowed &&
         nghttp2_session_check_request_allowed(session_) != 0;
}

}  // namespace rosemaryreach
