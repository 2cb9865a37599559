// Loopback HTTP server whose replies are scripted by the test.
#ifndef ROSEMARYREACH_TESTS_HTTP_SERVER_FIXTURE_H_
#define ROSEMARYREACH_TESTS_HTTP_SERVER_FIXTURE_H_

#include <event2/buffer.h>
#include <event2/http.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "adapters/event_loop.h"
#include "adapters/socket_address.h"

namespace rosemaryreach {

struct scripted_reply {
  int status = 200;  // 0 sends no reply
  std::string body;
  std::map<std::string, std::string> headers = {};
  duration delay{};
};

class http_server_fixture {
 public:
  using script = std::function<scripted_reply(const std::string& uri)>;

  http_server_fixture(event_loop& loop, script reply)
      : loop_(loop),
        script_(std::move(reply)),
        server_(evhttp_new(loop.base())) {
    evhttp_set_gencb(
        server_,
        [](evhttp_request* request, void* self) {
          static_cast<http_server_fixture*>(self)->Serve(request);
        },
        this);
    evhttp_bound_socket* bound =
        evhttp_bind_socket_with_handle(server_, "127.0.0.1", 0);
    socket_address local;
    local.size = sizeof(local.storage);
    getsockname(evhttp_bound_socket_get_fd(bound), local.get(), &local.size);
    address_ = FromSocketAddress(local.storage);
  }
  ~http_server_fixture() { evhttp_free(server_); }
  http_server_fixture(const http_server_fixture&) = delete;
  http_server_fixture& operator=(const http_server_fixture&) = delete;

  const endpoint& address() const { return address_; }

 private:
  void Serve(evhttp_request* request) {
    const scripted_reply reply = script_(evhttp_request_get_uri(request));
    if (reply.status == 0) {
      return;
    }
    for (const auto& [name, value] : reply.headers) {
      evhttp_add_header(evhttp_request_get_output_headers(request),
                        name.c_str(), value.c_str());
    }
    if (reply.delay > duration::zero()) {
      delayed_.push_back(std::make_unique<loop_timer>(
          loop_, [request, reply] { Send(request, reply); }));
      delayed_.back()->Start(reply.delay);
    } else {
      Send(request, reply);
    }
  }

  static void Send(evhttp_request* request, const scripted_reply& reply) {
    evbuffer* body = evbuffer_new();
    evbuffer_add(body, reply.body.data(), reply.body.size());
    evhttp_send_reply(request, reply.status, nullptr, body);
    evbuffer_free(body);
  }

  event_loop& loop_;
  script script_;
  evhttp* server_;
  std::vector<std::unique_ptr<loop_timer>> delayed_;
  endpoint address_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TESTS_HTTP_SERVER_FIXTURE_H_
