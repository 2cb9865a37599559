// Runs three routers under random events in random order. Checks that a request
// and all requests with one idempotency key run at most once, that no target
// exceeds its slots, that a request reported as not run does not run, and that
// a request ends only once on each router.
#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>

#include "request_fixture.h"

namespace rosemaryreach {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kSlots = 2;
constexpr std::uint64_t kSteps = 1'000;
const std::vector<std::string> kNames = {"i0", "i1", "i2"};

struct fleet_node {
  std::unique_ptr<request_router> router;
  bool isolated = false;
  std::map<std::uint64_t, std::uint64_t> uids;  // by local request
  std::map<std::uint64_t, attempt_id> relayed;  // by local request
  std::set<std::uint64_t> ended;
};

// An attempt in progress, at a target or at a peer.
struct fleet_attempt {
  std::size_t node = 0;
  attempt_id id;
  std::uint64_t request = 0;
  std::uint64_t uid = 0;
  target_id target;
  std::size_t peer = 0;
  std::uint64_t peer_request = 0;
  time_point runs_until;
  bool cancelled = false;
};

struct fleet_message {
  instance_id from;
  std::size_t to = 0;
  request_message body;
};

class simulated_fleet {
 public:
  simulated_fleet() {
    const configuration config = MakeRequestConfiguration(2, kSlots);
    for (const std::string& name : kNames) {
      fleet_node& node = nodes_.emplace_back();
      node.router = std::make_unique<request_router>(MakeInstanceId(name),
                                                     router_options(), log_);
      node.router->ApplyConfiguration(now_, config);
    }
    ApplyViews();
    Advance(milliseconds(500));
  }

  void AddRequest(std::size_t index, std::uint64_t key) {
    const std::uint64_t uid = next_uid_++;
    keys_[uid] = key;
    StartRequest(index, uid, {});
  }

  void DeliverMessage(std::size_t pick, bool drop) {
    if (messages_.empty()) {
      return;
    }
    const auto selected =
        messages_.begin() + static_cast<long>(pick % messages_.size());
    const fleet_message message = *selected;
    messages_.erase(selected);
    const bool unreachable =
        nodes_[message.to].isolated || IsIsolated(message.from);
    if (!drop && !unreachable) {
      ExecuteActions(message.to, nodes_[message.to].router->OnMessage(
                                     now_, message.from, message.body));
    }
  }

  // Ends a random attempt at a target in a random way.
  void EndAttempt(std::size_t pick, attempt_outcome outcome) {
    if (attempts_.empty()) {
      return;
    }
    const auto selected = std::next(attempts_.begin(),
                                    static_cast<long>(pick % attempts_.size()));
    const fleet_attempt attempt = selected->second;
    if (!attempt.target) {
      return;
    }
    if (attempt.cancelled) {
      // The target stops 200 ms after it has read the cancel, which is within
      // router_options::cancel_grace.
      LimitRunTime(selected->first, now_ + milliseconds(200));
      attempts_.erase(selected);
      ReportOutcome(attempt, attempt_outcome::kCancelConfirmed);
      return;
    }
    if (outcome == attempt_outcome::kConnectionLost) {
      LimitRunTime(selected->first, attempt.runs_until);
    } else {
      running_.erase(selected->first);
    }
    const bool ran = outcome != attempt_outcome::kRefused;
    attempts_.erase(selected);
    runs_[attempt.uid] -= ran ? 0 : 1;
    ReportOutcome(attempt, outcome);
  }

  void Advance(duration span) {
    const time_point end = now_ + span;
    while (now_ < end) {
      now_ += request_router::kTickPeriod;
      std::erase_if(running_, [this](const auto& item) {
        return item.second.runs_until <= now_;
      });
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (!nodes_[i].isolated) {
          ExecuteActions(i, nodes_[i].router->ConfirmView(now_));
        }
        ExecuteActions(i, nodes_[i].router->Tick(now_));
      }
    }
  }

  // Isolates a node, or reconnects all nodes if any is isolated.
  void ToggleIsolation(std::size_t index) {
    bool any_isolated = false;
    for (fleet_node& node : nodes_) {
      any_isolated = any_isolated || node.isolated;
      node.isolated = false;
    }
    nodes_[index].isolated = !any_isolated;
    ApplyViews();
  }

