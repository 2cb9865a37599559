// A worker of the packet plane: receives encapsulated packets, routes each with
// its flow router and forwards it. Owns its sockets and its router.
#ifndef ROSEMARYREACH_ADAPTERS_PACKET_WORKER_H_
#define ROSEMARYREACH_ADAPTERS_PACKET_WORKER_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "adapters/event_loop.h"
#include "adapters/udp_socket.h"
#include "rosemaryreach/flow_router.h"
#include "rosemaryreach/log.h"
#include "rosemaryreach/peer_auth.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

struct packet_worker_options {
  ip_address address;
  // Shared by all workers of the instance.
  std::uint16_t packet_port = 0;
  // This worker's own port.
  std::uint16_t detour_port = 0;
  // Next hop of packets to callers, as IP-in-UDP; if unset, no reset is sent.
  std::optional<endpoint> answer_next_hop;
  int socket_buffer_bytes = 8 << 20;
  flow_router_options router;
};

// Callbacks, called on the worker's loop.
struct packet_worker_hooks {
  std::function<void(instance_id to, std::string payload)> send_flow_state;
};

// Counters since the start, in datagrams unless stated otherwise.
struct packet_worker_stats {
  std::uint64_t received = 0;
  std::uint64_t detours_received = 0;
  std::uint64_t detours_refused = 0;  // without a valid authenticator or header
  std::uint64_t sent = 0;
  std::uint64_t send_errors = 0;
  std::uint64_t truncated = 0;
  std::uint64_t resets_unsent = 0;  // no answer_next_hop, or not TCP
  flow_router_stats router;
  // Version of the fleet view that the two fields below refer to.
  std::uint64_t view_version = 0;
  bool synchronized = false;
  bool handed_over = false;
};

class packet_worker {
 public:
  packet_worker(event_loop& loop,
                const packet_worker_options& options,
                peer_keys keys,
                std::uint64_t first_sequence,
                log_sink& log,
                packet_worker_hooks hooks);
  ~packet_worker();

  // Binds the sockets and starts receiving; returns errc::kIo on failure.
  result<void> Start();

  // The methods below must be called on the worker's loop.
  void ApplyConfiguration(std::shared_ptr<const configuration> config);
  void ApplyView(const fleet_view& view);
  void SetTrusted(bool trusted);
  void OnFlowState(instance_id from, const flow_message& message);
  void ReportTarget(std::string_view service,
                    std::string_view target,
                    target_condition condition);
  packet_worker_stats stats() const;

 private:
  // The sockets with their watches; created by Start().
  struct sockets;

  void OnPackets();
  void OnDetours();
  void OnTick();
  void Forward(std::span<const std::uint8_t> packet,
               const detour_info* detour,
               time_point now);
  void SendDetour(std::span<const std::uint8_t> packet,
                  const flow_decision& decision);
  void SendReset(std::span<const std::uint8_t> packet);
  void Flush();

  event_loop& loop_;
  packet_worker_options options_;
  packet_worker_hooks hooks_;
  peer_auth auth_;
  flow_router router_;
  receive_batch batch_;
  std::unique_ptr<sockets> sockets_;
  loop_timer tick_timer_;
  // Datagram bodies that must stay valid until the next Flush().
  std::array<std::string, kBatchDatagrams> detour_buffers_;
  std::size_t detour_buffers_used_ = 0;
  std::array<std::array<std::uint8_t, kMaxResetBytes>, kBatchDatagrams>
      reset_buffers_{};
  std::size_t reset_buffers_used_ = 0;
  packet_worker_stats stats_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_PACKET_WORKER_H_
