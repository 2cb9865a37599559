// Plays callers, instances and targets in virtual time, and measures how many
// requests are answered in time. Each request is a flow of its own.
#ifndef ROSEMARYREACH_TESTS_LOAD_PLAYER_H_
#define ROSEMARYREACH_TESTS_LOAD_PLAYER_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "entry_fixture.h"

namespace rosemaryreach {

// The load that is played.
struct played_load {
  std::size_t instances = 8;
  std::uint32_t targets = 14;
  std::uint32_t slots = 4;
  double requests_per_s = 300;
  duration work = std::chrono::milliseconds(55);      // mean, exponential
  duration in_time = std::chrono::milliseconds(250);  // limit of an answer
};

class load_player {
 public:
  load_player(const played_load& load, std::uint64_t seed)
      : load_(load), random_(seed) {
    for (std::size_t i = 0; i < load.instances; ++i) {
      instances_.push_back(std::make_unique<entry_fixture>());
      instances_.back()->local_instances =
          static_cast<std::uint32_t>(load.instances);
      instances_.back()->instances = load.instances;
    }
    for (std::uint32_t i = 1; i <= load.targets; ++i) {
      AddTarget(i);
    }
    Schedule(std::chrono::milliseconds(1), [this] { Arrive(); });
  }

  // Starts a target with this number and lists it at all instances.
  void AddTarget(std::uint32_t number) {
    served_[Id(number)].alive = true;
    ApplyToAll({Listed(number)});
  }

  // Stops a target: it answers nothing from now on.
  void Crash(std::uint32_t number) { served_[Id(number)].alive = false; }

  // Applies a batch of changes at all instances, as after one listing.
  void ApplyToAll(const std::vector<decoded_item>& changes) {
    view_change batch;
    for (const decoded_item& change : changes) {
      batch.items.push_back({{}, change});
    }
    for (const std::unique_ptr<entry_fixture>& instance : instances_) {
      instance->directory.ApplyBatch(batch, now_);
    }
  }

  void SetStoreUnavailable(bool unavailable) {
    for (const std::unique_ptr<entry_fixture>& instance : instances_) {
      instance->directory.Tick(unavailable, now_);
    }
  }

  decoded_item Listed(std::uint32_t number) const {
    target_record record = Target(Id(number), number);
    record.slots = load_.slots;
    return target_item{record};
  }
  static decoded_item Removed(std::uint32_t number) {
    return removed_target{Id(number)};
  }

  // Plays until `end`; returns the share of the requests that arrived meanwhile
  // and were answered in time. Plays on until all of them had the time.
  double ShareInTime(time_point end) {
    const std::size_t first = requests_.size();
    RunUntil(end);
    const std::size_t last = requests_.size();
    RunUntil(end + load_.in_time);
    const auto answered =
        std::count_if(requests_.begin() + static_cast<std::ptrdiff_t>(first),
                      requests_.begin() + static_cast<std::ptrdiff_t>(last),
                      [](const request& one) { return one.in_time; });
    return static_cast<double>(answered) / static_cast<double>(last - first);
  }

  // Returns the flows sent to target `number` so far.
  std::size_t FlowsTo(std::uint32_t number) {
    return served_[Id(number)].flows;
  }

 private:
  struct request {
    time_point arrived{};
    bool in_time = false;
  };

  // A target with its queue of requests, which are indices of requests_.
  struct served_target {
    bool alive = false;
    std::size_t flows = 0;
    std::size_t running = 0;
    std::vector<std::size_t> queue;
  };

  static std::string Id(std::uint32_t number) {
    return "l" + std::to_string(number);
  }

  void Schedule(duration after, std::function<void()> action) {
    events_.emplace(now_ + after, std::move(action));
  }

  void RunUntil(time_point end) {
    while (!events_.empty() && events_.begin()->first <= end) {
      now_ = events_.begin()->first;
      const std::function<void()> action = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      action();
    }
    now_ = end;
  }

  duration Exponential(double mean_us) {
    std::exponential_distribution<double> draw(1 / mean_us);
    return duration(static_cast<duration::rep>(draw(random_)) + 1);
  }

  entry_fixture& InstanceOf(std::size_t index) {
    return *instances_[index % instances_.size()];
  }

  void Arrive() {
    constexpr double kMicrosPerSecond = 1e6;
    Schedule(Exponential(kMicrosPerSecond / load_.requests_per_s),
             [this] { Arrive(); });
    requests_.push_back({now_, false});
    SendFirstPacket(requests_.size() - 1, 0);
  }

  // Callers send first packets again after 200, 600 and 1,400 ms.
  void SendFirstPacket(std::size_t index, std::uint32_t copy) {
    static constexpr std::array<int, 4> kCopyAfterMs = {200, 400, 800, 0};
    entry_fixture& instance = InstanceOf(index);
    const flow_key flow = FlowOf(index);
    const packet_decision decision =
        instance.Direct(FirstPacket(flow, copy), now_);
    if (decision.verdict == packet_verdict::kReset) {
      return;
    }
    const std::string id = instance.directory.Find(decision.target)->record.id;
    served_target& target = served_[id];
    ++target.flows;
    if (!target.alive) {
      if (copy + 1 < kCopyAfterMs.size()) {
        Schedule(std::chrono::milliseconds(kCopyAfterMs.at(copy)),
                 [this, index, copy] { SendFirstPacket(index, copy + 1); });
      }
      return;
    }
    instance.Direct(LaterPacket(flow, decision.cookie, 1'001, 1, 1), now_);
    target.queue.push_back(index);
    StartNext(id, decision.cookie);
  }

  void StartNext(const std::string& id, std::uint32_t cookie) {
    served_target& target = served_[id];
    if (target.queue.empty() || target.running >= load_.slots) {
      return;
    }
    const std::size_t index = target.queue.front();
    target.queue.erase(target.queue.begin());
    ++target.running;
    Schedule(Exponential(static_cast<double>(load_.work.count())),
             [this, id, cookie, index] {
               --served_[id].running;
               Finish(index, cookie);
               StartNext(id, cookie);
             });
  }

  void Finish(std::size_t index, std::uint32_t cookie) {
    flow_packet last = LaterPacket(FlowOf(index), cookie, 1'002, 2, 0);
    last.finishes = true;
    InstanceOf(index).Direct(last, now_);
    request& answered = requests_[index];
    answered.in_time = now_ - answered.arrived <= load_.in_time;
  }

  static flow_key FlowOf(std::size_t index) {
    constexpr std::size_t kPorts = 60'000;
    flow_key flow = Flow(static_cast<std::uint16_t>(index % kPorts));
    flow.caller.address += static_cast<std::uint32_t>(index / kPorts);
    return flow;
  }

  played_load load_;
  std::mt19937_64 random_;
  time_point now_{};
  std::multimap<time_point, std::function<void()>> events_;
  std::vector<std::unique_ptr<entry_fixture>> instances_;
  std::map<std::string, served_target> served_;
  std::vector<request> requests_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TESTS_LOAD_PLAYER_H_
