#include "rosemaryreach/open_flow_policy.h"

namespace rosemaryreach {

open_flow_judgement JudgeOpenFlow(const known_target& target,
                                  const target_status& status,
                                  bool unanswered,
                                  time_point now) {
  if (target.address_reused) {
    return {open_flow_verdict::kReset, "target_replaced"};
  }
  if (!Unreachable(status)) {
    return {};
  }
  const bool recent = now - status.last_probed <= kProbeValidity &&
                      status.recent_failures >= kUnreachableProbes &&
                      status.last_answer <= status.last_probed;
  if (!recent) {
    return {open_flow_verdict::kForwardAndProbe};
  }
  return unanswered ? open_flow_judgement{open_flow_verdict::kReset,
                                          "target_unreachable"}
                    : open_flow_judgement{};
}

}  // namespace rosemaryreach
