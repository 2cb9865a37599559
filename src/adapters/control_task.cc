#include "adapters/control_task.h"

#include <chrono>
#include <optional>
#include <span>
#include <utility>

#include "adapters/grpc_peer.h"
#include "adapters/udp_socket.h"
#include "rosemaryreach/control_plane.h"

namespace rosemaryreach {
namespace {

constexpr duration kTickPeriod = std::chrono::milliseconds(50);
constexpr duration kGrpcTimeout = std::chrono::milliseconds(500);
constexpr int kSocketBufferBytes = 1'000'000;
// The steady rate is 60 % of the limit; the burst is the remaining 40 % over
// ten seconds, or 4 s of the limit.
constexpr std::uint32_t kBurstSeconds = 4;
constexpr std::uint32_t kSteadyPercent = 60;

std::uint64_t WallClockMicroseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

instance_info MakeInstanceInfo(const settings& settings,
                               std::uint64_t incarnation) {
  instance_info info;
  info.id = MakeInstanceId(settings.instance);
  info.name = settings.instance;
  info.data_centre = settings.data_centre;
  info.region = settings.region;
  info.address = settings.address;
  info.control_port = settings.listeners.control_port;
  info.detour_port = settings.listeners.detour_port;
  info.request_port = settings.listeners.peer_request_port;
  info.grpc_port = settings.listeners.grpc_port;
  info.packet_workers = settings.listeners.packet_workers;
  info.incarnation = incarnation;
  return info;
}

control_plane_options MakeControlPlaneOptions(const settings& settings) {
  control_plane_options options;
  const std::uint32_t limit = settings.limits.control_bytes_per_s;
  options.queue.budget.bytes_per_s = limit * kSteadyPercent / 100;
  options.queue.budget.burst_bytes = limit * kBurstSeconds;
  return options;
}

}  // namespace

class control_task::impl {
 public:
  impl(event_loop& loop,
       const settings& settings,
       peer_keys keys,
       platform_source& platform,
       log_sink& log,
       control_hooks hooks)
      : impl(loop,
             settings,
             std::move(keys),
             platform,
             log,
             std::move(hooks),
             WallClockMicroseconds()) {}

  result<void> Start() {
    BOOST_OUTCOME_TRY(
        bound, udp_socket::Bind(control_address_, port_sharing::kExclusive,
                                kSocketBufferBytes));
    socket_.emplace(std::move(bound));
    BOOST_OUTCOME_TRYV(
        grpc_.Listen(grpc_address_, [this](std::string_view request) {
          return plane_.OnGrpcRequest(loop_.now(), request);
        }));
    sender_.emplace(socket_->fd());
    watch_.emplace(loop_, socket_->fd(), io_event::kRead,
                   [this] { OnReadable(); });
    timer_.StartEvery(kTickPeriod);
    Execute(plane_.Tick(loop_.now()));
    return success();
  }

  void SetState(instance_state state) {
    Execute(plane_.SetState(loop_.now(), state));
  }

  void Leave() {
    timer_.Stop();
    Execute(plane_.Leave(loop_.now()));
    watch_.reset();
  }

  result<void> Send(state_kind kind, instance_id to, std::string_view payload) {
    return plane_.SendState(loop_.now(), kind, to, payload);
  }

  control_status Status() const {
    control_status status;
    const membership& members = plane_.members();
    status.view = members.view();
    status.trusted = members.trusted();
    status.ready = plane_.ready();
    status.waiting_for = plane_.WaitingFor();
    status.state = members.state();
    status.data_centres = members.DataCentres();
    status.membership = members.counters();
    status.configuration = plane_.sync().status();
    status.verdicts.assign(plane_.log().verdicts().begin(),
                           plane_.log().verdicts().end());
    status.auth = plane_.auth().stats();
    status.budget = plane_.queue().stats();
    return status;
  }

  control_plane& plane() { return plane_; }

