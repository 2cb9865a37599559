// An HTTP/2 caller for tests and scripts: one connection, many requests.
#ifndef ROSEMARYREACH_STANDINS_H2_CLIENT_H_
#define ROSEMARYREACH_STANDINS_H2_CLIENT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "adapters/h2_connection.h"

namespace rosemaryreach::standins {

inline constexpr std::size_t kMaxStoredBodyBytes = 64 * 1'024;

// One request and its response.
class h2_call final : public h2_stream_handler {
 public:
  void OnHeaders(h2_headers received, bool) override {
    headers = std::move(received);
  }
  void OnData(std::span<const std::uint8_t> data) override {
    body_bytes += data.size();
    if (body.size() < kMaxStoredBodyBytes) {
      body.append(reinterpret_cast<const char*>(data.data()), data.size());
    }
    if (paused) {
      unread += data.size();
    } else {
      connection->Consume(stream, data.size());
    }
  }
  void OnEnd(h2_headers received) override {
    ended = true;
    trailers = std::move(received);
  }
  void OnClosed(const h2_close& how) override { close = how; }
  h2_body_read ReadBody(std::span<std::uint8_t> into) override {
    h2_body_read read;
    read.bytes = std::min<std::uint64_t>(into.size(), upload_left);
    std::fill_n(into.begin(), read.bytes, std::uint8_t{'u'});
    upload_left -= read.bytes;
    read.end = upload_left == 0;
    return read;
  }

  // Resumes reading after a pause.
  void Resume() {
    paused = false;
    connection->Consume(stream, std::exchange(unread, 0));
  }
  std::string_view Header(std::string_view name) const {
    return FindHeader(headers, name);
  }
  // Returns whether the response is complete and has status 200.
  bool Succeeded() const { return IsComplete() && Header(":status") == "200"; }
  bool IsComplete() const { return ended && close && close->code == 0; }

  h2_connection* connection = nullptr;
  std::int32_t stream = 0;
  bool paused = false;
  std::size_t unread = 0;
  std::uint64_t upload_left = 0;
  h2_headers headers{};
  h2_headers trailers;
  std::string body;
  std::uint64_t body_bytes = 0;
  bool ended = false;
  std::optional<h2_close> close;
};

struct call_options {
  std::string method = "GET";
  std::string path = "/echo";
  std::string authority{};
  h2_headers headers{};
  std::uint64_t upload_bytes = 0;
  bool paused = false;
};

class h2_client {
 public:
  h2_client(event_loop& loop, const endpoint& remote, h2_limits limits = {})
      : authority_(FormatEndpoint(remote)),
        connection_(loop, remote, limits, Hooks()) {}

  std::shared_ptr<h2_call> Start(const call_options& options) {
    std::shared_ptr<h2_call> call = std::make_shared<h2_call>();
    call->connection = &connection_;
    call->paused = options.paused;
    call->upload_left = options.upload_bytes;
    h2_headers headers = {
        {":method", options.method},
        {":scheme", "http"},
        {":authority",
         options.authority.empty() ? authority_ : options.authority},
        {":path", options.path}};
    headers.insert(headers.end(), options.headers.begin(),
                   options.headers.end());
    const std::optional<std::int32_t> stream = connection_.SubmitRequest(
        headers, options.upload_bytes > 0, call.get());
    if (!stream) {
      call->close = h2_close{NGHTTP2_REFUSED_STREAM, false, false};
      return call;
    }
    call->stream = *stream;
    calls_.push_back(call);
    return call;
  }

  void Cancel(const h2_call& call) {
    connection_.Reset(call.stream, NGHTTP2_CANCEL);
  }

  h2_connection& connection() { return connection_; }
  bool draining() const { return draining_; }

 private:
  h2_hooks Hooks() {
    h2_hooks hooks;
    hooks.on_draining = [this](h2_connection&, std::string_view) {
      draining_ = true;
    };
    hooks.on_closed = [](h2_connection&, std::string_view) {};
    return hooks;
  }

  std::string authority_;
  bool draining_ = false;
  h2_connection connection_;
  std::vector<std::shared_ptr<h2_call>> calls_;
};

}  // namespace rosemaryreach::standins

#endif  // ROSEMARYREACH_STANDINS_H2_CLIENT_H_
