#include "rosemaryreach/flow_ledger.h"

#include <algorithm>
#include <utility>

namespace rosemaryreach {
namespace {

// Callers give up opening after 1.4 s.
constexpr duration kOpeningLifetime = std::chrono::seconds(2);
// A request that shows no answer for this long has been given up.
constexpr duration kRunningLifetime = std::chrono::seconds(10);
// Only counts of load are lost with an idle flow, its cookie still routes it.
constexpr duration kIdleLifetime = std::chrono::seconds(30);
// Data is sent again after 200 ms; less is a copy made on the way.
constexpr duration kRepeatTime = std::chrono::milliseconds(150);

// Compares sequence numbers that wrap.
bool After(std::uint32_t a, std::uint32_t b) {
  return static_cast<std::int32_t>(a - b) > 0;
}

void Decrement(std::uint32_t& count) {
  count -= std::min<std::uint32_t>(count, 1);
}

}  // namespace

flow_ledger::flow_ledger(std::size_t max_flows, ledger_hooks hooks)
    : max_flows_(max_flows), hooks_(std::move(hooks)) {}

const flow_state* flow_ledger::Find(const flow_key& key) const {
  const auto found = flows_.find(key);
  return found == flows_.end() ? nullptr : &found->second;
}

const target_contact& flow_ledger::contact(target_index target) const {
  static const target_contact kUnknown;
  return target < contacts_.size() ? contacts_[target] : kUnknown;
}

bool flow_ledger::AnyDoubted() const {
  return std::any_of(
      contacts_.begin(), contacts_.end(),
      [](const target_contact& contact) { return contact.doubted; });
}

target_contact& flow_ledger::Contact(target_index target) {
  if (target >= contacts_.size()) {
    contacts_.resize(target + 1);
  }
  return contacts_[target];
}

void flow_ledger::Open(const flow_key& key,
                       target_index target,
                       time_point now) {
  if (flows_.size() >= max_flows_ && !flows_.contains(key)) {
    return;
  }
  flow_state& flow = flows_[key];
  const bool copy = flow.target != kNoTarget;
  if (copy) {
    Leave(flow);
    const bool silent = Contact(flow.target).answered < flow.phase_began;
    if (flow.target != target && silent) {
      Doubt(flow.target, "first packet sent again");
    }
  }
  flow.target = target;
  const std::span<const target_index> tried = flow.tried_targets();
  if (std::find(tried.begin(), tried.end(), target) == tried.end() &&
      flow.tried_count < kMaxTriedTargets) {
    flow.tried[flow.tried_count++] = target;
  }
  Enter(flow, flow_phase::kOpening, now);
}

void flow_ledger::See(const flow_packet& packet,
                      target_index target,
                      time_point now) {
  const auto found = flows_.find(packet.flow);
  if (found == flows_.end()) {
    const bool worth_counting =
        packet.data_bytes > 0 && !packet.finishes && flows_.size() < max_flows_;
    if (worth_counting) {
      flow_state& flow = flows_[packet.flow];
      flow.target = target;
      flow.sequence = packet.sequence;
      flow.acknowledged = packet.acknowledged;
      Enter(flow, flow_phase::kRunning, now);
    }
    return;
  }
  flow_state& flow = found->second;
  if (flow.phase == flow_phase::kOpening || flow.target != target) {
    Leave(flow);
    if (flow.phase == flow_phase::kOpening) {
      hooks_.opened(now - flow.phase_began);
    }
    flow.target = target;
    flow.acknowledged = packet.acknowledged;
    flow.sequence = packet.sequence - 1;
    Answer(Contact(target), now);
    Enter(flow, flow_phase::kOpen, now);
  }
  SeeData(flow, packet, now);
  if (packet.finishes || packet.resets) {
    Leave(flow);
    flows_.erase(found);
  }
}

void flow_ledger::SeeData(flow_state& flow,
                          const flow_packet& packet,
                          time_point now) {
  flow.last_packet = now;
  if (After(packet.acknowledged, flow.acknowledged)) {
    flow.acknowledged = packet.acknowledged;
    Answer(Contact(flow.target), now);
    if (flow.phase == flow_phase::kRunning) {
      hooks_.answered(now - flow.phase_began);
      Leave(flow);
      Enter(flow, flow_phase::kOpen, now);
    }
  }
  if (packet.data_bytes == 0) {
    return;
  }
  if (After(packet.sequence, flow.sequence)) {
    flow.sequence = packet.sequence;
    if (flow.phase == flow_phase::kOpen) {
      Leave(flow);
      Enter(flow, flow_phase::kRunning, now);
    }
    return;
  }
  SeeRepeat(flow, packet.flow, now);
}

void flow_ledger::SeeRepeat(flow_state& flow,
                            const flow_key& key,
                            time_point now) {
  const duration waited = now - flow.phase_began;
  if (flow.phase != flow_phase::kRunning || waited < kRepeatTime) {
    return;
  }
  if (!std::exchange(flow.stalled, true)) {
    hooks_.stalled(key, flow.target, waited);
  }
  if (Contact(flow.target).answered < flow.phase_began) {
    Doubt(flow.target, "data sent again without an answer since");
  }
}

std::vector<flow_ledger::placed_flow> flow_ledger::FlowsAt(
    target_index target) const {
  std::vector<placed_flow> placed;
  for (const auto& [key, flow] : flows_) {
    if (flow.target == target) {
      placed.push_back({key, flow.phase, flow.acknowledged});
    }
  }
  return placed;
}

void flow_ledger::Drop(const flow_key& key) {
  const auto found = flows_.find(key);
  if (found != flows_.end()) {
    Leave(found->second);
    flows_.erase(found);
  }
}

void flow_ledger::Leave(flow_state& flow) {
  target_contact& contact = Contact(flow.target);
  switch (flow.phase) {
    case flow_phase::kOpening:
      Decrement(contact.opening);
      break;
    case flow_phase::kRunning:
      Decrement(contact.running);
      Decrement(contact.open);
      break;
    case flow_phase::kOpen:
      Decrement(contact.open);
      break;
  }
}

void flow_ledger::Enter(flow_state& flow, flow_phase phase, time_point now) {
  target_contact& contact = Contact(flow.target);
  flow.phase = phase;
  flow.stalled = false;
  flow.phase_began = now;
  flow.last_packet = now;
  if (phase == flow_phase::kOpening) {
    if (contact.opening++ == 0) {
      contact.opening_since = now;
    }
    return;
  }
  ++contact.open;
  contact.running += phase == flow_phase::kRunning ? 1 : 0;
}

void flow_ledger::Answer(target_contact& contact, time_point now) {
  contact.answered = now;
  contact.opening_since = now;
  contact.failed_probes = 0;
  contact.doubted = false;
}

void flow_ledger::CheckOpening(target_index target, time_point now) {
  target_contact& contact = Contact(target);
  if (contact.opening > 0 && now - contact.opening_since >= kOpenAnswerTime) {
    Doubt(target, "first packet without an answer");
  }
}

void flow_ledger::Doubt(target_index target, const char* reason) {
  target_contact& contact = Contact(target);
  if (!contact.doubted) {
    contact.doubted = true;
    contact.doubt_reason = reason;
    contact.failed_probes = 0;
    hooks_.doubted(target, reason);
  }
}

void flow_ledger::TakeProbe(target_index target, bool reached, time_point now) {
  target_contact& contact = Contact(target);
  if (reached) {
    contact.doubted = false;
    contact.failed_probes = 0;
    contact.opening_since = now;
  } else {
    ++contact.failed_probes;
  }
}

void flow_ledger::Forget(target_index target) {
  absl::erase_if(flows_, [target](const auto& entry) {
    return entry.second.target == target;
  });
  Contact(target) = {};
}

void flow_ledger::ForgetWaiting(time_point now) {
  for (target_contact& contact : contacts_) {
    contact.opening_since = now;
  }
  for (auto& [key, flow] : flows_) {
    flow.phase_began = now;
  }
}

void flow_ledger::Sweep(time_point now) {
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
    Leave(flow);
    return true;
  });
}

}  // namespace rosemaryreach
