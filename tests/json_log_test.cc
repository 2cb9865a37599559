#include "adapters/json_log.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <semaphore>
#include <vector>

namespace rosemaryreach {
namespace {

using json = nlohmann::json;

TEST_CASE("A decision is written as one JSON line with all its members") {
  std::vector<std::string> lines;
  json_log log({log_level::kInfo, 1}, "a1",
               [&lines](const std::string& line) { lines.push_back(line); });
  REQUIRE(log.ShouldLogDecision());
  log.WriteDecision(
      {"packets", "ledger", "10.0.0.1:5\n\"\xff", "l1", "pinned", 7});
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].find('\n') == std::string::npos);
  const json line = json::parse(lines[0]);
  CHECK(line.at("event") == "decision");
  CHECK(line.at("instance") == "a1");
  CHECK(line.at("service") == "ledger");
  CHECK(line.at("target") == "l1");
  CHECK(line.at("rule") == "pinned");
  CHECK(line.at("number") == 7);
}

// An entry of another writer had a state of a megabyte, which was logged with
// each change.
TEST_CASE("Long text in a field is cut") {
  std::vector<std::string> lines;
  json_log log({log_level::kInfo, 1}, "a1",
               [&lines](const std::string& line) { lines.push_back(line); });
  const std::string text(1'000'000, 'x');
  const std::vector<log_field> fields = {{"detail", text}, {"count", 3}};
  log.WriteEvent(log_level::kInfo, "directory", fields);
  log.Write(log_level::kInfo, "directory", text);
  REQUIRE(lines.size() == 2);
  for (const std::string& line : lines) {
    CHECK(line.size() < kMaxFieldBytes + 200);
    CHECK(json::parse(line).at("detail") ==
          std::string(kMaxFieldBytes, 'x') + "... (1000000 bytes)");
  }
  CHECK(json::parse(lines[0]).at("count") == 3);
}

TEST_CASE("Decisions are sampled, and off above level info") {
  const auto count_logged = [](log_settings settings) {
    json_log log(settings, "a1", nullptr);
    int logged = 0;
    for (int i = 0; i < 100; ++i) {
      logged += log.ShouldLogDecision() ? 1 : 0;
    }
    return logged;
  };
  CHECK(count_logged({log_level::kInfo, 10}) == 10);
  CHECK(count_logged({log_level::kInfo, 0}) == 0);
  CHECK(count_logged({log_level::kWarning, 1}) == 0);
}

// At the start of an instance, packets come before log lines.
TEST_CASE("A deferred writer writes nothing before its start, then all lines") {
  std::mutex mutex;
  std::vector<std::string> lines;
  const auto count = [&] {
    const std::lock_guard<std::mutex> lock(mutex);
    return lines.size();
  };
  background_writer writer(
      [&](std::string line) {
        const std::lock_guard<std::mutex> lock(mutex);
        lines.push_back(std::move(line));
      },
      background_writer::kDefaultCapacityLines, writer_start::kDeferred);
  writer.Write("0");
  writer.Write("1");
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  CHECK(count() == 0);
  writer.Start();
  writer.Start();
  CHECK(writer.Flush(std::chrono::minutes(1)));
  CHECK(count() == 2);
}

TEST_CASE("Flush of a blocked output returns at its timeout") {
  std::binary_semaphore output_gate(0);
  background_writer writer(
      [&output_gate](const std::string& /*line*/) { output_gate.acquire(); });
  writer.Write("0");
  CHECK_FALSE(writer.Flush(std::chrono::milliseconds(10)));
  output_gate.release();
  CHECK(writer.Flush(std::chrono::minutes(1)));
}

TEST_CASE(
    "Writing to a blocked output does not block and counts dropped lines") {
  std::vector<std::string> lines;
  std::binary_semaphore output_gate(0);
  std::binary_semaphore write_started(0);
  bool first = true;
  {
    background_writer writer(
        [&](std::string line) {
          if (std::exchange(first, false)) {
            write_started.release();
            output_gate.acquire();
          }
          lines.push_back(std::move(line));
        },
        3);
    writer.Write("0");
    write_started.acquire();
    for (int i = 1; i <= 10; ++i) {
      writer.Write(std::to_string(i));
    }
    CHECK(writer.dropped() == 7);
    output_gate.release();
  }
  REQUIRE(lines.size() == 5);
  CHECK(std::count(lines.begin(), lines.end(), "3") == 1);
  const auto is_report = [](const std::string& line) {
    return line.find("log_lines_dropped") != std::string::npos;
  };
  CHECK(std::count_if(lines.begin(), lines.end(), is_report) == 1);
}

}  // namespace
}  // namespace rosemaryreach
