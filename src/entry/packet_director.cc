#include "rosemaryreach/packet_director.h"

namespace rosemaryreach {
namespace {

// A first packet of a flow that was opened elsewhere, and was active less than
// this ago, is a late retransmission.
constexpr duration kLateCopyTime = std::chrono::seconds(2);

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

packet_decision ToPacketDecision(const open_flow_decision& decision) {
  return {decision.target == kNoTarget ? packet_verdict::kDrop
                                       : packet_verdict::kForward,
          decision.target, 0, decision.rule};
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
                      : ToPacketDecision(HandleOpenFlow(packet, now));
}

packet_decision packet_director::HandleFirstPacket(
    const flow_packet& packet,
    const view_freshness& freshness,
    time_point now) {
  const entry_route* route = directory_.FindRoute(packet.flow.destination);
  const std::optional<packet_decision> refused =
      RefuseOpening(route, freshness);
  if (refused) {
    return Refuse(packet, *refused, freshness);
  }
  const std::optional<packet_decision> copy = ForwardCopy(packet, now);
  if (copy) {
    return *copy;
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
      return Refuse(packet,
                    {packet_verdict::kReset, kNoTarget, 0, kOverloadRule},
                    freshness);
    }
  }
  return AssignTarget(packet, *route, freshness, now);
}

std::optional<packet_decision> packet_director::ForwardCopy(
    const flow_packet& packet,
    time_point now) {
  const flow_state* known = tracker_.Find(packet.flow);
  if (known == nullptr) {
    return std::nullopt;
  }
  const duration age = now - known->phase_began;
  if (known->phase == flow_phase::kOpening) {
    return age < kOpenAnswerTimeout
               ? std::optional(ForwardTo(known->target, "early_copy"))
               : std::nullopt;
  }
  const bool is_copy = known->first_sequence
                           ? known->first_sequence == packet.sequence
                           : age < kLateCopyTime;
  if (is_copy) {
    return ForwardTo(known->target, "late_copy");
  }
  // Another flow of the same caller and port.
  tracker_.Drop(packet.flow);
  return std::nullopt;
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
                                              const view_freshness& freshness,
                                              time_point now) {
  const flow_state* known = tracker_.Find(packet.flow);
  const std::span<const target_index> tried =
      known == nullptr ? std::span<const target_index>()
                       : known->tried_targets();
  const pick_result chosen =
      picker_.Pick(ServiceFor(route, packet.flow), tried, now);
  if (chosen.target == kNoTarget) {
    const packet_decision refused =
        Refuse(packet, RefuseWithoutTarget(chosen, now), freshness);
    tracker_.Drop(packet.flow);
    return refused;
  }
  tracker_.Open(packet.flow, chosen.target, now, packet.sequence);
  return ForwardTo(chosen.target, chosen.rule);
}

packet_decision packet_director::RefuseWithoutTarget(const pick_result& none,
                                                     time_point now) const {
  if (none.unreachable && reachability_.CallersAreMoving(now)) {
    return {packet_verdict::kDrop, kNoTarget, 0, "callers_moving"};
  }
  return {packet_verdict::kReset, kNoTarget, 0, none.rule};
}

packet_decision packet_director::Refuse(const flow_packet& packet,
                                        packet_decision refusal,
                                        const view_freshness& freshness) const {
  const bool may_be_open = packet.retransmit_count > 0 || !freshness.prompt ||
                           tracker_.Find(packet.flow) != nullptr;
  if (may_be_open) {
    refusal.verdict = packet_verdict::kDrop;
  }
  return refusal;
}

open_flow_decision packet_director::HandleOpenFlow(const flow_packet& packet,
                                                   time_point now) {
  const open_flow_decision decision = FindOpenFlow(packet.cookie);
  if (decision.target != kNoTarget) {
    tracker_.OnPacket(packet, decision.target, now);
  }
  return decision;
}

open_flow_decision packet_director::FindOpenFlow(std::uint32_t cookie) const {
  const target_index target = directory_.FindCookie(cookie);
  if (target != kNoTarget) {
    return {target, "cookie"};
  }
  return {kNoTarget, directory_.IsSharedCookie(cookie) ? "shared_cookie"
                                                       : kUnknownCookieRule};
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
  explanation.next =
      open ? ToPacketDecision(FindOpenFlow(
                 directory_.Find(explanation.tracked->target)->cookie))
           : ExplainOpening(explanation, freshness, now);
  return explanation;
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
  return RefuseWithoutTarget(none, now);
}

packet_decision packet_director::ForwardTo(target_index target,
                                           const char* rule) const {
  return {packet_verdict::kForward, target, directory_.Find(target)->cookie,
          rule};
}

}  // namespace rosemaryreach
