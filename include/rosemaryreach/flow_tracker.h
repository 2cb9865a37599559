// What an instance sees of flows in its callers' packets: which are opening,
// open or waiting for an answer, and which targets answer.
#ifndef ROSEMARYREACH_FLOW_TRACKER_H_
#define ROSEMARYREACH_FLOW_TRACKER_H_

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <functional>
#include <span>
#include <vector>

#include "rosemaryreach/flow_packet.h"
#include "rosemaryreach/target_directory.h"

namespace rosemaryreach {

// A first packet is answered within a few round trips, whatever the target
// has to do; this is several times that between distant data centres.
inline constexpr duration kOpenAnswerTimeout = std::chrono::milliseconds(60);

// Callers send first packets three times.
inline constexpr std::size_t kMaxTriedTargets = 3;

// One target as seen from here.
struct target_status {
  std::uint32_t opening = 0;   // first packets without an answer
  std::uint32_t open = 0;      // flows that are open, running ones too
  std::uint32_t running = 0;   // requests that got no answer yet
  time_point opening_since{};  // oldest first packet without an answer
  time_point last_answer{};    // last sign of an answer
  bool suspected = false;      // gets no new flows until a probe reaches it
  std::uint32_t failed_probes = 0;  // in a row, since it is doubted
  const char* suspect_reason = "";  // of the last doubt, also when it is over
};

enum class flow_phase : std::uint8_t { kOpening, kOpen, kRunning };

struct flow_state {
  target_index target = kNoTarget;
  flow_phase phase = flow_phase::kOpening;
  bool stalled = false;  // in this phase
  std::uint8_t tried_count = 0;
  std::array<target_index, kMaxTriedTargets> tried{};
  time_point phase_began{};
  time_point last_packet{};
  std::uint32_t sequence = 0;      // of the last data
  std::uint32_t acknowledged = 0;  // highest seen

  std::span<const target_index> tried_targets() const {
    return {tried.data(), tried_count};
  }
};

struct flow_tracker_hooks {
  // A target becomes doubted, with the reason.
  std::function<void(target_index, const char* reason)> suspected;
  // A flow's first packet was answered after this time.
  std::function<void(duration)> opened;
  // A flow's data was sent again after this time without an answer; called
  // once a request.
  std::function<void(const flow_key&, target_index, duration)> stalled;
  // A request showed the first sign of an answer after this time.
  std::function<void(duration)> answered;
};

class flow_tracker {
 public:
  flow_tracker(std::size_t max_flows, flow_tracker_hooks hooks);

  // Returns the state of a flow; nullptr if it isn't known here.
  const flow_state* Find(const flow_key& key) const;

  // Notes that a first packet goes to `target`; a copy of one that went to
  // another target before is a sign against that target.
  void Open(const flow_key& key, target_index target, time_point now);

  // Notes a later packet of a flow whose cookie names `target`.
  void OnPacket(const flow_packet& packet, target_index target, time_point now);

  // A flow at some target, and what its caller acknowledged last.
  struct placed_flow {
    flow_key key;
    flow_phase phase = flow_phase::kOpening;
    std::uint32_t acknowledged = 0;
  };
  std::vector<placed_flow> FlowsAt(target_index target) const;

  // Drops a flow, as after a reset.
  void Drop(const flow_key& key);

  // Drops flows that are over or idle.
  void Sweep(time_point now);

  // Doubts targets whose first packets are unanswered for too long.
  void CheckOpenTimeout(target_index target, time_point now);

  void OnProbeResult(target_index target, bool reached, time_point now);

  // Sends a target no new flows until a probe reaches it.
  void MarkSuspected(target_index target, const char* reason);

  // Drops all that is known of a target whose index goes to another one.
  void ResetTarget(target_index target);

  // Forgets all waiting, since time passed that this process didn't see.
  void ResetWaitTimes(time_point now);

  const target_status& StatusOf(target_index target) const;
  bool AnySuspected() const;
  std::size_t size() const { return flows_.size(); }

 private:
  target_status& MutableStatus(target_index target);
  void LeavePhase(flow_state& flow);
  void EnterPhase(flow_state& flow, flow_phase phase, time_point now);
  void OnAnswer(target_status& status, time_point now);
  void OnData(flow_state& flow, const flow_packet& packet, time_point now);
  void OnRetransmission(flow_state& flow, const flow_key& key, time_point now);

  std::size_t max_flows_;
  flow_tracker_hooks hooks_;
  absl::flat_hash_map<flow_key, flow_state> flows_;
  std::vector<target_status> statuses_;
};

// Probes in a row that must fail before a target counts as out of reach: with
// the pauses between them half a second, which a full link may hold packets.
inline constexpr std::uint32_t kUnreachableProbes = 3;

// Returns whether probes show that the target can't be reached from here.
inline bool Unreachable(const target_status& status) {
  return status.suspected && status.failed_probes >= kUnreachableProbes;
}

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_FLOW_TRACKER_H_
