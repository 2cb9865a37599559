#include "rosemaryreach/packet_director.h"

namespace rosemaryreach {
namespace {

// A first packet of a flow that opened less than this ago is a late
// retransmission.
constexpr duration kLateCopyTime = std::chrono::seconds(2);

constexpr const char* kUnknownCookieRule = "unknown_cookie";
constexpr const char* kReplacedRule = "target_replaced";
constexpr const char* kOverloadRule = "over_capacity";

// Returns the service of a new flow by the weights of the route. All
// retransmissions of a first packet get the same one on every instance.
const std::string& ServiceFor(const entry_route& route, const flow_key& flow) {
  std::uint64_t total = 0;
  for (const weighted_service& one : route.services) {
    total += one.weight;
  }
  std::uint64_t point = total == 0 ? 0 : HashFlow(flow) % total;
  for (const weighted_service& one : route.services) {
    if (point < one.weight) {
      return one.service;
    }
    point -= one.weight;
  }
  return route.services.front().service;
}

}  // namespace

packet_director::packet_director(const target_directory& directory,
                                 flow_tracker& tracker,
                                 const data_centre_reachability& reachability,
                                 target_picker& picker,
                                 overload_guard& guard)
    : directory_(directory),
      tracker_(tracker),
      reachability_(reachability),
      picker_(picker),
      guard_(guard) {}

packet_decision packet_director::Direct(const flow_packet& packet,
                                        const view_freshness& freshness,
                                        time_point now) {
  return packet.opens ? HandleFirstPacket(packet, freshness, now)
                      : HandleOpenFlow(packet, now);
}

packet_decision packet_director::HandleFirstPacket(
    const flow_packet& packet,
    const view_freshness& freshness,
    time_point now) {
  const entry_route* route = directory_.FindRoute(packet.flow.destination);
  const std::optional<packet_decision> refused =
      RefuseOpening(route, freshness);
  if (refused) {
    return *refused;
  }
  const flow_state* known = tracker_.Find(packet.flow);
  if (known != nullptr && known->phase != flow_phase::kOpening) {
    if (now - known->phase_began < kLateCopyTime) {
      return ForwardTo(known->target, "late_copy");
    }
    tracker_.Drop(packet.flow);
  }
  const std::string& service = ServiceFor(*route, packet.flow);
  if (packet.retransmit_count == 0) {
    guard_.OnOffered(service, *route);
  }
  // A flow whose first packet was forwarded may have opened.
  if (tracker_.Find(packet.flow) == nullptr) {
    const service_load_estimate load = picker_.EstimateLoad(service, now);
    guard_.OnLoad(service, load);
    if (guard_.Refuses(service, *route, load, now)) {
      return {packet_verdict::kReset, kNoTarget, 0, kOverloadRule};
    }
  }
  return AssignTarget(packet, *route, now);
}

std::optional<packet_decision> packet_director::RefuseOpening(
    const entry_route* route,
    const view_freshness& freshness) const {
  if (!freshness.settled || !directory_.complete()) {
    return packet_decision{packet_verdict::kDrop, kNoTarget, 0,
                           "view_unsettled"};
  }
  if (route == nullptr) {
    return packet_decision{
        freshness.recent ? packet_verdict::kReset : packet_verdict::kDrop,
        kNoTarget, 0, "no_route"};
  }
  return std::nullopt;
}

packet_decision packet_director::AssignTarget(const flow_packet& packet,
                                              const entry_route& route,
                                              time_point now) {
  const flow_state* known = tracker_.Find(packet.flow);
  const std::span<const target_index> tried =
      known == nullptr ? std::span<const target_index>()
                       : known->tried_targets();
  const pick_result chosen =
      picker_.Pick(ServiceFor(route, packet.flow), tried, now);
  if (chosen.target == kNoTarget) {
    tracker_.Drop(packet.flow);
    return RefuseWithoutTarget(packet, route, chosen, now);
  }
  tracker_.Open(packet.flow, chosen.target, now);
  return ForwardTo(chosen.target, chosen.rule);
}

packet_decision packet_director::RefuseWithoutTarget(const flow_packet& packet,
                                                     const entry_route& route,
                                                     const pick_result& none,
                                                     time_point now) const {
  // After the last copy the next attempt starts when this one ends, unless the
  // request has timed out by then; a reset has it start at once.
  const bool sent_again =
      packet.retransmit_count < kLastCopy || route.timeout > kAttemptTime;
  if (none.unreachable && sent_again && reachability_.CallersAreMoving(now)) {
    return {packet_verdict::kDrop, kNoTarget, 0, "callers_moving"};
  }
  return {packet_verdict::kReset, kNoTarget, 0, none.rule};
}

packet_decision packet_director::HandleOpenFlow(const flow_packet& packet,
                                                time_point now) {
  const target_index target = directory_.FindCookie(packet.cookie);
  if (target == kNoTarget) {
    return {packet_verdict::kDrop, kNoTarget, 0, kUnknownCookieRule};
  }
  if (IsReplaced(packet, target)) {
    const reset_evidence evidence = EvidenceOn(packet.flow, target, now);
    tracker_.Drop(packet.flow);
    return {packet_verdict::kReset, target, 0, kReplacedRule, evidence};
  }
  tracker_.OnPacket(packet, target, now);
  return {packet_verdict::kForward, target, 0, "cookie"};
}

reset_evidence packet_director::EvidenceOn(const flow_key& flow,
                                           target_index target,
                                           time_point now) const {
  const known_target& known = *directory_.Find(target);
  const target_status& status = tracker_.StatusOf(target);
  const auto age = [now](time_point when) {
    return when == time_point{} ? std::nullopt
                                : std::optional<duration>(now - when);
  };
  reset_evidence evidence;
  evidence.listing = known.listing;
  evidence.draining = known.record.state == target_state::kDraining;
  evidence.listing_age = now - known.listing_changed;
  evidence.suspect_reason = status.suspect_reason;
  evidence.failed_probes = status.failed_probes;
  evidence.last_probe = status.last_probe;
  evidence.probe_age = age(status.last_probed);
  evidence.reached_age = age(status.last_reached);
  const flow_state* tracked = tracker_.Find(flow);
  if (tracked != nullptr) {
    evidence.idle = now - tracked->last_packet;
  }
  return evidence;
}

flow_explanation packet_director::Explain(const flow_key& flow,
                                          const view_freshness& freshness,
                                          time_point now) const {
  flow_explanation explanation;
  explanation.route = directory_.FindRoute(flow.destination);
  explanation.tracked = tracker_.Find(flow);
  if (explanation.route != nullptr) {
    explanation.service = ServiceFor(*explanation.route, flow);
    explanation.targets = picker_.CountByRule(explanation.service, now);
  }
  const bool open = explanation.tracked != nullptr &&
                    explanation.tracked->phase != flow_phase::kOpening;
  explanation.next = open ? ExplainData(*explanation.tracked, flow)
                          : ExplainOpening(explanation, freshness, now);
  return explanation;
}

packet_decision packet_director::ExplainData(const flow_state& flow,
                                             const flow_key& key) const {
  flow_packet data;
  data.flow = key;
  data.data_bytes = 1;
  return IsReplaced(data, flow.target)
             ? packet_decision{packet_verdict::kReset, flow.target, 0,
                               kReplacedRule}
             : packet_decision{packet_verdict::kForward, flow.target, 0,
                               "cookie"};
}

packet_decision packet_director::ExplainOpening(
    const flow_explanation& explanation,
    const view_freshness& freshness,
    time_point now) const {
  const std::optional<packet_decision> refused =
      RefuseOpening(explanation.route, freshness);
  if (refused) {
    return *refused;
  }
  if (explanation.targets.empty()) {
    return {packet_verdict::kReset, kNoTarget, 0, "no_target"};
  }
  const rule_count& best = explanation.targets.front();
  if (best.usable &&
      guard_.Refuses(explanation.service, *explanation.route,
                     picker_.EstimateLoad(explanation.service, now), now)) {
    return {packet_verdict::kReset, kNoTarget, 0, kOverloadRule};
  }
  if (best.usable) {
    return {packet_verdict::kForward, kNoTarget, 0, best.rule};
  }
  pick_result none;
  none.rule = best.rule;
  none.unreachable = best.unreachable;
  return RefuseWithoutTarget(flow_packet{}, *explanation.route, none, now);
}

// A reset lets the caller retry at once but fails a request that must not be
// retried, so flows with such requests are not reset.
bool packet_director::IsReplaced(const flow_packet& packet,
                                 target_index target) const {
  return directory_.Find(target)->address_reused && MayResetOpenFlow(packet);
}

bool packet_director::MayResetOpenFlow(const flow_packet& packet) const {
  return packet.data_bytes > 0 && !packet.resets &&
         IsRetryable(packet.flow.destination);
}

bool packet_director::IsRetryable(const ipv4_endpoint& address) const {
  const entry_route* route = directory_.FindRoute(address);
  return route != nullptr && route->kind != request_kind::kNonIdempotent;
}

packet_decision packet_director::ForwardTo(target_index target,
                                           const char* rule) const {
  return {packet_verdict::kForward, target, directory_.Find(target)->cookie,
          rule};
}

}  // namespace rosemaryreach
