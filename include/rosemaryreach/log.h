// Interface for logs: events, and a sample of routing and placement decisions.
#ifndef ROSEMARYREACH_LOG_H_
#define ROSEMARYREACH_LOG_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace rosemaryreach {

enum class log_level : std::uint8_t { kDebug, kInfo, kWarning, kError };

// One routing or placement decision. Views are valid during the call.
struct log_decision {
  std::string_view plane;    // "packets", "requests" or "fleet"
  std::string_view service;  // empty where none applies
  std::string_view subject;  // flow, request, bucket or target
  std::string_view target;   // chosen target or instance; empty if none
  std::string_view rule;     // stable name of the rule that decided
  std::uint64_t number = 0;  // configuration number in force
};

// Longer text in a field of an event is cut, since other writers of the store
// may have chosen it.
inline constexpr std::size_t kMaxFieldBytes = 4'096;

// One named value of an event.
struct log_field {
  std::string_view name;
  std::variant<std::string_view, std::int64_t> value;
};

// Writes log lines. Implementations add time and instance.
class log_sink {
 public:
  virtual ~log_sink() = default;

  // Returns whether to log the next decision, by level and sampling. If not,
  // callers skip building it.
  virtual bool ShouldLogDecision() = 0;
  virtual void WriteDecision(const log_decision& decision) = 0;
  virtual void Write(log_level level,
                     std::string_view event,
                     std::string_view detail) = 0;
  // Writes an event with `fields` as members of the JSON line.
  virtual void WriteEvent(log_level level,
                          std::string_view event,
                          std::span<const log_field> fields) = 0;
};

// Discards all lines.
class null_log_sink : public log_sink {
 public:
  bool ShouldLogDecision() override { return false; }
  void WriteDecision(const log_decision& decision) override {}
  void Write(log_level level,
             std::string_view event,
             std::string_view detail) override {}
  void WriteEvent(log_level level,
                  std::string_view event,
                  std::span<const log_field> fields) override {}
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_LOG_H_
