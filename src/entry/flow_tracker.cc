#include "rosemaryreach/flow_tracker.h"

#include <algorithm>
#include <utility>

namespace rosemaryreach {
namespace {

// Callers stop trying to open a flow after 1.4 s.
constexpr duration kOpeningLifetime = std::chrono::seconds(2);
// A request without an answer for this long was abandoned by its caller.
constexpr duration kRunningLifetime = std::chrono::seconds(10);
// Dropping an idle flow loses only its load counts: its cookie still routes it.
constexpr duration kIdleLifetime = std::chrono::seconds(30);
// Callers retransmit data after 200 ms; earlier copies are network duplicates.
constexpr duration kRepeatTime = std::chrono::milliseconds(150);

// Returns whether `a` follows `b`; sequence numbers wrap around.
bool After(std::uint32_t a, std::uint32_t b) {
  return static_cast<std::int32_t>(a - b) > 0;
}

void Decrement(std::uint32_t& count) {
  count -= std::min<std::uint32_t>(count, 1);
}

}  // namespace

flow_tracker::flow_tracker(std::size_t max_flows, flow_tracker_hooks hooks)
    : max_flows_(max_flows), hooks_(std::move(hooks)) {}

const flow_state* flow_tracker::Find(const flow_key& key) const {
  const auto found = flows_.find(key);
  return found == flows_.end() ? nullptr : &found->second;
}

const target_status& flow_tracker::StatusOf(target_index target) const {
  static const target_status kUnknown;
  return target < statuses_.size() ? statuses_[target] : kUnknown;
}

bool flow_tracker::AnySuspected() const {
  return std::any_of(
      statuses_.begin(), statuses_.end(),
      [](const target_status& status) { return status.suspected; });
}

target_status& flow_tracker::MutableStatus(target_index target) {
  if (target >= statuses_.size()) {
    statuses_.resize(target + 1);
  }
  return statuses_[target];
}

void flow_tracker::Open(const flow_key& key,
                        target_index target,
                        time_point now,
                        std::optional<std::uint32_t> first_sequence) {
  if (flows_.size() >= max_flows_ && !flows_.contains(key)) {
    return;
  }
  flow_state& flow = flows_[key];
  const bool retransmitted = flow.target != kNoTarget;
  if (retransmitted) {
    LeavePhase(flow);
    const bool silent =
        MutableStatus(flow.target).last_answer < flow.phase_began;
    if (flow.target != target && silent) {
      MarkUnanswered(flow.target, "first packet sent again");
    }
  }
  flow.target = target;
  flow.first_sequence = first_sequence;
  const std::span<const target_index> tried = flow.tried_targets();
  if (std::find(tried.begin(), tried.end(), target) == tried.end() &&
      flow.tried_count < kMaxTriedTargets) {
    flow.tried[flow.tried_count++] = target;
  }
  EnterPhase(flow, flow_phase::kOpening, now);
}

void flow_tracker::OnPacket(const flow_packet& packet,
                            target_index target,
                            time_point now) {
  const auto found = flows_.find(packet.flow);
  if (found == flows_.end()) {
    const bool should_track =
        packet.data_bytes > 0 && !packet.finishes && flows_.size() < max_flows_;
    if (should_track) {
      flow_state& flow = flows_[packet.flow];
      flow.target = target;
      flow.sequence = packet.sequence;
      flow.acknowledged = packet.acknowledged;
      EnterPhase(flow, flow_phase::kRunning, now);
    }
    return;
  }
  flow_state& flow = found->second;
  if (flow.phase == flow_phase::kOpening || flow.target != target) {
    const bool proven =
        flow.target == target && now - flow.last_packet < kFirstRetransmission;
    LeavePhase(flow);
    if (flow.phase == flow_phase::kOpening) {
      hooks_.opened(target, now - flow.phase_began);
    }
    flow.target = target;
    flow.acknowledged = packet.acknowledged;
    flow.sequence = packet.sequence - 1;
    OnAnswer(target, proven, now);
    EnterPhase(flow, flow_phase::kOpen, now);
  }
  OnData(flow, packet, now);
  if (packet.finishes || packet.resets) {
    LeavePhase(flow);
    flows_.erase(found);
  }
}

void flow_tracker::OnData(flow_state& flow,
                          const flow_packet& packet,
                          time_point now) {
  // Later, the request may have been sent again through another instance, and
  // the rest of an answer needs no packet that was forwarded here.
  const duration since_last = now - std::exchange(flow.last_packet, now);
  const bool proven =
      flow.phase == flow_phase::kRunning && since_last < kFirstRetransmission;
  if (After(packet.acknowledged, flow.acknowledged)) {
    flow.acknowledged = packet.acknowledged;
    OnAnswer(flow.target, proven, now);
    if (flow.phase == flow_phase::kRunning) {
      hooks_.answered(flow.target, now - flow.phase_began, now);
      LeavePhase(flow);
      EnterPhase(flow, flow_phase::kOpen, now);
    }
  }
  if (packet.data_bytes == 0) {
    return;
  }
  if (After(packet.sequence, flow.sequence)) {
    flow.sequence = packet.sequence;
    if (flow.phase == flow_phase::kOpen) {
      LeavePhase(flow);
      EnterPhase(flow, flow_phase::kRunning, now);
    }
    return;
  }
  OnRetransmission(flow, packet.flow, now);
}

void flow_tracker::OnRetransmission(flow_state& flow,
                                    const flow_key& key,
                                    time_point now) {
  const duration waited = now - flow.phase_began;
  if (flow.phase != flow_phase::kRunning || waited < kRepeatTime) {
    return;
  }
  if (!std::exchange(flow.stalled, true)) {
    hooks_.stalled(key, flow.target, waited);
  }
  if (MutableStatus(flow.target).last_answer < flow.phase_began) {
    MarkUnanswered(flow.target, "data sent again without an answer since");
  }
}

std::vector<flow_key> flow_tracker::FlowsAt(target_index target) const {
  std::vector<flow_key> keys;
  for (const auto& [key, flow] : flows_) {
    if (flow.target == target) {
      keys.push_back(key);
    }
  }
  return keys;
}

void flow_tracker::Drop(const flow_key& key) {
  const auto found = flows_.find(key);
  if (found != flows_.end()) {
    LeavePhase(found->second);
    flows_.erase(found);
  }
}

void flow_tracker::LeavePhase(flow_state& flow) {
  target_status& status = MutableStatus(flow.target);
  switch (flow.phase) {
    case flow_phase::kOpening:
      Decrement(status.opening);
      break;
    case flow_phase::kRunning:
      Decrement(status.running);
      Decrement(status.open);
      break;
    case flow_phase::kOpen:
      Decrement(status.open);
      break;
  }
}

void flow_tracker::EnterPhase(flow_state& flow,
                              flow_phase phase,
                              time_point now) {
  target_status& status = MutableStatus(flow.target);
  flow.phase = phase;
  flow.stalled = false;
  flow.phase_began = now;
  flow.last_packet = now;
  if (phase == flow_phase::kOpening) {
    if (status.opening++ == 0) {
      status.opening_since = now;
    }
    return;
  }
  ++status.open;
  if (phase == flow_phase::kRunning && status.running++ == 0) {
    status.waiting_since = now;
  }
}

void flow_tracker::OnAnswer(target_index target, bool proven, time_point now) {
  target_status& status = MutableStatus(target);
  status.last_answer = now;
  status.waiting_since = now;
  if (proven || !hooks_.requires_proof || !hooks_.requires_proof(target)) {
    OnReached(target, now);
  }
}

void flow_tracker::OnReached(target_index target, time_point now) {
  target_status& status = MutableStatus(target);
  status.suspected = false;
  status.opening_since = now;
  OnReachedWhileSuspected(target, now);
}

void flow_tracker::OnReachedWhileSuspected(target_index target,
                                           time_point now) {
  target_status& status = MutableStatus(target);
  const bool disproved = std::exchange(status.unanswered, false);
  status.last_reached = now;
  status.failed_probes = 0;
  if (std::exchange(status.unreachable, false)) {
    status.returned = now;
  }
  if (disproved && hooks_.disproved) {
    hooks_.disproved(target, now);
  }
}

void flow_tracker::CheckOpenTimeout(target_index target, time_point now) {
  target_status& status = MutableStatus(target);
  if (status.opening > 0 && now - status.opening_since >= kOpenAnswerTimeout) {
    MarkUnanswered(target, "first packet without an answer");
  }
}

void flow_tracker::CheckOpenTimeouts(time_point now) {
  for (target_index target = 0; target < statuses_.size(); ++target) {
    CheckOpenTimeout(target, now);
  }
}

void flow_tracker::MarkUnanswered(target_index target, const char* reason) {
  target_status& status = MutableStatus(target);
  status.unanswered = status.unanswered || !status.suspected;
  MarkSuspected(target, reason);
}

void flow_tracker::MarkSuspected(target_index target, const char* reason) {
  target_status& status = MutableStatus(target);
  if (!status.suspected) {
    status.suspected = true;
    status.suspect_reason = reason;
    status.failed_probes = 0;
    status.unreachable = false;
    hooks_.suspected(target, reason);
  }
}

void flow_tracker::OnProbeResult(target_index target,
                                 probe_outcome outcome,
                                 time_point now) {
  target_status& status = MutableStatus(target);
  status.last_probe = outcome;
  status.last_probed = now;
  if (outcome == probe_outcome::kReached) {
    OnReached(target, now);
    return;
  }
  ++status.failed_probes;
  if (status.suspected && !status.unreachable &&
      status.failed_probes >= kUnreachableProbes) {
    status.unreachable =
        !hooks_.proves_unreachable || hooks_.proves_unreachable(target, now);
  }
}

void flow_tracker::ResetTarget(target_index target) {
  absl::erase_if(flows_, [target](const auto& entry) {
    return entry.second.target == target;
  });
  MutableStatus(target) = {};
}

void flow_tracker::ResetWaitTimes(time_point now) {
  for (target_status& status : statuses_) {
    status.opening_since = now;
    status.waiting_since = now;
  }
  for (auto& [key, flow] : flows_) {
    flow.phase_began = now;
  }
}

void flow_tracker::Sweep(time_point now) {
  absl::erase_if(flows_, [this, now](auto& entry) {
    flow_state& flow = entry.second;
    const duration idle = now - flow.last_packet;
    const duration lifetime =
        flow.phase == flow_phase::kOpening   ? kOpeningLifetime
        : flow.phase == flow_phase::kRunning ? kRunningLifetime
                                             : kIdleLifetime;
    if (idle < lifetime) {
      return false;
    }
    LeavePhase(flow);
    return true;
  });
}

}  // namespace rosemaryreach
