#include "adapters/json_log.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>
#include <utility>

namespace rosemaryreach {
namespace {

using json = nlohmann::ordered_json;

constexpr std::array<const char*, 4> kLevelNames = {"debug", "info", "warning",
                                                    "error"};

// Returns the current UTC time, formatted like 2026-03-12T18:00:00.123Z.
std::string FormatNow() {
  const std::chrono::system_clock::time_point now =
      std::chrono::system_clock::now();
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  const std::chrono::milliseconds since_epoch =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          now.time_since_epoch());
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 48> text{};
  std::snprintf(text.data(), text.size(), "%04d-%02d-%02dT%02d:%02d:%02d.%03dZ",
                parts.tm_year + 1'900, parts.tm_mon + 1, parts.tm_mday,
                parts.tm_hour, parts.tm_min, parts.tm_sec,
                static_cast<int>(since_epoch.count() % 1'000));
  return text.data();
}

// Returns `text`, or its begin and its length if it is longer than a field.
std::string Clip(std::string_view text) {
  return text.size() <= kMaxFieldBytes
             ? std::string(text)
             : std::string(text.substr(0, kMaxFieldBytes)) + "... (" +
                   std::to_string(text.size()) + " bytes)";
}

json StartLine(log_level level, const std::string& instance) {
  return {{"time", FormatNow()},
          {"level", kLevelNames.at(static_cast<std::size_t>(level))},
          {"instance", instance}};
}

std::string Dump(const json& line) {
  return line.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

json_log::json_log(const log_settings& settings,
                   std::string instance,
                   line_writer write)
    : settings_(settings),
      instance_(std::move(instance)),
      write_(std::move(write)) {}

bool json_log::ShouldLogDecision() {
  if (settings_.level > log_level::kInfo || settings_.decision_sample == 0) {
    return false;
  }
  const std::uint32_t count =
      decisions_.fetch_add(1, std::memory_order_relaxed);
  return count % settings_.decision_sample == 0;
}

void json_log::WriteDecision(const log_decision& decision) {
  json line = StartLine(log_level::kInfo, instance_);
  line["event"] = "decision";
  line["plane"] = decision.plane;
  line["service"] = decision.service;
  line["subject"] = decision.subject;
  line["target"] = decision.target;
  line["rule"] = decision.rule;
  line["number"] = decision.number;
  write_(Dump(line));
}

void json_log::Write(log_level level,
                     std::string_view event,
                     std::string_view detail) {
  if (level < settings_.level) {
    return;
  }
  json line = StartLine(level, instance_);
  line["event"] = event;
  line["detail"] = Clip(detail);
  write_(Dump(line));
}

void json_log::WriteEvent(log_level level,
                          std::string_view event,
                          std::span<const log_field> fields) {
  if (level < settings_.level) {
    return;
  }
  json line = StartLine(level, instance_);
  line["event"] = event;
  for (const log_field& field : fields) {
    json& member = line[std::string(field.name)];
    if (const std::string_view* text =
            std::get_if<std::string_view>(&field.value)) {
      member = Clip(*text);
    } else {
      member = std::get<std::int64_t>(field.value);
    }
  }
  write_(Dump(line));
}

background_writer::background_writer(line_writer write,
                                     std::size_t capacity,
                                     writer_start start)
    : write_(std::move(write)), capacity_(capacity) {
  if (start == writer_start::kNow) {
    Start();
  }
}

background_writer::~background_writer() {
  Start();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  not_empty_.notify_one();
  thread_.join();
}

void background_writer::Write(std::string line) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (lines_.size() >= capacity_) {
      dropped_.fetch_add(1);
      return;
    }
    lines_.push_back(std::move(line));
  }
  not_empty_.notify_one();
}

void background_writer::Start() {
  if (!thread_.joinable()) {
    thread_ = std::thread([this] { Run(); });
  }
}

bool background_writer::Flush(std::chrono::milliseconds timeout) {
  Start();
  std::unique_lock<std::mutex> lock(mutex_);
  return written_.wait_for(lock, timeout,
                           [this] { return lines_.empty() && !writing_; });
}

void background_writer::Run() {
  std::uint64_t reported_dropped = 0;
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    not_empty_.wait(lock, [this] { return stopping_ || !lines_.empty(); });
    const std::deque<std::string> lines = std::exchange(lines_, {});
    const bool final_batch = stopping_;
    writing_ = true;
    lock.unlock();
    for (const std::string& line : lines) {
      write_(line);
    }
    const std::uint64_t dropped = dropped_.load();
    if (dropped != std::exchange(reported_dropped, dropped)) {
      write_(Dump({{"time", FormatNow()},
                   {"level", "warning"},
                   {"event", "log_lines_dropped"},
                   {"total", dropped}}));
    }
    lock.lock();
    writing_ = false;
    written_.notify_all();
    if (final_batch && lines_.empty()) {
      return;
    }
  }
}

}  // namespace rosemaryreach
