#include "entryd/entry_log.h"

#include <algorithm>
#include <array>
#include <utility>

namespace rosemaryreach {

bool entry_log::WantsFlow(bool unusual, time_point now) {
  if (!unusual && placements_++ % kPlacementSample != 0) {
    return false;
  }
  const std::chrono::duration<double> passed = now - refilled_;
  refilled_ = now;
  tokens_ =
      std::min(kFlowLinesBurst, tokens_ + passed.count() * kFlowLinesPerSecond);
  if (tokens_ < (unusual ? 1 : kFlowLinesBurst / 2)) {
    ++skipped_;
    return false;
  }
  tokens_ -= 1;
  return true;
}

void entry_log::ReportSkipped() {
  const std::uint64_t skipped = std::exchange(skipped_, 0);
  if (skipped > 0) {
    const std::array<log_field, 1> fields = {
        log_field{"lines", static_cast<std::int64_t>(skipped)}};
    Warn("flow_lines_skipped", fields);
  }
}

}  // namespace rosemaryreach
