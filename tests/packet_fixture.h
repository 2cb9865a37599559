// Packet workers of several instances with targets on loopback, in one thread.
#ifndef ROSEMARYREACH_TESTS_PACKET_FIXTURE_H_
#define ROSEMARYREACH_TESTS_PACKET_FIXTURE_H_

#include <poll.h>

#include <algorithm>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "adapters/packet_worker.h"
#include "loopback_address.h"
#include "rosemaryreach/detour_frame.h"
#include "standins/tcp_packet.h"

namespace rosemaryreach {

struct received_packet {
  std::string target;
  std::vector<std::uint8_t> bytes;
};

class packet_fixture {
 public:
  static constexpr int kTargets = 3;

  explicit packet_fixture(int instances) : caller_(Bind(0)) {
    for (int i = 0; i < kTargets; ++i) {
      targets_.push_back(Bind(0));
    }
    config_ = MakeConfiguration();
    for (int i = 0; i < instances; ++i) {
      AddInstance(i);
    }
    Apply();
    WaitUntilSynchronized();
  }

  // Adds an instance that has the configuration, but no view of the fleet yet.
  void AddWithoutView() {
    AddInstance(static_cast<int>(workers_.size()));
    workers_.back()->ApplyConfiguration(
        std::make_shared<configuration>(config_));
  }

  // Adds a joining instance: applies all configurations so far, then a view in
  // which it is joining. Returns its index.
  int Join() {
    AddInstance(static_cast<int>(workers_.size()));
    for (const configuration& past : history_) {
      workers_.back()->ApplyConfiguration(
          std::make_shared<configuration>(past));
    }
    for (instance_info& info : view_.instances) {
      if (info.id == ids_.back()) {
        info.state = instance_state::kJoining;
        info.configuration_number = config_.number;
      }
    }
    ApplyViews();
    return static_cast<int>(workers_.size()) - 1;
  }

  // Makes a joining instance active in all views, once it is synchronized, so
  // that it owns buckets.
  void Activate(int instance) {
    WaitUntilSynchronized();
    for (instance_info& info : view_.instances) {
      if (info.id == ids_[instance]) {
        info.state = instance_state::kActive;
      }
    }
    ApplyViews();
  }

  // Returns whether an open bucket is not owned by any instance.
  bool HasUnownedBuckets() const {
    std::uint64_t open = 0;
    std::uint64_t owned = 0;
    for (const std::unique_ptr<packet_worker>& worker : workers_) {
      const packet_worker_stats stats = worker->stats();
      open = std::max(open, stats.router.open_buckets);
      owned += stats.router.owned_buckets;
    }
    return owned < open;
  }

  const peer_keys& keys() const { return keys_; }

  // Returns the receiver id for sealing detoured packets to `instance`.
  instance_id DetourReceiver(int instance) const {
    return MakeInstanceId(FormatEndpoint(ports_[instance].second));
  }
  packet_worker_stats stats(int instance) const {
    return workers_[instance]->stats();
  }

