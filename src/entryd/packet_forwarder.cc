#include "entryd/packet_forwarder.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <string_view>

#include "packet_header.h"

namespace rosemaryreach {
namespace {

// Holds a burst of first packets from a whole data centre. Unread datagrams
// count towards the memory of the process.
constexpr int kReceiveBufferBytes = 4'194'304;
// Returns to the event loop after this many batches, so that timers can run.
constexpr int kMaxBatchesPerWake = 16;

constexpr std::array<const char*, 3> kOutcomes = {"forwarded", "reset",
                                                  "dropped"};

}  // namespace

packet_forwarder::packet_forwarder(
    event_loop& loop,
    const endpoint& address,
    const target_directory& directory,
    packet_director& director,
    std::function<view_freshness()> check_freshness,
    unknown_cookie_hook on_unknown_cookie,
    entry_log& log,
    entry_metrics& metrics)
    : loop_(loop),
      address_(address),
      directory_(directory),
      director_(director),
      check_freshness_(std::move(check_freshness)),
      on_unknown_cookie_(std::move(on_unknown_cookie)),
      log_(log),
      metrics_(metrics),
      last_packet_(BootTimeNow()) {}

result<void> packet_forwarder::Start() {
  BOOST_OUTCOME_TRY(bound, udp_socket::Bind(address_, port_sharing::kExclusive,
                                            kReceiveBufferBytes));
  socket_ = std::move(bound);
  send_batch_ = std::make_unique<send_batch>(socket_->fd());
  return success();
}

void packet_forwarder::StartReceiving() {
  watch_ = std::make_unique<descriptor_watch>(
      loop_, socket_->fd(), io_event::kRead, [this] { OnPackets(); });
}

void packet_forwarder::OnPackets() {
  for (int i = 0; i < kMaxBatchesPerWake && HandleBatch(); ++i) {
  }
}

void packet_forwarder::HandleWaiting(time_point until) {
  while (BootTimeNow() < until && HandleBatch()) {
  }
}

bool packet_forwarder::HandleBatch() {
  const std::span<const datagram> received = received_.Receive(socket_->fd());
  if (received.empty()) {
    return false;
  }
  const view_freshness freshness = check_freshness_();
  const time_point now = BootTimeNow();
  last_packet_ = now;
  for (const datagram& incoming : received) {
    Handle(incoming.bytes, freshness, now);
  }
  send_batch_->Flush();
  return received.size() == kBatchDatagrams;
}

void packet_forwarder::Handle(std::span<std::uint8_t> bytes,
                              const view_freshness& freshness,
                              time_point now) {
  const result<flow_packet> packet = ParseFlowPacket(bytes);
  if (!packet) {
    metrics_.malformed_packets.Add();
    return;
  }
  Apply(bytes, packet.value(), director_.Direct(packet.value(), freshness, now),
        now);
}

void packet_forwarder::Apply(std::span<std::uint8_t> bytes,
                             const flow_packet& packet,
                             const packet_decision& decision,
                             time_point now) {
  Report(packet, decision, now);
  switch (decision.verdict) {
    case packet_verdict::kForward:
      Forward(bytes, decision);
      return;
    case packet_verdict::kReset:
      Refuse(packet);
      return;
    case packet_verdict::kDrop:
      if (std::string_view(decision.rule) == kUnknownCookieRule) {
        on_unknown_cookie_(packet.cookie);
      }
      return;
  }
}

void packet_forwarder::Forward(std::span<std::uint8_t> bytes,
                               const packet_decision& decision) {
  const known_target& target = *directory_.Find(decision.target);
  if (decision.cookie != 0) {
    WriteCookie(bytes, decision.cookie);
  }
  const std::span<std::uint8_t> prefix = send_batch_->NextHeader();
  WriteTargetPrefix(prefix, target.record.wire_id);
  send_batch_->Add(kTargetPrefixBytes, bytes,
                   ToEndpoint(target.record.address));
}

void packet_forwarder::Refuse(const flow_packet& packet) {
  const std::optional<flow_refusal> refusal = flow_refusal::Of(packet);
  if (!refusal) {
    return;
  }
  const packet_header reset = MakeReset(*refusal);
  const std::span<std::uint8_t> header = send_batch_->NextHeader();
  std::copy(reset.begin(), reset.end(), header.begin());
  const ipv4_endpoint caller = {packet.flow.caller.address, address_.port};
  send_batch_->Add(reset.size(), {}, ToEndpoint(caller));
}

void packet_forwarder::Report(const flow_packet& packet,
                              const packet_decision& decision,
                              time_point now) {
  metrics_.Packets(decision.rule).Add();
  if (decision.verdict == packet_verdict::kReset) {
    metrics_.OpeningResets(decision.rule).Add();
  }
  Log(packet, decision, now);
}

void packet_forwarder::Log(const flow_packet& packet,
                           const packet_decision& decision,
                           time_point now) {
  const bool unusual = decision.verdict != packet_verdict::kForward ||
                       (packet.opens && packet.retransmit_count > 0);
  if ((!unusual && !packet.opens) || !log_.ShouldLogFlow(unusual, now)) {
    return;
  }
  const std::string flow = FormatFlow(packet.flow);
  const known_target* target = directory_.Find(decision.target);
  const std::array<log_field, 7> fields = {
      log_field{"flow", flow},
      log_field{"target",
                target == nullptr ? std::string_view() : target->record.id},
      log_field{"rule", decision.rule},
      log_field{"outcome",
                kOutcomes.at(static_cast<std::size_t>(decision.verdict))},
      log_field{"cookie", static_cast<std::int64_t>(decision.cookie == 0
                                                        ? packet.cookie
                                                        : decision.cookie)},
      log_field{"copy", static_cast<std::int64_t>(packet.retransmit_count)},
      log_field{"configuration",
                static_cast<std::int64_t>(directory_.config().version)}};
  log_.LogFlow(fields);
}

}  // namespace rosemaryreach
