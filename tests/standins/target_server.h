// An HTTP/2 target for tests: its paths say how it answers.
//   /echo         the request's body and its x-request-id
//   /bytes/N      N octets, /endless without an end
//   /trailers     a body and trailers
//   /slow/MS      an answer after MS milliseconds
//   /never        no answer
//   /cut/N        N octets of more, then a reset
//   /die/N        N octets of more, then the connection closes
//   /status/N     the HTTP status N
#ifndef ROSEMARYREACH_STANDINS_TARGET_SERVER_H_
#define ROSEMARYREACH_STANDINS_TARGET_SERVER_H_

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "adapters/h2_connection.h"
#include "adapters/h2_listener.h"

namespace rosemaryreach::standins {

struct target_options {
  // More requests than these at once are refused; 0 refuses none.
  std::uint32_t slots = 0;
  duration service_time{};
  // While cold, service takes this many times longer.
  std::uint32_t cold_factor = 1;
  duration warmup{};
  h2_limits limits;
};

struct target_stats {
  std::uint64_t started = 0;
  std::uint64_t finished = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t refused = 0;
  std::size_t running = 0;
  std::size_t peak_running = 0;
};

class target_server {
 public:
  target_server(event_loop& loop, const endpoint& local, target_options options)
      : loop_(loop), options_(options), started_at_(loop.now()) {
    result<std::unique_ptr<h2_listener>> listener = h2_listener::Listen(
        loop, local, [this](int descriptor) { Accept(descriptor); });
    if (listener) {
      listener_ = std::move(listener).value();
    }
    tick_.StartEvery(std::chrono::milliseconds(100));
  }

  bool listening() const { return listener_ != nullptr; }
  endpoint local() const { return listener_->local(); }
  const target_stats& stats() const { return stats_; }
  // Returns how often a request with this x-request-id was started.
  std::uint64_t RunsOf(const std::string& id) const {
    const auto found = runs_.find(id);
    return found == runs_.end() ? 0 : found->second;
  }
  const h2_headers& last_headers() const { return last_headers_; }

  // Refuses all new requests with REFUSED_STREAM.
  void Shed(bool on) { shedding_ = on; }

  // Announces with GOAWAY that no new requests are taken.
  void Drain() {
    for (const std::unique_ptr<h2_connection>& connection : connections_) {
      connection->Drain();
    }
  }

  // Closes the listener and all connections.
  void Die() {
    listener_.reset();
    while (!connections_.empty()) {
      connections_.back()->Abort("died");
    }
  }

 private:
  struct answering final : h2_stream_handler {
    answering(target_server& server, h2_connection& connection, int id)
        : server(server), connection(connection), id(id) {}

    void OnHeaders(h2_headers, bool) override {}
    void OnData(std::span<const std::uint8_t> data) override {
      if (echoes) {
        body.append(reinterpret_cast<const char*>(data.data()), data.size());
      }
      connection.Consume(id, data.size());
    }
    void OnEnd(h2_headers) override {
      request_ended = true;
      if (echoes) {
        left = body.size();
        StartAfterService();
      }
    }
    void OnClosed(const h2_close&) override {
      --server.stats_.running;
      const bool whole = answered && left == 0 && cut == 0;
      ++(whole ? server.stats_.finished : server.stats_.cancelled);
      server.Forget(*this);
    }
    h2_body_read ReadBody(std::span<std::uint8_t> into) override {
      h2_body_read read;
      if (cut > 0 && sent >= cut) {
        if (dies) {
          connection.Abort("died in mid-answer");
        } else {
          connection.Reset(id, NGHTTP2_INTERNAL_ERROR);
        }
        return read;
      }
      read.bytes = std::min<std::uint64_t>(into.size(), left);
      for (std::size_t i = 0; i < read.bytes; ++i) {
        into[i] = echoes ? static_cast<std::uint8_t>(body[sent + i])
                         : static_cast<std::uint8_t>('a');
      }
      sent += read.bytes;
      left -= read.bytes;
      read.end = left == 0;
      read.trailers = trailers;
      return read;
    }

    void StartAfterService() {
      const duration service = server.ServiceTime() + extra;
      timer = std::make_unique<loop_timer>(server.loop_, [this] { Start(); });
      timer->Start(service);
    }

    void Start() {
      answered = true;
      h2_headers headers = {{":status", status}, {"content-type", type}};
      if (!request_id.empty()) {
        headers.push_back({"x-request-id", request_id});
      }
      const bool has_body = left > 0 || !trailers.empty();
      connection.SubmitResponse(id, headers, has_body);
    }

    target_server& server;
    h2_connection& connection;
    int id;
    std::string request_id;
    std::string status = "200";
    std::string type = "text/plain";
    std::string body;
    h2_headers trailers;
    std::uint64_t left = 0;
    std::uint64_t sent = 0;
    std::uint64_t cut = 0;
    duration extra{};
    bool dies = false;
    bool echoes = false;
    bool answered = false;
    bool request_ended = false;
    std::unique_ptr<loop_timer> timer;
  };

