// A fleet of flow routers in virtual time: instances that join, leave, die,
// pause and are cut off, and configurations that reach them unevenly.
#ifndef ROSEMARYREACH_BENCH_PACKETS_FLEET_H_
#define ROSEMARYREACH_BENCH_PACKETS_FLEET_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "fakes/event_queue.h"
#include "fakes/virtual_network.h"
#include "rosemaryreach/flow_router.h"

namespace rosemaryreach::fakes {

using std::chrono::milliseconds;
using std::chrono::seconds;

// One packet of one connection of the traffic.
struct fleet_packet {
  std::uint32_t connection = 0;
  packet_info info;
};

// What passes between two instances: a message or a detoured packet.
struct fleet_datagram {
  std::shared_ptr<const flow_message> message;
  fleet_packet packet;
  detour_info detour;
};

struct virtual_instance {
  instance_info info;
  fleet_view view;
  std::unique_ptr<flow_router> router;
  bool alive = true;
  bool paused = false;
  bool in_fabric = true;
  std::vector<fleet_packet> held;           // packets while paused
  std::deque<std::uint64_t> control_bytes;  // samples, one a tick
};

struct fleet_delays {
  duration death_min = seconds(1);
  duration death_max = seconds(2);
  duration news_min = milliseconds(50);
  duration news_max = milliseconds(400);
  duration fabric = seconds(1);          // to notice that a process is gone
  duration fabric_silent = seconds(10);  // to notice that one is silent
};

class packet_fleet {
 public:
  // Takes each decision that leaves the fleet, and drops.
  using packet_sink =
      std::function<void(const fleet_packet&, const flow_decision&)>;

  packet_fleet(event_queue& queue,
               std::uint64_t seed,
               const link_options& links = {})
      : queue_(queue), random_(seed), network_(queue, links, seed + 1) {
    network_.SetReachability([this](instance_id from, instance_id to) {
      return cut_off_ == from || cut_off_ == to ? from == to : true;
    });
  }

  void SetSink(packet_sink sink) { sink_ = std::move(sink); }

  // Adds an instance that all others and it know of at once.
  std::size_t AddActive(const std::string& data_centre) {
    const std::size_t index = AddInstance(data_centre, instance_state::kActive);
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      Believe(i, index);
      Believe(index, i);
    }
    return index;
  }

  // Starts an instance, which turns active once it knows the open buckets.
  std::size_t Join(const std::string& data_centre) {
    const std::size_t index =
        AddInstance(data_centre, instance_state::kJoining);
    for (std::size_t i = 0; i < index; ++i) {
      if (instances_[i]->alive) {
        Believe(index, i);
      }
    }
    ApplyView(index);
    if (config_ != nullptr) {
      Apply(index, config_);
    }
    SpreadNews(index);
    queue_.Every(milliseconds(100), [this, index] {
      virtual_instance& joined = *instances_[index];
      if (!joined.alive) {
        return false;
      }
      if (!joined.router->synchronized()) {
        return true;
      }
      joined.info.state = instance_state::kActive;
      Believe(index, index);
      ApplyView(index);
      SpreadNews(index);
      return false;
    });
    return index;
  }

  // Begins the planned stop of an instance; it goes once it has handed over.
  void Leave(std::size_t index) {
    virtual_instance& leaving = *instances_[index];
    leaving.info.state = instance_state::kLeaving;
    Believe(index, index);
    ApplyView(index);
    SpreadNews(index);
    After(seconds(1), [this, index] { instances_[index]->in_fabric = false; });
    const time_point earliest = queue_.now() + seconds(3);
    queue_.Every(milliseconds(100), [this, index, earliest] {
      if (queue_.now() < earliest ||
          !instances_[index]->router->handed_over()) {
        return true;
      }
      Stop(index);
      for (std::size_t i = 0; i < instances_.size(); ++i) {
        After(NewsDelay(), [this, i, index] { Forget(i, index); });
      }
      return false;
    });
  }

  // Ends an instance without notice.
  void Kill(std::size_t index) {
    Stop(index);
    After(delays_.fabric,
          [this, index] { instances_[index]->in_fabric = false; });
    LoseSight(index);
  }

  // Stops the process of an instance for a while.
  void Pause(std::size_t index, duration span) {
    instances_[index]->paused = true;
    network_.Pause(instances_[index]->info.id);
    LoseSight(index);
    After(delays_.fabric_silent, [this, index] {
      instances_[index]->in_fabric = !instances_[index]->paused;
    });
    After(span, [this, index] {
      virtual_instance& woken = *instances_[index];
      woken.paused = false;
      woken.in_fabric = true;
      network_.Resume(woken.info.id);
      for (const fleet_packet& packet : std::exchange(woken.held, {})) {
        Deliver(index, packet, nullptr);
      }
      for (std::size_t i = 0; i < instances_.size(); ++i) {
        if (i != index) {
          After(NewsDelay(), [this, i, index] { See(i, index); });
        }
      }
    });
  }

