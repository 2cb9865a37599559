#include "entryd/entry_log.h"

#include <algorithm>
#include <array>
#include <utility>

namespace rosemaryreach {

void entry_log::allowance::Refill(double per_second,
                                  double burst,
                                  time_point now) {
  const std::chrono::duration<double> elapsed =
      now - std::exchange(refilled_at, now);
  lines = std::min(burst, lines + elapsed.count() * per_second);
}

bool entry_log::ShouldLogFlow(bool unusual, time_point now) {
  if (!unusual && placements_++ % kPlacementSampleInterval != 0) {
    return false;
  }
  flow_lines_.Refill(kFlowLinesPerSecond, kFlowLineBurst, now);
  if (flow_lines_.lines < (unusual ? 1 : kFlowLineBurst / 2)) {
    ++skipped_;
    return false;
  }
  flow_lines_.lines -= 1;
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
