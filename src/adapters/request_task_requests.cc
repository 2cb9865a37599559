// request_task: accepts requests and executes the router's actions.
#include <algorithm>
#include <charconv>
#include <variant>

#include "adapters/request_task_impl.h"

namespace rosemaryreach {
namespace {

constexpr std::size_t kMaxAddedHeaders = 12;
constexpr int kHexBase = 16;
constexpr std::uint64_t kIdempotencyKeySeed = 0x6b65'7973;

std::string ToHex(std::uint64_t value) {
  char text[17];
  const std::to_chars_result end =
      std::to_chars(text, text + sizeof(text), value, kHexBase);
  return {text, end.ptr};
}

std::uint64_t FromHex(std::string_view text) {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, value, kHexBase);
  return parsed.ec == std::errc() && parsed.ptr == end ? value : 0;
}

// Hop-by-hop fields, and fields that rosemaryreach sets itself.
bool IsHopHeader(std::string_view name) {
  return name.starts_with(':') || name.starts_with(kHeaderPrefix) ||
         name == "grpc-timeout" || name == "connection" || name == "host" ||
         name == "keep-alive" || name == "proxy-connection" ||
         name == "transfer-encoding" || name == "upgrade";
}

std::string_view HostOf(std::string_view authority) {
  return authority.substr(0, authority.rfind(':'));
}

bool MatchesAuthority(const service_config& service,
                      std::string_view authority) {
  if (authority == service.name || HostOf(authority) == service.name) {
    return true;
  }
  return std::any_of(service.addresses.begin(), service.addresses.end(),
                     [authority](const endpoint& address) {
                       return FormatEndpoint(address) == authority;
                     });
}

void CopyRequest(const h2_headers& headers, request_exchange& exchange) {
  exchange.method = FindHeader(headers, ":method");
  exchange.scheme = FindHeader(headers, ":scheme");
  exchange.path = FindHeader(headers, ":path");
  exchange.authority = FindHeader(headers, ":authority");
  if (exchange.authority.empty()) {
    exchange.authority = FindHeader(headers, "host");
  }
  exchange.grpc = IsGrpc(headers);
  exchange.headers.reserve(headers.size());
  for (const h2_header& header : headers) {
    if (!IsHopHeader(header.name)) {
      exchange.headers.push_back(header);
    }
  }
}

std::uint64_t HashIdempotencyKey(const request_exchange& exchange) {
  const std::string_view key = FindHeader(exchange.headers, "idempotency-key");
  if (key.empty()) {
    return 0;
  }
  const std::uint64_t hash = HashPair(HashBytes(exchange.service),
                                      HashBytes(key, kIdempotencyKeySeed));
  return std::max<std::uint64_t>(hash, 1);
}

std::uint64_t HashCaller(const endpoint& remote) {
  return HashBytes({reinterpret_cast<const char*>(remote.address.bytes.data()),
                    remote.address.bytes.size()});
}

}  // namespace

std::string ForwardedText(instance_id from,
                          instance_id to,
                          const request_exchange& exchange) {
  std::string text;
  for (const std::string& part :
       {ToHex(from.value), ToHex(to.value), exchange.service,
        ToHex(exchange.caller), exchange.method, exchange.path}) {
    text += part;
    text += '\n';
  }
  return text;
}

const service_config* request_task::impl::SelectService(
    const endpoint& local,
    std::string_view authority) const {
  if (!config_) {
    return nullptr;
  }
  std::vector<const service_config*> by_address;
  std::vector<const service_config*> by_authority;
  for (const service_config& service : config_->services) {
    if (service.plane != service_plane::kRequests) {
      continue;
    }
    if (std::find(service.addresses.begin(), service.addresses.end(), local) !=
        service.addresses.end()) {
      by_address.push_back(&service);
    }
    if (MatchesAuthority(service, authority)) {
      by_authority.push_back(&service);
    }
  }
  if (by_address.size() == 1) {
    return by_address.front();
  }
  for (const service_config* service : by_authority) {
    if (by_address.empty() || std::find(by_address.begin(), by_address.end(),
                                        service) != by_address.end()) {
      return service;
    }
  }
  return nullptr;
}

void request_task::impl::Refuse(h2_connection& connection,
                                const h2_request& request,
                                request_rejection rejection) {
  ++counters.refused_total;
  connection.SubmitResponse(
      request.stream,
      LocalReplyHeaders(MakeLocalReply(rejection), IsGrpc(request.headers)),
      false);
}

