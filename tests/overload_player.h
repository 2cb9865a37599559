// Plays callers that retry, instances and targets with bounded queues in
// virtual time, under more load than the targets can run.
#ifndef ROSEMARYREACH_TESTS_OVERLOAD_PLAYER_H_
#define ROSEMARYREACH_TESTS_OVERLOAD_PLAYER_H_

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

// Requests of one route.
struct played_kind {
  ipv4_endpoint address;
  std::uint32_t priority = 0;
  request_kind kind = request_kind::kIdempotent;
  duration work{};          // mean of a target, exponential
  double normal_per_s = 0;  // offered at the normal load
  double load_factor = 1;   // times the normal load, now
};

struct overload_setup {
  std::size_t instances = 24;
  std::uint32_t targets = 30;
  std::uint32_t slots = 2;
  duration objective = std::chrono::milliseconds(400);
  bool admission = true;
  bool shared = false;  // whether instances know the demand of the others
  // Part of the instances, the first ones, in a data centre of their own that
  // alone gets more than the normal load.
  double hot_share = 1;
  // Factor of the slots that targets declare, for wrong figures.
  std::uint32_t declared_factor = 1;
  std::size_t believed_instances = 0;  // 0: as many as there are
};

// What became of the requests of one kind that arrived in some time.
struct kind_outcome {
  std::size_t offered = 0;
  std::size_t in_time = 0;
  std::size_t run = 0;       // by targets, to the end
  std::size_t refused = 0;   // given up after refusals by instances
  std::size_t failed = 0;    // given up otherwise, or without an answer
  std::size_t rejected = 0;  // attempts that targets rejected
  std::size_t attempts = 0;
  std::size_t held = 0;
};

class overload_player {
 public:
  overload_player(const overload_setup& setup, std::uint64_t seed)
      : setup_(setup), random_(seed) {
    // Reads and writes as measured at the normal load: some 0.28 of the slots.
    kinds_ = {{kWatchAddress, 2, request_kind::kIdempotent,
               std::chrono::milliseconds(55), 232},
              {kBookAddress, 1, request_kind::kNonIdempotent,
               std::chrono::milliseconds(72), 58}};
    for (std::size_t i = 0; i < setup.instances; ++i) {
      AddInstance(i);
    }
    targets_.resize(setup.targets);
    for (std::size_t kind = 0; kind < kinds_.size(); ++kind) {
      ScheduleArrival(kind);
    }
    Schedule(kLimitPeriod, [this] { Tick(); });
  }

  std::vector<played_kind>& kinds() { return kinds_; }
  entry_fixture& instance(std::size_t i) { return *instances_[i]; }
  time_point now() const { return now_; }

  // Plays for `length` and then until the requests that arrived have ended;
  // returns what became of them, by kind.
  std::vector<kind_outcome> Play(duration length) {
    const std::size_t first = requests_.size();
    RunUntil(now_ + length);
    const std::size_t last = requests_.size();
    std::vector<kind_outcome> outcomes(kinds_.size());
    for (std::size_t i = first; i < last; ++i) {
      requests_[i].counted = true;
    }
    // Looked at when all of them had the time to end.
    pending_ = {first, last};
    return outcomes;
  }

  // Returns the outcome of the requests of the last Play(), after another
  // `settle` of time.
  std::vector<kind_outcome> Outcome(duration settle) {
    RunUntil(now_ + settle);
    std::vector<kind_outcome> outcomes(kinds_.size());
    for (std::size_t i = pending_.first; i < pending_.second; ++i) {
      const request& one = requests_[i];
      kind_outcome& outcome = outcomes.at(one.kind);
      ++outcome.offered;
      outcome.in_time +=
          one.answered_after && *one.answered_after <= setup_.objective ? 1 : 0;
      outcome.run += one.runs;
      outcome.refused += one.refused ? 1 : 0;
      outcome.failed += !one.refused && !one.answered_after ? 1 : 0;
      outcome.rejected += one.rejected;
      outcome.attempts += static_cast<std::size_t>(one.attempts);
      outcome.held += one.held;
    }
    return outcomes;
  }

