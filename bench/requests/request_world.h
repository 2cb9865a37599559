// Instances, targets and the network between them in virtual time. Plays the
// HTTP/2 adapter for each router and checks each decision as it happens.
#ifndef ROSEMARYREACH_BENCH_REQUESTS_REQUEST_WORLD_H_
#define ROSEMARYREACH_BENCH_REQUESTS_REQUEST_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "fakes/event_queue.h"
#include "fakes/virtual_network.h"
#include "requests/world_types.h"
#include "rosemaryreach/ownership.h"

namespace rosemaryreach::bench {

struct world_options {
  std::uint64_t seed = 1;
  int instances = 8;
  duration data_centre_latency = std::chrono::microseconds(500);
  duration max_removal_delay = std::chrono::milliseconds(1'500);
  duration silence_limit = std::chrono::seconds(1);
  fake_target::options target;
  bool hedging = true;
  // Chance that an answer is delivered twice.
  double answer_duplication = 0;
  // Longest random delay added to an answer.
  duration answer_delay{};
};

class request_world {
 public:
  using end_hook =
      std::function<void(const caller_request& request, const caller_end& end)>;

  request_world(fakes::event_queue& queue,
                const configuration& config,
                world_options options,
                end_hook on_end)
      : queue_(queue),
        options_(options),
        config_(config),
        on_end_(std::move(on_end)),
        random_(options.seed),
        network_(queue,
                 {options.data_centre_latency / 2, options.data_centre_latency},
                 options.seed) {
    network_.SetReachability([this](instance_id a, instance_id b) {
      return Reaches(NodeOf(a), NodeOf(b));
    });
    for (const service_config& service : config.services) {
      for (const target_config& target : service.targets) {
        AddTarget(service.name, target);
      }
    }
    for (int i = 0; i < options.instances; ++i) {
      AddNode("i" + std::to_string(i), DataCentre(i));
    }
    for (const auto& node : nodes_) {
      PublishView(*node);
    }
    queue_.Every(kConfirmPeriod, [this] {
      ConfirmViews();
      return true;
    });
  }

  // Gives `request` to an instance in rotation, as the fabric does.
  void Send(const caller_request& request) {
    std::vector<world_node*> open;
    for (const auto& node : nodes_) {
      if (node->alive && node->in_rotation) {
        open.push_back(node.get());
      }
    }
    Arrive(*open[random_() % open.size()], request, 0, request.timeout);
  }

  std::vector<std::unique_ptr<world_node>>& nodes() { return nodes_; }
  std::vector<world_target>& targets() { return targets_; }
  const std::vector<world_target>& targets() const { return targets_; }
  std::mt19937_64& random() { return random_; }

  world_node& AddNode(const std::string& name, const std::string& centre) {
    auto node = std::make_unique<world_node>();
    node->info.name = name;
    node->info.id = MakeInstanceId(name);
    node->info.data_centre = centre;
    node->info.region = "r";
    node->info.incarnation = ++incarnations_;
    node->info.state = instance_state::kActive;
    world_node& added = *node;
    nodes_.push_back(std::move(node));
    Start(added);
    return added;
  }

  // The host is gone: its connections go silent and views drop it later.
  void Kill(world_node& node) {
    node.alive = false;
    node.in_rotation = false;
    ++node.epoch;
    node.held.clear();
    network_.Detach(node.info.id);
    LoseStreamsOf(node);
    for (auto& [id, local] : node.requests) {
      if (local.peer_stream == 0) {
        caller_end end;
        end.instance_lost = true;
        on_end_(local.request, end);
      }
    }
    node.requests.clear();
    node.streams.clear();
    PublishLater(options_.max_removal_delay / 2, options_.max_removal_delay);
  }

  void Pause(world_node& node) {
    node.paused = true;
    network_.Pause(node.info.id);
  }

  void Resume(world_node& node) {
    node.paused = false;
    network_.Resume(node.info.id);
    std::vector<std::function<void()>> held = std::move(node.held);
    node.held.clear();
    for (const std::function<void()>& run : held) {
      run();
    }
  }

