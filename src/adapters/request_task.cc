// request_task: listeners, connections, ticks and the graceful stop.
#include "adapters/request_task.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "adapters/request_task_impl.h"

namespace rosemaryreach {
namespace {

constexpr duration kConnectionTickPeriod = std::chrono::milliseconds(100);
constexpr std::size_t kMaxConnectionsPerUpstream = 32;
// Connections are still accepted for this time after a stop has begun.
constexpr duration kAcceptAfterStop = std::chrono::seconds(1);
// A stop waits at most this long for connections without requests to close.
constexpr duration kCloseAfterStop = std::chrono::seconds(3);

}  // namespace

request_task::request_task(event_loop& loop,
                           instance_id self,
                           request_task_settings settings,
                           request_task_hooks hooks,
                           log_sink& log)
    : impl_(std::make_unique<impl>(loop,
                                   self,
                                   std::move(settings),
                                   std::move(hooks),
                                   log)) {}

request_task::~request_task() = default;

result<void> request_task::Start() {
  return impl_->Start();
}

void request_task::ApplyConfiguration(
    std::shared_ptr<const configuration> config) {
  impl_->ApplyConfiguration(std::move(config));
}

void request_task::ApplyView(const fleet_view& view) {
  impl_->ApplyView(view);
}

void request_task::ConfirmView() {
  impl_->Apply(impl_->router.ConfirmView(impl_->loop.now()));
}

void request_task::OnTargetReport(const target_report& report) {
  impl_->Apply(impl_->router.OnTargetReport(impl_->loop.now(), report));
}

void request_task::OnMessage(instance_id from, const request_message& message) {
  impl_->Apply(impl_->router.OnMessage(impl_->loop.now(), from, message));
}

void request_task::BeginStop() {
  impl_->BeginStop();
}

request_task_stats request_task::stats() const {
  return impl_->stats();
}

std::vector<endpoint> request_task::caller_endpoints() const {
  std::vector<endpoint> endpoints;
  for (const std::unique_ptr<h2_listener>& listener : impl_->caller_listeners) {
    endpoints.push_back(listener->local());
  }
  return endpoints;
}

endpoint request_task::peer_endpoint() const {
  return impl_->peer_listener->local();
}

request_task::impl::impl(event_loop& loop,
                         instance_id self,
                         request_task_settings settings,
                         request_task_hooks hooks,
                         log_sink& log)
    : loop(loop),
      self(self),
      settings(std::move(settings)),
      hooks(std::move(hooks)),
      log(log),
      router(self, this->settings.router, log),
      tick_timer_(loop, [this] { Tick(); }),
      cleanup_timer_(loop, [this] {
        closed_connections_.clear();
        closed_exchanges_.clear();
        released_attempts_.clear();
      }) {}

request_task::impl::~impl() {
  // Destructors of attempts call CountBuffered(), so they must run first.
  attempts_.clear();
  exchanges_.clear();
  closed_exchanges_.clear();
  released_attempts_.clear();
}

result<void> request_task::impl::Start() {
  for (const endpoint& local : settings.callers) {
    BOOST_OUTCOME_TRY(listener,
                      h2_listener::Listen(loop, local, [this](int descriptor) {
                        Accept(descriptor, false);
                      }));
    caller_listeners.push_back(std::move(listener));
  }
  BOOST_OUTCOME_TRY(listener, h2_listener::Listen(loop, settings.peers,
                                                  [this](int descriptor) {
                                                    Accept(descriptor, true);
                                                  }));
  peer_listener = std::move(listener);
  tick_timer_.StartEvery(request_router::kTickPeriod);
  return success();
}

void request_task::impl::ApplyConfiguration(
    std::shared_ptr<const configuration> config) {
  config_ = std::move(config);
  Apply(router.ApplyConfiguration(loop.now(), *config_));
}

void request_task::impl::ApplyView(const fleet_view& view) {
  view_ = view;
  Apply(router.ApplyView(loop.now(), view));
}

void request_task::impl::Accept(int descriptor, bool from_peer) {
  if (server_connections_.size() >= settings.max_connections) {
    close(descriptor);
    return;
  }
  h2_hooks connection_hooks;
  connection_hooks.on_request = [this, from_peer](h2_connection& connection,
                                                  const h2_request& request) {
    OnRequest(connection, request, from_peer);
  };
  connection_hooks.on_draining = [](h2_connection& /*connection*/,
                                    std::string_view /*reason*/) {};
  connection_hooks.on_closed = [this](h2_connection& connection,
                                      std::string_view reason) {
    log.Write(log_level::kDebug, "caller-connection-closed", reason);
    RemoveConnection(server_connections_, connection);
  };
  server_connections_.push_back(std::make_unique<h2_connection>(
      loop, descriptor,
      from_peer ? settings.peer_limits : settings.caller_limits,
      std::move(connection_hooks)));
  if (stopping_) {
    server_connections_.back()->Drain();
  }
}

void request_task::impl::RemoveConnection(connection_list& list,
                                          h2_connection& connection) {
  const auto found = std::find_if(
      list.begin(), list.end(),
      [&connection](const std::unique_ptr<h2_connection>& candidate) {
        return candidate.get() == &connection;
      });
  if (found != list.end()) {
    closed_connections_.push_back(std::move(*found));
    std::swap(*found, list.back());
    list.pop_back();
    ScheduleCleanup();
  }
}

h2_connection* request_task::impl::PickConnection(const endpoint& remote) {
  const time_point now = loop.now();
  const connection_list& list = upstreams_[remote];
  h2_connection* fallback = nullptr;
  std::size_t healthy = 0;
  for (const std::unique_ptr<h2_connection>& connection : list) {
    const bool ping_overdue = connection->PingOverdue(now);
    healthy += !ping_overdue && !connection->draining() ? 1 : 0;
    if (!connection->CanOpenStream()) {
      continue;
    }
    if (!ping_overdue) {
      return connection.get();
    }
    fallback = connection.get();
  }
  return healthy < kMaxConnectionsPerUpstream ? OpenConnection(remote)
                                              : fallback;
}

h2_connection* request_task::impl::OpenConnection(const endpoint& remote) {
  h2_hooks connection_hooks;
  connection_hooks.on_draining = [](h2_connection& /*connection*/,
                                    std::string_view /*reason*/) {};
  connection_hooks.on_closed = [this, remote](h2_connection& connection,
                                              std::string_view reason) {
    if (log.ShouldLogDecision()) {
      log.Write(log_level::kInfo, "upstream-connection-closed",
                FormatEndpoint(remote) + ": " + std::string(reason));
    }
    RemoveConnection(upstreams_[remote], connection);
  };
  connection_list& list = upstreams_[remote];
  list.push_back(std::make_unique<h2_connection>(
      loop, remote, settings.upstream_limits, std::move(connection_hooks)));
  return list.back().get();
}

void request_task::impl::ScheduleCleanup() {
  if (!cleanup_timer_.running()) {
    cleanup_timer_.Start(duration::zero());
  }
}

void request_task::impl::CountBuffered(std::ptrdiff_t bytes) {
  counters.buffered_bytes += static_cast<std::size_t>(bytes);
  counters.peak_buffered_bytes =
      std::max(counters.peak_buffered_bytes, counters.buffered_bytes);
}

void request_task::impl::Tick() {
  const time_point now = loop.now();
  Apply(router.Tick(now));
  if (now >= next_connection_tick_) {
    next_connection_tick_ = now + kConnectionTickPeriod;
    TickConnections(now);
    ResetSlowReaders(now);
    FinishStop(now);
  }
}

std::vector<h2_connection*> request_task::impl::AllConnections() {
  std::vector<h2_connection*> all;
  for (const std::unique_ptr<h2_connection>& connection : server_connections_) {
    all.push_back(connection.get());
  }
  for (const auto& [remote, list] : upstreams_) {
    for (const std::unique_ptr<h2_connection>& connection : list) {
      all.push_back(connection.get());
    }
  }
  return all;
}

void request_task::impl::TickConnections(time_point now) {
  // Ticks may close connections and so change the lists; closed connections are
  // destroyed in the next iteration of the loop.
  for (h2_connection* connection : AllConnections()) {
    connection->Tick(now);
  }
  std::erase_if(upstreams_,
                [](const auto& upstream) { return upstream.second.empty(); });
}

void request_task::impl::ResetSlowReaders(time_point now) {
  for (const auto& [id, exchange] : exchanges_) {
    if (exchange->response_complete &&
        now - exchange->response_complete_at > settings.response_read_timeout) {
      ++counters.aborted_total;
      exchange->response_complete_at = now;
      exchange->connection.Reset(exchange->stream, NGHTTP2_INTERNAL_ERROR);
    }
  }
}

void request_task::impl::BeginStop() {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  stop_started_at_ = loop.now();
  Apply(router.BeginStop(stop_started_at_));
  for (const std::unique_ptr<h2_connection>& connection : server_connections_) {
    connection->Drain();
  }
}

void request_task::impl::FinishStop(time_point now) {
  if (!stopping_ || stopped_ || now - stop_started_at_ < kAcceptAfterStop) {
    return;
  }
  for (const std::unique_ptr<h2_listener>& listener : caller_listeners) {
    listener->AcceptWaiting();
  }
  caller_listeners.clear();
  if (!router.IsDrained() || !exchanges_.empty()) {
    return;
  }
  if (!server_connections_.empty() &&
      now - stop_started_at_ < kCloseAfterStop) {
    return;
  }
  // An exchange ends when its last frame is buffered, before the caller has it.
  const bool sent = std::all_of(
      server_connections_.begin(), server_connections_.end(),
      [](const auto& connection) { return connection->output_bytes() == 0; });
  if (!sent) {
    return;
  }
  stopped_ = true;
  if (hooks.on_stopped) {
    hooks.on_stopped();
  }
}

request_task_stats request_task::impl::stats() const {
  request_task_stats now = counters;
  now.caller_connections = server_connections_.size();
  now.requests = exchanges_.size();
  for (const std::unique_ptr<h2_connection>& connection : server_connections_) {
    now.output_bytes += connection->output_bytes();
  }
  for (const auto& [remote, list] : upstreams_) {
    now.upstream_connections += list.size();
  }
  return now;
}

}  // namespace rosemaryreach