 private:
  bool IsIsolated(instance_id id) const {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (MakeInstanceId(kNames[i]) == id) {
        return nodes_[i].isolated;
      }
    }
    return false;
  }

  void ApplyViews() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      std::vector<std::string> visible;
      for (std::size_t j = 0; j < nodes_.size(); ++j) {
        if (i == j || (!nodes_[i].isolated && !nodes_[j].isolated)) {
          visible.push_back(kNames[j]);
        }
      }
      ExecuteActions(i, nodes_[i].router->ApplyView(
                            now_, MakeFleetView(kNames[i], visible)));
    }
  }

  void StartRequest(std::size_t index, std::uint64_t uid, instance_id from) {
    const std::uint64_t id = next_request_++;
    nodes_[index].uids[id] = uid;
    request_info info;
    info.id = {id};
    info.service = "pots";
    info.method = "POST";
    info.path = "/bookings";
    info.caller = 1 + uid % 3;
    info.timeout = std::chrono::seconds(2);
    info.idempotency_key = keys_[uid];
    info.forwarded_by = from;
    ExecuteActions(index, nodes_[index].router->OnArrival(now_, info));
  }

  void ExecuteActions(std::size_t index, request_router::actions pending) {
    const std::vector<request_action> actions(pending.begin(), pending.end());
    for (const request_action& action : actions) {
      std::visit([this, index](const auto& body) { Execute(index, body); },
                 action);
    }
  }

  void Execute(std::size_t index, const dispatch_action& action) {
    const std::uint64_t uid = nodes_[index].uids[action.request.value];
    fleet_attempt attempt;
    attempt.node = index;
    attempt.id = action.attempt;
    attempt.request = action.request.value;
    attempt.uid = uid;
    attempt.target = action.target;
    attempt.runs_until = now_ + action.timeout;
    const std::uint64_t number = next_attempt_++;
    attempts_[number] = attempt;
    running_[number] = attempt;
    ++runs_[uid];
    // A refused attempt is not counted as a run, so another may follow.
    RC_ASSERT(runs_[uid] <= 1);
    RC_ASSERT(!not_run_.contains(uid));
    if (keys_[uid] != 0) {
      int runs_of_key = 0;
      for (const auto& [other, runs] : runs_) {
        runs_of_key += keys_[other] == keys_[uid] ? runs : 0;
      }
      RC_ASSERT(runs_of_key <= 1);
    }
    std::uint32_t on_target = 0;
    for (const auto& [other, running] : running_) {
      on_target += running.target == action.target ? 1 : 0;
    }
    RC_ASSERT(on_target <= kSlots);
  }

  void Execute(std::size_t index, const forward_action& action) {
    const std::uint64_t uid = nodes_[index].uids[action.request.value];
    fleet_attempt attempt;
    attempt.node = index;
    attempt.id = action.attempt;
    attempt.request = action.request.value;
    attempt.uid = uid;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      attempt.peer =
          MakeInstanceId(kNames[i]) == action.instance ? i : attempt.peer;
    }
    const std::uint64_t number = next_attempt_++;
    attempts_[number] = attempt;
    if (nodes_[index].isolated || nodes_[attempt.peer].isolated) {
      attempts_.erase(number);
      ExecuteActions(index,
                     nodes_[index].router->OnAttemptEnd(
                         now_, attempt.id, attempt_outcome::kTargetNotReached));
      return;
    }
    attempts_[number].peer_request = next_request_;
    StartRequest(attempt.peer, uid, MakeInstanceId(kNames[index]));
  }

  void Execute(std::size_t index, const cancel_action& action) {
    for (auto& [number, attempt] : attempts_) {
      if (attempt.node == index && attempt.id == action.attempt) {
        attempt.cancelled = true;
        if (!attempt.target) {
          const fleet_attempt peer = attempt;
          attempts_.erase(number);
          ExecuteActions(peer.peer, nodes_[peer.peer].router->OnCancel(
                                        now_, {peer.peer_request}));
        }
        return;
      }
    }
  }

  void Execute(std::size_t index, const relay_action& action) {
    nodes_[index].relayed[action.request.value] = action.attempt;
  }

  void Execute(std::size_t index, const local_reply_action& action) {
    EndRequest(
        index, action.request.value,
        action.run == run_state::kNotRun
            ? (action.reached_target ? attempt_outcome::kRefused
                                     : attempt_outcome::kTargetNotReached)
            : attempt_outcome::kReset,
        action.run);
  }

  void Execute(std::size_t index, const send_action& action) {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (MakeInstanceId(kNames[i]) == action.instance) {
        messages_.push_back({MakeInstanceId(kNames[index]), i, action.message});
      }
    }
  }

  // Ends a request at a node and reports this to the caller or the peer.
  void EndRequest(std::size_t index,
                  std::uint64_t request,
                  attempt_outcome outcome,
                  run_state run) {
    RC_ASSERT(nodes_[index].ended.insert(request).second);
    for (const auto& [number, attempt] : attempts_) {
      if (!attempt.target && attempt.peer_request == request) {
        const fleet_attempt peer = attempt;
        attempts_.erase(number);
        ReportOutcome(peer, outcome);
        return;
      }
    }
    const std::uint64_t uid = nodes_[index].uids[request];
    if (run == run_state::kNotRun) {
      RC_ASSERT(runs_[uid] == 0);
      not_run_.insert(uid);
    }
  }

  void ReportOutcome(const fleet_attempt& attempt, attempt_outcome outcome) {
    fleet_node& node = nodes_[attempt.node];
    if (outcome == attempt_outcome::kDone) {
      ExecuteActions(attempt.node,
                     node.router->OnAttemptHeaders(now_, attempt.id, false));
    }
    const bool relayed = node.relayed.contains(attempt.request) &&
                         node.relayed[attempt.request] == attempt.id;
    ExecuteActions(attempt.node,
                   node.router->OnAttemptEnd(now_, attempt.id, outcome));
    if (outcome == attempt_outcome::kDone && relayed) {
      EndRequest(attempt.node, attempt.request, outcome, run_state::kRun);
    }
  }

  void LimitRunTime(std::uint64_t number, time_point when) {
    const auto found = running_.find(number);
    if (found != running_.end()) {
      found->second.runs_until = std::min(found->second.runs_until, when);
    }
  }

  null_log_sink log_;
  time_point now_{std::chrono::seconds(1)};
  std::vector<fleet_node> nodes_;
  std::map<std::uint64_t, fleet_attempt> attempts_;
  // Attempts that run at targets, including those that no router tracks.
  std::map<std::uint64_t, fleet_attempt> running_;
  std::vector<fleet_message> messages_;
  std::map<std::uint64_t, std::uint64_t> keys_;
  std::map<std::uint64_t, int> runs_;
  std::set<std::uint64_t> not_run_;
  std::uint64_t next_uid_ = 1;
  std::uint64_t next_request_ = 1;
  std::uint64_t next_attempt_ = 1;
};