  // Stops the node gracefully: announced, drained, then gone.
  void Stop(world_node& node, std::function<void()> on_gone) {
    node.info.state = instance_state::kLeaving;
    PublishLater(duration::zero(), kNewsDelay);
    Handle(node, node.router->BeginStop(queue_.now()));
    queue_.After(kRotationDelay, [&node] { node.in_rotation = false; });
    queue_.Every(kDrainPoll, [this, &node, on_gone = std::move(on_gone)] {
      if (!node.router->IsDrained()) {
        return true;
      }
      node.alive = false;
      ++node.epoch;
      network_.Detach(node.info.id);
      PublishLater(duration::zero(), kNewsDelay);
      on_gone();
      return false;
    });
  }

  // Publishes the current fleet to each instance after a random delay.
  void PublishLater(duration min, duration max) {
    for (const auto& node : nodes_) {
      if (node->alive) {
        world_node* to = node.get();
        queue_.After(Between(min, max), [this, to] { PublishView(*to); });
      }
    }
  }

  // Puts `config` in force at each instance within `max`.
  void ApplyConfiguration(const configuration& config, duration max) {
    config_ = config;
    for (const auto& node : nodes_) {
      world_node* to = node.get();
      queue_.After(Between(duration::zero(), max), [this, to, config] {
        Deliver(*to, [this, to, config] {
          Handle(*to, to->router->ApplyConfiguration(queue_.now(), config));
        });
      });
    }
  }

  // Cuts one instance off from all others, though not from targets.
  void CutOff(world_node& node) {
    node.part = 1;
    PublishLater(options_.max_removal_delay / 2, options_.max_removal_delay);
  }

  // Cuts a data centre off from the others, its targets too.
  void CutOffCentre(const std::string& centre) {
    for (const auto& node : nodes_) {
      node->part = node->info.data_centre == centre ? 1 : 0;
      node->targets_part = node->part;
    }
    for (world_target& target : targets_) {
      target.part = target.data_centre == centre ? 1 : 0;
    }
    PublishLater(options_.max_removal_delay / 2, options_.max_removal_delay);
  }

  void Reconnect() {
    for (const auto& node : nodes_) {
      node->part = 0;
      node->targets_part = 0;
    }
    for (world_target& target : targets_) {
      target.part = 0;
    }
    PublishLater(duration::zero(), kNewsDelay);
  }

  // Makes the streams now open between `node` and `target` silent for good.
  void Silence(world_node& node, const world_target& target) {
    silent_until_[{node.info.id.value, target.id.value}] =
        queue_.now() + options_.silence_limit;
    for (auto& [id, stream] : target_streams_) {
      if (stream.node == &node && stream.target->id == target.id) {
        stream.silent = true;
        LoseLater(id, options_.silence_limit);
      }
    }
  }

  // Ends a target's process: its connections are reset.
  void Crash(world_target& target) {
    target.fake->Crash();
    for (auto& [id, stream] : target_streams_) {
      if (stream.target == &target) {
        LoseLater(id, options_.data_centre_latency);
      }
    }
  }

  // From now on answers may come twice or late.
  void SetAnswerTrouble(double duplication, duration delay) {
    options_.answer_duplication = duplication;
    options_.answer_delay = delay;
  }

  void SetMessageLoss(double loss) { network_.SetLoss(loss); }

  // Tells all instances that the first `count` targets are well or ill.
  void ReportAll(int count, bool healthy) {
    for (int i = 0; i < count; ++i) {
      const target_id id = targets_[static_cast<std::size_t>(i)].id;
      for (const auto& node : nodes_) {
        if (node->alive) {
          Handle(*node,
                 node->router->OnTargetReport(queue_.now(), {id, healthy}));
        }
      }
    }
  }

  world_node* OwnerOf(const world_target& target) {
    const fleet_view view = MakeView(*nodes_.front());
    const owner_ranking near(view, "r", target.data_centre);
    const owner_pair pair = near.Owners(target.id.value);
    for (const auto& node : nodes_) {
      if (node->info.id == pair.owner) {
        return node.get();
      }
    }
    return nullptr;
  }

  // Called for each start at a target, with the request's uid.
  std::function<void(std::uint64_t uid, std::uint64_t key)> on_run;
  std::uint64_t attempts() const { return attempts_; }
  std::uint64_t dispatches_to(const std::string& centre) const {
    const auto found = dispatches_.find(centre);
    return found == dispatches_.end() ? 0 : found->second;
  }