 private:
  impl(event_loop& loop,
       const settings& settings,
       peer_keys keys,
       platform_source& platform,
       log_sink& log,
       control_hooks hooks,
       std::uint64_t wall_us)
      : loop_(loop),
        platform_(platform),
        log_(log),
        hooks_(std::move(hooks)),
        control_address_{settings.address, settings.listeners.control_port},
        grpc_address_{settings.address, settings.listeners.grpc_port},
        plane_(MakeControlPlaneOptions(settings),
               MakeInstanceInfo(settings, wall_us / 1'000),
               settings.seeds,
               std::move(keys),
               wall_us,
               HashPair(MakeInstanceId(settings.instance).value, wall_us),
               [this](const accepted_change& change) { OnAccepted(change); }),
        grpc_(loop),
        timer_(loop, [this] { Execute(plane_.Tick(loop_.now())); }),
        alive_(std::make_shared<bool>(true)) {}

  void OnReadable() {
    for (std::span<const datagram> batch = receiver_.Receive(socket_->fd());
         !batch.empty(); batch = receiver_.Receive(socket_->fd())) {
      for (const datagram& one : batch) {
        const std::string_view bytes(
            reinterpret_cast<const char*>(one.bytes.data()), one.bytes.size());
        Execute(plane_.OnDatagram(loop_.now(), one.from, bytes));
      }
      if (batch.size() < kBatchDatagrams) {
        return;
      }
    }
  }

  void Execute(control_actions actions) {
    SendAll(actions.send);
    for (const read_platform& read : actions.reads) {
      ReadEntries(read);
    }
    for (grpc_request& request : actions.grpc_requests) {
      SendGrpcRequest(std::move(request));
    }
    if (actions.read_live_list) {
      ReadInstanceList();
    }
    for (const entry_outcome& outcome : actions.refused_entries) {
      LogRefusedEntry(outcome);
    }
    if (actions.view_changed) {
      OnViewChanged();
    }
    for (const received_state& state : actions.states) {
      const auto& callback = state.kind == state_kind::kFlows
                                 ? hooks_.on_flow_state
                                 : hooks_.on_request_state;
      if (callback) {
        callback(state.from, state.payload);
      }
    }
  }

  void SendAll(const std::vector<queued_datagram>& datagrams) {
    if (!sender_ || datagrams.empty()) {
      return;
    }
    for (const queued_datagram& one : datagrams) {
      const std::span<const char> bytes(one.bytes);
      sender_->Add(
          0,
          {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()},
          one.to);
    }
    sender_->Flush();
  }

  void ReadEntries(const read_platform& read) {
    platform_.WatchEntries(
        read.after, read.wait,
        [this, alive = std::weak_ptr(alive_),
         token = read.token](const result<platform_page>& page) {
          if (!alive.expired()) {
            Execute(plane_.OnPlatformPage(loop_.now(), token, page));
          }
        });
  }

  void SendGrpcRequest(grpc_request request) {
    grpc_.Ask(
        request.grpc, std::move(request.bytes), kGrpcTimeout,
        [this, token = request.token](const result<std::string>& response) {
          Execute(plane_.OnGrpcResponse(loop_.now(), token, response));
        });
  }

  void ReadInstanceList() {
    platform_.ReadInstanceList(
        [this, alive = std::weak_ptr(alive_)](
            const result<std::vector<listed_instance>>& list) {
          if (!alive.expired() && list) {
            plane_.OnLiveList(list.value());
          }
        });
  }

  void OnAccepted(const accepted_change& change) {
    log_.Write(log_level::kInfo, "configuration_in_force",
               "number " + std::to_string(change.current->number));
    if (hooks_.on_configuration) {
      hooks_.on_configuration(change);
    }
  }

  void OnViewChanged() {
    const membership& members = plane_.members();
    if (members.view().version != logged_version_ ||
        members.trusted() != logged_trusted_) {
      logged_version_ = members.view().version;
      logged_trusted_ = members.trusted();
      log_.Write(log_level::kInfo, "fleet_view",
                 std::to_string(members.view().instances.size()) +
                     " instances, " +
                     (logged_trusted_ ? "trusted" : "not trusted"));
    }
    // Consecutive untrusted views are reported only once.
    const bool already_reported = last_reported_trusted_ &&
                                  !*last_reported_trusted_ &&
                                  !members.trusted();
    last_reported_trusted_ = members.trusted();
    if (hooks_.on_view && !already_reported) {
      hooks_.on_view(members.view(), members.trusted());
    }
  }

  void LogRefusedEntry(const entry_outcome& outcome) {
    const std::string reason =
        outcome.reason ? ": " + FormatError(*outcome.reason) : "";
    log_.Write(log_level::kWarning, "entry_refused",
               std::string(VerdictName(outcome.verdict)) + " entry " +
                   std::to_string(outcome.sequence) + reason);
  }

  event_loop& loop_;
  platform_source& platform_;
  log_sink& log_;
  control_hooks hooks_;
  endpoint control_address_;
  endpoint grpc_address_;
  control_plane plane_;
  std::uint64_t logged_version_ = 0;
  bool logged_trusted_ = false;
  // Whether the view last passed to on_view was trusted; empty before.
  std::optional<bool> last_reported_trusted_;
  std::optional<udp_socket> socket_;
  receive_batch receiver_;
  std::optional<send_batch> sender_;
  std::optional<descriptor_watch> watch_;
  grpc_peer grpc_;
  loop_timer timer_;
  std::shared_ptr<bool> alive_;
};

control_task::control_task(event_loop& loop,
                           const settings& settings,
                           peer_keys keys,
                           platform_source& platform,
                           log_sink& log,
                           control_hooks hooks)
    : impl_(std::make_unique<impl>(loop,
                                   settings,
                                   std::move(keys),
                                   platform,
                                   log,
                                   std::move(hooks))) {}

control_task::~control_task() = default;

result<void> control_task::Start() {
  return impl_->Start();
}

void control_task::SetState(instance_state state) {
  impl_->SetState(state);
}

void control_task::Leave() {
  impl_->Leave();
}

result<void> control_task::SendFlowState(instance_id to,
                                         std::string_view payload) {
  return impl_->Send(state_kind::kFlows, to, payload);
}

result<void> control_task::SendRequestState(instance_id to,
                                            std::string_view payload) {
  return impl_->Send(state_kind::kRequests, to, payload);
}

void control_task::SetKeys(peer_keys keys) {
  impl_->plane().SetKeys(std::move(keys));
}

const fleet_view& control_task::view() const {
  return impl_->plane().members().view();
}

bool control_task::trusted() const {
  return impl_->plane().members().trusted();
}

std::shared_ptr<const configuration> control_task::current_configuration()
    const {
  return impl_->plane().log().current();
}

control_status control_task::Status() const {
  return impl_->Status();
}

}  // namespace rosemaryreach