// Draws from the whole range also in the first runs, where rapidcheck would
// choose small values.
int DrawInt(int min, int max) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(min, max));
}

void RunRandomStep(simulated_fleet& fleet, std::uint64_t step_number) {
  const int step = DrawInt(0, 60);
  const std::size_t pick = static_cast<std::size_t>(DrawInt(0, 1'000));
  if (step < 15) {
    // Some requests have no key; the others repeat each key a few times.
    const bool keyed = DrawInt(0, 3) > 0;
    fleet.AddRequest(pick % 3, keyed ? 1 + step_number / 100 : 0);
  } else if (step < 35) {
    for (std::size_t i = 0; i < 4; ++i) {
      fleet.DeliverMessage(pick + 7 * i, step == 15);
    }
  } else if (step < 50) {
    const attempt_outcome outcome =
        *rc::gen::element(attempt_outcome::kDone, attempt_outcome::kDone,
                          attempt_outcome::kRefused, attempt_outcome::kReset,
                          attempt_outcome::kConnectionLost);
    fleet.EndAttempt(pick, outcome);
  } else if (step < 59) {
    fleet.Advance(milliseconds(DrawInt(10, 300)));
  } else {
    fleet.Advance(milliseconds(100));
    fleet.ToggleIsolation(pick % 3);
    fleet.Advance(milliseconds(DrawInt(100, 10'000)));
  }
}

TEST_CASE("no order of events violates an invariant") {
  CHECK(rc::check([] {
    simulated_fleet fleet;
    for (std::uint64_t step_number = 0; step_number < kSteps; ++step_number) {
      RunRandomStep(fleet, step_number);
    }
  }));
}

}  // namespace
}  // namespace rosemaryreach
