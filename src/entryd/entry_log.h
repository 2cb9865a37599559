// The log lines of an entry instance: every change of belief, unusual
// decisions up to a rate, ordinary ones by sample.
#ifndef ROSEMARYREACH_ENTRYD_ENTRY_LOG_H_
#define ROSEMARYREACH_ENTRYD_ENTRY_LOG_H_

#include <cstdint>
#include <span>
#include <string_view>

#include "rosemaryreach/log.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

// Lines a second for decisions about flows; beyond it they are counted.
inline constexpr double kFlowLinesPerSecond = 40;
inline constexpr double kFlowLineBurst = 120;
// Every n-th ordinary placement is logged.
inline constexpr std::uint32_t kPlacementSampleInterval = 16;

class entry_log {
 public:
  explicit entry_log(log_sink& sink) : sink_(sink) {}

  // Logs a change of what the instance believes.
  void LogStateChange(std::string_view event,
                      std::span<const log_field> fields) {
    sink_.WriteEvent(log_level::kInfo, event, fields);
  }
  void LogWarning(std::string_view event, std::span<const log_field> fields) {
    sink_.WriteEvent(log_level::kWarning, event, fields);
  }

  // Returns whether a decision about a flow may be logged now. Unusual ones
  // keep half of the rate for themselves.
  bool ShouldLogFlow(bool unusual, time_point now);

  void LogFlow(std::span<const log_field> fields) {
    sink_.WriteEvent(log_level::kInfo, "flow", fields);
  }

  // Tells how many lines the rate has kept out since the last call.
  void LogSkippedLines();

 private:
  log_sink& sink_;
  double tokens_ = kFlowLineBurst;
  time_point refilled_at_{};
  std::uint32_t placements_ = 0;
  std::uint64_t skipped_ = 0;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ENTRYD_ENTRY_LOG_H_