  void SetLoad(double factor) {
    for (played_kind& kind : kinds_) {
      kind.load_factor = factor;
    }
  }

  // Makes the next `count` targets from `first` run slower by `factor`.
  void Slow(std::size_t first, std::size_t count, double factor) {
    for (std::size_t i = first; i < first + count; ++i) {
      targets_.at(i).slowness = factor;
    }
  }

  std::size_t most_held() const { return most_held_; }

 private:
  static constexpr std::array<duration, kLastCopy> kCopyDelays = {
      std::chrono::milliseconds(200), std::chrono::milliseconds(400)};
  static constexpr int kMaxAttempts = 3;
  static constexpr std::size_t kQueue = 8;
  static constexpr std::size_t kWaiting = 16;
  static constexpr duration kRefusalWait = std::chrono::milliseconds(220);
  static constexpr duration kTripTime = std::chrono::milliseconds(1);
  static constexpr duration kReleasePeriod = std::chrono::milliseconds(5);
  static constexpr int kMaxAckDelayMs = 40;

  struct request {
    std::size_t kind = 0;
    time_point arrived{};
    flow_key flow;  // of the current attempt
    std::uint32_t cookie = 0;
    std::size_t instance = 0;
    int attempts = 0;
    bool opened = false;
    bool refused = false;
    bool ended = false;
    bool counted = false;
    std::size_t rejected = 0;
    std::size_t runs = 0;
    std::size_t held = 0;
    std::optional<duration> answered_after;
  };

  struct played_target {
    std::size_t running = 0;
    std::size_t waiting = 0;  // connections that will be refused
    std::vector<std::size_t> queue;
    double slowness = 1;
  };

  void AddInstance(std::size_t i) {
    instances_.push_back(std::make_unique<entry_fixture>("dc-a", random_()));
    entry_fixture& added = *instances_.back();
    added.local_instances = static_cast<std::uint32_t>(setup_.instances);
    added.instances = setup_.believed_instances == 0
                          ? setup_.instances
                          : setup_.believed_instances;
    added.admission.SetEnabled(setup_.admission);
    entry_config config = Config(2);
    for (const played_kind& kind : kinds_) {
      for (entry_route& route : config.routes) {
        if (route.address == kind.address) {
          route.priority = kind.priority;
          route.latency_target = setup_.objective;
          route.timeout = std::chrono::seconds(3);
        }
      }
    }
    added.directory.Apply({}, config, now_);
    for (std::uint32_t t = 0; t < setup_.targets; ++t) {
      target_record record = Target("t" + std::to_string(t), t + 1);
      record.slots = setup_.slots * setup_.declared_factor;
      added.Add(record, now_);
    }
    if (setup_.shared) {
      const bool hot = IsHot(i);
      added.service_load = [this, hot] { return SharedLoad(hot); };
    }
    offered_.push_back(0);
  }

  std::size_t HotInstances() const {
    return static_cast<std::size_t>(setup_.hot_share *
                                    static_cast<double>(setup_.instances));
  }
  bool IsHot(std::size_t i) const { return i < HotInstances(); }

  // Returns the demand as an instance of this data centre, called 1, sees it.
  std::optional<shared_service_load> SharedLoad(bool hot) const {
    shared_service_load load;
    load.age = std::chrono::milliseconds(100);
    load.in_flight = in_flight_;
    load.demand.push_back({hot ? 1U : 2U, demand_.first, HotInstances()});
    if (HotInstances() < setup_.instances) {
      load.demand.push_back(
          {hot ? 2U : 1U, demand_.second, setup_.instances - HotInstances()});
    }
    return load;
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

  void Tick() {
    double hot = 0;
    double cool = 0;
    in_flight_ = 0;
    for (const std::unique_ptr<entry_fixture>& instance : instances_) {
      for (const admission_summary& service : instance->admission.Summaries()) {
        in_flight_ += static_cast<double>(service.in_flight);
      }
    }
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      (IsHot(i) ? hot : cool) += offered_[i];
      offered_[i] = 0;
      instances_[i]->admission.Recompute(now_);
      Release(i);
    }
    constexpr double kTicksPerSecond = 10;
    constexpr double kWeight = 0.4;
    demand_.first += kWeight * (hot * kTicksPerSecond - demand_.first);
    demand_.second += kWeight * (cool * kTicksPerSecond - demand_.second);
    Schedule(kLimitPeriod, [this] { Tick(); });
  }

