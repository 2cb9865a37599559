// Plays callers, instances and targets in virtual time, and measures how many
// requests are answered in time. Each request is a flow of its own.
#ifndef ROSEMARYREACH_TESTS_LOAD_PLAYER_H_
#define ROSEMARYREACH_TESTS_LOAD_PLAYER_H_

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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
  std::string data_centre = "dc-a";  // of the targets; instances are in dc-a
  double requests_per_s = 300;
  duration work = std::chrono::milliseconds(55);      // mean, exponential
  duration in_time = std::chrono::milliseconds(250);  // limit of an answer
  // A second data centre, dc-b, with this many instances, targets, which have
  // the next numbers, and part of the requests.
  std::size_t remote_instances = 0;
  std::uint32_t remote_targets = 0;
  double remote_share = 0;
  // Share of the requests that go to a route of higher priority. If it is set,
  // both routes declare `in_time` as their latency objective.
  double urgent_share = 0;
  bool declares_kinds = true;
  // Requests that a target queues; it rejects further ones after a while, and
  // their callers try again. 0 for no limit.
  std::size_t queue = 0;
};

class load_player {
 public:
  load_player(const played_load& load, std::uint64_t seed)
      : load_(load), random_(seed) {
    const std::size_t all = load.instances + load.remote_instances;
    for (std::size_t i = 0; i < all; ++i) {
      const bool remote = i >= load.instances;
      instances_.push_back(
          std::make_unique<entry_fixture>(remote ? "dc-b" : "dc-a", i));
      instances_.back()->local_instances = static_cast<std::uint32_t>(
          remote ? load.remote_instances : load.instances);
      instances_.back()->instances = all;
    }
    for (std::uint32_t i = 1; i <= load.targets + load.remote_targets; ++i) {
      AddTarget(i);
    }
    if (load.urgent_share > 0 && load.declares_kinds) {
      DeclareKinds();
    }
    Schedule(std::chrono::seconds(1), [this] { Sweep(); });
    Schedule(std::chrono::milliseconds(1), [this] { Arrive(); });
  }

  // Starts a target with this number and lists it at all instances.
  void AddTarget(std::uint32_t number) {
    served_[Id(number)].alive = true;
    ApplyToAll({Listed(number)});
  }

  // Stops a target: it answers nothing from now on.
  void Crash(std::uint32_t number) { served_[Id(number)].alive = false; }

  // From now on, requests take this many times as long at a target.
  void SlowDown(std::uint32_t number, double factor) {
    served_[Id(number)].slowness = factor;
  }

  void SetRate(double requests_per_s) { load_.requests_per_s = requests_per_s; }
  void SetRemoteShare(double share) { load_.remote_share = share; }

  // Returns the requests that wait or run at target `number`.
  std::size_t InFlight(std::uint32_t number) {
    const served_target& target = served_[Id(number)];
    return target.running + target.queue.size();
  }