 private:
  static constexpr duration kConfirmPeriod = std::chrono::milliseconds(200);
  static constexpr duration kNewsDelay = std::chrono::milliseconds(300);
  static constexpr duration kRotationDelay = std::chrono::milliseconds(500);
  static constexpr duration kDrainPoll = std::chrono::milliseconds(50);
  static constexpr std::size_t kMessageBytes = 60;
  // An answer this much longer than any warm one is a sign of a cold start.
  static constexpr int kSignFactorPercent = 120;

  struct target_stream {
    world_node* node = nullptr;
    std::uint64_t epoch = 0;
    attempt_id attempt;
    world_target* target = nullptr;
    caller_request request;
    time_point sent_at;
    bool silent = false;
    bool cancelled = false;
  };

  struct peer_stream {
    world_node* from = nullptr;
    std::uint64_t from_epoch = 0;
    attempt_id attempt;
    world_node* to = nullptr;
    std::uint64_t to_epoch = 0;
    std::uint64_t remote_request = 0;
  };

  static std::string DataCentre(int index) {
    return std::string(1, static_cast<char>('a' + index % 3));
  }

  duration Between(duration min, duration max) {
    return duration(std::uniform_int_distribution<duration::rep>(
        min.count(), max.count())(random_));
  }

  duration Latency(const std::string& from, const std::string& to) {
    const duration far = options_.data_centre_latency;
    const duration base = from == to ? far / 5 : far;
    return Between(base * 4 / 5, base * 6 / 5);
  }

  world_node& NodeOf(instance_id id) {
    for (const auto& node : nodes_) {
      if (node->info.id == id) {
        return *node;
      }
    }
    return *nodes_.front();
  }

  static bool Reaches(const world_node& a, const world_node& b) {
    return a.part == b.part;
  }

  void AddTarget(const std::string& service, const target_config& config) {
    world_target target;
    target.service = service;
    target.name = config.name;
    target.id = {TargetKey(service, config.name)};
    target.data_centre = config.data_centre;
    fake_target::options options = options_.target;
    options.slots = config.slots;
    options.warmup = std::chrono::milliseconds(config.warmup_ms);
    target.fake = std::make_unique<fake_target>(
        queue_, options, [this](std::uint64_t stream, attempt_outcome end) {
          OnTargetAnswer(stream, end);
        });
    targets_.push_back(std::move(target));
  }

  void Start(world_node& node) {
    router_options options;
    options.seed = HashPair(options_.seed, node.info.incarnation);
    options.hedging = options_.hedging;
    node.router = std::make_unique<request_router>(node.info.id, options, log_);
    network_.Attach(
        node.info.id,
        [this, &node](instance_id from, const request_message& message) {
          Handle(node, node.router->OnMessage(queue_.now(), from, message));
        });
    Handle(node, node.router->ApplyConfiguration(queue_.now(), config_));
    const std::uint64_t epoch = node.epoch;
    queue_.Every(request_router::kTickPeriod, [this, &node, epoch] {
      if (node.alive && node.epoch == epoch && !node.paused) {
        Handle(node, node.router->Tick(queue_.now()));
      }
      return node.alive && node.epoch == epoch;
    });
  }

  fleet_view MakeView(const world_node& node) const {
    fleet_view view;
    view.self = node.info.id;
    for (const auto& other : nodes_) {
      const bool seen = other->alive && !other->paused && Reaches(node, *other);
      if (seen || other.get() == &node) {
        view.instances.push_back(other->info);
      }
    }
    return view;
  }

  void PublishView(world_node& node) {
    if (!node.alive) {
      return;
    }
    Deliver(node, [this, &node] {
      Handle(node, node.router->ApplyView(queue_.now(), MakeView(node)));
    });
  }

  // A view is trusted while the instance hears from any other.
  void ConfirmViews() {
    std::size_t roster = 0;
    for (const auto& node : nodes_) {
      roster += node->alive ? 1 : 0;
    }
    for (const auto& node : nodes_) {
      if (!node->alive || node->paused) {
        continue;
      }
      std::size_t heard = 0;
      for (const auto& other : nodes_) {
        heard +=
            other->alive && !other->paused && Reaches(*node, *other) ? 1 : 0;
      }
      if (heard > 1 || roster == 1) {
        Handle(*node, node->router->ConfirmView(queue_.now()));
      }
    }
  }