  duration Exponential(double mean_us) {
    std::exponential_distribution<double> draw(1 / mean_us);
    return duration(static_cast<duration::rep>(draw(random_)) + 1);
  }

  duration Uniform(int from_ms, int to_ms) {
    std::uniform_int_distribution<int> draw(from_ms * 1'000, to_ms * 1'000);
    return duration(draw(random_));
  }

  // Arrivals come at the rate of a fully hot fleet and are thinned out.
  void ScheduleArrival(std::size_t kind) {
    constexpr double kMicrosPerSecond = 1e6;
    const played_kind& played = kinds_[kind];
    const double rate =
        played.normal_per_s *
        (setup_.hot_share * played.load_factor + (1 - setup_.hot_share));
    Schedule(Exponential(kMicrosPerSecond / rate), [this, kind] {
      Arrive(kind);
      ScheduleArrival(kind);
    });
  }

  void Arrive(std::size_t kind) {
    requests_.emplace_back();
    request& one = requests_.back();
    one.kind = kind;
    one.arrived = now_;
    const double hot = setup_.hot_share * kinds_[kind].load_factor;
    std::bernoulli_distribution goes_hot(hot / (hot + 1 - setup_.hot_share));
    const bool is_hot = goes_hot(random_);
    std::uniform_int_distribution<std::size_t> pick(
        is_hot ? 0 : HotInstances(),
        (is_hot ? HotInstances() : setup_.instances) - 1);
    one.instance = pick(random_);
    one.flow.caller.address = 0x64400000 + caller_++;
    StartAttempt(requests_.size() - 1);
  }

  void StartAttempt(std::size_t index) {
    request& one = requests_[index];
    one.flow = {{one.flow.caller.address, ++port_}, kinds_[one.kind].address};
    one.opened = false;
    ++one.attempts;
    SendFirstPacket(index, one.attempts, 0);
    Schedule(kAttemptTime, [this, index, attempt = one.attempts] {
      if (requests_[index].attempts == attempt && !requests_[index].opened) {
        Fail(index, false);
      }
    });
  }

  // The current attempt failed; the caller tries again if it may.
  void Fail(std::size_t index, bool refused) {
    request& one = requests_[index];
    if (one.ended) {
      return;
    }
    if (one.attempts >= kMaxAttempts) {
      one.ended = true;
      one.refused = refused;
      return;
    }
    one.opened = true;  // Timers of the old attempt have no effect.
    Schedule(Uniform(20, 100), [this, index] { StartAttempt(index); });
  }

  void SendFirstPacket(std::size_t index, int attempt, std::uint32_t copy) {
    request& one = requests_[index];
    if (one.attempts != attempt || one.opened || one.ended) {
      return;
    }
    if (copy < kLastCopy) {
      Schedule(kCopyDelays.at(copy), [this, index, attempt, copy] {
        SendFirstPacket(index, attempt, copy + 1);
      });
    }
    flows_[one.flow] = index;
    offered_[one.instance] += copy == 0 ? 1 : 0;
    Apply(index,
          instances_[one.instance]->Direct(FirstPacket(one.flow, copy), now_));
    Release(one.instance);
  }

  void Apply(std::size_t index, const packet_decision& decision) {
    request& one = requests_[index];
    switch (decision.verdict) {
      case packet_verdict::kForward:
        Deliver(index, decision);
        return;
      case packet_verdict::kReset:
        Fail(index, true);
        return;
      case packet_verdict::kHold:
        ++one.held;
        return;
      case packet_verdict::kDrop:
        return;
    }
  }