  // Separates an instance from all others for a while.
  void CutOff(std::size_t index, duration span) {
    cut_off_ = instances_[index]->info.id;
    LoseSight(index);
    After(DeathDelay(), [this, index] {
      if (cut_off_ == instances_[index]->info.id) {
        SetTrusted(index, false);
      }
    });
    After(span, [this, index] {
      cut_off_ = {};
      After(NewsDelay(), [this, index] { SetTrusted(index, true); });
      for (std::size_t i = 0; i < instances_.size(); ++i) {
        if (i != index && instances_[i]->alive) {
          After(NewsDelay(), [this, i, index] { See(i, index); });
          After(NewsDelay(), [this, i, index] { See(index, i); });
        }
      }
    });
  }

  // Publishes a configuration, which reaches each instance within `spread`.
  void Publish(std::shared_ptr<const configuration> config, duration spread) {
    config_ = std::move(config);
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      const std::shared_ptr<const configuration> published = config_;
      After(Delay(duration(0), spread), [this, i, published] {
        WhenRunning(i, [this, i, published] { Apply(i, published); });
      });
    }
  }

  // Tells one instance what it found out about a target.
  void Report(std::size_t index,
              const std::string& service,
              const std::string& target,
              target_condition condition) {
    instances_[index]->router->ReportTarget(service, target, condition,
                                            queue_.now());
  }

  // Hands a packet to an instance as the fabric does. Returns false if the
  // instance is not there.
  bool Enter(std::size_t index, const fleet_packet& packet) {
    virtual_instance& instance = *instances_[index];
    if (!instance.alive) {
      return false;
    }
    if (instance.paused) {
      if (instance.held.size() >= kMaxHeldPackets) {
        return false;
      }
      instance.held.push_back(packet);
      return true;
    }
    Deliver(index, packet, nullptr);
    return true;
  }

  // Returns an instance that the fabric may choose.
  std::size_t PickInstance(std::mt19937_64& random) const {
    while (true) {
      const std::size_t index = random() % instances_.size();
      if (instances_[index]->in_fabric) {
        return index;
      }
    }
  }

  std::size_t size() const { return instances_.size(); }
  const virtual_instance& at(std::size_t index) const {
    return *instances_[index];
  }
  int max_hops() const { return max_hops_; }
  std::uint64_t detours() const { return detours_; }
  std::uint64_t max_pins() const { return max_pins_; }

  // Returns the octets of messages a second, of the instance and the ten
  // seconds with the most.
  double peak_control_bytes_per_s() const { return peak_control_bytes_; }

 private:
  static constexpr std::size_t kMaxHeldPackets = 1'000;
  static constexpr std::size_t kDatagramOverhead = 28 + 32;
  static constexpr std::size_t kSamples = 10'000 / kFlowTickMs;

  duration Delay(duration low, duration high) {
    std::uniform_int_distribution<duration::rep> delay(low.count(),
                                                       high.count());
    return duration(delay(random_));
  }
  duration NewsDelay() { return Delay(delays_.news_min, delays_.news_max); }
  duration DeathDelay() { return Delay(delays_.death_min, delays_.death_max); }

  void After(duration delay, std::function<void()> run) {
    queue_.After(delay, std::move(run));
  }

  // Runs now, or when a paused instance resumes; never on a dead one.
  void WhenRunning(std::size_t index, std::function<void()> run) {
    if (!instances_[index]->alive) {
      return;
    }
    if (!instances_[index]->paused) {
      run();
      return;
    }
    After(milliseconds(20),
          [this, index, run = std::move(run)] { WhenRunning(index, run); });
  }

  std::size_t AddInstance(const std::string& data_centre,
                          instance_state state) {
    const std::size_t index = instances_.size();
    instances_.push_back(std::make_unique<virtual_instance>());
    virtual_instance& added = *instances_.back();
    added.info.name = "instance" + std::to_string(index);
    added.info.id = MakeInstanceId(added.info.name);
    added.info.data_centre = data_centre;
    added.info.region = "region";
    added.info.address.bytes[0] = 0xfd;
    added.info.address.bytes[15] = static_cast<std::uint8_t>(index);
    added.info.detour_port = 7'000;
    added.info.incarnation = 1;
    added.info.state = state;
    added.view.self = added.info.id;
    added.router = std::make_unique<flow_router>(flow_router_options{}, log_);
    Believe(index, index);
    network_.Attach(added.info.id,
                    [this, index](instance_id from, const fleet_datagram& in) {
                      Receive(index, from, in);
                    });
    After(Delay(duration(0), milliseconds(kFlowTickMs)),
          [this, index] { TickEvery(index); });
    return index;
  }

  void TickEvery(std::size_t index) {
    virtual_instance& instance = *instances_[index];
    if (!instance.alive) {
      return;
    }
    if (!instance.paused) {
      Send(index, instance.router->Tick(queue_.now()));
      max_pins_ = std::max(max_pins_, instance.router->stats().pins);
    }
    SampleControl(instance);
    After(milliseconds(kFlowTickMs), [this, index] { TickEvery(index); });
  }

  void SampleControl(virtual_instance& instance) {
    instance.control_bytes.push_back(network_.sent_bytes(instance.info.id));
    if (instance.control_bytes.size() > kSamples) {
      const std::uint64_t sent =
          instance.control_bytes.back() - instance.control_bytes.front();
      peak_control_bytes_ = std::max(peak_control_bytes_, sent / 10.0);
      instance.control_bytes.pop_front();
    }
  }

  void Send(std::size_t from, std::vector<outgoing_flow_message> messages) {
    for (outgoing_flow_message& one : messages) {
      const std::size_t bytes =
          EncodeFlowMessage(one.message).size() + kDatagramOverhead;
      fleet_datagram datagram;
      datagram.message =
          std::make_shared<const flow_message>(std::move(one.message));
      network_.Send(instances_[from]->info.id, one.to, datagram, bytes);
    }
  }

  void Receive(std::size_t index, instance_id from, const fleet_datagram& in) {
    flow_router& router = *instances_[index]->router;
    if (in.message == nullptr) {
      Deliver(index, in.packet, &in.detour);
      return;
    }
    router.OnMessage(from, *in.message, queue_.now());
    Send(index, router.Tick(queue_.now()));
  }

  void Deliver(std::size_t index,
               const fleet_packet& packet,
               const detour_info* detour) {
    const flow_decision decision =
        instances_[index]->router->Route(packet.info, detour, queue_.now());
    if (decision.action != flow_action::kDetour) {
      sink_(packet, decision);
      return;
    }
    ++detours_;
    max_hops_ = std::max<int>(max_hops_, decision.detour.hops);
    const std::size_t to = decision.next_hop.address.bytes[15];
    network_.Send(instances_[index]->info.id, instances_[to]->info.id,
                  {nullptr, packet, decision.detour}, 0);
  }

  void Stop(std::size_t index) {
    instances_[index]->alive = false;
    network_.Detach(instances_[index]->info.id);
  }

  void Apply(std::size_t index, const std::shared_ptr<const configuration>& c) {
    virtual_instance& instance = *instances_[index];
    if (c->number <= instance.info.configuration_number) {
      return;
    }
    instance.info.configuration_number = c->number;
    instance.router->ApplyConfiguration(c, queue_.now());
    Believe(index, index);
    ApplyView(index);
    SpreadNews(index);
  }

  // The smaller part of a split fleet keeps its view and does not trust it.
  void SetTrusted(std::size_t index, bool trusted) {
    WhenRunning(index, [this, index, trusted] {
      instances_[index]->router->SetTrusted(trusted, queue_.now());
    });
  }

  void ApplyView(std::size_t index) {
    virtual_instance& instance = *instances_[index];
    instance.router->ApplyView(instance.view, queue_.now());
  }

  // Makes `observer` believe what is true of `subject` now.
  void Believe(std::size_t observer, std::size_t subject) {
    fleet_view& view = instances_[observer]->view;
    const instance_info& truth = instances_[subject]->info;
    std::erase_if(view.instances, [&](const instance_info& known) {
      return known.id == truth.id;
    });
    view.instances.push_back(truth);
    std::sort(view.instances.begin(), view.instances.end(),
              [](const instance_info& a, const instance_info& b) {
                return a.id < b.id;
              });
    ++view.version;
  }

  bool Reaches(std::size_t a, std::size_t b) const {
    return !cut_off_ || (cut_off_ != instances_[a]->info.id &&
                         cut_off_ != instances_[b]->info.id);
  }

  void See(std::size_t observer, std::size_t subject) {
    WhenRunning(observer, [this, observer, subject] {
      if (instances_[subject]->alive && Reaches(observer, subject)) {
        Believe(observer, subject);
        ApplyView(observer);
      }
    });
  }

  void Forget(std::size_t observer, std::size_t subject) {
    WhenRunning(observer, [this, observer, subject] {
      fleet_view& view = instances_[observer]->view;
      std::erase_if(view.instances, [&](const instance_info& known) {
        return known.id == instances_[subject]->info.id;
      });
      ++view.version;
      ApplyView(observer);
    });
  }

  void SpreadNews(std::size_t subject) {
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      if (i != subject && Reaches(i, subject)) {
        After(NewsDelay(), [this, i, subject] { See(i, subject); });
      }
    }
  }

  // The others find out that the instance does not answer, unless it does
  // again by then.
  void LoseSight(std::size_t index) {
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      if (i == index) {
        continue;
      }
      After(DeathDelay(), [this, i, index] {
        const virtual_instance& lost = *instances_[index];
        if (!lost.alive || lost.paused || !Reaches(i, index)) {
          Forget(i, index);
        }
      });
    }
  }

  event_queue& queue_;
  std::mt19937_64 random_;
  virtual_network<fleet_datagram> network_;
  fleet_delays delays_;
  null_log_sink log_;
  packet_sink sink_;
  std::vector<std::unique_ptr<virtual_instance>> instances_;
  std::shared_ptr<const configuration> config_;
  instance_id cut_off_;
  int max_hops_ = 0;
  std::uint64_t detours_ = 0;
  std::uint64_t max_pins_ = 0;
  double peak_control_bytes_ = 0;
};

}  // namespace rosemaryreach::fakes

#endif  // ROSEMARYREACH_BENCH_PACKETS_FLEET_H_
