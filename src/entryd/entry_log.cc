#include "entryd/entry_log.h"

#include <algorithm>
#include <array>
#include <utility>

namespace rosemaryreach {

bool entry_log::ShouldLogFlow(bool unusual, time_point now) {
  if (!unusual && placements_++ % kPlacementSampleInterval != 0) {
    return false;
  }
  const std::chrono::duration<double> elapsed = now - refilled_at_;
  refilled_at_ = now;
  tokens_ =
      std::min(kFlowLineBurst, tokens_ + elapsed.count() * kFlowLinesPerSecond);
  if (tokens_ < (unusual ? 1 : kFlowLineBurst / 2)) {
    ++skipped_;
    return false;
  }
  tokens_ -= 1;
  return true;
}

void entry_log::LogSkippedLines() {
  const std::uint64_t skipped = std::exchange(skipped_, 0);
  if (skipped > 0) {
    const std::array<log_field, 1> fields = {
        log_field{"lines", static_cast<std::int64_t>(skipped)}};
    LogWarning("flow_lines_skipped", fields);
  }
}

}  // namespace rosemaryreach
