// The bare forwarding loop that bench_http compares request_task with: nghttp2
// sessions joined stream by stream, with no limits, deadlines or decisions.
#ifndef ROSEMARYREACH_BENCH_HTTP_BARE_H_
#define ROSEMARYREACH_BENCH_HTTP_BARE_H_

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nghttp2/nghttp2.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <vector>

#include "adapters/event_loop.h"
#include "adapters/h2_listener.h"
#include "adapters/h2_types.h"
#include "adapters/socket_address.h"

namespace rosemaryreach::bare {

class session;

// One side of a forwarded stream.
struct half {
  session* home = nullptr;
  std::int32_t id = 0;
  std::shared_ptr<half> other;
  h2_headers headers;
  std::string pending;
  bool ended = false;
};

class session {
 public:
  session(event_loop& loop, int descriptor, bool server, session* upstream)
      : descriptor_(descriptor), server_(server), upstream_(upstream) {
    const int at_once = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &at_once, sizeof(at_once));
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, OnBegin);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, OnHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, OnFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                              OnData);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, OnClose);
    if (server) {
      nghttp2_session_server_new(&session_, callbacks, this);
    } else {
      nghttp2_session_client_new(&session_, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, nullptr, 0);
    read_ = std::make_unique<descriptor_watch>(
        loop, descriptor, io_event::kRead, [this] { Read(); });
    write_ = std::make_unique<descriptor_watch>(
        loop, descriptor, io_event::kWrite, [this] { Write(); });
  }

  ~session() {
    read_.reset();
    write_.reset();
    nghttp2_session_del(session_);
    close(descriptor_);
  }
  session(const session&) = delete;
  session& operator=(const session&) = delete;

 private:
  using half_ptr = std::shared_ptr<half>;

  half* Get(std::int32_t id) {
    return static_cast<half*>(
        nghttp2_session_get_stream_user_data(session_, id));
  }

  void Keep(const half_ptr& one) {
    halves_.push_back(one);
    nghttp2_session_set_stream_user_data(session_, one->id, one.get());
  }

  static int OnBegin(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    session& self = *static_cast<session*>(user);
    if (self.server_ && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
      half_ptr made = std::make_shared<half>();
      made->home = &self;
      made->id = frame->hd.stream_id;
      self.Keep(made);
    }
    return 0;
  }

  static int OnHeader(nghttp2_session*,
                      const nghttp2_frame* frame,
                      const std::uint8_t* name,
                      std::size_t name_size,
                      const std::uint8_t* value,
                      std::size_t value_size,
                      std::uint8_t,
                      void* user) {
    half* one = static_cast<session*>(user)->Get(frame->hd.stream_id);
    if (one != nullptr) {
      one->headers.push_back(
          {std::string(reinterpret_cast<const char*>(name), name_size),
           std::string(reinterpret_cast<const char*>(value), value_size)});
    }
    return 0;
  }

  static int OnFrame(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    session& self = *static_cast<session*>(user);
    half* one = self.Get(frame->hd.stream_id);
    if (one == nullptr) {
      return 0;
    }
    if ((frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      one->ended = true;
    }
    if (frame->hd.type == NGHTTP2_HEADERS) {
      self.Forward(*one);
    }
    self.ResumeOther(*one);
    return 0;
  }

  static int OnData(nghttp2_session*,
                    std::uint8_t,
                    std::int32_t id,
                    const std::uint8_t* data,
                    std::size_t size,
                    void* user) {
    session& self = *static_cast<session*>(user);
    if (half* one = self.Get(id)) {
      one->pending.append(reinterpret_cast<const char*>(data), size);
      self.ResumeOther(*one);
    }
    return 0;
  }

  static int OnClose(nghttp2_session*,
                     std::int32_t id,
                     std::uint32_t,
                     void* user) {
    session& self = *static_cast<session*>(user);
    std::erase_if(self.halves_, [&self, id](const half_ptr& one) {
      if (one->id != id) {
        return false;
      }
      // The caller's side may still have to read what came from upstream.
      if (self.server_ && one->other) {
        one->other->other.reset();
        one->other.reset();
      }
      return true;
    });
    return 0;
  }

  static ssize_t OnRead(nghttp2_session*,
                        std::int32_t,
                        std::uint8_t* into,
                        std::size_t size,
                        std::uint32_t* flags,
                        nghttp2_data_source* source,
                        void*) {
    const half& mine = *static_cast<half*>(source->ptr);
    if (!mine.other) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    half& from = *mine.other;
    const std::size_t count = std::min(size, from.pending.size());
    std::copy_n(from.pending.begin(), count, into);
    from.pending.erase(0, count);
    if (from.ended && from.pending.empty()) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    } else if (count == 0) {
      return NGHTTP2_ERR_DEFERRED;
    }
    return static_cast<ssize_t>(count);
  }

  static std::vector<nghttp2_nv> Fields(h2_headers& headers) {
    std::vector<nghttp2_nv> fields;
    fields.reserve(headers.size());
    for (h2_header& header : headers) {
      fields.push_back({reinterpret_cast<std::uint8_t*>(header.name.data()),
                        reinterpret_cast<std::uint8_t*>(header.value.data()),
                        header.name.size(), header.value.size(),
                        NGHTTP2_NV_FLAG_NONE});
    }
    return fields;
  }

  void Forward(half& one) {
    const std::vector<nghttp2_nv> fields = Fields(one.headers);
    nghttp2_data_provider body{};
    body.read_callback = OnRead;
    if (server_) {
      half_ptr made = std::make_shared<half>();
      made->home = upstream_;
      body.source.ptr = made.get();
      made->id = nghttp2_submit_request(
          upstream_->session_, nullptr, fields.data(), fields.size(),
          one.ended ? nullptr : &body, made.get());
      const auto mine = std::find_if(
          halves_.begin(), halves_.end(),
          [&one](const half_ptr& kept) { return kept.get() == &one; });
      made->other = *mine;
      one.other = made;
      upstream_->halves_.push_back(made);
      upstream_->write_->Trigger();
    } else if (one.other) {
      half& caller = *one.other;
      body.source.ptr = &caller;
      nghttp2_submit_response(caller.home->session_, caller.id, fields.data(),
                              fields.size(), &body);
      caller.home->write_->Trigger();
    }
  }

  static void ResumeOther(half& one) {
    if (one.other) {
      nghttp2_session_resume_data(one.other->home->session_, one.other->id);
      one.other->home->write_->Trigger();
    }
  }

  void Read() {
    static thread_local std::array<std::uint8_t, 65'536> buffer;
    const ssize_t got = recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (got == 0) {
      read_->Pause();
      write_->Pause();
    } else if (got > 0) {
      nghttp2_session_mem_recv(session_, buffer.data(),
                               static_cast<std::size_t>(got));
      Write();
    }
  }

  void Write() {
    while (true) {
      while (output_.size() < 65'536) {
        const std::uint8_t* frame = nullptr;
        const ssize_t size = nghttp2_session_mem_send(session_, &frame);
        if (size <= 0) {
          break;
        }
        output_.append(reinterpret_cast<const char*>(frame),
                       static_cast<std::size_t>(size));
      }
      if (output_.empty()) {
        write_->Pause();
        return;
      }
      const ssize_t sent =
          send(descriptor_, output_.data(), output_.size(), MSG_NOSIGNAL);
      if (sent < 0) {
        write_->Resume();
        return;
      }
      output_.erase(0, static_cast<std::size_t>(sent));
    }
  }

  int descriptor_;
  bool server_;
  session* upstream_;
  nghttp2_session* session_ = nullptr;
  std::unique_ptr<descriptor_watch> read_;
  std::unique_ptr<descriptor_watch> write_;
  std::vector<half_ptr> halves_;
  std::string output_;
};

// Accepts callers and forwards their requests over one upstream connection.
class forwarder {
 public:
  forwarder(event_loop& loop, const endpoint& local, const endpoint& target)
      : loop_(loop) {
    const socket_address address = ToSocketAddress(target);
    const int descriptor = socket(address.storage.ss_family, SOCK_STREAM, 0);
    if (connect(descriptor, address.get(), address.size) == 0) {
      upstream_ = std::make_unique<session>(loop_, descriptor, false, nullptr);
    }
    listener_ = std::move(h2_listener::Listen(loop_, local, [this](int one) {
                  callers_.push_back(std::make_unique<session>(
                      loop_, one, true, upstream_.get()));
                })).value();
  }

  endpoint local() const { return listener_->local(); }

 private:
  event_loop& loop_;
  std::unique_ptr<session> upstream_;
  std::unique_ptr<h2_listener> listener_;
  std::vector<std::unique_ptr<session>> callers_;
};

}  // namespace rosemaryreach::bare

#endif  // ROSEMARYREACH_BENCH_HTTP_BARE_H_
