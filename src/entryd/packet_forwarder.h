// Receives packets of callers on a UDP socket and forwards them to targets, or
// answers them with resets.
#ifndef ROSEMARYREACH_ENTRYD_PACKET_FORWARDER_H_
#define ROSEMARYREACH_ENTRYD_PACKET_FORWARDER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "adapters/event_loop.h"
#include "adapters/udp_socket.h"
#include "entryd/entry_log.h"
#include "entryd/entry_metrics.h"
#include "rosemaryreach/packet_director.h"

namespace rosemaryreach {

class packet_forwarder {
 public:
  // Called with the cookie of each packet that is dropped, as no target with it
  // is known.
  using unknown_cookie_hook = std::function<void(std::uint32_t)>;

  packet_forwarder(event_loop& loop,
                   const endpoint& address,
                   const target_directory& directory,
                   packet_director& director,
                   std::function<view_freshness()> check_freshness,
                   unknown_cookie_hook on_unknown_cookie,
                   entry_log& log,
                   entry_metrics& metrics);

  // Binds the socket. Packets are queued in its receive buffer until
  // StartReceiving().
  result<void> Start();

  // Starts to read packets.
  void StartReceiving();
  bool receiving() const { return watch_ != nullptr; }

  // Handles the packets that wait in the socket, until `until` at the latest.
  void HandleWaiting(time_point until);

  // Time of the last packet of a caller, or of construction before the first.
  time_point last_packet() const { return last_packet_; }

  // Counts a decision and logs it if it is unusual, within the limit of lines.
  void Report(const flow_packet& packet,
              const packet_decision& decision,
              time_point now);

 private:
  void OnPackets();
  // Reads and handles one batch; returns whether there may be more.
  bool HandleBatch();
  void Handle(std::span<std::uint8_t> bytes,
              const view_freshness& freshness,
              time_point now);
  // Applies a decision to a packet; bytes are needed to forward it.
  void Apply(std::span<std::uint8_t> bytes,
             const flow_packet& packet,
             const packet_decision& decision,
             time_point now);
  void Forward(std::span<std::uint8_t> bytes, const packet_decision& decision);
  // Resets the flow of a first packet; ignores other packets.
  void Refuse(const flow_packet& packet);
  void Log(const flow_packet& packet,
           const packet_decision& decision,
           time_point now);

  event_loop& loop_;
  endpoint address_;
  const target_directory& directory_;
  packet_director& director_;
  std::function<view_freshness()> check_freshness_;
  unknown_cookie_hook on_unknown_cookie_;
  entry_log& log_;
  entry_metrics& metrics_;
  std::optional<udp_socket> socket_;
  std::unique_ptr<send_batch> send_batch_;
  std::unique_ptr<descriptor_watch> watch_;
  receive_batch received_;
  time_point last_packet_{};
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ENTRYD_PACKET_FORWARDER_H_