  void Release(std::size_t instance) {
    entry_fixture& by = *instances_[instance];
    while (const std::optional<held_decision> released =
               by.director.ReleaseHeld(by.freshness, now_)) {
      const auto found = flows_.find(released->packet.flow);
      if (found != flows_.end()) {
        Apply(found->second, released->decision);
      }
    }
    const std::size_t held = by.director.held();
    most_held_ = std::max(most_held_, held);
    if (held > 0 && now_ >= next_release_[instance]) {
      next_release_[instance] = now_ + kReleasePeriod;
      Schedule(kReleasePeriod, [this, instance] { Release(instance); });
    }
  }

  void Deliver(std::size_t index, const packet_decision& decision) {
    request& one = requests_[index];
    const known_target& known =
        *instances_[one.instance]->directory.Find(decision.target);
    const std::size_t number = known.record.wire_id - 1;
    played_target& target = targets_.at(number);
    one.opened = true;
    one.cookie = decision.cookie;
    const int attempt = one.attempts;
    Schedule(kTripTime, [this, index, attempt] {
      const request& opened = requests_[index];
      if (opened.attempts == attempt) {
        Later(opened, 1'001, 1, 1, false);
      }
    });
    const std::size_t load = target.running + target.queue.size();
    if (load < setup_.slots + kQueue) {
      target.queue.push_back(index);
      StartNext(number);
      return;
    }
    ++one.rejected;
    if (target.waiting < kWaiting) {
      ++target.waiting;
      Schedule(kRefusalWait, [this, index, number] {
        --targets_[number].waiting;
        End(index);
        Fail(index, false);
      });
      return;
    }
    // The connection is reset after the request was sent.
    Schedule(3 * kTripTime, [this, index] {
      request& reset = requests_[index];
      End(index);
      const bool may_retry =
          kinds_[reset.kind].kind != request_kind::kNonIdempotent;
      reset.ended = reset.ended || !may_retry;
      Fail(index, false);
    });
  }

  void StartNext(std::size_t number) {
    played_target& target = targets_.at(number);
    if (target.queue.empty() || target.running >= setup_.slots) {
      return;
    }
    const std::size_t index = target.queue.front();
    target.queue.erase(target.queue.begin());
    ++target.running;
    const double work =
        static_cast<double>(kinds_[requests_[index].kind].work.count());
    Schedule(Exponential(work * target.slowness), [this, number, index] {
      --targets_[number].running;
      Finish(index);
      StartNext(number);
    });
  }

  void Finish(std::size_t index) {
    request& one = requests_[index];
    ++one.runs;
    one.ended = true;
    one.answered_after = now_ + kTripTime - one.arrived;
    // Callers may delay the acknowledgement of an answer.
    Schedule(kTripTime + Uniform(0, kMaxAckDelayMs),
             [this, index] { End(index); });
  }

  // The caller acknowledges what it got and closes the flow.
  void End(std::size_t index) {
    flows_.erase(requests_[index].flow);
    Later(requests_[index], 1'002, 2, 0, true);
  }

  void Later(const request& one,
             std::uint32_t sequence,
             std::uint32_t acknowledged,
             std::uint16_t bytes,
             bool finishes) {
    flow_packet packet =
        LaterPacket(one.flow, one.cookie, sequence, acknowledged, bytes);
    packet.finishes = finishes;
    instances_[one.instance]->Direct(packet, now_);
    Release(one.instance);
  }

  overload_setup setup_;
  std::mt19937_64 random_;
  time_point now_{};
  std::multimap<time_point, std::function<void()>> events_;
  std::vector<played_kind> kinds_;
  std::vector<std::unique_ptr<entry_fixture>> instances_;
  std::vector<double> offered_;       // first packets since the last tick
  std::pair<double, double> demand_;  // hot and other, a second
  double in_flight_ = 0;              // of all instances, at the last tick
  std::vector<played_target> targets_;
  std::vector<request> requests_;
  std::map<flow_key, std::size_t> flows_;
  std::map<std::size_t, time_point> next_release_;
  std::pair<std::size_t, std::size_t> pending_;
  std::size_t most_held_ = 0;
  std::uint32_t caller_ = 0;
  std::uint16_t port_ = 0;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TESTS_OVERLOAD_PLAYER_H_
