#include "adapters/admin_server.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <openssl/crypto.h>

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
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr const char* kJsonType = "application/json";
constexpr const char* kBinaryType = "application/octet-stream";
constexpr const char* kTextType = "text/plain; version=0.0.4";

// One finished answer.
struct answer {
  int status = kOk;
  const char* type = kJsonType;
  std::string body;
};

answer JsonAnswer(int status, const json& body) {
  return {status, kJsonType, DumpJson(body) + "\n"};
}

answer ErrorAnswer(int status, const error& error) {
  return JsonAnswer(status, {{"error", ErrcName(error.code)},
                             {"path", error.path},
                             {"detail", error.detail}});
}

answer ResultAnswer(const result<json>& body) {
  if (body) {
    return JsonAnswer(kOk, body.value());
  }
  const bool missing = body.error().code == errc::kNotFound;
  return ErrorAnswer(missing ? kNotFound : kBadRequest, body.error());
}

result<flow_query> ParseFlowQuestion(const http_query& query) {
  flow_query question;
  question.service = query.Text("service");
  const std::string protocol = query.Text("protocol", "tcp");
  if (protocol != "tcp" && protocol != "udp") {
    return Fail(errc::kUnsupported,
                "got \"" + protocol + "\", expected tcp or udp", "protocol");
  }
  question.protocol = EnumValue<transport_protocol>(protocol);
  BOOST_OUTCOME_TRY(source, ParseEndpoint(query.Text("source")));
  BOOST_OUTCOME_TRY(destination, ParseEndpoint(query.Text("destination")));
  question.source = source;
  question.destination = destination;
  return question;
}

request_query ParseRequestQuestion(const http_query& query) {
  return {query.Text("service"), query.Text("method", "GET"),
          query.Text("path", "/"), query.Text("caller"),
          query.Text("idempotency_key")};
}

answer ReadyAnswer(const readiness& state) {
  return JsonAnswer(
      state.ready ? kOk : kUnavailable,
      {{"ready", state.ready}, {"waiting_for", state.waiting_for}});
}

answer ExplainFlow(const admin_hooks& hooks, const http_query& query) {
  const result<flow_query> question = ParseFlowQuestion(query);
  return question ? ResultAnswer(hooks.explain_flow(question.value()))
                  : ErrorAnswer(kBadRequest, question.error());
}

answer ItemsAnswer(std::optional<std::string> items) {
  return items ? answer{kOk, kBinaryType, std::move(*items)}
               : ErrorAnswer(kUnavailable, {errc::kLimit, "/v1/items",
                                            "busy with other peers"});
}

// Returns the document hook for `path`, or nullptr.
const std::function<json()>* DocumentHook(const admin_hooks& hooks,
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

answer MakeAnswer(const admin_hooks& hooks,
                  const std::string& path,
                  const http_query& query) {
  const std::function<json()>* document = DocumentHook(hooks, path);
  if (document != nullptr && *document) {
    return JsonAnswer(kOk, (*document)());
  }
  if (path == "/healthz") {
    return JsonAnswer(kOk, {{"alive", true}});
  }
  if (path == "/readyz" && hooks.ready) {
    return ReadyAnswer(hooks.ready());
  }
  if (path == "/metrics" && hooks.metrics) {
    return {kOk, kTextType, hooks.metrics()};
  }
  if (path == "/v1/items" && hooks.items) {
    return ItemsAnswer(hooks.items(query.Number("after")));
  }
  if (path == "/v1/flows/explain" && hooks.explain_flow) {
    return ExplainFlow(hooks, query);
  }
  if (path == "/v1/requests/explain" && hooks.explain_request) {
    return ResultAnswer(hooks.explain_request(ParseRequestQuestion(query)));
  }
  return ErrorAnswer(kNotFound, {errc::kNotFound, path, "no such path"});
}

void Send(evhttp_request* request, const answer& answer) {
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Content-Type", answer.type);
  evbuffer* body = evbuffer_new();
  evbuffer_add(body, answer.body.data(), answer.body.size());
  evhttp_send_reply(request, answer.status, nullptr, body);
  evbuffer_free(body);
}

std::string PathOf(evhttp_request* request) {
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
    : token_(std::move(token)),
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
  const std::string host = FormatIp(address.address);
  evhttp_bound_socket* bound =
      evhttp_bind_socket_with_handle(server_.get(), host.c_str(), address.port);
  if (bound == nullptr) {
    return Fail(errc::kIo, "can't be bound", FormatEndpoint(address));
  }
  socket_address local;
  local.size = sizeof(local.storage);
  getsockname(evhttp_bound_socket_get_fd(bound), local.get(), &local.size);
  return FromSocketAddress(local.storage).port;
}

void admin_server::OnRequest(evhttp_request* request, void* self) {
  static_cast<admin_server*>(self)->Serve(request);
}

void admin_server::Serve(evhttp_request* request) {
  const std::string path = PathOf(request);
  if (!Allowed(request, path)) {
    const error denied{errc::kUnauthenticated, path,
                       "expected the admin token as a bearer token"};
    Send(request, ErrorAnswer(kUnauthorized, denied));
    return;
  }
  Send(request, MakeAnswer(hooks_, path, http_query(request)));
}

bool admin_server::Allowed(evhttp_request* request,
                           const std::string& path) const {
  if (token_.empty() || path == "/healthz" || path == "/readyz") {
    return true;
  }
  const evkeyvalq* headers = evhttp_request_get_input_headers(request);
  const char* header = evhttp_find_header(headers, "Authorization");
  const std::string given = header == nullptr ? "" : header;
  const std::string wanted = "Bearer " + token_;
  return given.size() == wanted.size() &&
         CRYPTO_memcmp(given.data(), wanted.data(), wanted.size()) == 0;
}

}  // namespace rosemaryreach
