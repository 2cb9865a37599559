#include "adapters/admin_server.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <openssl/crypto.h>
#include <unistd.h>

#include <utility>

#include "adapters/http_query.h"
#include "adapters/socket_address.h"
#include "config/enum_names.h"
#include "config/json_text.h"

namespace rosemaryreach {
namespace {

using json = nlohmann::json;

constexpr ev_ssize_t kMaxHeaderBytes = 8'192;
constexpr ev_ssize_t kMaxBodyBytes = 0;
constexpr int kIdleTimeoutS = 10;
constexpr int kListenBacklog = 128;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;
constexpr const char* kJsonType = "application/json";
constexpr const char* kBinaryType = "application/octet-stream";
constexpr const char* kTextType = "text/plain; version=0.0.4";

// An HTTP response before it is sent.
struct response {
  int status = kOk;
  const char* type = kJsonType;
  std::string body;
};

response JsonResponse(int status, const json& body) {
  return {status, kJsonType, DumpJson(body) + "\n"};
}

response ErrorResponse(int status, const error& error) {
  return JsonResponse(status, {{"error", ErrcName(error.code)},
                               {"path", error.path},
                               {"detail", error.detail}});
}

response ResultResponse(const result<json>& body) {
  if (body) {
    return JsonResponse(kOk, body.value());
  }
  const bool missing = body.error().code == errc::kNotFound;
  return ErrorResponse(missing ? kNotFound : kBadRequest, body.error());
}

result<flow_query> ParseFlowQuery(const http_query& parameters) {
  flow_query query;
  query.service = parameters.Text("service");
  const std::string protocol = parameters.Text("protocol", "tcp");
  if (protocol != "tcp" && protocol != "udp") {
    return Fail(errc::kUnsupported,
                "got \"" + protocol + "\", expected tcp or udp", "protocol");
  }
  query.protocol = EnumValue<transport_protocol>(protocol);
  BOOST_OUTCOME_TRY(source, ParseEndpoint(parameters.Text("source")));
  BOOST_OUTCOME_TRY(destination, ParseEndpoint(parameters.Text("destination")));
  query.source = source;
  query.destination = destination;
  return query;
}

request_query ParseRequestQuery(const http_query& parameters) {
  return {parameters.Text("service"), parameters.Text("method", "GET"),
          parameters.Text("path", "/"), parameters.Text("caller"),
          parameters.Text("idempotency_key")};
}

response ReadinessResponse(const readiness& state) {
  return JsonResponse(
      state.ready ? kOk : kUnavailable,
      {{"ready", state.ready}, {"waiting_for", state.waiting_for}});
}

response ExplainFlowResponse(const admin_hooks& hooks,
                             const http_query& parameters) {
  const result<flow_query> query = ParseFlowQuery(parameters);
  return query ? ResultResponse(hooks.explain_flow(query.value()))
               : ErrorResponse(kBadRequest, query.error());
}

response ItemsResponse(const std::string& path,
                       std::optional<std::string> items) {
  return items ? response{kOk, kBinaryType, std::move(*items)}
               : ErrorResponse(kUnavailable,
                               {errc::kLimit, path, "busy with other peers"});
}

// Returns the callback for the JSON document at `path`, or nullptr if `path`
// has none.
const std::function<json()>* FindDocumentHook(const admin_hooks& hooks,
                                              const std::string& path) {
  if (path == "/v1/status") {
    return &hooks.status;
  }
  if (path == "/v1/configuration") {
    return &hooks.configuration;
  }
  if (path == "/v1/verdicts") {
    return &hooks.verdicts;
  }
  return path == "/v1/targets" ? &hooks.targets : nullptr;
}

response MakeResponse(const admin_hooks& hooks,
                      const std::string& path,
                      const http_query& parameters) {
  const std::function<json()>* document = FindDocumentHook(hooks, path);
  if (document != nullptr && *document) {
    return JsonResponse(kOk, (*document)());
  }
  if (path == "/healthz") {
    return JsonResponse(kOk, {{"alive", true}});
  }
  if (path == "/readyz" && hooks.ready) {
    return ReadinessResponse(hooks.ready());
  }
  if (path == "/metrics" && hooks.metrics) {
    return {kOk, kTextType, hooks.metrics()};
  }
  if (path == "/v1/items" && hooks.items) {
    return ItemsResponse(path, hooks.items(parameters.Number("era"),
                                           parameters.Number("after")));
  }
  if (path == "/v1/departed" && hooks.departed) {
    return ItemsResponse(path, hooks.departed());
  }
  if (path == "/v1/flows/explain" && hooks.explain_flow) {
    return ExplainFlowResponse(hooks, parameters);
  }
  if (path == "/v1/requests/explain" && hooks.explain_request) {
    return ResultResponse(hooks.explain_request(ParseRequestQuery(parameters)));
  }
  return ErrorResponse(kNotFound, {errc::kNotFound, path, "no such path"});
}

void Send(evhttp_request* request, const response& response) {
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Content-Type", response.type);
  evbuffer* body = evbuffer_new();
  evbuffer_add(body, response.body.data(), response.body.size());
  evhttp_send_reply(request, response.status, nullptr, body);
  evbuffer_free(body);
}

// Returns a listening socket, or -1 on failure. evhttp_bind_socket() would ask
// the kernel for all local addresses first, which slows the start down.
int OpenListener(const socket_address& address) {
  const int fd = socket(address.storage.ss_family,
                        SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (fd < 0 ||
      setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 ||
      setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on)) != 0 ||
      bind(fd, address.get(), address.size) != 0 ||
      listen(fd, kListenBacklog) != 0) {
    if (fd >= 0) {
      close(fd);
    }
    return -1;
  }
  return fd;
}

std::string RequestPath(evhttp_request* request) {
  const char* path =
      evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
  return path == nullptr ? "" : path;
}

}  // namespace