bool request_task::impl::ParseForwardedHeaders(const h2_headers& headers,
                                               request_exchange& exchange) {
  exchange.forwarded_by = {FromHex(FindHeader(headers, kHopHeader))};
  exchange.service = FindHeader(headers, kServiceHeader);
  exchange.caller = FromHex(FindHeader(headers, kCallerHeader));
  return exchange.forwarded_by && hooks.verify &&
         hooks.verify(ForwardedText(exchange.forwarded_by, self, exchange),
                      FindHeader(headers, kAuthenticatorHeader));
}

void request_task::impl::OnRequest(h2_connection& connection,
                                   const h2_request& request,
                                   bool from_peer) {
  ++counters.requests_total;
  if (request.too_large) {
    Refuse(connection, request, request_rejection::kHeadersTooLarge);
    return;
  }
  if (counters.buffered_bytes > settings.max_buffered_bytes) {
    Refuse(connection, request, request_rejection::kBuffersFull);
    return;
  }
  const request_id id{next_request_++};
  std::unique_ptr<request_exchange> created =
      std::make_unique<request_exchange>(*this, connection, request.stream, id);
  request_exchange& exchange = *created;
  CopyRequest(request.headers, exchange);
  exchange.body_ended = request.end_stream;
  if (from_peer) {
    if (!ParseForwardedHeaders(request.headers, exchange)) {
      Refuse(connection, request, request_rejection::kUnauthenticated);
      return;
    }
  } else {
    const service_config* service =
        SelectService(connection.local(), exchange.authority);
    if (service == nullptr || exchange.method == "CONNECT") {
      Refuse(connection, request, request_rejection::kNoService);
      return;
    }
    exchange.service = service->name;
    exchange.caller = HashCaller(connection.remote());
  }
  exchanges_[id.value] = std::move(created);
  connection.SetStreamHandler(request.stream, &exchange);
  request_info info;
  info.id = id;
  info.service = exchange.service;
  info.method = exchange.method;
  info.path = exchange.path;
  info.caller = exchange.caller;
  info.timeout = RequestTimeout(request.headers);
  info.idempotency_key = HashIdempotencyKey(exchange);
  info.forwarded_by = exchange.forwarded_by;
  Apply(router.OnArrival(loop.now(), info));
}

void request_task::impl::CloseExchange(request_exchange& exchange) {
  const auto found = exchanges_.find(exchange.id.value);
  if (found == exchanges_.end()) {
    return;
  }
  CountBuffered(-static_cast<std::ptrdiff_t>(exchange.body.size()));
  closed_exchanges_.push_back(std::move(found->second));
  exchanges_.erase(found);
  ScheduleCleanup();
  if (!exchange.response_complete) {
    Apply(router.OnCancel(loop.now(), exchange.id));
  }
  const std::vector<request_attempt*> open_attempts =
      std::move(exchange.attempts);
  exchange.attempts.clear();
  for (request_attempt* attempt : open_attempts) {
    // The response was complete before the request body.
    attempt->exchange = nullptr;
    attempt->connection->Cancel(attempt->stream, [] {});
    ReleaseAttempt(attempt->id);
  }
  if (exchange.relayed_attempt) {
    exchange.relayed_attempt->exchange = nullptr;
    exchange.relayed_attempt.reset();
  }
}

void request_task::impl::ReleaseAttempt(attempt_id id) {
  const auto found = attempts_.find(id.value);
  if (found != attempts_.end()) {
    released_attempts_.push_back(std::move(found->second));
    attempts_.erase(found);
    ScheduleCleanup();
  }
}

void request_task::impl::Apply(request_router::actions actions) {
  if (actions.empty()) {
    return;
  }
  pending_actions_.insert(pending_actions_.end(), actions.begin(),
                          actions.end());
  if (applying_) {
    return;
  }
  applying_ = true;
  while (!pending_actions_.empty()) {
    const request_action action = std::move(pending_actions_.front());
    pending_actions_.pop_front();
    std::visit([this](const auto& alternative) { Execute(alternative); },
               action);
  }
  applying_ = false;
}

void request_task::impl::Execute(const dispatch_action& action) {
  Send(action.request, action.attempt, action.address, {}, action.timeout);
}

