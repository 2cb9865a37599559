// Internals of request_task: exchanges with callers, attempts at targets and
// peers, and their connections.
#ifndef ROSEMARYREACH_ADAPTERS_REQUEST_TASK_IMPL_H_
#define ROSEMARYREACH_ADAPTERS_REQUEST_TASK_IMPL_H_

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/h2_byte_queue.h"
#include "adapters/h2_connection.h"
#include "adapters/h2_listener.h"
#include "adapters/request_task.h"
#include "adapters/request_task_headers.h"

namespace rosemaryreach {

class request_attempt;

// A caller's or a forwarding peer's request on its stream.
class request_exchange final : public h2_stream_handler {
 public:
  request_exchange(request_task::impl& task,
                   h2_connection& connection,
                   std::int32_t stream,
                   request_id id);

  void OnHeaders(h2_headers headers, bool end_stream) override;
  void OnData(std::span<const std::uint8_t> data) override;
  void OnEnd(h2_headers trailers) override;
  void OnClosed(const h2_close& close) override;
  h2_body_read ReadBody(std::span<std::uint8_t> into) override;

  // Copies bytes of the request body, starting at the absolute `position`.
  h2_body_read ReadRequestBody(std::uint64_t position,
                               std::span<std::uint8_t> into) const;
  // Frees body bytes that no attempt needs and reopens the caller's window.
  void ReleaseBody();
  // Sends `attempt`'s response headers to the caller and relays its body.
  void Relay(const std::shared_ptr<request_attempt>& attempt);
  // Called when more of the relayed response is available.
  void ResumeResponse();
  void SendLocalReply(const local_reply_action& action);
  void RemoveAttempt(const request_attempt& attempt);
  bool BodyIsEmpty() const;

  request_task::impl& task;
  h2_connection& connection;
  const std::int32_t stream;
  const request_id id;
  h2_headers headers;  // without pseudo-headers and hop-by-hop headers
  std::string method;
  std::string scheme;
  std::string authority;
  std::string path;
  std::string service;
  std::uint64_t caller = 0;
  bool grpc = false;
  instance_id forwarded_by;

  h2_byte_queue body;
  std::uint64_t body_base = 0;      // position of the first byte in `body`
  std::uint64_t body_consumed = 0;  // bytes returned to the caller's window
  bool body_ended = false;
  h2_headers body_trailers;
  bool replayable = true;

  std::vector<request_attempt*> attempts;
  std::shared_ptr<request_attempt> relayed_attempt;
  bool response_complete = false;  // received from upstream, or replied locally
  time_point response_complete_at;
};

// One attempt to send a request, on an upstream stream.
class request_attempt final : public h2_stream_handler {
 public:
  request_attempt(request_task::impl& task,
                  attempt_id id,
                  request_exchange& exchange,
                  bool to_peer);
  ~request_attempt() override;

  void OnHeaders(h2_headers headers, bool end_stream) override;
  void OnData(std::span<const std::uint8_t> data) override;
  void OnEnd(h2_headers trailers) override;
  void OnClosed(const h2_close& close) override;
  h2_body_read ReadBody(std::span<std::uint8_t> into) override;

  // Moves response bytes to the caller's stream.
  h2_body_read ReadResponse(std::span<std::uint8_t> into);

  request_task::impl& task;
  const attempt_id id;
  request_exchange* exchange;  // null once detached from the exchange
  const bool to_peer;
  h2_connection* connection = nullptr;  // null once the stream has closed
  std::int32_t stream = 0;
  std::uint64_t body_position = 0;

  h2_headers response_headers;
  h2_byte_queue response_body;
  bool response_ended = false;
  h2_headers response_trailers;
  std::optional<peer_load> load;
  bool reported = false;  // the router has the outcome

 private:
  void Report(attempt_outcome outcome);
  attempt_outcome OutcomeOf(const h2_close& close) const;
};

class request_task::impl {
 public:
  impl(event_loop& loop,
       instance_id self,
       request_task_settings settings,
       request_task_hooks hooks,
       log_sink& log);
  ~impl();

  result<void> Start();
  void ApplyConfiguration(std::shared_ptr<const configuration> config);
  void ApplyView(const fleet_view& view);
  void BeginStop();
  request_task_stats stats() const;

  // Executes the router's actions in order.
  void Apply(request_router::actions actions);

  // Removes an exchange whose stream has closed.
  void CloseExchange(request_exchange& exchange);
  // Removes an attempt whose stream has closed or was cancelled.
  void ReleaseAttempt(attempt_id id);
  void CountBuffered(std::ptrdiff_t bytes);

  event_loop& loop;
  const instance_id self;
  const request_task_settings settings;
  const request_task_hooks hooks;
  log_sink& log;
  request_router router;
  request_task_stats counters;
  std::vector<std::unique_ptr<h2_listener>> caller_listeners;
  std::unique_ptr<h2_listener> peer_listener;

 private:
  using connection_list = std::vector<std::unique_ptr<h2_connection>>;

  void Tick();
  void TickConnections(time_point now);
  void ResetSlowReaders(time_point now);
  void FinishStop(time_point now);
  std::vector<h2_connection*> AllConnections();

  void Accept(int descriptor, bool from_peer);
  void RemoveConnection(connection_list& list, h2_connection& connection);
  h2_connection* PickConnection(const endpoint& remote);
  h2_connection* OpenConnection(const endpoint& remote);
  void ScheduleCleanup();

  void OnRequest(h2_connection& connection,
                 const h2_request& request,
                 bool from_peer);
  void Refuse(h2_connection& connection,
              const h2_request& request,
              request_rejection rejection);
  bool ParseForwardedHeaders(const h2_headers& headers,
                             request_exchange& exchange);
  const service_config* SelectService(const endpoint& local,
                                      std::string_view authority) const;

  void Execute(const dispatch_action& action);
  void Execute(const forward_action& action);
  void Execute(const cancel_action& action);
  void Execute(const relay_action& action);
  void Execute(const local_reply_action& action);
  void Execute(const send_action& action);
  void Send(request_id request,
            attempt_id attempt,
            const endpoint& remote,
            instance_id peer,
            duration timeout);
  h2_headers UpstreamHeaders(const request_exchange& exchange,
                             instance_id peer,
                             duration timeout) const;

  std::shared_ptr<const configuration> config_;
  fleet_view view_;
  loop_timer tick_timer_;
  time_point next_connection_tick_;
  connection_list server_connections_;
  std::map<endpoint, connection_list> upstreams_;
  absl::flat_hash_map<std::uint64_t, std::unique_ptr<request_exchange>>
      exchanges_;
  absl::flat_hash_map<std::uint64_t, std::shared_ptr<request_attempt>>
      attempts_;
  std::uint64_t next_request_ = 1;
  std::deque<request_action> pending_actions_;
  bool applying_ = false;

  // Destroyed in the next iteration of the loop: their methods may be running.
  connection_list closed_connections_;
  std::vector<std::unique_ptr<request_exchange>> closed_exchanges_;
  std::vector<std::shared_ptr<request_attempt>> released_attempts_;
  loop_timer cleanup_timer_;

  bool stopping_ = false;
  bool stopped_ = false;
  time_point stop_started_at_;
};

// Returns the text that a forwarded request's authenticator covers.
std::string ForwardedText(instance_id from,
                          instance_id to,
                          const request_exchange& exchange);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_REQUEST_TASK_IMPL_H_