void admin_server::server_deleter::operator()(evhttp* server) const {
  evhttp_free(server);
}

admin_server::admin_server(event_loop& loop,
                           std::string token,
                           admin_hooks hooks)
    : loop_(loop),
      token_(std::move(token)),
      hooks_(std::move(hooks)),
      server_(evhttp_new(loop.base())) {
  evhttp_set_allowed_methods(server_.get(), EVHTTP_REQ_GET | EVHTTP_REQ_HEAD);
  evhttp_set_max_headers_size(server_.get(), kMaxHeaderBytes);
  evhttp_set_max_body_size(server_.get(), kMaxBodyBytes);
  evhttp_set_timeout(server_.get(), kIdleTimeoutS);
  evhttp_set_gencb(server_.get(), &admin_server::OnRequest, this);
}

admin_server::~admin_server() = default;

result<std::uint16_t> admin_server::Listen(const endpoint& address) {
  socket_address local = ToSocketAddress(address);
  const int fd = OpenListener(local);
  if (fd < 0) {
    return Fail(errc::kIo, "can't be bound", FormatEndpoint(address));
  }
  if (evhttp_accept_socket_with_handle(server_.get(), fd) == nullptr) {
    close(fd);
    return Fail(errc::kIo, "can't be watched", FormatEndpoint(address));
  }
  local.size = sizeof(local.storage);
  getsockname(fd, local.get(), &local.size);
  return FromSocketAddress(local.storage).port;
}

void admin_server::OnRequest(evhttp_request* request, void* self) {
  static_cast<admin_server*>(self)->HandleRequest(request);
}

void admin_server::HandleRequest(evhttp_request* request) {
  const std::string path = RequestPath(request);
  if (!IsAuthorized(request, path)) {
    const error denied{errc::kUnauthenticated, path,
                       "expected the admin token as a bearer token"};
    Send(request, ErrorResponse(kUnauthorized, denied));
    return;
  }
  response answer = ErrorResponse(
      kInternalError, {errc::kIo, path, "unexpected error, see the log"});
  loop_.Call([&] { answer = MakeResponse(hooks_, path, http_query(request)); });
  Send(request, answer);
}

bool admin_server::IsAuthorized(evhttp_request* request,
                                const std::string& path) const {
  if (token_.empty() || path == "/healthz" || path == "/readyz") {
    return true;
  }
  const evkeyvalq* headers = evhttp_request_get_input_headers(request);
  const char* header = evhttp_find_header(headers, "Authorization");
  const std::string given = header == nullptr ? "" : header;
  const std::string expected = "Bearer " + token_;
  return given.size() == expected.size() &&
         CRYPTO_memcmp(given.data(), expected.data(), expected.size()) == 0;
}

}  // namespace rosemaryreach
