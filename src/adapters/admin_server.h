// The admin interface: read-only JSON over HTTP for operators and
// rosemaryreachctl.
#ifndef ROSEMARYREACH_ADAPTERS_ADMIN_SERVER_H_
#define ROSEMARYREACH_ADAPTERS_ADMIN_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "adapters/event_loop.h"
#include "rosemaryreach/config.h"
#include "rosemaryreach/result.h"
#include "rosemaryreach/types.h"

struct evhttp;
struct evhttp_request;

namespace rosemaryreach {

// Whether the instance is ready to serve, and what it waits for if not.
struct readiness {
  bool ready = false;
  std::string waiting_for;
};

// The flow for which a routing explanation is requested.
struct flow_query {
  std::string service;
  transport_protocol protocol = transport_protocol::kTcp;
  endpoint source;
  endpoint destination;
};

// The request for which a routing explanation is requested.
struct request_query {
  std::string service;
  std::string method = "GET";
  std::string path = "/";
  std::string caller;
  std::string idempotency_key;
};

// Callbacks that produce the responses, called on the server's loop. The path
// of an unset callback responds with 404.
struct admin_hooks {
  std::function<readiness()> ready;
  std::function<std::string()> metrics;
  std::function<nlohmann::json()> status;
  std::function<nlohmann::json()> configuration;
  std::function<nlohmann::json()> verdicts;
  std::function<nlohmann::json()> targets;
  // Returns the items that changed after a revision of an era of the store,
  // deflated, for a peer that synchronizes; nullopt if the peer should ask
  // another instance.
  std::function<std::optional<std::string>(std::uint64_t era,
                                           std::uint64_t after)>
      items;
  // Returns the targets that left recently, deflated, for a peer that has
  // started; nullopt if the peer should ask another instance.
  std::function<std::optional<std::string>()> departed;
  std::function<result<nlohmann::json>(const flow_query&)> explain_flow;
  std::function<result<nlohmann::json>(const request_query&)> explain_request;
};

class admin_server {
 public:
  // With a non-empty `token`, every request except /healthz and /readyz must
  // carry it as a bearer token. An empty one disables authentication.
  admin_server(event_loop& loop, std::string token, admin_hooks hooks);
  ~admin_server();
  admin_server(const admin_server&) = delete;
  admin_server& operator=(const admin_server&) = delete;

  // Binds `address` and returns the bound port; port 0 picks any free port.
  // Returns kIo if the address can't be bound.
  result<std::uint16_t> Listen(const endpoint& address);

 private:
  struct server_deleter {
    void operator()(evhttp* server) const;
  };

  static void OnRequest(evhttp_request* request, void* self);
  void HandleRequest(evhttp_request* request);
  bool IsAuthorized(evhttp_request* request, const std::string& path) const;

  event_loop& loop_;
  std::string token_;
  admin_hooks hooks_;
  std::unique_ptr<evhttp, server_deleter> server_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_ADMIN_SERVER_H_
