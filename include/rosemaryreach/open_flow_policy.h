// Judges whether an open flow is reset for what is known of its target. A wrong
// reset cuts the flow of a live target, a missing one lets a caller wait for
// its next retransmission, so only recent evidence counts.
#ifndef ROSEMARYREACH_OPEN_FLOW_POLICY_H_
#define ROSEMARYREACH_OPEN_FLOW_POLICY_H_

#include <cstdint>

#include "rosemaryreach/flow_tracker.h"
#include "rosemaryreach/target_directory.h"

namespace rosemaryreach {

// How long a failed probe says something about its target: longer than the
// pause between two probes of an unreachable target.
inline constexpr duration kProbeValidity = std::chrono::milliseconds(1'500);

enum class open_flow_verdict : std::uint8_t {
  kForward,
  kForwardAndProbe,  // the evidence against the target is out of date
  kReset,
};

struct open_flow_judgement {
  open_flow_verdict verdict = open_flow_verdict::kForward;
  const char* rule = "";  // of a reset
};

// `unanswered` tells that the flow itself had to send its data again at this
// instance. It is needed against a target that is leaving and refuses probes:
// such a target may take no connections any more and serve its open flows.
open_flow_judgement JudgeOpenFlow(const known_target& target,
                                  const target_status& status,
                                  bool unanswered,
                                  time_point now);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_OPEN_FLOW_POLICY_H_
