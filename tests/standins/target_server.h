// An HTTP/2 target for tests; the path of a request selects the response.
//   /echo         the request's body and its x-request-id
//   /bytes/N      N octets; /endless never ends
//   /trailers     a body and trailers
//   /slow/MS      a response after MS milliseconds
//   /never        no response
//   /cut/N        N octets of a longer body, then a reset
//   /die/N        N octets of a longer body, then the connection closes
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
  // Concurrent requests beyond this are refused; 0 means no limit.
  std::uint32_t slots = 0;
  duration service_time{};
  // Multiplies service_time until `warmup` has passed.
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
  std::uint64_t RunCount(const std::string& id) const {
    const auto found = runs_.find(id);
    return found == runs_.end() ? 0 : found->second;
  }
  const h2_headers& last_headers() const { return last_headers_; }

  // While on, refuses all new requests with REFUSED_STREAM.
  void SetLoadShedding(bool on) { shedding_ = on; }

  // Drains all connections: announces with GOAWAY that they take no new
  // requests.
  void Drain() {
    for (const std::unique_ptr<h2_connection>& connection : connections_) {
      connection->Drain();
    }
  }

  // Closes the listener and all connections.
  void Crash() {
    listener_.reset();
    while (!connections_.empty()) {
      connections_.back()->Abort("crashed");
    }
  }

 private:
  struct response_stream final : h2_stream_handler {
    response_stream(target_server& server, h2_connection& connection, int id)
        : server(server), connection(connection), id(id) {}

    void OnHeaders(h2_headers, bool) override {}
    void OnData(std::span<const std::uint8_t> data) override {
      if (echo) {
        body.append(reinterpret_cast<const char*>(data.data()), data.size());
      }
      connection.Consume(id, data.size());
    }
    void OnEnd(h2_headers) override {
      request_ended = true;
      if (echo) {
        remaining = body.size();
        ScheduleResponse();
      }
    }
    void OnClosed(const h2_close&) override {
      --server.stats_.running;
      const bool complete =
          response_started && remaining == 0 && abort_after_bytes == 0;
      ++(complete ? server.stats_.finished : server.stats_.cancelled);
      server.RemoveStream(*this);
    }
    h2_body_read ReadBody(std::span<std::uint8_t> into) override {
      h2_body_read read;
      if (abort_after_bytes > 0 && sent >= abort_after_bytes) {
        if (closes_connection) {
          connection.Abort("closed in mid-response");
        } else {
          connection.Reset(id, NGHTTP2_INTERNAL_ERROR);
        }
        return read;
      }
      read.bytes = std::min<std::uint64_t>(into.size(), remaining);
      for (std::size_t i = 0; i < read.bytes; ++i) {
        into[i] = echo ? static_cast<std::uint8_t>(body[sent + i])
                       : static_cast<std::uint8_t>('a');
      }
      sent += read.bytes;
      remaining -= read.bytes;
      read.end = remaining == 0;
      read.trailers = trailers;
      return read;
    }

    void ScheduleResponse() {
      const duration service = server.ServiceTime() + delay;
      timer = std::make_unique<loop_timer>(server.loop_,
                                           [this] { SendResponse(); });
      timer->Start(service);
    }

    void SendResponse() {
      response_started = true;
      h2_headers headers = {{":status", status}, {"content-type", type}};
      if (!request_id.empty()) {
        headers.push_back({"x-request-id", request_id});
      }
      const bool has_body = remaining > 0 || !trailers.empty();
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
    std::uint64_t remaining = 0;
    std::uint64_t sent = 0;
    std::uint64_t abort_after_bytes = 0;
    duration delay{};
    bool closes_connection = false;
    bool echo = false;
    bool response_started = false;
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
      OnRequest(connection, request);
    };
    hooks.on_draining = [](h2_connection&, std::string_view) {};
    hooks.on_closed = [this](h2_connection& connection, std::string_view) {
      RemoveConnection(connection);
    };
    connections_.push_back(std::make_unique<h2_connection>(
        loop_, descriptor, options_.limits, std::move(hooks)));
  }

  void OnRequest(h2_connection& connection, const h2_request& request) {
    const bool full = options_.slots > 0 && stats_.running >= options_.slots;
    if (shedding_ || full) {
      ++stats_.refused;
      connection.Reset(request.stream, NGHTTP2_REFUSED_STREAM);
      return;
    }
    std::unique_ptr<response_stream> created =
        std::make_unique<response_stream>(*this, connection, request.stream);
    response_stream& stream = *created;
    streams_.push_back(std::move(created));
    connection.SetStreamHandler(request.stream, &stream);
    ++stats_.started;
    ++stats_.running;
    stats_.peak_running = std::max(stats_.peak_running, stats_.running);
    stream.request_id = FindHeader(request.headers, "x-request-id");
    stream.request_ended = request.end_stream;
    ++runs_[stream.request_id];
    ConfigureResponse(stream, FindHeader(request.headers, ":path"));
    last_headers_ = request.headers;
  }

  void ConfigureResponse(response_stream& stream, std::string_view path) {
    if (path.starts_with("/never")) {
      return;
    }
    if (path.starts_with("/echo")) {
      stream.echo = true;
      return;  // OnEnd() sends the response.
    }
    if (path.starts_with("/bytes/")) {
      stream.remaining = NumberAfter(path, "/bytes/");
    } else if (path.starts_with("/endless")) {
      stream.remaining = kEndless;
    } else if (path.starts_with("/cut/")) {
      stream.remaining = kEndless;
      stream.abort_after_bytes = NumberAfter(path, "/cut/");
    } else if (path.starts_with("/die/")) {
      stream.remaining = kEndless;
      stream.abort_after_bytes = NumberAfter(path, "/die/");
      stream.closes_connection = true;
    } else if (path.starts_with("/slow/")) {
      stream.remaining = 1;
      stream.delay = std::chrono::milliseconds(NumberAfter(path, "/slow/"));
    } else if (path.starts_with("/status/")) {
      stream.status = std::string(path.substr(sizeof("/status/") - 1));
    } else if (path.starts_with("/trailers")) {
      stream.remaining = 1;
      stream.trailers = {{"x-checksum", "abc"}};
    }
    stream.ScheduleResponse();
  }

  void RemoveStream(response_stream& stream) {
    const auto found = std::find_if(
        streams_.begin(), streams_.end(),
        [&stream](const std::unique_ptr<response_stream>& candidate) {
          return candidate.get() == &stream;
        });
    closed_streams_.push_back(std::move(*found));
    streams_.erase(found);
  }

  void RemoveConnection(h2_connection& connection) {
    const auto found = std::find_if(
        connections_.begin(), connections_.end(),
        [&connection](const std::unique_ptr<h2_connection>& candidate) {
          return candidate.get() == &connection;
        });
    closed_connections_.push_back(std::move(*found));
    connections_.erase(found);
  }

  void Tick() {
    closed_connections_.clear();
    closed_streams_.clear();
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
  std::vector<std::unique_ptr<response_stream>> streams_;
  std::vector<std::unique_ptr<response_stream>> closed_streams_;
  target_stats stats_;
  std::map<std::string, std::uint64_t> runs_;
  h2_headers last_headers_;
  bool shedding_ = false;
};

}  // namespace rosemaryreach::standins

#endif  // ROSEMARYREACH_STANDINS_TARGET_SERVER_H_