  entry_fixture& instance(std::size_t index) { return *instances_[index]; }

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
    target_record record =
        Target(Id(number), number,
               number > load_.targets ? "dc-b" : load_.data_centre);
    record.slots = load_.slots;
    return target_item{record};
  }
  static decoded_item Removed(std::uint32_t number) {
    return removed_target{Id(number)};
  }

  void Play(time_point end) { RunUntil(end); }

  // Plays until `end`; returns the share of the requests that arrived meanwhile
  // and were answered in time. Plays on until all of them had the time.
  double ShareInTime(time_point end) {
    return ShareAnswered(end, load_.in_time);
  }

  // The same for answers within `limit`.
  double ShareAnswered(time_point end, duration limit) {
    const std::size_t first = requests_.size();
    RunUntil(end);
    const std::size_t last = requests_.size();
    RunUntil(end + limit);
    const auto answered = std::count_if(
        requests_.begin() + static_cast<std::ptrdiff_t>(first),
        requests_.begin() + static_cast<std::ptrdiff_t>(last),
        [limit](const request& one) {
          return one.answered_after && *one.answered_after <= limit;
        });
    return static_cast<double>(answered) / static_cast<double>(last - first);
  }

  // Plays until `end`; returns the requests that were answered in time of those
  // of one kind that arrived meanwhile, and the number of these.
  std::pair<std::size_t, std::size_t> CountInTime(time_point end, bool urgent) {
    const std::size_t first = requests_.size();
    RunUntil(end);
    const std::size_t last = requests_.size();
    RunUntil(end + load_.in_time);
    std::pair<std::size_t, std::size_t> counts;
    for (std::size_t i = first; i < last; ++i) {
      const request& one = requests_[i];
      if (one.urgent == urgent) {
        ++counts.second;
        counts.first +=
            one.answered_after && *one.answered_after <= load_.in_time ? 1 : 0;
      }
    }
    return counts;
  }

  // Plays until `end`; returns the share of the requests that arrived meanwhile
  // and were refused in all attempts.
  double ShareRefused(time_point end) {
    const std::size_t first = requests_.size();
    RunUntil(end);
    const auto refused = std::count_if(
        requests_.begin() + static_cast<std::ptrdiff_t>(first), requests_.end(),
        [](const request& one) { return one.refused; });
    return static_cast<double>(refused) /
           static_cast<double>(requests_.size() - first);
  }

  // Cuts the way between the first `count` instances, with their callers, and
  // all targets.
  void CutOff(std::size_t count) { cut_off_ = count; }

  // The instances that are cut off find that they reach no target.
  void FindCut() {
    for (std::size_t i = 0; i < cut_off_; ++i) {
      entry_fixture& instance = *instances_[i];
      for (target_index t = 0; t < instance.directory.targets().size(); ++t) {
        instance.MakeUnreachable(t, now_);
      }
      instance.reachability.Update(now_);
    }
  }

  // From `when` on, routers send no callers to the instances that are cut off.
  void MoveCallersAt(time_point when) {
    Schedule(when - now_, [this] { moved_ = true; });
  }

  // Returns the flows sent to target `number` so far.
  std::size_t FlowsTo(std::uint32_t number) {
    return served_[Id(number)].flows;
  }

 private:
  static constexpr std::array<duration, kLastCopy> kCopyDelays = {
      std::chrono::milliseconds(200), std::chrono::milliseconds(400)};
  static constexpr duration kAttemptEnds = std::chrono::milliseconds(1'400);
  static constexpr int kMaxAttempts = 3;
  static constexpr duration kRejectAfter = std::chrono::milliseconds(220);
  static constexpr duration kRetryAfter = std::chrono::milliseconds(60);

  struct request {
    time_point arrived{};
    flow_key flow;  // of the last attempt
    int attempts = 0;
    bool opened = false;
    bool refused = false;      // at the first packet of the last attempt
    std::size_t instance = 0;  // that forwarded the first packet
    bool remote = false;       // the caller is in dc-b
    bool urgent = false;
    time_point opened_at{};
    std::optional<duration> answered_after;
  };

  // A target with its queue of requests, which are indices of requests_.
  struct served_target {
    bool alive = false;
    std::size_t flows = 0;
    std::size_t running = 0;
    double slowness = 1;
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

  void Arrive() {
    constexpr double kMicrosPerSecond = 1e6;
    Schedule(Exponential(kMicrosPerSecond / load_.requests_per_s),
             [this] { Arrive(); });
    requests_.emplace_back();
    requests_.back().arrived = now_;
    std::uniform_real_distribution<double> draw(0, 1);
    requests_.back().remote =
        load_.remote_share > 0 && draw(random_) < load_.remote_share;
    requests_.back().urgent =
        load_.urgent_share > 0 && draw(random_) < load_.urgent_share;
    StartAttempt(requests_.size() - 1);
  }

  // Starts an attempt, a new flow from a new port.
  void StartAttempt(std::size_t index) {
    request& one = requests_[index];
    one.flow = NextFlow();
    if (one.urgent) {
      one.flow.destination = kBookAddress;
    }
    one.opened = false;
    ++one.attempts;
    SendFirstPacket(index, one.attempts, 0);
    Schedule(kAttemptEnds, [this, index, attempt = one.attempts] {
      EndAttempt(index, attempt);
    });
  }

  void EndAttempt(std::size_t index, int attempt) {
    const request& one = requests_[index];
    const bool current = one.attempts == attempt && !one.opened;
    if (current && attempt < kMaxAttempts) {
      StartAttempt(index);
    }
  }

  void SendFirstPacket(std::size_t index, int attempt, std::uint32_t copy) {
    const request& one = requests_[index];
    if (one.attempts != attempt || one.opened || one.refused) {
      return;
    }
    if (copy < kLastCopy) {
      Schedule(kCopyDelays.at(copy), [this, index, attempt, copy] {
        SendFirstPacket(index, attempt, copy + 1);
      });
    }
    const std::size_t instance = InstanceFor(index);
    const packet_decision decision =
        instances_[instance]->Direct(FirstPacket(one.flow, copy), now_);
    if (decision.verdict == packet_verdict::kReset) {
      requests_[index].refused = attempt == kMaxAttempts;
      EndAttempt(index, attempt);
    } else if (decision.verdict == packet_verdict::kForward) {
      Deliver(index, instance, decision);
    }
  }

  // Delivers a first packet to its target, which accepts it if it is alive and
  // the instance reaches it.
  void Deliver(std::size_t index,
               std::size_t instance,
               const packet_decision& decision) {
    entry_fixture& by = *instances_[instance];
    const std::string id = by.directory.Find(decision.target)->record.id;
    served_target& target = served_[id];
    ++target.flows;
    if (!target.alive || instance < cut_off_) {
      return;
    }
    request& one = requests_[index];
    one.opened = true;
    one.instance = instance;
    one.opened_at = now_;
    by.Direct(LaterPacket(one.flow, decision.cookie, 1'001, 1, 1), now_);
    if (load_.queue > 0 && target.queue.size() >= load_.queue) {
      Schedule(kRejectAfter, [this, index, cookie = decision.cookie] {
        Reject(index, cookie);
      });
      return;
    }
    target.queue.push_back(index);
    StartNext(id, decision.cookie);
  }

  void Reject(std::size_t index, std::uint32_t cookie) {
    SendLast(index, cookie);
    if (requests_[index].attempts < kMaxAttempts) {
      Schedule(kRetryAfter, [this, index] { StartAttempt(index); });
    }
  }

  void StartNext(const std::string& id, std::uint32_t cookie) {
    served_target& target = served_[id];
    if (target.queue.empty() || target.running >= load_.slots) {
      return;
    }
    const std::size_t index = target.queue.front();
    target.queue.erase(target.queue.begin());
    ++target.running;
    Schedule(
        Exponential(static_cast<double>(load_.work.count()) * target.slowness),
        [this, id, cookie, index] {
          --served_[id].running;
          Finish(index, cookie);
          StartNext(id, cookie);
        });
  }

  void Finish(std::size_t index, std::uint32_t cookie) {
    request& answered = requests_[index];
    if (answered.instance < cut_off_) {
      return;  // The answer is lost in the cut, too.
    }
    SendLast(index, cookie);
    answered.answered_after = now_ - answered.arrived;
  }

  // Sends the caller's last packet, which acknowledges the answer.
  void SendLast(std::size_t index, std::uint32_t cookie) {
    const request& answered = requests_[index];
    flow_packet last = LaterPacket(answered.flow, cookie, 1'002, 2, 0);
    last.finishes = true;
    instances_[answered.instance]->Direct(last, now_);
  }

  // Returns the instance that routers choose for a caller's packets.
  std::size_t InstanceFor(std::size_t index) const {
    if (requests_[index].remote) {
      return load_.instances + index % load_.remote_instances;
    }
    const std::size_t first = moved_ ? cut_off_ : 0;
    return first + index % (load_.instances - first);
  }

  void Sweep() {
    for (const std::unique_ptr<entry_fixture>& instance : instances_) {
      instance->tracker.Sweep(now_);
    }
    Schedule(std::chrono::seconds(1), [this] { Sweep(); });
  }

  void DeclareKinds() {
    entry_config config = Config(2);
    for (entry_route& route : config.routes) {
      route.latency_target = load_.in_time;
      route.priority = route.name == "book" ? 1 : 2;
    }
    ApplyToAll({config});
  }

  flow_key NextFlow() {
    constexpr std::uint32_t kPorts = 60'000;
    flow_key flow = Flow(static_cast<std::uint16_t>(flows_ % kPorts));
    flow.caller.address += flows_++ / kPorts;
    return flow;
  }

  played_load load_;
  std::mt19937_64 random_;
  time_point now_{};
  std::multimap<time_point, std::function<void()>> events_;
  std::vector<std::unique_ptr<entry_fixture>> instances_;
  std::map<std::string, served_target> served_;
  std::vector<request> requests_;
  std::uint32_t flows_ = 0;
  std::size_t cut_off_ = 0;  // the first instances reach no target
  bool moved_ = false;       // callers avoid them
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TESTS_LOAD_PLAYER_H_
