// The socket side of h2_connection: connecting, reading, writing, timeouts.
#include "adapters/h2_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "adapters/socket_address.h"

namespace rosemaryreach {
namespace {

constexpr std::size_t kReadBytes = 64 * 1'024;
constexpr std::size_t kOutputBytes = 64 * 1'024;
constexpr int kMaxReadsPerEvent = 4;
// Reading stops while more outbound frames than this are queued.
constexpr std::size_t kMaxQueuedFrames = 1'000;
// Time between the shutdown notice and the GOAWAY with the last stream id.
constexpr duration kShutdownNoticePeriod = std::chrono::milliseconds(500);
// A longer gap between two ticks means that the process was suspended.
constexpr duration kMinPauseGap = std::chrono::seconds(1);

endpoint LocalEndpoint(int descriptor) {
  socket_address address;
  address.size = sizeof(address.storage);
  if (getsockname(descriptor, address.get(), &address.size) != 0) {
    return {};
  }
  return FromSocketAddress(address.storage);
}

endpoint RemoteEndpoint(int descriptor) {
  socket_address address;
  address.size = sizeof(address.storage);
  if (getpeername(descriptor, address.get(), &address.size) != 0) {
    return {};
  }
  return FromSocketAddress(address.storage);
}

void SetOption(int descriptor, int option, int value) {
  setsockopt(descriptor, IPPROTO_TCP, option, &value, sizeof(value));
}

}  // namespace

h2_connection::h2_connection(event_loop& loop,
                             int descriptor,
                             const h2_limits& limits,
                             h2_hooks hooks)
    : loop_(loop),
      role_(h2_role::kServer),
      limits_(limits),
      hooks_(std::move(hooks)),
      descriptor_(descriptor),
      remote_(RemoteEndpoint(descriptor)),
      local_(LocalEndpoint(descriptor)) {
  SetUpSocket();
  StartSession();
}

h2_connection::h2_connection(event_loop& loop,
                             const endpoint& remote,
                             const h2_limits& limits,
                             h2_hooks hooks)
    : loop_(loop),
      role_(h2_role::kClient),
      limits_(limits),
      hooks_(std::move(hooks)),
      state_(state::kConnecting),
      remote_(remote) {
  const socket_address address = ToSocketAddress(remote);
  descriptor_ = socket(address.storage.ss_family,
                       SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor_ < 0 ||
      (connect(descriptor_, address.get(), address.size) != 0 &&
       errno != EINPROGRESS)) {
    abort_reason_ = std::strerror(errno);
  }
  SetUpSocket();
  StartSession();
}

h2_connection::~h2_connection() {
  read_watch_.reset();
  write_watch_.reset();
  if (session_ != nullptr) {
    nghttp2_session_del(session_);
  }
  if (descriptor_ >= 0) {
    close(descriptor_);
  }
}

void h2_connection::SetUpSocket() {
  opened_at_ = loop_.now();
  last_read_ = opened_at_;
  last_tick_ = opened_at_;
  idle_since_ = opened_at_;
  control_period_start_ = opened_at_;
  SetOption(descriptor_, TCP_NODELAY, 1);
  SetOption(descriptor_, TCP_USER_TIMEOUT,
            static_cast<int>((limits_.ping_interval + limits_.ping_timeout) /
                             std::chrono::milliseconds(1)));
  read_watch_ = std::make_unique<descriptor_watch>(
      loop_, descriptor_, io_event::kRead, [this] { OnReadable(); });
  write_watch_ = std::make_unique<descriptor_watch>(
      loop_, descriptor_, io_event::kWrite, [this] { OnWritable(); });
  if (state_ == state::kConnecting) {
    read_watch_->Pause();
  }
  if (!abort_reason_.empty()) {
    write_watch_->Trigger();
  }
}

void h2_connection::OnReadable() {
  static thread_local std::array<std::uint8_t, kReadBytes> buffer;
  for (int i = 0; i < kMaxReadsPerEvent && state_ == state::kOpen; ++i) {
    if (nghttp2_session_get_outbound_queue_size(session_) > kMaxQueuedFrames) {
      read_watch_->Pause();
      break;
    }
    const ssize_t received = recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (received < 0) {
      if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
        Close(std::strerror(errno));
      }
      break;
    }
    if (received == 0) {
      Close("closed by peer");
      return;
    }
    last_read_ = loop_.now();
    ProcessInput(std::span(buffer).first(static_cast<std::size_t>(received)));
    if (static_cast<std::size_t>(received) < buffer.size()) {
      break;
    }
  }
  if (state_ == state::kOpen) {
    Flush();
  }
}

void h2_connection::OnWritable() {
  if (state_ == state::kClosed) {
    return;
  }
  if (!abort_reason_.empty()) {
    Close(abort_reason_);
    return;
  }
  if (state_ == state::kConnecting && !FinishConnect()) {
    return;
  }
  Flush();
}

bool h2_connection::FinishConnect() {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    Close(std::strerror(error));
    return false;
  }
  sockaddr_storage peer;
  size = sizeof(peer);
  if (getpeername(descriptor_, reinterpret_cast<sockaddr*>(&peer), &size) !=
      0) {
    return false;  // Triggered before the connect completed.
  }
  state_ = state::kOpen;
  local_ = LocalEndpoint(descriptor_);
  opened_at_ = loop_.now();
  last_read_ = opened_at_;
  read_watch_->Resume();
  return true;
}

