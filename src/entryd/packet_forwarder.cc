#include "entryd/packet_forwarder.h"

#include <algorithm>
#include <array>

#include "packet_header.h"

namespace rosemaryreach {
namespace {

// Holds a burst of first packets from a whole data centre. Unread datagrams
// count towards the memory of the process.
constexpr int kReceiveBufferBytes = 4'194'304;
// Returns to the event loop after this many batches, so that timers can run.
constexpr int kMaxBatchesPerWake = 16;

// Of IP, UDP and Ethernet, which use up the link as well.
constexpr std::size_t kHeaderBytes = 46;
// Resolution of the share of first packets that is shed.
constexpr std::uint64_t kDraws = 1'000;

// Held packets are checked this often; completions release them sooner.
constexpr duration kHoldPeriod = std::chrono::milliseconds(5);

constexpr std::array<const char*, 4> kOutcomes = {"forwarded", "reset",
                                                  "dropped", "held"};

}  // namespace

packet_forwarder::packet_forwarder(
    event_loop& loop,
    const endpoint& address,
    const target_directory& directory,
    packet_director& director,
    instance_load& load,
    std::function<view_freshness()> check_freshness,
    entry_log& log,
    entry_metrics& metrics)
    : loop_(loop),
      address_(address),
      directory_(directory),
      director_(director),
      load_(load),
      check_freshness_(std::move(check_freshness)),
      log_(log),
      metrics_(metrics),
      last_packet_(BootTimeNow()),
      hold_timer_(loop, [this] { ReleaseHeld(); }) {}

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
  std::size_t bytes = 0;
  for (const datagram& incoming : received) {
    bytes += incoming.bytes.size() + kHeaderBytes;
  }
  const bool more = received.size() == kBatchDatagrams;
  load_.OnBatch(bytes, !more, now);
  if (load_.current() != shortage::kNone) {
    HandleOpenFlowsFirst(received, freshness, now);
  } else {
    for (const datagram& incoming : received) {
      Handle(incoming.bytes, freshness, now);
    }
  }
  ReleaseDue(freshness, now);
  Flush();
  return more;
}

void packet_forwarder::HandleOpenFlowsFirst(std::span<const datagram> received,
                                            const view_freshness& freshness,
                                            time_point now) {
  for (const bool first_packets : {false, true}) {
    for (const datagram& incoming : received) {
      const result<flow_packet> packet = ParseFlowPacket(incoming.bytes);
      if ((packet && packet.value().opens) == first_packets) {
        Handle(incoming.bytes, freshness, now);
      }
    }
  }
}

std::optional<packet_decision> packet_forwarder::Shed(
    const flow_packet& packet) const {
  // A flow whose first packet was forwarded may be open for its caller.
  if (!packet.opens || packet.retransmit_count > 0 || load_.shed_share() <= 0 ||
      director_.Tracks(packet.flow)) {
    return std::nullopt;
  }
  const entry_route* route = directory_.FindRoute(packet.flow.destination);
  const double draw = static_cast<double>(HashFlow(packet.flow) % kDraws) /
                      static_cast<double>(kDraws);
  if (route == nullptr || !load_.Sheds(*route, draw)) {
    return std::nullopt;
  }
  return packet_decision{packet_verdict::kReset, kNoTarget, 0,
                         "instance_short"};
}

void packet_forwarder::ResetWaitingFlows(target_index target) {
  const packet_decision decision{packet_verdict::kReset, target, 0,
                                 "target_unreachable"};
  for (const flow_packet& packet : director_.ResetWaitingFlows(target)) {
    metrics_.Packets(decision.rule).Add();
    Log(packet, decision, BootTimeNow());
    Reset(packet);
  }
  send_batch_->Flush();
}

void packet_forwarder::Handle(std::span<std::uint8_t> bytes,
                              const view_freshness& freshness,
                              time_point now) {
  const result<flow_packet> packet = ParseFlowPacket(bytes);
  if (!packet) {
    metrics_.malformed_packets.Add();
    return;
  }
  const std::optional<packet_decision> shed = Shed(packet.value());
  const packet_decision decision =
      shed ? *shed : director_.Direct(packet.value(), freshness, now);
  Apply(bytes, packet.value(), decision, now);
}

void packet_forwarder::Apply(std::span<std::uint8_t> bytes,
                             const flow_packet& packet,
                             const packet_decision& decision,
                             time_point now) {
  metrics_.Packets(decision.rule).Add();
  Log(packet, decision, now);
  switch (decision.verdict) {
    case packet_verdict::kForward:
      Forward(bytes, decision);
      return;
    case packet_verdict::kReset:
      Reset(packet);
      return;
    case packet_verdict::kDrop:
      return;
    case packet_verdict::kHold:
      held_[packet.flow].assign(bytes.begin(), bytes.end());
      return;
  }
}

void packet_forwarder::ReleaseHeld() {
  ReleaseDue(check_freshness_(), BootTimeNow());
  Flush();
}

void packet_forwarder::ReleaseDue(const view_freshness& freshness,
                                  time_point now) {
  while (const std::optional<held_decision> released =
             director_.ReleaseHeld(freshness, now)) {
    Release(*released, now);
  }
  if (held_.empty()) {
    hold_timer_.Stop();
  } else if (!hold_timer_.running()) {
    hold_timer_.StartEvery(kHoldPeriod);
  }
}

void packet_forwarder::GiveUpHeld() {
  const time_point now = BootTimeNow();
  for (const held_decision& released : director_.GiveUpHeld(now)) {
    Release(released, now);
  }
  Flush();
}

void packet_forwarder::Release(const held_decision& released, time_point now) {
  const auto found = held_.find(released.packet.flow);
  if (found == held_.end()) {
    return;
  }
  released_.push_back(std::move(found->second));
  held_.erase(found);
  Apply(released_.back(), released.packet, released.decision, now);
}

void packet_forwarder::Flush() {
  send_batch_->Flush();
  released_.clear();
}

void packet_forwarder::Forward(std::span<std::uint8_t> bytes,
                               const packet_decision& decision) {
  const known_target& target = *directory_.Find(decision.target);
  if (decision.cookie != 0) {
    WriteCookie(bytes, decision.cookie);
  }
  load_.OnSent(kHeaderBytes + kTargetPrefixBytes + bytes.size(), last_packet_);
  const std::span<std::uint8_t> prefix = send_batch_->NextHeader();
  WriteTargetPrefix(prefix, target.record.wire_id);
  send_batch_->Add(kTargetPrefixBytes, bytes,
                   ToEndpoint(target.record.address));
}

void packet_forwarder::Reset(const flow_packet& packet) {
  const packet_header reset = MakeReset(packet);
  load_.OnSent(kHeaderBytes + reset.size(), last_packet_);
  const std::span<std::uint8_t> header = send_batch_->NextHeader();
  std::copy(reset.begin(), reset.end(), header.begin());
  const ipv4_endpoint caller = {packet.flow.caller.address, address_.port};
  send_batch_->Add(reset.size(), {}, ToEndpoint(caller));
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
  const std::array<log_field, 6> fields = {
      log_field{"flow", flow},
      log_field{"target",
                target == nullptr ? std::string_view() : target->record.id},
      log_field{"rule", decision.rule},
      log_field{"outcome",
                kOutcomes.at(static_cast<std::size_t>(decision.verdict))},
      log_field{"copy", static_cast<std::int64_t>(packet.retransmit_count)},
      log_field{"configuration",
                static_cast<std::int64_t>(directory_.config().version)}};
  log_.LogFlow(fields);
}

}  // namespace rosemaryreach
