// Callers and targets around a packet_fleet: connections that open, send,
// repeat lost packets and close, and what reaches each target.
#ifndef ROSEMARYREACH_BENCH_PACKETS_TRAFFIC_H_
#define ROSEMARYREACH_BENCH_PACKETS_TRAFFIC_H_

#include <algorithm>
#include <cstdint>
#include <random>
#include <unordered_map>
#include <vector>

#include "bench_packets_fleet.h"

namespace rosemaryreach::fakes {

struct traffic_options {
  std::uint32_t open_connections = 200'000;
  std::uint32_t new_per_s = 16'000;
  // Time between two packets of a connection that stays open.
  milliseconds packet_interval{5'000};
  milliseconds mean_life{3'000};
  double duplicates = 0.002;
};

enum class connection_state : std::uint8_t {
  kOpening,
  kOpen,
  kClosed,
  kGivenUp,  // its data centre was taken out
  kBroken,
  kFailed,  // never opened
};

inline constexpr std::uint16_t kNoTarget = 0xffff;

struct connection {
  std::uint64_t flow_hash = 0;
  std::uint16_t target = kNoTarget;
  std::uint8_t service = 0;
  connection_state state = connection_state::kOpening;
  bool stays = false;
  bool waiting = false;      // a packet is under way
  std::uint8_t attempt = 0;  // repeats of that packet
  std::uint16_t sequence = 0;
  std::uint32_t closes_at_ms = 0;
};

// One target of the traffic, or the legacy next hop.
struct traffic_target {
  endpoint address;
  std::uint8_t service = 0;
  std::string name;
  std::string data_centre;
  std::uint32_t open = 0;
  std::uint64_t packets = 0;
  time_point last_packet;
  std::vector<std::uint32_t> opened;  // new connections in each second
};

struct traffic_counts {
  std::uint64_t opened = 0;
  std::uint64_t broken = 0;
  std::uint64_t failed = 0;
  std::uint64_t reset = 0;
  std::uint64_t given_up = 0;
  std::uint64_t told = 0;  // given up and answered with a reset
  std::uint64_t wrong_service = 0;
  std::uint64_t dropped = 0;
  std::uint64_t packets = 0;
};

class packet_traffic {
 public:
  packet_traffic(event_queue& queue,
                 packet_fleet& fleet,
                 const traffic_options& options,
                 std::uint64_t seed)
      : queue_(queue),
        fleet_(fleet),
        options_(options),
        random_(seed),
        calendar_(kCalendarMs) {
    fleet_.SetSink(
        [this](const fleet_packet& packet, const flow_decision& decision) {
          Take(packet, decision);
        });
  }

  // Names a service that callers use, with its share of new connections.
  void AddService(const endpoint& address, std::uint32_t share) {
    for (std::uint32_t i = 0; i < share; ++i) {
      shares_.push_back(static_cast<std::uint8_t>(services_.size()));
    }
    services_.push_back(address);
  }

  void AddTarget(std::uint8_t service,
                 const std::string& name,
                 const std::string& data_centre,
                 const endpoint& address) {
    by_address_[Key(address)] = targets_.size();
    traffic_target added;
    added.address = address;
    added.service = service;
    added.name = name;
    added.data_centre = data_centre;
    targets_.push_back(std::move(added));
  }

  // Opens the connections that stay, then lets others come and go.
  void Start(duration opening) {
    const std::uint32_t span_ms = Milliseconds(opening);
    for (std::uint32_t i = 0; i < options_.open_connections; ++i) {
      Schedule(Create(true),
               1 + i * std::uint64_t{span_ms} / options_.open_connections);
    }
    queue_.Every(milliseconds(1), [this] { return Step(); });
  }

  void Stop() { stopped_ = true; }

  // Begins or ends the arrival of new connections.
  void SetArrivals(bool on) { arrivals_ = on; }

  // Gives up the open connections to targets of `data_centre`, and those that
  // open there before SetIn().
  void SetOut(const std::string& data_centre) {
    out_ = data_centre;
    for (connection& one : connections_) {
      if (one.state == connection_state::kOpen &&
          targets_[one.target].data_centre == data_centre) {
        Leave(one, connection_state::kGivenUp);
        ++one.sequence;
        Schedule(static_cast<std::uint32_t>(&one - connections_.data()),
                 1 + random_() % 5'000);
        ++counts_.given_up;
      }
    }
  }

  void SetIn() { out_.clear(); }

  // Sends a packet of each open connection through some instance, over `span`.
  void ProbeAll(duration span) {
    const std::uint32_t span_ms = Milliseconds(span);
    for (std::uint32_t i = 0; i < connections_.size(); ++i) {
      if (connections_[i].state == connection_state::kOpen) {
        Schedule(i, 1 + random_() % span_ms);
      }
    }
  }

  // Returns the most new connections a second of a target by `bearing` (a
  // function of the second), as a share of it, between two moments.
  double PeakShare(std::size_t target,
                   time_point from,
                   time_point to,
                   const std::function<double(double)>& bearing) const {
    double peak = 0;
    const std::vector<std::uint32_t>& opened = targets_[target].opened;
    const std::size_t first = Second(from) + 1;
    for (std::size_t i = first; i < Second(to) && i < opened.size(); ++i) {
      const double age = std::chrono::duration<double>(seconds(i + 1) -
                                                       from.time_since_epoch())
                             .count();
      peak = std::max(peak, opened[i] / bearing(age));
    }
    return peak;
  }

  // Returns how many connections a target took between two moments.
  std::uint64_t OpenedBetween(std::size_t target,
                              time_point from,
                              time_point to) const {
    std::uint64_t sum = 0;
    const std::vector<std::uint32_t>& opened = targets_[target].opened;
    for (std::size_t i = Second(from); i < Second(to) && i < opened.size();
         ++i) {
      sum += opened[i];
    }
    return sum;
  }

  const std::vector<connection>& connections() const { return connections_; }
  const std::vector<traffic_target>& targets() const { return targets_; }
  const traffic_counts& counts() const { return counts_; }

  std::size_t FindTarget(std::string_view name) const {
    return static_cast<std::size_t>(
        std::find_if(targets_.begin(), targets_.end(),
                     [name](const traffic_target& target) {
                       return target.name == name;
                     }) -
        targets_.begin());
  }

 private:
  static constexpr std::size_t kCalendarMs = 65'536;
  static constexpr int kSynAttempts = 6;
  static constexpr int kPacketAttempts = 8;

  static std::uint32_t Milliseconds(duration span) {
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(span).count());
  }

  static std::size_t Second(time_point when) {
    return static_cast<std::size_t>(
        std::chrono::duration_cast<seconds>(when.time_since_epoch()).count());
  }

  static std::uint64_t Key(const endpoint& address) {
    return HashBytes(
        {reinterpret_cast<const char*>(address.address.bytes.data()),
         address.address.bytes.size()},
        address.port);
  }

  std::uint32_t now_ms() const {
    return Milliseconds(queue_.now().time_since_epoch());
  }

  std::uint32_t Create(bool stays) {
    connection made;
    made.service = shares_[random_() % shares_.size()];
    made.stays = stays;
    const std::uint32_t index = static_cast<std::uint32_t>(connections_.size());
    made.flow_hash = FlowHash(Flow(index, made.service));
    std::exponential_distribution<double> life(1.0 /
                                               options_.mean_life.count());
    made.closes_at_ms = now_ms() + static_cast<std::uint32_t>(life(random_));
    connections_.push_back(made);
    return index;
  }

  flow_key Flow(std::uint32_t index, std::uint8_t service) const {
    flow_key flow;
    flow.caller.address.bytes[0] = 0xfe;
    for (int i = 0; i < 4; ++i) {
      flow.caller.address.bytes[12 + i] =
          static_cast<std::uint8_t>(index >> (8 * i));
    }
    flow.caller.port = 40'000;
    flow.service = services_[service];
    return flow;
  }

  // Lets the connection act in `delay_ms`.
  void Schedule(std::uint32_t index, std::uint64_t delay_ms) {
    const std::uint64_t delay =
        std::clamp<std::uint64_t>(delay_ms, 1, kCalendarMs - 1);
    calendar_[(now_ms() + delay) % kCalendarMs].push_back(
        {index, connections_[index].sequence});
  }

  bool Step() {
    if (stopped_) {
      return false;
    }
    const std::vector<due_action> due =
        std::exchange(calendar_[now_ms() % kCalendarMs], {});
    for (const due_action& action : due) {
      Act(action.connection, action.sequence);
    }
    if (arrivals_) {
      std::poisson_distribution<int> arrivals(options_.new_per_s / 1'000.0);
      for (int left = arrivals(random_); left > 0; --left) {
        Act(Create(false), 0);
      }
    }
    return true;
  }

  void Act(std::uint32_t index, std::uint16_t sequence) {
    connection& one = connections_[index];
    if (one.sequence != sequence) {
      return;
    }
    if (one.state == connection_state::kGivenUp) {
      // Its caller goes on until it is told.
      Schedule(index, 1'000);
      fleet_.Enter(fleet_.PickInstance(random_), MakePacket(index, false));
      return;
    }
    const bool active = one.state == connection_state::kOpening ||
                        one.state == connection_state::kOpen;
    if (!active) {
      return;
    }
    if (one.waiting) {
      Repeat(index);
      return;
    }
    if (!one.stays && one.state == connection_state::kOpen &&
        now_ms() >= one.closes_at_ms) {
      Leave(one, connection_state::kClosed);
      return;
    }
    one.attempt = 0;
    Transmit(index);
  }

  void Repeat(std::uint32_t index) {
    connection& one = connections_[index];
    const bool opening = one.state == connection_state::kOpening;
    if (++one.attempt < (opening ? kSynAttempts : kPacketAttempts)) {
      Transmit(index);
    } else if (opening) {
      ++counts_.failed;
      Leave(one, connection_state::kFailed);
    } else {
      Break(one);
    }
  }

  // Ends a connection whose target no longer gets its packets.
  void Break(connection& one) {
    if (!out_.empty() && targets_[one.target].data_centre == out_) {
      ++counts_.given_up;
      ++counts_.told;
      Leave(one, connection_state::kClosed);
      return;
    }
    ++counts_.broken;
    Leave(one, connection_state::kBroken);
  }

  void Transmit(std::uint32_t index) {
    connection& one = connections_[index];
    one.waiting = true;
    ++one.sequence;
    const bool opening = one.state == connection_state::kOpening;
    // The timer first: the packet may arrive within this call.
    Schedule(index, (opening ? 1'000U : 200U) << one.attempt);
    const fleet_packet packet = MakePacket(index, opening);
    ++counts_.packets;
    fleet_.Enter(fleet_.PickInstance(random_), packet);
    if (Chance(options_.duplicates)) {
      queue_.After(milliseconds(1 + random_() % 50), [this, packet] {
        fleet_.Enter(fleet_.PickInstance(random_), packet);
      });
    }
  }

  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }

  fleet_packet MakePacket(std::uint32_t index, bool syn) const {
    const connection& one = connections_[index];
    fleet_packet packet;
    packet.connection = index;
    packet.info.kind = packet_kind::kFlow;
    packet.info.flow = Flow(index, one.service);
    packet.info.flow_hash = one.flow_hash;
    packet.info.syn = syn;
    return packet;
  }

  void Take(const fleet_packet& packet, const flow_decision& decision) {
    switch (decision.action) {
      case flow_action::kTarget:
      case flow_action::kLegacy:
        Arrive(packet, decision.next_hop);
        return;
      case flow_action::kReset:
        TakeReset(connections_[packet.connection]);
        return;
      case flow_action::kDrop:
      case flow_action::kDetour:
        ++counts_.dropped;
        return;
    }
  }

  void TakeReset(connection& one) {
    ++counts_.reset;
    if (one.state == connection_state::kOpen) {
      Break(one);
    } else if (one.state == connection_state::kOpening) {
      ++counts_.failed;
      Leave(one, connection_state::kFailed);
    } else if (one.state == connection_state::kGivenUp) {
      one.state = connection_state::kClosed;
      ++counts_.told;
    }
  }

  void Arrive(const fleet_packet& packet, const endpoint& at) {
    connection& one = connections_[packet.connection];
    const auto found = by_address_.find(Key(at));
    if (found == by_address_.end() ||
        targets_[found->second].service != one.service) {
      ++counts_.wrong_service;
      return;
    }
    traffic_target& target = targets_[found->second];
    ++target.packets;
    target.last_packet = queue_.now();
    if (one.state == connection_state::kOpening) {
      if (packet.info.syn) {
        Open(packet.connection, found->second);
      }
      return;
    }
    if (one.state != connection_state::kOpen || packet.info.syn) {
      // A copy of the SYN that another target gets leads to no connection.
      return;
    }
    if (one.target != found->second) {
      Break(one);
      return;
    }
    one.waiting = false;
    Continue(packet.connection);
  }

  void Open(std::uint32_t index, std::size_t target) {
    connection& one = connections_[index];
    one.state = connection_state::kOpen;
    one.target = static_cast<std::uint16_t>(target);
    one.waiting = false;
    ++one.sequence;
    ++counts_.opened;
    traffic_target& taken = targets_[target];
    ++taken.open;
    const std::size_t second = Second(queue_.now());
    if (taken.opened.size() <= second) {
      taken.opened.resize(second + 1);
    }
    ++taken.opened[second];
    Schedule(index, 2 + random_() % 100);
  }

  void Continue(std::uint32_t index) {
    connection& one = connections_[index];
    ++one.sequence;
    if (one.stays) {
      const std::uint64_t mean = options_.packet_interval.count();
      Schedule(index, mean / 2 + random_() % mean);
      return;
    }
    const std::uint32_t now = now_ms();
    const std::uint32_t left =
        one.closes_at_ms > now ? one.closes_at_ms - now : 1;
    Schedule(index, std::min<std::uint32_t>(left, 1'000));
  }

  void Leave(connection& one, connection_state state) {
    if (one.target != kNoTarget) {
      --targets_[one.target].open;
    }
    one.state = state;
    one.waiting = false;
  }

  struct due_action {
    std::uint32_t connection;
    std::uint16_t sequence;
  };

  event_queue& queue_;
  packet_fleet& fleet_;
  traffic_options options_;
  std::mt19937_64 random_;
  std::vector<std::vector<due_action>> calendar_;
  std::vector<endpoint> services_;
  std::vector<std::uint8_t> shares_;
  std::vector<traffic_target> targets_;
  std::unordered_map<std::uint64_t, std::size_t> by_address_;
  std::vector<connection> connections_;
  traffic_counts counts_;
  std::string out_;  // data centre
  bool arrivals_ = false;
  bool stopped_ = false;
};

}  // namespace rosemaryreach::fakes

#endif  // ROSEMARYREACH_BENCH_PACKETS_TRAFFIC_H_
