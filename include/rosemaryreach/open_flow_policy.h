// Judges whether an open flow is reset for what is known of its target. A wrong
// reset cuts the flow of a live target, a missing one lets a caller wait for
// its next retransmission.
#ifndef ROSEMARYREACH_OPEN_FLOW_POLICY_H_
#define ROSEMARYREACH_OPEN_FLOW_POLICY_H_

#include <cstdint>

#include "rosemaryreach/flow_tracker.h"
#include "rosemaryreach/target_directory.h"

namespace rosemaryreach {

enum class open_flow_verdict : std::uint8_t {
  kForward,
  kForwardAndProbe,  // the evidence against the target is out of date
  kReset,
};

struct open_flow_judgement {
  open_flow_verdict verdict = open_flow_verdict::kForward;
  const char* rule = "";  // of a reset
};

// A flow at an unreachable target is reset if three probes in a row have failed
// lately, nothing was answered since, and the flow itself is `unanswered`: it
// had to send its data again at this instance. Probes alone don't suffice, as a
// target that is full or leaving may refuse connections, or leave them
// unanswered, and serve its open flows.
open_flow_judgement JudgeOpenFlow(const known_target& target,
                                  const target_status& status,
                                  bool unanswered,
                                  time_point now);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_OPEN_FLOW_POLICY_H_
