// Log lines of an entry instance: all state changes, unusual flow decisions up
// to a rate limit, and a sample of the ordinary ones.
#ifndef ROSEMARYREACH_ENTRYD_ENTRY_LOG_H_
#define ROSEMARYREACH_ENTRYD_ENTRY_LOG_H_

#include <cstdint>
#include <span>
#include <string_view>

#include "rosemaryreach/log.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

// Rate limit for flow decisions, in lines per second; lines above it are only
// counted.
inline constexpr double kFlowLinesPerSecond = 40;
inline constexpr double kFlowLineBurst = 120;
// One in this many ordinary placements is logged.
inline constexpr std::uint32_t kPlacementSampleInterval = 16;

class entry_log {
 public:
  explicit entry_log(log_sink& sink) : sink_(sink) {}

  // Logs a change of state, such as a target that became unreachable.
  void LogStateChange(std::string_view event,
                      std::span<const log_field> fields) {
    sink_.WriteEvent(log_level::kInfo, event, fields);
  }
  void LogWarning(std::string_view event, std::span<const log_field> fields) {
    sink_.WriteEvent(log_level::kWarning, event, fields);
  }

  // Returns whether a flow decision may be logged now, and consumes a token of
  // the rate limit if so. Half of the burst is reserved for unusual decisions.
  bool ShouldLogFlow(bool unusual, time_point now);

  void LogFlow(std::span<const log_field> fields) {
    sink_.WriteEvent(log_level::kInfo, "flow", fields);
  }

  // Logs the number of lines suppressed by the rate limit since the last call.
  void LogSkippedLines();

 private:
  // Lines that may be written now, refilled over time.
  struct allowance {
    double lines = 0;
    time_point refilled_at{};

    void Refill(double per_second, double burst, time_point now);
  };

  log_sink& sink_;
  allowance flow_lines_{kFlowLineBurst};
  std::uint32_t placements_ = 0;
  std::uint64_t skipped_ = 0;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ENTRYD_ENTRY_LOG_H_
