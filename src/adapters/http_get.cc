#include "adapters/http_get.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace rosemaryreach {
namespace {

constexpr ev_ssize_t kMaxHeaderBytes = 16'384;

std::string ReadBody(evhttp_request* request) {
  evbuffer* buffer = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_copyout(buffer, body.data(), body.size());
  return body;
}

std::vector<std::pair<std::string, std::string>> ReadHeaders(
    evhttp_request* request) {
  std::vector<std::pair<std::string, std::string>> headers;
  const evkeyvalq* received = evhttp_request_get_input_headers(request);
  for (const evkeyval* one = received->tqh_first; one != nullptr;
       one = one->next.tqe_next) {
    headers.emplace_back(one->key, one->value);
  }
  return headers;
}

}  // namespace

std::optional<std::string> http_reply::Header(std::string_view name) const {
  const auto found =
      std::find_if(headers.begin(), headers.end(), [name](const auto& header) {
        return header.first.size() == name.size() &&
               evutil_ascii_strncasecmp(header.first.data(), name.data(),
                                        name.size()) == 0;
      });
  return found == headers.end() ? std::nullopt
                                : std::optional<std::string>(found->second);
}

void http_get_client::connection_deleter::operator()(
    evhttp_connection* connection) const {
  evhttp_connection_free(connection);
}

http_get_client::http_get_client(event_loop& loop,
                                 const endpoint& server,
                                 std::size_t max_body,
                                 std::string token)
    : loop_(loop),
      server_(server),
      max_body_(max_body),
      token_(std::move(token)),
      deadline_(loop, [this] { OnDeadline(); }) {}

http_get_client::~http_get_client() = default;

void http_get_client::Get(const std::string& path,
                          duration deadline,
                          http_reply_callback done) {
  const std::string host = FormatIp(server_.address);
  connection_.reset(evhttp_connection_base_new(loop_.base(), nullptr,
                                               host.c_str(), server_.port));
  evhttp_connection_set_max_headers_size(connection_.get(), kMaxHeaderBytes);
  evhttp_connection_set_max_body_size(connection_.get(),
                                      static_cast<ev_ssize_t>(max_body_));
  done_ = std::move(done);
  too_large_ = false;
  deadline_.Start(deadline);
  evhttp_request* request = evhttp_request_new(&http_get_client::OnDone, this);
  evhttp_request_set_error_cb(
      request, [](evhttp_request_error error, void* self) {
        static_cast<http_get_client*>(self)->too_large_ =
            error == EVREQ_HTTP_DATA_TOO_LONG;
      });
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", FormatEndpoint(server_).c_str());
  evhttp_add_header(headers, "Connection", "close");
  if (!token_.empty()) {
    evhttp_add_header(headers, "Authorization", ("Bearer " + token_).c_str());
  }
  evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET, path.c_str());
}

void http_get_client::OnDone(evhttp_request* request, void* self) {
  http_get_client* client = static_cast<http_get_client*>(self);
  client->closed_ = std::move(client->connection_);
  const int status =
      request == nullptr ? 0 : evhttp_request_get_response_code(request);
  if (status == 0 && client->too_large_) {
    client->Finish(Fail(
        errc::kTooLarge,
        "answer of more than " + std::to_string(client->max_body_) + " bytes",
        FormatEndpoint(client->server_)));
    return;
  }
  if (status == 0) {
    client->Finish(Fail(errc::kUnavailable, "connection failed or closed",
                        FormatEndpoint(client->server_)));
    return;
  }
  client->Finish(http_reply{status, ReadBody(request), ReadHeaders(request)});
}

void http_get_client::OnDeadline() {
  connection_.reset();
  Finish(Fail(errc::kTimeout, "no answer before the deadline",
              FormatEndpoint(server_)));
}

void http_get_client::Finish(result<http_reply> reply) {
  deadline_.Stop();
  const http_reply_callback done = std::exchange(done_, nullptr);
  if (done) {
    loop_.Call([&] { done(std::move(reply)); });
  }
}

std::string EncodeQueryValue(const std::string& value) {
  char* encoded =
      evhttp_uriencode(value.data(), static_cast<ev_ssize_t>(value.size()), 0);
  std::string text = encoded;
  std::free(encoded);
  return text;
}

}  // namespace rosemaryreach
