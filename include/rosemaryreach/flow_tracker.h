// Tracks flows from the packets of callers alone: which flows are opening, open
// or waiting for an answer, and which targets answer.
#ifndef ROSEMARYREACH_FLOW_TRACKER_H_
#define ROSEMARYREACH_FLOW_TRACKER_H_

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

#include "rosemaryreach/flow_packet.h"
#include "rosemaryreach/target_directory.h"

namespace rosemaryreach {

// Targets answer a first packet within a few round trips, whatever their load;
// this is several times that between distant data centres.
inline constexpr duration kOpenAnswerTimeout = std::chrono::milliseconds(60);

// Callers send a first packet up to three times: copies follow after 200 and
// 600 ms.
inline constexpr std::size_t kMaxTriedTargets = 3;
inline constexpr std::uint32_t kLastCopy = 2;

// Callers send any packet again this long after it stays unanswered; routers
// may then have chosen another instance.
inline constexpr duration kFirstRetransmission = std::chrono::milliseconds(200);

// Result of a probe, a TCP connection to a target.
enum class probe_outcome : std::uint8_t {
  kNone,      // not probed yet
  kNoAnswer,  // before the deadline of the probe
  kRefused,   // the machine answers; nobody accepts connections there
  kReached,
};

// Load and health of one target as observed by this instance.
struct target_status {
  std::uint32_t opening = 0;   // flows whose first packet is unanswered
  std::uint32_t open = 0;      // open flows, including running ones
  std::uint32_t running = 0;   // requests in flight
  time_point opening_since{};  // start of the wait for their answers
  time_point waiting_since{};  // start of the wait for an answer to requests
  time_point last_answer{};    // last evidence of an answer
  time_point last_reached{};   // last answer or successful probe
  bool suspected = false;      // gets no new flows until a probe reaches it
  std::uint32_t failed_probes = 0;  // in a row, since it is suspected
  probe_outcome last_probe = probe_outcome::kNone;
  time_point last_probed{};         // when the last counted probe ended
  const char* suspect_reason = "";  // of the last suspicion, kept when it ends
  bool unanswered = false;   // suspected since it left packets unanswered
  bool unreachable = false;  // suspected, and failed probes prove it
  time_point returned{};     // was last excluded from new flows until then
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
  // Of its first packet, if that was forwarded here.
  std::optional<std::uint32_t> first_sequence{};
  std::uint32_t sequence = 0;      // of the last data
  std::uint32_t acknowledged = 0;  // highest seen

  std::span<const target_index> tried_targets() const {
    return {tried.data(), tried_count};
  }
};

struct flow_tracker_hooks {
  // A target became suspected.
  std::function<void(target_index, const char* reason)> suspected;
  // The first packet of a flow was answered after this time.
  std::function<void(target_index, duration)> opened;
  // Data was retransmitted this long after the request began, without an
  // answer; called once per request.
  std::function<void(const flow_key&, target_index, duration)> stalled;
  // A request got the first part of its answer after this time.
  std::function<void(target_index, duration, time_point now)> answered;
  // A target that was suspected since it left packets unanswered has answered,
  // or a probe reached it. Optional.
  std::function<void(target_index, time_point now)> disproved{};
  // Returns whether kUnreachableProbes or more failed probes in a row prove
  // that the target is unreachable. Optional; without it, they do.
  std::function<bool(target_index, time_point now)> proves_unreachable{};
  // Returns whether only proof that this very instance reaches the target ends
  // a suspicion. Callers that were moved and came back acknowledge answers to
  // packets that other instances forwarded. Optional; without it, any answer
  // counts.
  std::function<bool(target_index)> requires_proof{};
};

class flow_tracker {
 public:
  flow_tracker(std::size_t max_flows, flow_tracker_hooks hooks);

  // Returns the state of a flow; nullptr if it isn't tracked here.
  const flow_state* Find(const flow_key& key) const;

  // Records that a first packet goes to `target`. If it was sent to another
  // target before, that target becomes suspected unless it answered since.
  // `first_sequence` tells the copies of the packet from the first packet of
  // another flow with the same key.
  void Open(const flow_key& key,
            target_index target,
            time_point now,
            std::optional<std::uint32_t> first_sequence = std::nullopt);

  // Records a later packet of a flow whose cookie names `target`.
  void OnPacket(const flow_packet& packet, target_index target, time_point now);

  // Returns the flows assigned to a target.
  std::vector<flow_key> FlowsAt(target_index target) const;

  // Stops tracking a flow.
  void Drop(const flow_key& key);

  // Stops tracking flows that have been idle too long for their phase.
  void Sweep(time_point now);

  // Marks `target` as suspected if first packets went unanswered for
  // kOpenAnswerTimeout.
  void CheckOpenTimeout(target_index target, time_point now);

  // The same for all targets.
  void CheckOpenTimeouts(time_point now);

  void OnProbeResult(target_index target,
                     probe_outcome outcome,
                     time_point now);

  // A probe reached a target that stays suspected for other reasons.
  void OnReachedWhileSuspected(target_index target, time_point now);

  // Withholds new flows from a target until a probe reaches it or it answers,
  // without evidence of the target's own that it does not answer.
  void MarkSuspected(target_index target, const char* reason);

  // A target gets new flows again after it was excluded from them.
  void MarkReturned(target_index target, time_point now) {
    MutableStatus(target).returned = now;
  }

  // Discards the flows and the status of a target whose index is reused.
  void ResetTarget(target_index target);

  // Restarts all waiting times at `now`, after a pause of this process.
  void ResetWaitTimes(time_point now);

  const target_status& StatusOf(target_index target) const;
  bool AnySuspected() const;
  std::size_t size() const { return flows_.size(); }

 private:
  target_status& MutableStatus(target_index target);
  void LeavePhase(flow_state& flow);
  void NotifyInFlight(const flow_state& flow, int change);
  void EnterPhase(flow_state& flow, flow_phase phase, time_point now);
  void MarkUnanswered(target_index target, const char* reason);
  void OnReached(target_index target, time_point now);
  // `proven` tells that the target answered a packet that this instance
  // forwarded, not one that another instance may have forwarded since.
  void OnAnswer(target_index target, bool proven, time_point now);
  void OnData(flow_state& flow, const flow_packet& packet, time_point now);
  void OnRetransmission(flow_state& flow, const flow_key& key, time_point now);

  std::size_t max_flows_;
  flow_tracker_hooks hooks_;
  absl::flat_hash_map<flow_key, flow_state> flows_;
  std::vector<target_status> statuses_;
};

// Probes that must fail in a row before a target may count as unreachable. With
// the pauses between them this takes half a second if they get no answer, as a
// full link may delay packets that long, and 0.2 s if they are refused.
inline constexpr std::uint32_t kUnreachableProbes = 3;

// Returns whether probes show that this instance can't reach the target.
inline bool Unreachable(const target_status& status) {
  return status.suspected && status.unreachable;
}

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_FLOW_TRACKER_H_