void h2_connection::RequestFlush() {
  if (state_ == state::kOpen) {
    write_watch_->Trigger();
  }
}

void h2_connection::Flush() {
  while (state_ == state::kOpen) {
    if (!FillOutput()) {
      Close("protocol error");
      return;
    }
    if (output_.empty()) {
      break;
    }
    if (!SendOutput()) {
      return;
    }
  }
  if (state_ != state::kOpen) {
    return;
  }
  write_watch_->Pause();
  read_watch_->Resume();
  const bool session_ended = nghttp2_session_want_read(session_) == 0 &&
                             nghttp2_session_want_write(session_) == 0;
  if (session_ended || (drain_finished_ && streams_.empty())) {
    Close(draining_ ? "drained" : "session ended");
  }
}

// Returns false on a fatal session error.
bool h2_connection::FillOutput() {
  while (output_.size() < kOutputBytes) {
    const std::uint8_t* frame = nullptr;
    in_callback_ = true;
    const ssize_t size = nghttp2_session_mem_send(session_, &frame);
    in_callback_ = false;
    if (size < 0) {
      return false;
    }
    if (size == 0) {
      if (!SubmitCancelPing()) {
        return true;
      }
      continue;
    }
    output_.insert(output_.end(), frame, frame + size);
  }
  return true;
}

// Returns whether all output was sent.
bool h2_connection::SendOutput() {
  while (output_sent_ < output_.size()) {
    const ssize_t sent = send(descriptor_, output_.data() + output_sent_,
                              output_.size() - output_sent_, MSG_NOSIGNAL);
    if (sent < 0) {
      if (errno == EINTR) {
        continue;
      }
      if (errno == EAGAIN || errno == EWOULDBLOCK) {
        write_watch_->Resume();
        return false;
      }
      Close(std::strerror(errno));
      return false;
    }
    output_sent_ += static_cast<std::size_t>(sent);
  }
  output_.clear();
  output_sent_ = 0;
  return true;
}

void h2_connection::Drain() {
  if (draining_ || state_ == state::kClosed) {
    return;
  }
  draining_ = true;
  drain_started_ = loop_.now();
  if (role_ == h2_role::kServer) {
    nghttp2_submit_shutdown_notice(session_);
  } else {
    drain_finished_ = true;
  }
  RequestFlush();
}

void h2_connection::FinishDrain(time_point now) {
  if (!draining_ || drain_finished_ ||
      now - drain_started_ < kShutdownNoticePeriod) {
    return;
  }
  drain_finished_ = true;
  nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                        nghttp2_session_get_last_proc_stream_id(session_),
                        NGHTTP2_NO_ERROR, nullptr, 0);
  RequestFlush();
}

void h2_connection::Abort(std::string_view reason) {
  if (in_callback_) {
    abort_reason_ = reason;
    write_watch_->Trigger();
    return;
  }
  Close(reason);
}

void h2_connection::Close(std::string_view reason) {
  if (state_ == state::kClosed) {
    return;
  }
  state_ = state::kClosed;
  const std::string reason_copy(reason);
  read_watch_->Pause();
  write_watch_->Pause();
  if (descriptor_ >= 0) {
    shutdown(descriptor_, SHUT_RDWR);
  }
  absl::flat_hash_map<std::int32_t, open_stream> streams;
  streams.swap(streams_);
  for (const auto& [id, stream] : streams) {
    if (stream.handler != nullptr) {
      stream.handler->OnClosed({NGHTTP2_INTERNAL_ERROR, true, stream.sent});
    }
  }
  hooks_.on_closed(*this, reason_copy);
}

void h2_connection::Tick(time_point now) {
  const bool paused = now - last_tick_ > kMinPauseGap;
  last_tick_ = now;
  if (paused) {
    // Replies that arrived during the pause have not been read yet.
    ping_sent_at_ = now;
    opened_at_ = std::max(opened_at_, now);
    if (frame_started_) {
      frame_started_ = now;
    }
  }
  if (state_ == state::kClosed) {
    return;
  }
  if (state_ == state::kConnecting) {
    if (now - opened_at_ > limits_.connect_timeout) {
      Close("connect timeout");
    }
    return;
  }
  if (!settings_received_ && now - opened_at_ > limits_.preface_timeout) {
    Close("preface timeout");
    return;
  }
  if (frame_started_ && now - *frame_started_ > limits_.frame_timeout) {
    Close("frame timeout");
    return;
  }
  if (!CheckKeepalive(now)) {
    Close("silent");
    return;
  }
  if (streams_.empty() && limits_.idle_timeout > duration::zero() &&
      now - idle_since_ > limits_.idle_timeout) {
    Drain();
  }
  FinishDrain(now);
}

bool h2_connection::CheckKeepalive(time_point now) {
  if (pings_acked_ < pings_sent_) {
    return now - ping_sent_at_ <= limits_.ping_timeout;
  }
  const bool sends_pings = role_ == h2_role::kClient || !streams_.empty();
  if (sends_pings && now - last_read_ >= limits_.ping_interval) {
    SubmitPing(now);
    RequestFlush();
  }
  return true;
}

bool h2_connection::PingOverdue(time_point now) const {
  return pings_acked_ < pings_sent_ &&
         now - ping_sent_at_ > limits_.ping_timeout / 2;
}

}  // namespace rosemaryreach
