#include "rosemaryreach/flow_router.h"

#include <algorithm>

#include "packets/flow_router_impl.h"

namespace rosemaryreach {
namespace {

// UDP has no packet that opens a flow: a new owner treats the flows that it
// sees within this time as open.
constexpr std::chrono::seconds kLearningTime(3);
// A SYN that comes later than this after the last packet of its pinned flow
// opens a new connection.
constexpr std::chrono::seconds kMaxSynRetransmitTime(60);
constexpr int kMaxTargetProbes = 32;
// After this time without its peers an instance routes open buckets alone.
constexpr std::chrono::seconds kMaxCutOffTime(30);
// Share of a cold target's rate that all owners together admit.
constexpr double kColdRateShare = 0.8;
// Lower limit of the tokens: bounds how many flows the ramp admits beyond the
// cold rate.
constexpr double kMinTokens = -4;

}  // namespace

std::size_t service_address_hash::operator()(const service_address& key) const {
  const std::uint64_t tail = static_cast<std::uint64_t>(key.address.port) << 8 |
                             static_cast<std::uint64_t>(key.protocol);
  return HashBytes(
      {reinterpret_cast<const char*>(key.address.address.bytes.data()),
       key.address.address.bytes.size()},
      tail);
}

flow_decision flow_router::impl::Route(const packet_info& packet,
                                       const detour_info* detour,
                                       time_point now) {
  DetectPause(now);
  flow_decision decision;
  if (packet.kind != packet_kind::kFlow &&
      packet.kind != packet_kind::kIcmpError) {
    ++stats_.dropped;
    decision.rule = PacketKindName(packet.kind);
    Log(packet, decision);
    return decision;
  }
  if (!has_view_) {
    ++stats_.dropped;
    decision.rule = "no_view";
    Log(packet, decision);
    return decision;
  }
  const auto found =
      addresses_.find({packet.flow.service, packet.flow.protocol});
  if (found == addresses_.end()) {
    decision = RouteUnknownAddress();
    Log(packet, decision);
    return decision;
  }
  service_state& service = *services_[found->second];
  const routed_packet routed{
      packet, detour, now,
      static_cast<std::uint32_t>(packet.flow_hash) & service.mask()};
  if (detour != nullptr) {
    peers_.RecordConfigurationNumber(detour->sender,
                                     detour->configuration_number);
  }
  const std::uint16_t steady_target = service.steady_target[routed.bucket];
  if (detour != nullptr && detour->pinned_target != 0) {
    decision = RoutePinnedByOwner(service, routed);
  } else if (synchronizing_ &&
             (ownership_stale_ || steady_target != kOpenBucket)) {
    decision = RouteWhileSynchronizing(service, routed);
  } else if (steady_target != kOpenBucket) {
    if (detour != nullptr && !detour->synchronizing) {
      QueueBucketUpdate(detour->sender, {found->second, routed.bucket});
    }
    decision = Forward(service, steady_target, packet, "steady");
  } else {
    decision = RouteOpenBucket(service, routed);
  }
  Log(packet, decision);
  return decision;
}

flow_decision flow_router::impl::RouteUnknownAddress() {
  flow_decision decision;
  if (config_ != nullptr && config_->default_legacy) {
    decision.action = flow_action::kLegacy;
    decision.next_hop = *config_->default_legacy;
    decision.rule = "undeclared_service";
  } else {
    ++stats_.dropped;
    decision.rule = "unknown_address";
  }
  return decision;
}

// Routes a packet before the open buckets are known: detours it to the owner or
// successor. Uses the own table only if neither exists or, unless the packet is
// a SYN, the hop limit is reached.
flow_decision flow_router::impl::RouteWhileSynchronizing(
    service_state& service,
    const routed_packet& packet) {
  const open_bucket* open = service.FindOpen(packet.bucket);
  const pin* found =
      open == nullptr ? nullptr : open->pins.Find(packet.info.flow_hash);
  if (found != nullptr && !packet.info.syn) {
    return Forward(service, found->target, packet.info, "pinned");
  }
  const owner_pair owners = peers_.Owners(OwnerKey(service, packet.bucket));
  const instance_id to =
      owners.owner == peers_.self() ? owners.successor : owners.owner;
  if (to && !packet.at_hop_limit()) {
    return Detour(service, to, packet, "refreshing");
  }
  if (to && packet.info.syn) {
    return Drop(service, "refreshing");
  }
  return Forward(service, service.unpinned_target[packet.bucket], packet.info,
                 "refreshing");
}

flow_decision flow_router::impl::RoutePinnedByOwner(
    service_state& service,
    const routed_packet& packet) {
  const std::uint16_t target = service.FindTarget(packet.detour->pinned_target);
  if (target == kNoEntry || service.targets[target].withdrawn) {
    return Drop(service, "unknown_target");
  }
  const auto index =
      addresses_.find({packet.info.flow.service, packet.info.flow.protocol});
  OpenBucket(index->second, packet.bucket, packet.now);
  SetPin(*service.FindOpen(packet.bucket), packet.info.flow_hash, target,
         packet.now);
  return Forward(service, target, packet.info, "pinned_by_owner");
}

bool flow_router::impl::IsCutOff(time_point now) const {
  return untrusted_since_ && now - *untrusted_since_ < kMaxCutOffTime;
}

flow_decision flow_router::impl::RouteOpenBucket(service_state& service,
                                                 const routed_packet& packet) {
  open_bucket& open = *service.FindOpen(packet.bucket);
  if (IsCutOff(packet.now)) {
    const pin* found = open.pins.Find(packet.info.flow_hash);
    return found != nullptr && !packet.info.syn
               ? Forward(service, found->target, packet.info, "pinned")
               : Drop(service, "cut_off");
  }
  switch (open.role) {
    case bucket_role::kOwner:
    case bucket_role::kHandingOver:
      return RouteLocally(service, open, packet);
    case bucket_role::kRemote:
      return RouteRemote(service, open, packet);
    case bucket_role::kAwaitingHandover:
      break;
  }
  const pin* found = open.pins.Find(packet.info.flow_hash);
  if (found != nullptr && !packet.info.syn) {
    return Forward(service, found->target, packet.info, "pinned");
  }
  if (packet.at_hop_limit()) {
    return Drop(service, "awaiting_handover");
  }
  return Detour(service, open.previous_owner, packet, "previous_owner");
}

flow_decision flow_router::impl::RouteRemote(service_state& service,
                                             open_bucket& bucket,
                                             const routed_packet& packet) {
  if (!bucket.owner) {
    return RouteLocally(service, bucket, packet);
  }
  if (!packet.at_hop_limit()) {
    return Detour(service, bucket.owner, packet, "owner");
  }
  const pin* found = bucket.pins.Find(packet.info.flow_hash);
  if (found != nullptr) {
    return Forward(service, found->target, packet.info, "pinned");
  }
  if (packet.info.syn) {
    return Drop(service, "hop_limit");
  }
  return Forward(service, service.unpinned_target[packet.bucket], packet.info,
                 "hop_limit");
}

flow_decision flow_router::impl::RouteLocally(service_state& service,
                                              open_bucket& bucket,
                                              const routed_packet& packet) {
  const pin* found = bucket.pins.Find(packet.info.flow_hash);
  if (found == nullptr) {
    return RouteUnpinned(service, bucket, packet);
  }
  const std::uint16_t target = found->target;
  const std::uint16_t coarse = CoarseTime(packet.now);
  const bool withdrawn = service.targets[target].withdrawn;
  const bool reused =
      packet.info.syn && !service.targets[target].accepts_new_flows &&
      CoarseAge(found->last_seen, coarse) > kMaxSynRetransmitTime;
  if (withdrawn || reused) {
    stats_.pins -= bucket.pins.Erase(packet.info.flow_hash) ? 1 : 0;
    return packet.info.syn ? RouteNewFlow(service, bucket, packet)
                           : Forward(service, target, packet.info, "given_up");
  }
  pin_table::Touch(*found, coarse);
  if (packet.info.syn && target != service.unpinned_target[packet.bucket]) {
    return ForwardViaNextOwner(service, bucket, target, packet, "pinned");
  }
  return Forward(service, target, packet.info, "pinned");
}

flow_decision flow_router::impl::RouteUnpinned(service_state& service,
                                               open_bucket& bucket,
                                               const routed_packet& packet) {
  const bool udp = service.protocol == transport_protocol::kUdp &&
                   packet.info.kind == packet_kind::kFlow;
  const bool learning = packet.now - bucket.owner_since < kLearningTime;
  if (packet.info.syn || (udp && bucket.announced && !learning)) {
    return RouteNewFlow(service, bucket, packet);
  }
  const bool views_differ =
      packet.detour != nullptr && packet.detour->view_digest != peers_.digest();
  if (views_differ && bucket.role == bucket_role::kOwner && bucket.successor &&
      !packet.at_hop_limit()) {
    return Detour(service, bucket.successor, packet, "ask_successor");
  }
  const std::uint16_t unpinned_target = service.unpinned_target[packet.bucket];
  if (udp && !service.LacksUnpinnedTarget(packet.bucket)) {
    SetPin(bucket, packet.info.flow_hash, unpinned_target, packet.now);
  }
  bucket.last_unpinned_packet = packet.now;
  return Forward(service, unpinned_target, packet.info, "floor");
}

flow_decision flow_router::impl::RouteNewFlow(service_state& service,
                                              open_bucket& bucket,
                                              const routed_packet& packet) {
  if (!bucket.announced) {
    return RouteNewFlowUnannounced(service, bucket, packet);
  }
  const std::uint16_t unpinned_target = service.unpinned_target[packet.bucket];
  if (service.assigned_target[packet.bucket] == kNoEntry) {
    return Forward(service, kNoEntry, packet.info, "no_target");
  }
  const std::uint16_t target =
      ChooseTarget(service, packet.bucket, packet.info.flow_hash, packet.now);
  if (target == kNoEntry) {
    return Drop(service, "no_room");
  }
  if (target == unpinned_target) {
    // The pin keeps duplicates of this SYN on the same target.
    SetPin(bucket, packet.info.flow_hash, unpinned_target, packet.now);
    bucket.last_unpinned_packet = packet.now;
    return Forward(service, unpinned_target, packet.info, "new_floor");
  }
  if (SetPin(bucket, packet.info.flow_hash, target, packet.now)) {
    return ForwardViaNextOwner(service, bucket, target, packet, "new_pinned");
  }
  ++stats_.pins_refused;
  if (service.LacksUnpinnedTarget(packet.bucket)) {
    return Drop(service, "pin_limit");
  }
  return Forward(service, unpinned_target, packet.info, "pin_limit");
}

// While peers may still send packets of the bucket to its unpinned target, a
// new flow goes there too. If that target does not accept it, the SYN is
// dropped, and the caller retransmits it.
flow_decision flow_router::impl::RouteNewFlowUnannounced(
    service_state& service,
    open_bucket& bucket,
    const routed_packet& packet) {
  const std::uint16_t unpinned_target = service.unpinned_target[packet.bucket];
  if (service.LacksUnpinnedTarget(packet.bucket) ||
      service.targets[unpinned_target].ejected) {
    return Drop(service, "announcing");
  }
  if (service.IsRamping(unpinned_target) &&
      !Admit(service, unpinned_target, packet.info.flow_hash, packet.now)) {
    return Drop(service, "announcing");
  }
  // For duplicates of this SYN that arrive after the bucket is announced.
  SetPin(bucket, packet.info.flow_hash, unpinned_target, packet.now);
  bucket.last_unpinned_packet = packet.now;
  return Forward(service, unpinned_target, packet.info, "announcing");
}

std::uint16_t flow_router::impl::ChooseTarget(service_state& service,
                                              std::uint32_t bucket,
                                              std::uint64_t flow_hash,
                                              time_point now) {
  const std::uint16_t assigned_target = service.assigned_target[bucket];
  if (service.IsFullyAvailable(assigned_target)) {
    return assigned_target;
  }
  if (service.IsRamping(assigned_target) &&
      Admit(service, assigned_target, flow_hash, now)) {
    return assigned_target;
  }
  const std::uint16_t unpinned_target = service.unpinned_target[bucket];
  if (service.IsFullyAvailable(unpinned_target) &&
      !service.targets[unpinned_target].legacy) {
    return unpinned_target;
  }
  for (int probe = 1; probe <= kMaxTargetProbes; ++probe) {
    const std::uint64_t other = HashPair(flow_hash, probe) & service.mask();
    const std::uint16_t target = service.assigned_target[other];
    if (service.IsFullyAvailable(target) && !service.targets[target].legacy) {
      return target;
    }
  }
  return kNoEntry;
}

// Returns whether a cold target gets a new flow. Admits the share of flows that
// the ramp has reached, or this router's part of the cold rate if that is more.
bool flow_router::impl::Admit(service_state& service,
                              std::uint16_t target,
                              std::uint64_t flow_hash,
                              time_point now) {
  flow_target& cold = service.targets[target];
  const double part =
      cold.assigned_buckets == 0
          ? 0
          : static_cast<double>(cold.owned_buckets) / cold.assigned_buckets;
  const double rate = cold.cold_rate_per_s * kColdRateShare * part;
  const double elapsed =
      std::chrono::duration<double>(now - cold.tokens_updated_at).count();
  cold.tokens = std::min(1.0, cold.tokens + elapsed * rate);
  cold.tokens_updated_at = now;
  const double age_ms =
      std::chrono::duration<double, std::milli>(now - cold.condition_since)
          .count();
  const double ramp = cold.warmup_ms == 0 ? 1 : age_ms / cold.warmup_ms;
  const double draw =
      static_cast<double>(HashPair(flow_hash, cold.epoch) >> 11) /
      static_cast<double>(std::uint64_t{1} << 53);
  if (draw < ramp) {
    cold.tokens = std::max(kMinTokens, cold.tokens - 1);
    return true;
  }
  if (cold.tokens < 1) {
    return false;
  }
  cold.tokens -= 1;
  return true;
}

bool flow_router::impl::SetPin(open_bucket& bucket,
                               std::uint64_t flow_hash,
                               std::uint16_t target,
                               time_point now) {
  const std::uint16_t coarse = CoarseTime(now);
  const pin* found = bucket.pins.Find(flow_hash);
  if (found == nullptr && stats_.pins >= options_.max_pins) {
    return false;
  }
  stats_.pins += bucket.pins.Set(flow_hash, target, coarse) ? 1 : 0;
  return true;
}

// Sends the first packet of a pinned flow through the instance that owns the
// bucket next, so that it has the pin before the target replies.
flow_decision flow_router::impl::ForwardViaNextOwner(
    service_state& service,
    open_bucket& bucket,
    std::uint16_t target,
    const routed_packet& packet,
    std::string_view rule) {
  const instance_id to = bucket.role == bucket_role::kHandingOver
                             ? bucket.owner
                             : bucket.successor;
  if (!to || to == peers_.self()) {
    return Forward(service, target, packet.info, rule);
  }
  if (packet.at_hop_limit()) {
    bucket.replicated = false;
    return Forward(service, target, packet.info, rule);
  }
  return Detour(service, to, packet, rule, service.targets[target].id);
}

flow_decision flow_router::impl::Forward(const service_state& service,
                                         std::uint16_t target,
                                         const packet_info& packet,
                                         std::string_view rule) {
  flow_decision decision;
  decision.service = service.name;
  decision.rule = rule;
  if (target != kNoEntry && !service.targets[target].withdrawn) {
    const flow_target& to = service.targets[target];
    decision.action = to.legacy ? flow_action::kLegacy : flow_action::kTarget;
    decision.next_hop = to.address;
    decision.target = to.name;
    return decision;
  }
  const bool answer = packet.kind == packet_kind::kFlow && !packet.reset &&
                      packet.flow.protocol == transport_protocol::kTcp;
  decision.action = answer ? flow_action::kReset : flow_action::kDrop;
  decision.rule = target == kNoEntry ? "no_target" : "given_up";
  ++(answer ? stats_.resets : stats_.dropped);
  return decision;
}

flow_decision flow_router::impl::Detour(const service_state& service,
                                        instance_id to,
                                        const routed_packet& packet,
                                        std::string_view rule,
                                        std::uint64_t pinned_target) {
  flow_decision decision;
  decision.action = flow_action::kDetour;
  decision.next_hop = peers_.DetourEndpoint(to, packet.bucket);
  decision.service = service.name;
  decision.rule = rule;
  decision.detour.hops = static_cast<std::uint8_t>(packet.hops() + 1);
  decision.detour.synchronizing =
      synchronizing_ ||
      (packet.detour != nullptr && packet.detour->synchronizing);
  decision.detour.sender = peers_.self();
  decision.detour.configuration_number = configuration_number_;
  decision.detour.view_digest = peers_.digest();
  decision.detour.pinned_target = pinned_target;
  ++stats_.detours;
  return decision;
}

flow_decision flow_router::impl::Drop(const service_state& service,
                                      std::string_view rule) {
  flow_decision decision;
  decision.service = service.name;
  decision.rule = rule;
  ++stats_.dropped;
  return decision;
}

void flow_router::impl::Log(const packet_info& packet,
                            const flow_decision& decision) {
  if (!log_.ShouldLogDecision()) {
    return;
  }
  const std::string subject = FormatEndpoint(packet.flow.caller) + " > " +
                              FormatEndpoint(packet.flow.service);
  const std::string hop = FormatEndpoint(decision.next_hop);
  log_decision logged;
  logged.plane = "packets";
  logged.service = decision.service;
  logged.subject = subject;
  logged.target =
      decision.target.empty() ? std::string_view(hop) : decision.target;
  logged.rule = decision.rule;
  logged.number = configuration_number_;
  log_.WriteDecision(logged);
}

flow_router::flow_router(const flow_router_options& options, log_sink& log)
    : impl_(std::make_unique<impl>(options, log)) {}

flow_router::~flow_router() = default;

void flow_router::ApplyConfiguration(
    std::shared_ptr<const configuration> config,
    time_point now) {
  impl_->ApplyConfiguration(std::move(config), now);
}

void flow_router::ApplyView(const fleet_view& view, time_point now) {
  impl_->ApplyView(view, now);
}

void flow_router::SetTrusted(bool trusted, time_point now) {
  impl_->SetTrusted(trusted, now);
}

void flow_router::ReportTarget(std::string_view service,
                               std::string_view target,
                               target_condition condition,
                               time_point now) {
  impl_->ReportTarget(service, target, condition, now);
}

flow_decision flow_router::Route(const packet_info& packet,
                                 const detour_info* detour,
                                 time_point now) {
  return impl_->Route(packet, detour, now);
}

void flow_router::OnMessage(instance_id from,
                            const flow_message& message,
                            time_point now) {
  impl_->OnMessage(from, message, now);
}

std::vector<outgoing_flow_message> flow_router::Tick(time_point now) {
  return impl_->Tick(now);
}

bool flow_router::handed_over() const {
  return impl_->handed_over();
}

bool flow_router::synchronized() const {
  return impl_->synchronized();
}

flow_router_stats flow_router::stats() const {
  return impl_->stats();
}

}  // namespace rosemaryreach
