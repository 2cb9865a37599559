#include "adapters/packet_worker.h"

#include <utility>

#include "rosemaryreach/detour_frame.h"
#include "rosemaryreach/packet.h"

namespace rosemaryreach {
namespace {

// Maximum batches read from one socket before other events are processed.
constexpr int kMaxBatchesPerWakeup = 16;

// Returns the ID that the authenticator of detoured packets uses for the worker
// that receives them on `detour_endpoint`.
instance_id DetourPeerId(const endpoint& detour_endpoint) {
  return MakeInstanceId(FormatEndpoint(detour_endpoint));
}

std::string_view AsStringView(std::span<const std::uint8_t> bytes) {
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

std::span<const std::uint8_t> AsBytes(std::string_view text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

}  // namespace

struct packet_worker::sockets {
  sockets(event_loop& loop,
          udp_socket packet_socket,
          udp_socket detour_socket,
          packet_worker& worker)
      : packets(std::move(packet_socket)),
        detours(std::move(detour_socket)),
        outbound(packets.fd()),
        packet_watch(loop,
                     packets.fd(),
                     io_event::kRead,
                     [&worker] { worker.OnPackets(); }),
        detour_watch(loop, detours.fd(), io_event::kRead, [&worker] {
          worker.OnDetours();
        }) {}

  udp_socket packets;
  udp_socket detours;
  send_batch outbound;
  descriptor_watch packet_watch;
  descriptor_watch detour_watch;
};

packet_worker::packet_worker(event_loop& loop,
                             const packet_worker_options& options,
                             peer_keys keys,
                             std::uint64_t first_sequence,
                             log_sink& log,
                             packet_worker_hooks hooks)
    : loop_(loop),
      options_(options),
      hooks_(std::move(hooks)),
      auth_(DetourPeerId({options.address, options.detour_port}),
            std::move(keys),
            first_sequence),
      router_(options.router, log),
      tick_timer_(loop, [this] { OnTick(); }) {}

packet_worker::~packet_worker() = default;

result<void> packet_worker::Start() {
  const endpoint packets{options_.address, options_.packet_port};
  const endpoint detours{options_.address, options_.detour_port};
  BOOST_OUTCOME_TRY(packet_socket,
                    udp_socket::Bind(packets, port_sharing::kShared,
                                     options_.socket_buffer_bytes));
  BOOST_OUTCOME_TRY(detour_socket,
                    udp_socket::Bind(detours, port_sharing::kExclusive,
                                     options_.socket_buffer_bytes));
  sockets_ = std::make_unique<sockets>(loop_, std::move(packet_socket),
                                       std::move(detour_socket), *this);
  tick_timer_.StartEvery(std::chrono::milliseconds(kFlowTickMs));
  return success();
}

void packet_worker::ApplyConfiguration(
    std::shared_ptr<const configuration> config) {
  router_.ApplyConfiguration(std::move(config), loop_.now());
}

void packet_worker::ApplyView(const fleet_view& view) {
  router_.ApplyView(view, loop_.now());
  stats_.view_version = view.version;
}

void packet_worker::SetTrusted(bool trusted) {
  router_.SetTrusted(trusted, loop_.now());
}

void packet_worker::OnFlowState(instance_id from, const flow_message& message) {
  router_.OnMessage(from, message, loop_.now());
  OnTick();
}

void packet_worker::ReportTarget(std::string_view service,
                                 std::string_view target,
                                 target_condition condition) {
  router_.ReportTarget(service, target, condition, loop_.now());
}

packet_worker_stats packet_worker::stats() const {
  packet_worker_stats stats = stats_;
  stats.router = router_.stats();
  stats.synchronized = router_.synchronized();
  stats.handed_over = router_.handed_over();
  stats.truncated = batch_.truncated();
  if (sockets_) {
    stats.sent = sockets_->outbound.sent();
    stats.send_errors = sockets_->outbound.dropped();
  }
  return stats;
}

void packet_worker::OnPackets() {
  for (int i = 0; i < kMaxBatchesPerWakeup; ++i) {
    const std::span<const datagram> received =
        batch_.Receive(sockets_->packets.fd());
    const time_point now = loop_.now();
    for (const datagram& packet : received) {
      ++stats_.received;
      Forward(packet.bytes, nullptr, now);
    }
    Flush();
    if (received.size() < kBatchDatagrams) {
      return;
    }
  }
}

void packet_worker::OnDetours() {
  for (int i = 0; i < kMaxBatchesPerWakeup; ++i) {
    const std::span<const datagram> received =
        batch_.Receive(sockets_->detours.fd());
    const time_point now = loop_.now();
    for (const datagram& sealed : received) {
      ++stats_.detours_received;
      const result<opened_datagram> opened =
          auth_.Open(AsStringView(sealed.bytes));
      const std::span<const std::uint8_t> frame =
          opened ? AsBytes(opened.value().payload)
                 : std::span<const std::uint8_t>();
      const std::optional<detour_info> detour = DecodeDetour(frame);
      if (!detour) {
        ++stats_.detours_refused;
        continue;
      }
      Forward(frame.subspan(kDetourHeaderBytes), &*detour, now);
    }
    Flush();
    if (received.size() < kBatchDatagrams) {
      return;
    }
  }
}

void packet_worker::OnTick() {
  for (const outgoing_flow_message& outgoing : router_.Tick(loop_.now())) {
    hooks_.send_flow_state(outgoing.to, EncodeFlowMessage(outgoing.message));
  }
}

void packet_worker::Forward(std::span<const std::uint8_t> packet,
                            const detour_info* detour,
                            time_point now) {
  const packet_info info = ParsePacket(packet);
  const flow_decision decision = router_.Route(info, detour, now);
  switch (decision.action) {
    case flow_action::kDrop:
      return;
    case flow_action::kTarget:
    case flow_action::kLegacy:
      sockets_->outbound.Add(0, packet, decision.next_hop);
      return;
    case flow_action::kDetour:
      SendDetour(packet, decision);
      return;
    case flow_action::kReset:
      SendReset(packet);
      return;
  }
}

void packet_worker::SendDetour(std::span<const std::uint8_t> packet,
                               const flow_decision& decision) {
  std::string frame(kDetourHeaderBytes + packet.size(), '\0');
  std::span<std::uint8_t> bytes(reinterpret_cast<std::uint8_t*>(frame.data()),
                                frame.size());
  EncodeDetour(decision.detour, bytes);
  std::copy(packet.begin(), packet.end(), bytes.begin() + kDetourHeaderBytes);
  std::string& sealed = detour_buffers_[detour_buffers_used_++];
  sealed = auth_.Seal(DetourPeerId(decision.next_hop), frame);
  sockets_->outbound.Add(0, AsBytes(sealed), decision.next_hop);
}

void packet_worker::SendReset(std::span<const std::uint8_t> packet) {
  std::array<std::uint8_t, kMaxResetBytes>& reset =
      reset_buffers_[reset_buffers_used_];
  const std::size_t size = BuildReset(packet, reset);
  if (size == 0 || !options_.answer_next_hop) {
    ++stats_.resets_unsent;
    return;
  }
  ++reset_buffers_used_;
  sockets_->outbound.Add(0, {reset.data(), size}, *options_.answer_next_hop);
}

void packet_worker::Flush() {
  sockets_->outbound.Flush();
  detour_buffers_used_ = 0;
  reset_buffers_used_ = 0;
}

}  // namespace rosemaryreach
