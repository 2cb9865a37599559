// Replaces the instances of a fleet one after the other by those of another
// build, goes back in the middle, and compares the views of both builds.
#ifndef ROSEMARYREACH_TESTS_STANDINS_ROLLING_UPGRADE_H_
#define ROSEMARYREACH_TESTS_STANDINS_ROLLING_UPGRADE_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "adapters/event_loop.h"
#include "adapters/http_get.h"
#include "standins/entry_process.h"

namespace rosemaryreach {

// The two builds that run side by side.
struct fleet_builds {
  std::string previous;  // path of the executable
  std::string next;
};

class rolling_upgrade {
 public:
  // `all_ready` returns whether routers send callers to all instances. Failed
  // calls are counted by `failed_calls`.
  rolling_upgrade(event_loop& loop,
                  std::span<const std::unique_ptr<entry_process>> processes,
                  fleet_builds builds,
                  std::function<bool()> all_ready,
                  std::function<std::uint64_t()> failed_calls)
      : processes_(processes),
        builds_(std::move(builds)),
        all_ready_(std::move(all_ready)),
        failed_calls_(std::move(failed_calls)),
        // Half of the fleet, back, all of it, and back to half.
        goals_(
            {processes.size() / 2, 0, processes.size(), processes.size() / 2}),
        timer_(loop, [this] { Step(); }) {}

  void Start() { timer_.StartEvery(std::chrono::milliseconds(100)); }

  bool done() const { return goals_.empty(); }
  std::size_t replaced() const { return replaced_; }
  // Calls that failed while instances were replaced, whatever the cause.
  std::uint64_t failed_calls() const { return failed_while_replacing_; }

 private:
  void Step() {
    if (replacing_) {
      const entry_process& process = *processes_[*replacing_];
      if (process.starts() == starts_before_ || !all_ready_()) {
        return;
      }
      failed_while_replacing_ += failed_calls_() - failed_before_;
      ++replaced_;
      replacing_.reset();
    }
    while (!goals_.empty() && upgraded_ == goals_.front()) {
      goals_.erase(goals_.begin());
    }
    if (!goals_.empty() && all_ready_()) {
      Replace(goals_.front() > upgraded_);
    }
  }

  void Replace(bool upgrade) {
    const std::size_t index = upgrade ? upgraded_++ : --upgraded_;
    entry_process& process = *processes_[index];
    process.SetProgram(upgrade ? builds_.next : builds_.previous);
    starts_before_ = process.starts();
    failed_before_ = failed_calls_();
    replacing_ = index;
    process.Signal(SIGTERM);
  }

  std::span<const std::unique_ptr<entry_process>> processes_;
  fleet_builds builds_;
  std::function<bool()> all_ready_;
  std::function<std::uint64_t()> failed_calls_;
  std::vector<std::size_t> goals_;  // numbers of upgraded instances, in order
  std::size_t upgraded_ = 0;        // the first instances run the next build
  std::optional<std::size_t> replacing_;
  int starts_before_ = 0;
  std::uint64_t failed_before_ = 0;
  std::uint64_t failed_while_replacing_ = 0;
  std::size_t replaced_ = 0;
  loop_timer timer_;
};

// What an instance says that it knows.
struct instance_view {
  std::uint64_t configuration = 0;
  std::set<std::string> targets;  // listed ones that are not draining
  std::set<std::string> out;      // data centres taken out, with targets

  bool operator==(const instance_view&) const = default;
};

// Reads the view of one instance over its control address.
class view_reader {
 public:
  view_reader(event_loop& loop, const endpoint& control)
      : client_(loop, control, kMaxBytes) {}

  // Calls `done` with the view, or with nothing if the instance has none.
  void Read(std::function<void(std::optional<instance_view>)> done) {
    done_ = std::move(done);
    client_.Get(
        "/v1/status", kDeadline, [this](const result<http_reply>& reply) {
          const nlohmann::json status = Parse(reply);
          view_ = {};
          view_.configuration = status.value("configuration_version", 0U);
          read_status_ = true;
        });
  }

  // Continues; to be called until Read()'s callback ran, since a client must
  // not be used within its own callback.
  void Continue() {
    if (read_status_ && !client_.busy()) {
      read_status_ = false;
      client_.Get(
          "/v1/targets", kDeadline,
          [this](const result<http_reply>& reply) { OnTargets(reply); });
    }
  }

 private:
  static constexpr std::size_t kMaxBytes = 1'000'000;
  static constexpr duration kDeadline = std::chrono::milliseconds(500);

  static nlohmann::json Parse(const result<http_reply>& reply) {
    const nlohmann::json parsed =
        reply && reply.value().status == 200
            ? nlohmann::json::parse(reply.value().body, nullptr, false)
            : nlohmann::json();
    return parsed.is_discarded() || parsed.is_null() ? nlohmann::json::object()
                                                     : parsed;
  }

  void OnTargets(const result<http_reply>& reply) {
    const nlohmann::json targets = Parse(reply);
    if (!targets.is_array()) {
      done_(std::nullopt);
      return;
    }
    for (const nlohmann::json& target : targets) {
      if (target.value("out", false)) {
        view_.out.insert(target.value("data_centre", ""));
      }
      if (target.value("listing", "listed") == "listed" &&
          !target.value("draining", false)) {
        view_.targets.insert(target.value("id", ""));
      }
    }
    done_(view_);
  }

  http_get_client client_;
  std::function<void(std::optional<instance_view>)> done_;
  instance_view view_;
  bool read_status_ = false;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TESTS_STANDINS_ROLLING_UPGRADE_H_