  // Runs `run` at the node, after the pause if it is paused.
  void Deliver(world_node& node, std::function<void()> run) {
    if (!node.alive) {
      return;
    }
    if (!node.paused) {
      run();
      return;
    }
    const std::uint64_t epoch = node.epoch;
    node.held.push_back([&node, epoch, run = std::move(run)] {
      if (node.epoch == epoch) {
        run();
      }
    });
  }

  void Arrive(world_node& node,
              const caller_request& request,
              std::uint64_t peer_stream,
              duration timeout) {
    const auto stream = peer_streams_.find(peer_stream);
    const instance_id from = stream == peer_streams_.end()
                                 ? instance_id{}
                                 : stream->second.from->info.id;
    Deliver(node, [this, &node, request, peer_stream, timeout, from] {
      const std::uint64_t id = node.next_request++;
      node.requests[id] = {request, peer_stream};
      request_info info;
      info.id = {id};
      info.service = request.service;
      info.method = request.method;
      info.path = request.path;
      info.caller = request.caller;
      info.timeout = timeout;
      info.idempotency_key = request.key;
      info.forwarded_by = from;
      const auto open = peer_streams_.find(peer_stream);
      if (open != peer_streams_.end()) {
        open->second.remote_request = id;
      }
      Handle(node, node.router->OnArrival(queue_.now(), info));
      // Cancelled while the node stood still: it reads the cancel next.
      if (from && open == peer_streams_.end()) {
        node.requests.erase(id);
        Handle(node, node.router->OnCancel(queue_.now(), {id}));
      }
    });
  }

  void Handle(world_node& node, request_router::actions taken) {
    const std::vector<request_action> actions(taken.begin(), taken.end());
    for (const request_action& action : actions) {
      std::visit([this, &node](const auto& body) { Do(node, body); }, action);
    }
  }

  void Do(world_node& node, const dispatch_action& action);
  // The request has come to its target.
  void Reach(std::uint64_t id, duration timeout);
  void OnTargetAnswer(std::uint64_t id, attempt_outcome end);
  // Tells the router of the answer once more, after its stream has ended.
  void RepeatAnswer(const target_stream& stream, duration delay);
  // The target's answer has come to the instance that sent the request.
  void TakeAnswer(std::uint64_t id, attempt_outcome end);
  void NoteSign(const target_stream& stream, attempt_outcome end);
  bool Chance(double probability) {
    return probability > 0 &&
           std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }

  // Runs `run` after the way from the stream's target to its instance.
  void AtNode(std::uint64_t id, std::function<void()> run);
  void EndStream(std::uint64_t id, attempt_outcome end);
  // Tells the router and, if the attempt was relayed, passes its answer on.
  void EndAttempt(world_node& node,
                  attempt_id attempt,
                  attempt_outcome end,
                  std::uint64_t body_uid,
                  std::optional<peer_load> load);
  void AnswerPeer(world_node& node,
                  const world_node::local_request& local,
                  attempt_outcome end,
                  std::uint64_t body_uid);
  void LosePeerLater(const peer_stream& stream);
  void Do(world_node& node, const forward_action& action);
  void Do(world_node& node, const cancel_action& action);
  void CancelAtTarget(std::uint64_t id);
  void CancelAtPeer(std::uint64_t id);
  void Do(world_node& node, const relay_action& action);
  void Do(world_node& node, const local_reply_action& action);
  void Do(world_node& node, const send_action& action);
  void LoseLater(std::uint64_t id, duration delay);
  // The node's host is gone: peers and targets see silence.
  void LoseStreamsOf(world_node& node);
  fakes::event_queue& queue_;
  world_options options_;
  configuration config_;
  end_hook on_end_;
  std::mt19937_64 random_;
  null_log_sink log_;
  fakes::virtual_network<request_message> network_;
  std::vector<std::unique_ptr<world_node>> nodes_;
  std::vector<world_target> targets_;
  std::unordered_map<std::uint64_t, target_stream> target_streams_;
  std::unordered_map<std::uint64_t, peer_stream> peer_streams_;
  std::map<std::pair<std::uint64_t, std::uint64_t>, time_point> silent_until_;
  std::map<std::string, std::uint64_t> dispatches_;
  std::uint64_t incarnations_ = 0;
  std::uint64_t next_stream_ = 1;
  std::uint64_t attempts_ = 0;
};

}  // namespace rosemaryreach::bench

#include "requests/world_streams.h"

#endif  // ROSEMARYREACH_BENCH_REQUESTS_REQUEST_WORLD_H_
