// Instances of the control plane on the virtual network, with a platform and
// the faults that the fleet's bench provokes.
#ifndef ROSEMARYREACH_FLEET_WORLD_H_
#define ROSEMARYREACH_FLEET_WORLD_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fakes/event_queue.h"
#include "fakes/platform.h"
#include "fakes/virtual_network.h"
#include "rosemaryreach/config.h"
#include "rosemaryreach/control_plane.h"
#include "rosemaryreach/patch.h"

namespace rosemaryreach::fakes {

struct centre_shape {
  std::string name;
  std::string region;
  int instances = 0;
};

struct world_options {
  std::vector<centre_shape> centres = {{"a1", "a", 9}};
  link_options links;
  std::uint64_t seed = 1;
  // Time from joining with a view and a configuration to being active.
  duration refresh = std::chrono::milliseconds(100);
  int services = 4;
  int targets = 15;
};

class fleet_world {
 public:
  struct instance {
    instance_info info;
    std::unique_ptr<control_plane> plane;
    bool up = false;
    bool paused = false;
    std::uint32_t starts = 0;
    std::uint64_t highest_number = 0;
    std::uint64_t reverts = 0;
    // Octets sent over gRPC.
    std::uint64_t asked_bytes = 0;
    bool activating = false;
    time_point started{};
    time_point ready{};
  };

  using unary = std::function<void(instance&)>;

  explicit fleet_world(world_options options)
      : options_(std::move(options)),
        random_(options_.seed),
        network_(queue_, options_.links, options_.seed + 1),
        platform_(queue_) {
    config_.number = 1;
    for (const centre_shape& centre : options_.centres) {
      config_.data_centres.push_back({centre.name, centre.region});
      for (int i = 0; i < centre.instances; ++i) {
        Add(centre, i);
      }
    }
    FillServices();
    for (const log_entry& entry :
         MakeSnapshot(config_, snapshot_kind::kPublished, 1,
                      patch_log_limits{}.part_bytes)) {
      platform_.Publish(entry);
    }
    network_.SetReachability([this](instance_id a, instance_id b) {
      return Reaches(IndexOf(a), IndexOf(b));
    });
  }

  event_queue& queue() { return queue_; }
  platform& source() { return platform_; }
  virtual_network<std::string>& network() { return network_; }
  std::size_t size() const { return instances_.size(); }
  instance& at(std::size_t index) { return *instances_[index]; }
  std::mt19937_64& random() { return random_; }
  std::uint64_t published() const { return config_.number; }
  time_point now() const { return queue_.now(); }
  void Run(duration span) { queue_.RunFor(span); }

