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
  if (now - status.last_probed > kProbeValidity) {
    return {open_flow_verdict::kForwardAndProbe};
  }
  const bool leaving = target.listing == target_listing::kGone ||
                       target.record.state == target_state::kDraining;
  const bool inconclusive =
      leaving && status.last_probe == probe_outcome::kRefused;
  if (inconclusive && !unanswered) {
    return {};
  }
  return {open_flow_verdict::kReset, "target_unreachable"};
}

}  // namespace rosemaryreach
