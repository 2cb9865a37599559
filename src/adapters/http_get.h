// HTTP/1.1 GET client with a deadline per request.
#ifndef ROSEMARYREACH_ADAPTERS_HTTP_GET_H_
#define ROSEMARYREACH_ADAPTERS_HTTP_GET_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "adapters/event_loop.h"
#include "rosemaryreach/result.h"
#include "rosemaryreach/types.h"

struct evhttp_connection;
struct evhttp_request;

namespace rosemaryreach {

struct http_reply {
  int status = 0;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;

  // Returns the value of the first header `name`, in any case.
  std::optional<std::string> Header(std::string_view name) const;
};

using http_reply_callback = std::function<void(result<http_reply>)>;

// Sends one GET request at a time, each on a new connection.
class http_get_client {
 public:
  // Reply bodies above `max_body` bytes are errors. A non-empty `token` is sent
  // as a bearer token.
  http_get_client(event_loop& loop,
                  const endpoint& server,
                  std::size_t max_body,
                  std::string token = {});
  ~http_get_client();
  http_get_client(const http_get_client&) = delete;
  http_get_client& operator=(const http_get_client&) = delete;

  // Requests `path` and calls `done` once unless destroyed first; any HTTP
  // status counts as a reply. Errors: kTimeout at the deadline, kTooLarge for a
  // body above the limit, kUnavailable.
  // Must not be called while busy(); `done` must not destroy the client.
  void Get(const std::string& path,
           duration deadline,
           http_reply_callback done);

  bool busy() const { return connection_ != nullptr; }

 private:
  struct connection_deleter {
    void operator()(evhttp_connection* connection) const;
  };
  using connection_pointer =
      std::unique_ptr<evhttp_connection, connection_deleter>;

  static void OnDone(evhttp_request* request, void* self);
  void OnDeadline();
  void Finish(result<http_reply> reply);

  event_loop& loop_;
  endpoint server_;
  std::size_t max_body_;
  std::string token_;
  loop_timer deadline_;
  connection_pointer connection_;
  // The previous connection, kept because libevent does not allow a connection
  // to be freed in its own callback.
  connection_pointer closed_;
  http_reply_callback done_;
  bool too_large_ = false;  // the reply
};

// Returns `value` with reserved characters percent-encoded for a query.
std::string EncodeQueryValue(const std::string& value);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_HTTP_GET_H_
