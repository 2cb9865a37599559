// Test fixture: entry instances on their own threads and a testbed around them.
#ifndef ROSEMARYREACH_TESTS_ENTRY_PATH_FIXTURE_H_
#define ROSEMARYREACH_TESTS_ENTRY_PATH_FIXTURE_H_

#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "adapters/json_log.h"
#include "entryd/entry_instance.h"
#include "platform_settings_file.h"
#include "standins/entry_testbed.h"
#include "temporary_directory.h"

namespace rosemaryreach {

// Runs entry instances, each on its own thread, in a testbed with two callers
// and a target of each service in three data centres.
class entry_path_fixture {
 public:
  explicit entry_path_fixture(std::size_t instances)
      : testbed_(loop_, instances, 2, 1), instances_(instances) {
    testbed_.PublishConfiguration();
    for (const char* data_centre : {"dc-a", "dc-b", "dc-c"}) {
      testbed_.AddTarget("ledger", data_centre);
      testbed_.AddTarget("files", data_centre);
    }
  }

  ~entry_path_fixture() {
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      Stop(i);
    }
  }

  entry_path_fixture(const entry_path_fixture&) = delete;
  entry_path_fixture& operator=(const entry_path_fixture&) = delete;

  void Start(std::size_t i) {
    const std::string file = testbed_.WriteSettings(i, directory_.path());
    const entry_settings settings = LoadEntrySettings(file).value();
    instances_[i] = std::make_unique<running_instance>(settings, file);
  }

  void Stop(std::size_t i) { instances_[i].reset(); }

  // Runs the event loop until `done` returns true or a minute has passed;
  // returns done().
  bool RunUntil(const std::function<bool()>& done) {
    const time_point end = loop_.now() + std::chrono::minutes(1);
    while (!done() && loop_.now() < end) {
      loop_.RunOnce();
    }
    return done();
  }

  // Opens `flows` flows, one every 5 ms, and waits until all have ended.
  bool RunFlows(std::size_t flows) {
    std::size_t opened = 0;
    loop_timer flow_timer(loop_, [&] {
      if (opened++ < flows) {
        testbed_.OpenFlow();
      }
    });
    flow_timer.StartEvery(std::chrono::milliseconds(5));
    return RunUntil(
        [&] { return opened >= flows && testbed_.open_flows() == 0; });
  }

  // Returns the log lines of instance `i` so far; none if it does not run.
  std::vector<nlohmann::json> LogLines(std::size_t i) {
    if (instances_[i] == nullptr) {
      return {};
    }
    const std::lock_guard<std::mutex> lock(instances_[i]->mutex);
    return instances_[i]->lines;
  }

  // Returns the first log line of instance `i` with these members; null if
  // none.
  nlohmann::json FindLogLine(std::size_t i, const nlohmann::json& members) {
    for (const nlohmann::json& line : LogLines(i)) {
      nlohmann::json merged = line;
      merged.update(members);
      if (merged == line) {
        return line;
      }
    }
    return nullptr;
  }

  event_loop& loop() { return loop_; }
  entry_testbed& testbed() { return testbed_; }

 private:
  struct running_instance {
    running_instance(const entry_settings& settings, const std::string& file)
        : instance(settings, {file, 0}, signals, log, 1) {
      REQUIRE(instance.Start());
      thread = std::thread([this] { instance.Run(); });
    }
    ~running_instance() {
      instance.Stop();
      thread.join();
    }
    running_instance(const running_instance&) = delete;
    running_instance& operator=(const running_instance&) = delete;

    signal_descriptor signals;
    std::mutex mutex;
    std::vector<nlohmann::json> lines;  // guarded by mutex
    json_log log{{log_level::kInfo, 1}, "e", [this](const std::string& line) {
                   const std::lock_guard<std::mutex> lock(mutex);
                   lines.push_back(nlohmann::json::parse(line));
                   if (std::getenv("PRINT_LOG") != nullptr) {
                     std::puts(line.c_str());
                   }
                 }};
    entry_instance instance;
    std::thread thread;
  };

  event_loop loop_;
  temporary_directory directory_;
  entry_testbed testbed_;
  std::vector<std::unique_ptr<running_instance>> instances_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TESTS_ENTRY_PATH_FIXTURE_H_
