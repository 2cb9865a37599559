// JSON Lines logging: level filter, sampling of routing decisions, and a
// background writer that never blocks the calling task.
#ifndef ROSEMARYREACH_ADAPTERS_JSON_LOG_H_
#define ROSEMARYREACH_ADAPTERS_JSON_LOG_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include "rosemaryreach/log.h"
#include "rosemaryreach/settings.h"

namespace rosemaryreach {

// Writes one line, passed without its trailing newline.
using line_writer = std::function<void(std::string line)>;

// Formats log lines. Thread-safe if `write` is.
class json_log : public log_sink {
 public:
  // `instance` is added to every line.
  json_log(const log_settings& settings,
           std::string instance,
           line_writer write);

  bool ShouldLogDecision() override;
  void WriteDecision(const log_decision& decision) override;
  void Write(log_level level,
             std::string_view event,
             std::string_view detail) override;
  void WriteEvent(log_level level,
                  std::string_view event,
                  std::span<const log_field> fields) override;

 private:
  log_settings settings_;
  std::string instance_;
  line_writer write_;
  std::atomic<std::uint32_t> decisions_ = 0;
};

// When a background_writer starts to write: at once, or with the first call of
// Start(), Flush() or the destructor.
enum class writer_start : std::uint8_t { kNow, kDeferred };

// Writes lines on a background thread. Lines that exceed the queue's capacity
// are dropped, and their total is logged. The destructor writes queued lines.
class background_writer {
 public:
  static constexpr std::size_t kDefaultCapacityLines = 16'384;

  explicit background_writer(line_writer write,
                             std::size_t capacity = kDefaultCapacityLines,
                             writer_start start = writer_start::kNow);
  ~background_writer();
  background_writer(const background_writer&) = delete;
  background_writer& operator=(const background_writer&) = delete;

  void Write(std::string line);

  // Starts the thread unless it runs. Called by the thread that constructed
  // this object.
  void Start();

  // Waits until all queued lines are written; returns false on timeout.
  bool Flush(std::chrono::milliseconds timeout);

  // Returns the number of lines dropped so far.
  std::uint64_t dropped() const { return dropped_.load(); }

 private:
  void Run();

  line_writer write_;
  std::size_t capacity_;
  std::atomic<std::uint64_t> dropped_ = 0;
  std::mutex mutex_;
  std::condition_variable not_empty_;
  std::condition_variable written_;
  std::deque<std::string> lines_;  // Guarded by mutex_.
  bool writing_ = false;           // Guarded by mutex_.
  bool stopping_ = false;          // Guarded by mutex_.
  std::thread thread_;
};

// Returns a writer to standard output through easylogging++; thread-safe.
line_writer MakeStdoutWriter();

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_JSON_LOG_H_