  static constexpr std::uint64_t kEndless = ~std::uint64_t{0};

  static std::uint64_t NumberAfter(std::string_view path,
                                   std::string_view prefix) {
    std::uint64_t number = 0;
    std::from_chars(path.data() + prefix.size(), path.data() + path.size(),
                    number);
    return number;
  }

  duration ServiceTime() const {
    const bool cold = loop_.now() - started_at_ < options_.warmup;
    return options_.service_time * (cold ? options_.cold_factor : 1);
  }

  void Accept(int descriptor) {
    h2_hooks hooks;
    hooks.on_request = [this](h2_connection& connection,
                              const h2_request& request) {
      Take(connection, request);
    };
    hooks.on_draining = [](h2_connection&, std::string_view) {};
    hooks.on_closed = [this](h2_connection& connection, std::string_view) {
      Remove(connection);
    };
    connections_.push_back(std::make_unique<h2_connection>(
        loop_, descriptor, options_.limits, std::move(hooks)));
  }

  void Take(h2_connection& connection, const h2_request& request) {
    const bool full = options_.slots > 0 && stats_.running >= options_.slots;
    if (shedding_ || full) {
      ++stats_.refused;
      connection.Reset(request.stream, NGHTTP2_REFUSED_STREAM);
      return;
    }
    std::unique_ptr<answering> made =
        std::make_unique<answering>(*this, connection, request.stream);
    answering& answer = *made;
    answers_.push_back(std::move(made));
    connection.SetStreamHandler(request.stream, &answer);
    ++stats_.started;
    ++stats_.running;
    stats_.peak_running = std::max(stats_.peak_running, stats_.running);
    answer.request_id = FindHeader(request.headers, "x-request-id");
    answer.request_ended = request.end_stream;
    ++runs_[answer.request_id];
    Choose(answer, FindHeader(request.headers, ":path"));
    last_headers_ = request.headers;
  }

  void Choose(answering& answer, std::string_view path) {
    if (path.starts_with("/never")) {
      return;
    }
    if (path.starts_with("/echo")) {
      answer.echoes = true;
      return;  // Answered at the end of the request, which follows.
    }
    if (path.starts_with("/bytes/")) {
      answer.left = NumberAfter(path, "/bytes/");
    } else if (path.starts_with("/endless")) {
      answer.left = kEndless;
    } else if (path.starts_with("/cut/")) {
      answer.left = kEndless;
      answer.cut = NumberAfter(path, "/cut/");
    } else if (path.starts_with("/die/")) {
      answer.left = kEndless;
      answer.cut = NumberAfter(path, "/die/");
      answer.dies = true;
    } else if (path.starts_with("/slow/")) {
      answer.left = 1;
      answer.extra = std::chrono::milliseconds(NumberAfter(path, "/slow/"));
    } else if (path.starts_with("/status/")) {
      answer.status = std::string(path.substr(sizeof("/status/") - 1));
    } else if (path.starts_with("/trailers")) {
      answer.left = 1;
      answer.trailers = {{"x-checksum", "abc"}};
    }
    answer.StartAfterService();
  }

  void Forget(answering& answer) {
    const auto found =
        std::find_if(answers_.begin(), answers_.end(),
                     [&answer](const std::unique_ptr<answering>& one) {
                       return one.get() == &answer;
                     });
    dead_answers_.push_back(std::move(*found));
    answers_.erase(found);
  }

  void Remove(h2_connection& connection) {
    const auto found =
        std::find_if(connections_.begin(), connections_.end(),
                     [&connection](const std::unique_ptr<h2_connection>& one) {
                       return one.get() == &connection;
                     });
    closed_connections_.push_back(std::move(*found));
    connections_.erase(found);
  }

  void Tick() {
    closed_connections_.clear();
    dead_answers_.clear();
    std::vector<h2_connection*> all;
    for (const std::unique_ptr<h2_connection>& connection : connections_) {
      all.push_back(connection.get());
    }
    for (h2_connection* connection : all) {
      connection->Tick(loop_.now());
    }
  }

  event_loop& loop_;
  target_options options_;
  time_point started_at_;
  loop_timer tick_{loop_, [this] { Tick(); }};
  std::unique_ptr<h2_listener> listener_;
  std::vector<std::unique_ptr<h2_connection>> connections_;
  std::vector<std::unique_ptr<h2_connection>> closed_connections_;
  std::vector<std::unique_ptr<answering>> answers_;
  std::vector<std::unique_ptr<answering>> dead_answers_;
  target_stats stats_;
  std::map<std::string, std::uint64_t> runs_;
  h2_headers last_headers_;
  bool shedding_ = false;
};

}  // namespace rosemaryreach::standins

#endif  // ROSEMARYREACH_STANDINS_TARGET_SERVER_H_