void request_task::impl::Execute(const forward_action& action) {
  const instance_info* peer = FindInstance(view_, action.instance);
  const endpoint remote = peer == nullptr
                              ? endpoint{}
                              : endpoint{peer->address, peer->request_port};
  Send(action.request, action.attempt, remote, action.instance, action.timeout);
}

void request_task::impl::Execute(const cancel_action& action) {
  const auto found = attempts_.find(action.attempt.value);
  if (found == attempts_.end()) {
    return;
  }
  const std::shared_ptr<request_attempt> attempt = found->second;
  attempt->reported = true;
  if (attempt->exchange != nullptr) {
    attempt->exchange->RemoveAttempt(*attempt);
    attempt->exchange = nullptr;
  }
  ReleaseAttempt(attempt->id);
  if (attempt->connection != nullptr) {
    const attempt_id id = attempt->id;
    attempt->connection->Cancel(attempt->stream, [this, id] {
      Apply(router.OnAttemptEnd(loop.now(), id,
                                attempt_outcome::kCancelConfirmed));
    });
  }
}

void request_task::impl::Execute(const relay_action& action) {
  const auto exchange = exchanges_.find(action.request.value);
  const auto attempt = attempts_.find(action.attempt.value);
  if (exchange == exchanges_.end() || attempt == attempts_.end()) {
    return;
  }
  exchange->second->Relay(attempt->second);
}

void request_task::impl::Execute(const local_reply_action& action) {
  const auto exchange = exchanges_.find(action.request.value);
  if (exchange != exchanges_.end()) {
    exchange->second->SendLocalReply(action);
  }
}

void request_task::impl::Execute(const send_action& action) {
  if (hooks.send) {
    hooks.send(action.instance, action.message);
  }
}

void request_task::impl::Send(request_id request,
                              attempt_id attempt,
                              const endpoint& remote,
                              instance_id peer,
                              duration timeout) {
  const auto report_unsent = [this, attempt] {
    Apply(router.OnAttemptEnd(loop.now(), attempt,
                              attempt_outcome::kTargetNotReached));
  };
  const auto found = exchanges_.find(request.value);
  if (found == exchanges_.end() || !found->second->replayable ||
      remote.port == 0) {
    report_unsent();
    return;
  }
  request_exchange& exchange = *found->second;
  h2_connection* const connection = PickConnection(remote);
  if (connection == nullptr) {
    report_unsent();
    return;
  }
  std::shared_ptr<request_attempt> created = std::make_shared<request_attempt>(
      *this, attempt, exchange, static_cast<bool>(peer));
  const std::optional<std::int32_t> stream =
      connection->SubmitRequest(UpstreamHeaders(exchange, peer, timeout),
                                !exchange.BodyIsEmpty(), created.get());
  if (!stream) {
    report_unsent();
    return;
  }
  created->connection = connection;
  created->stream = *stream;
  exchange.attempts.push_back(created.get());
  attempts_[attempt.value] = std::move(created);
}

h2_headers request_task::impl::UpstreamHeaders(const request_exchange& exchange,
                                               instance_id peer,
                                               duration timeout) const {
  h2_headers headers;
  headers.reserve(exchange.headers.size() + kMaxAddedHeaders);
  headers = {{":method", exchange.method},
             {":scheme", exchange.scheme},
             {":authority", exchange.authority},
             {":path", exchange.path}};
  headers.insert(headers.end(), exchange.headers.begin(),
                 exchange.headers.end());
  const std::int64_t milliseconds = timeout / std::chrono::milliseconds(1);
  headers.push_back(
      {std::string(kTimeoutHeader), std::to_string(milliseconds), false});
  if (exchange.grpc) {
    headers.push_back({"grpc-timeout", FormatGrpcTimeout(timeout), false});
  }
  if (peer) {
    headers.push_back({std::string(kHopHeader), ToHex(self.value)});
    headers.push_back({std::string(kServiceHeader), exchange.service});
    headers.push_back({std::string(kCallerHeader), ToHex(exchange.caller)});
    const std::string text = ForwardedText(self, peer, exchange);
    headers.push_back({std::string(kAuthenticatorHeader),
                       hooks.sign ? hooks.sign(text) : std::string(), false});
  }
  return headers;
}

}  // namespace rosemaryreach