  // Starts every instance within a second and runs until all are active.
  void StartAll() {
    for (std::size_t i = 0; i < size(); ++i) {
      queue_.After(Random(std::chrono::milliseconds(1'000)),
                   [this, i] { Start(i); });
    }
    Run(std::chrono::seconds(20));
  }

  // Starts an instance, or starts it again under its address.
  void Start(std::size_t index) {
    instance& one = at(index);
    ++one.starts;
    one.up = true;
    one.paused = false;
    one.highest_number = 0;
    one.activating = false;
    one.started = now();
    one.ready = {};
    one.info.incarnation = WallMs();
    one.info.state = instance_state::kJoining;
    const std::uint32_t start = one.starts;
    one.plane = std::make_unique<control_plane>(
        plane_options_, one.info, Seeds(index), keys_, WallMs() * 1'000,
        random_(), [&one](const accepted_change& change) {
          one.reverts += change.current->number < one.highest_number ? 1 : 0;
          one.highest_number =
              std::max(one.highest_number, change.current->number);
        });
    network_.Attach(one.info.id,
                    [this, index](instance_id from, const std::string& bytes) {
                      if (tap_) {
                        tap_(index, bytes);
                      }
                      Deliver(index, EndpointOf(IndexOf(from)), bytes);
                    });
    const duration phase = Random(kTick);
    queue_.After(phase, [this, index, start] {
      Tick(index);
      queue_.Every(kTick, [this, index, start] {
        const bool current = at(index).up && at(index).starts == start;
        if (current && !at(index).paused) {
          Tick(index);
        }
        return current;
      });
    });
  }

  void Kill(std::size_t index) {
    at(index).up = false;
    network_.Detach(at(index).info.id);
  }

  void Leave(std::size_t index) {
    Handle(index, at(index).plane->SetState(now(), instance_state::kLeaving));
    queue_.After(std::chrono::milliseconds(500), [this, index] {
      if (at(index).up) {
        Handle(index, at(index).plane->Leave(now()));
        Kill(index);
      }
    });
  }

  void Pause(std::size_t index, duration span) {
    at(index).paused = true;
    network_.Pause(at(index).info.id);
    queue_.After(span, [this, index] {
      at(index).paused = false;
      network_.Resume(at(index).info.id);
    });
  }

  // Returns whether datagrams, pulls and platform calls pass between groups;
  // group -1 is the platform.
  using group_rule = std::function<bool(const instance&, const instance&)>;
  void Cut(group_rule passes) { passes_ = std::move(passes); }
  void Heal() { passes_ = nullptr; }
  void CutPlatform(std::function<bool(const instance&)> reaches) {
    platform_reach_ = std::move(reaches);
  }

  // Publishes the next configuration: a target drains or comes back.
  void PublishChange() {
    const service_config& service =
        config_.services[random_() % config_.services.size()];
    const target_config& target =
        service.targets[random_() % service.targets.size()];
    const target_state state = target.state == target_state::kActive
                                   ? target_state::kDraining
                                   : target_state::kActive;
    const patch change =
        SetTargetState(config_, service.name, target.name, state).value();
    config_ = ApplyPatch(config_, change).value();
    platform_.Publish(FormatPatch(change));
  }

  // Returns whether every live, ready instance that `wanted` takes has
  // `number` in force.
  bool AllHave(std::uint64_t number,
               const std::function<bool(const instance&)>& wanted = {}) {
    return std::all_of(instances_.begin(), instances_.end(),
                       [&](const std::unique_ptr<instance>& one) {
                         return !one->up || one->paused ||
                                (wanted && !wanted(*one)) ||
                                one->plane->log().Head().number >= number;
                       });
  }

  // Runs until `done`, at most `limit`. Returns the time it took in seconds,
  // or ten times the limit if it was not done.
  double Until(const std::function<bool()>& done, duration limit) {
    const time_point start = now();
    while (!done()) {
      if (now() - start >= limit) {
        return 10 * Seconds(limit);
      }
      Run(std::chrono::milliseconds(10));
    }
    return Seconds(now() - start);
  }

  // Returns whether `observer` holds `id` to be in the fleet.
  bool Sees(std::size_t observer, instance_id id) {
    return FindInstance(at(observer).plane->members().view(), id) != nullptr;
  }

  // Returns whether every live instance that `wanted` takes sees exactly the
  // live instances of its region that `there` takes.
  bool ViewsSettled(
      const std::function<bool(const instance& observer, const instance& seen)>&
          there = {}) {
    for (const std::unique_ptr<instance>& observer : instances_) {
      if (!observer->up || observer->paused) {
        continue;
      }
      const membership& members = observer->plane->members();
      if (!members.trusted() || members.state() != instance_state::kActive) {
        return false;
      }
      std::size_t expected = 0;
      for (const std::unique_ptr<instance>& seen : instances_) {
        const bool live = seen->up && !seen->paused &&
                          seen->info.region == observer->info.region &&
                          (!there || there(*observer, *seen));
        const instance_info* info = FindInstance(members.view(), seen->info.id);
        if (live != (info != nullptr)) {
          return false;
        }
        if (live &&
            (info->state != instance_state::kActive ||
             info->incarnation != seen->plane->members().incarnation())) {
          return false;
        }
        expected += live ? 1 : 0;
      }
      if (members.view().instances.size() != expected) {
        return false;
      }
    }
    return true;
  }

  void ForLive(const unary& visit) {
    for (const std::unique_ptr<instance>& one : instances_) {
      if (one->up) {
        visit(*one);
      }
    }
  }

  std::uint64_t reverts() {
    std::uint64_t sum = 0;
    for (const std::unique_ptr<instance>& one : instances_) {
      sum += one->reverts;
    }
    return sum;
  }

  static double Seconds(duration span) {
    return std::chrono::duration<double>(span).count();
  }

  duration Random(duration below) {
    return duration(std::uniform_int_distribution<duration::rep>(
        0, below.count())(random_));
  }

  // Called after each event of an instance.
  void OnEvent(unary check) { check_ = std::move(check); }

  // Called with each datagram that arrives.
  using tap = std::function<void(std::size_t to, const std::string& bytes)>;
  void Tap(tap overhear) { tap_ = std::move(overhear); }

  std::size_t IndexOf(instance_id id) const {
    return static_cast<std::size_t>(
        std::lower_bound(by_id_.begin(), by_id_.end(),
                         std::pair(id.value, std::size_t{0}))
            ->second);
  }

  // Wall-clock offset of an instance's next start, against the others.
  void SetClock(duration offset) { clock_offset_ = offset; }

  void Deliver(std::size_t index,
               const endpoint& source,
               std::string_view bytes) {
    Handle(index, at(index).plane->OnDatagram(now(), source, bytes));
  }

  endpoint EndpointOf(std::size_t index) {
    return {at(index).info.address, at(index).info.control_port};
  }

 private:
  static constexpr duration kTick = std::chrono::milliseconds(50);
  static constexpr std::uint64_t kWallStartMs = 1'700'000'000'000;
  static constexpr std::size_t kSeedsPerCentre = 3;
  // Names of one length sort as numbers do.
  static constexpr int kFirstTarget = 10'000;

  void Add(const centre_shape& centre, int number) {
    auto one = std::make_unique<instance>();
    instance_info& info = one->info;
    info.name = centre.name + "-" + std::to_string(number);
    info.id = MakeInstanceId(info.name);
    info.data_centre = centre.name;
    info.region = centre.region;
    const auto index = static_cast<std::uint32_t>(instances_.size());
    info.address = ParseIp("10.0." + std::to_string(index / 250) + "." +
                           std::to_string(1 + index % 250))
                       .value();
    info.control_port = 7'100;
    info.detour_port = 7'010;
    info.request_port = 7'102;
    info.grpc_port = 7'101;
    by_id_.emplace_back(info.id.value, instances_.size());
    std::sort(by_id_.begin(), by_id_.end());
    instances_.push_back(std::move(one));
  }

  void FillServices() {
    for (int s = 0; s < options_.services; ++s) {
      service_config service;
      service.name = "service-" + std::to_string(s);
      service.addresses = {
          ParseEndpoint("192.0.2." + std::to_string(s + 1) + ":443").value()};
      for (int t = 0; t < options_.targets; ++t) {
        target_config target;
        target.name = "t" + std::to_string(kFirstTarget + t);
        target.address = ParseEndpoint("10.1." + std::to_string(s) + "." +
                                       std::to_string(t + 1) + ":443")
                             .value();
        target.data_centre =
            options_
                .centres[static_cast<std::size_t>(t) % options_.centres.size()]
                .name;
        service.targets.push_back(target);
      }
      config_.services.push_back(service);
    }
  }

  // The first instances of each data centre are in everyone's settings.
  std::vector<endpoint> Seeds(std::size_t index) {
    std::vector<endpoint> seeds;
    std::size_t first = 0;
    for (const centre_shape& centre : options_.centres) {
      const auto count = static_cast<std::size_t>(centre.instances);
      for (std::size_t i = 0; i < std::min(kSeedsPerCentre, count); ++i) {
        if (first + i != index) {
          seeds.push_back(EndpointOf(first + i));
        }
      }
      first += count;
    }
    return seeds;
  }

  std::uint64_t WallMs() const {
    const duration since = now().time_since_epoch() + clock_offset_;
    return kWallStartMs + static_cast<std::uint64_t>(since.count() / 1'000);
  }

  bool Reaches(std::size_t a, std::size_t b) {
    return !passes_ || passes_(at(a), at(b));
  }

  void Tick(std::size_t index) { Handle(index, at(index).plane->Tick(now())); }

  void Handle(std::size_t index, const control_actions& actions) {
    instance& one = at(index);
    for (const queued_datagram& datagram : actions.send) {
      const std::size_t to = IndexAt(datagram.to);
      network_.Send(one.info.id, at(to).info.id, datagram.bytes,
                    datagram.bytes.size() + kIpUdpHeaderBytes);
    }
    for (const read_platform& read : actions.reads) {
      Read(index, read);
    }
    for (const grpc_request& ask : actions.grpc_requests) {
      Ask(index, ask);
    }
    Activate(index);
    if (check_) {
      check_(one);
    }
  }

  std::size_t IndexAt(const endpoint& to) {
    const std::array<std::uint8_t, 16>& bytes = to.address.bytes;
    return std::size_t{bytes[14]} * 250 + bytes[15] - 1;
  }

  void Read(std::size_t index, const read_platform& read) {
    instance& one = at(index);
    if (platform_reach_ && !platform_reach_(one)) {
      return;
    }
    const std::uint32_t start = one.starts;
    platform_.Watch(
        read.after, read.wait,
        [this, index, start,
         token = read.token](const result<platform_page>& page) {
          instance& reader = at(index);
          const bool reached = !platform_reach_ || platform_reach_(reader);
          if (reader.up && reader.starts == start && reached &&
              !reader.paused) {
            Handle(index, reader.plane->OnPlatformPage(now(), token, page));
          }
        });
  }

  // A call between instances takes two network latencies and some work.
  void Ask(std::size_t index, const grpc_request& ask) {
    const std::size_t peer = IndexAt(ask.grpc);
    const std::uint32_t start = at(index).starts;
    at(index).asked_bytes += ask.bytes.size() + kCallBytes;
    queue_.After(kAskTime, [this, index, peer, start, ask] {
      instance& server = at(peer);
      const bool lost =
          !IsRunning(index, start) || server.paused || !Reaches(index, peer);
      if (lost) {
        return;
      }
      result<std::string> answer =
          Fail(errc::kUnavailable, "connection refused");
      if (server.up) {
        answer = server.plane->OnGrpcRequest(now(), ask.bytes);
      }
      if (answer) {
        server.asked_bytes += answer.value().size() + kCallBytes;
      }
      queue_.After(kAskTime, [this, index, start, token = ask.token,
                              answer = std::move(answer)] {
        if (IsRunning(index, start)) {
          Handle(index, at(index).plane->OnGrpcResponse(now(), token, answer));
        }
      });
    });
  }

  bool IsRunning(std::size_t index, std::uint32_t start) {
    const instance& one = at(index);
    return one.up && !one.paused && one.starts == start;
  }

  // Plays the daemon: makes the instance active once its state is fresh.
  void Activate(std::size_t index) {
    instance& one = at(index);
    if (one.ready == time_point{} && one.plane->ready()) {
      one.ready = now();
    }
    if (!one.plane->ready() || one.activating ||
        one.plane->members().state() != instance_state::kJoining) {
      return;
    }
    one.activating = true;
    queue_.After(options_.refresh, [this, index, start = one.starts] {
      instance& fresh = at(index);
      if (fresh.starts != start) {
        return;
      }
      fresh.activating = false;
      if (fresh.up && !fresh.paused && fresh.plane->ready()) {
        Handle(index, fresh.plane->SetState(now(), instance_state::kActive));
      }
    });
  }

  static constexpr duration kAskTime = std::chrono::milliseconds(2);
  // Octets of HTTP/2, TCP and IP around a short call.
  static constexpr std::size_t kCallBytes = 400;

  world_options options_;
  std::mt19937_64 random_;
  event_queue queue_;
  virtual_network<std::string> network_;
  platform platform_;
  configuration config_;
  control_plane_options plane_options_;
  peer_keys keys_ = {std::string(32, 'k')};
  std::vector<std::unique_ptr<instance>> instances_;
  std::vector<std::pair<std::uint64_t, std::size_t>> by_id_;
  group_rule passes_;
  std::function<bool(const instance&)> platform_reach_;
  unary check_;
  tap tap_;
  duration clock_offset_{};
};

}  // namespace rosemaryreach::fakes

#endif  // ROSEMARYREACH_FLEET_WORLD_H_