  standins::tcp_segment Segment(int flow,
                                std::uint8_t flags,
                                std::string payload) const {
    standins::tcp_segment segment;
    segment.from = ParseEndpoint("192.0.2.1:0").value();
    segment.from.port = static_cast<std::uint16_t>(1'024 + flow);
    segment.to = service_;
    segment.flags = flags;
    segment.payload = std::move(payload);
    return segment;
  }

  void Send(int instance, const std::vector<std::uint8_t>& packet) {
    SendTo(ports_[instance].first, packet);
  }

  void SendDetour(int instance, const std::vector<std::uint8_t>& frame) {
    SendTo(ports_[instance].second, frame);
  }

  // Runs the workers until the targets have received `count` packets, or none
  // for kIdleRounds.
  std::vector<received_packet> Receive(std::size_t count) {
    std::vector<received_packet> received;
    for (int idle = 0; idle < kIdleRounds && received.size() < count; ++idle) {
      Pump();
      for (int i = 0; i < kTargets; ++i) {
        for (const datagram& packet : batch_.Receive(targets_[i].fd())) {
          received.push_back({"t" + std::to_string(i),
                              {packet.bytes.begin(), packet.bytes.end()}});
          idle = 0;
        }
      }
    }
    return received;
  }

  // Applies a configuration in which `target` drains on all instances, and runs
  // the workers for kSettleRounds.
  void Drain(const std::string& target) {
    for (target_config& candidate : config_.services[0].targets) {
      if (candidate.name == target) {
        candidate.state = target_state::kDraining;
      }
    }
    ++config_.number;
    Apply();
    for (int i = 0; i < kSettleRounds; ++i) {
      Pump();
    }
  }

 private:
  static constexpr int kIdleRounds = 30;
  static constexpr int kSettleRounds = 200;
  static constexpr int kPumpWaitMs = 2;
  static constexpr int kBufferBytes = 1 << 20;
  static constexpr std::uint16_t kPacketPort = 7'000;
  static constexpr std::uint16_t kDetourPort = 7'010;

  static udp_socket Bind(std::uint16_t port) {
    endpoint local = ParseEndpoint("127.0.0.1:0").value();
    local.port = port;
    return udp_socket::Bind(local, port_sharing::kExclusive, kBufferBytes)
        .value();
  }

  configuration MakeConfiguration() {
    configuration config;
    config.number = 1;
    config.data_centres = {{"a", "r", data_centre_state::kIn}};
    service_config service;
    service.name = "ledger";
    service.addresses = {service_};
    service.buckets = 4'096;
    for (int i = 0; i < kTargets; ++i) {
      target_config target;
      target.name = "t" + std::to_string(i);
      target.address = targets_[i].local();
      target.data_centre = "a";
      service.targets.push_back(target);
    }
    config.services.push_back(service);
    return config;
  }

  void AddInstance(int index) {
    packet_worker_options options;
    options.address = UniqueLoopbackAddress();
    options.packet_port = kPacketPort;
    options.detour_port = kDetourPort;
    ports_.emplace_back(endpoint{options.address, options.packet_port},
                        endpoint{options.address, options.detour_port});
    instance_info info;
    info.name = "i" + std::to_string(index);
    info.id = MakeInstanceId(info.name);
    info.data_centre = "a";
    info.region = "r";
    info.address = options.address;
    info.detour_port = options.detour_port;
    info.incarnation = 1;
    info.state = instance_state::kActive;
    ids_.push_back(info.id);
    view_.instances.push_back(info);
    std::sort(view_.instances.begin(), view_.instances.end(),
              [](const instance_info& a, const instance_info& b) {
                return a.id < b.id;
              });
    packet_worker_hooks hooks;
    hooks.send_flow_state = [this, id = info.id](instance_id to,
                                                 const std::string& payload) {
      Deliver(id, to, payload);
    };
    workers_.push_back(std::make_unique<packet_worker>(loop_, options, keys_, 1,
                                                       log_, std::move(hooks)));
    const result<void> started = workers_.back()->Start();
    if (!started) {
      throw std::runtime_error(FormatError(started.error()));
    }
  }

  void Deliver(instance_id from, instance_id to, const std::string& payload) {
    if (payload.size() > kMaxFlowMessageBytes) {
      throw std::length_error("flow message of " +
                              std::to_string(payload.size()) + " octets");
    }
    const std::vector<std::uint8_t> bytes(payload.begin(), payload.end());
    const flow_message message = DecodeFlowMessage(bytes).value();
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      if (ids_[i] == to) {
        loop_.Post([this, i, from, message] {
          workers_[i]->OnFlowState(from, message);
        });
      }
    }
  }

  void Apply() {
    const std::shared_ptr<const configuration> config =
        std::make_shared<configuration>(config_);
    for (std::unique_ptr<packet_worker>& worker : workers_) {
      worker->ApplyConfiguration(config);
    }
    for (instance_info& info : view_.instances) {
      info.configuration_number = config_.number;
    }
    history_.push_back(config_);
    ApplyViews();
  }

  void ApplyViews() {
    ++view_.version;
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      fleet_view own = view_;
      own.self = ids_[i];
      workers_[i]->ApplyView(own);
    }
  }

  void WaitUntilSynchronized() {
    for (const std::unique_ptr<packet_worker>& worker : workers_) {
      while (!worker->stats().synchronized) {
        Pump();
      }
    }
  }

  void SendTo(const endpoint& to, const std::vector<std::uint8_t>& bytes) {
    send_batch sending(caller_.fd());
    sending.Add(0, bytes, to);
    sending.Flush();
  }

  void Pump() {
    loop_.RunPending();
    poll(nullptr, 0, kPumpWaitMs);
    loop_.RunPending();
  }

  endpoint service_ = ParseEndpoint("198.51.100.1:80").value();
  peer_keys keys_ = {std::string(kMinPeerKeyBytes, 'k')};
  null_log_sink log_;
  udp_socket caller_;
  std::vector<udp_socket> targets_;
  configuration config_;
  std::vector<configuration> history_;
  fleet_view view_;
  std::vector<instance_id> ids_;
  // Packet and detour address of each instance.
  std::vector<std::pair<endpoint, endpoint>> ports_;
  receive_batch batch_;
  event_loop loop_;
  std::vector<std::unique_ptr<packet_worker>> workers_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TESTS_PACKET_FIXTURE_H_
