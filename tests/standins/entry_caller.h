// Stand-ins for callers and for the network fabric: callers open flows, send
// requests and close them; the fabric picks a ready instance for each packet.
#ifndef ROSEMARYREACH_TESTS_STANDINS_ENTRY_CALLER_H_
#define ROSEMARYREACH_TESTS_STANDINS_ENTRY_CALLER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "adapters/http_get.h"
#include "flow_wire.h"
#include "rosemaryreach/flow_packet.h"

namespace rosemaryreach {

// Probes the readiness of all instances and picks one for each flow by
// rendezvous hashing.
class entry_fabric {
 public:
  struct instance {
    endpoint packets;
    endpoint ready;
  };

  entry_fabric(event_loop& loop, const std::vector<instance>& instances)
      : loop_(loop), timer_(loop, [this] { Probe(); }) {
    for (const instance& entry : instances) {
      routes_.push_back({entry, 2, nullptr});
    }
    Probe();
    timer_.StartEvery(std::chrono::milliseconds(100));
  }

  // Returns the instance for packets of `flow`; nothing if none is ready.
  std::optional<endpoint> Pick(const flow_key& flow) const {
    const route* best = nullptr;
    std::uint64_t best_score = 0;
    for (const route& entry : routes_) {
      const std::uint64_t score =
          HashPair(HashFlow(flow), entry.to.packets.address.bytes[15]);
      if (entry.failed_probes < 2 && (best == nullptr || score > best_score)) {
        best = &entry;
        best_score = score;
      }
    }
    return best == nullptr ? std::nullopt
                           : std::optional<endpoint>(best->to.packets);
  }

  std::size_t ready() const {
    return static_cast<std::size_t>(std::count_if(
        routes_.begin(), routes_.end(),
        [](const route& entry) { return entry.failed_probes < 2; }));
  }

 private:
  struct route {
    instance to;
    int failed_probes = 2;
    std::unique_ptr<http_get_client> getter;
  };

  void Probe() {
    for (route& entry : routes_) {
      if (entry.getter != nullptr && entry.getter->busy()) {
        continue;
      }
      entry.getter =
          std::make_unique<http_get_client>(loop_, entry.to.ready, 10'000);
      entry.getter->Get(
          "/readyz", std::chrono::milliseconds(90),
          [&entry](const result<http_reply>& reply) {
            const bool ready = reply && reply.value().status == 200;
            entry.failed_probes = ready ? 0 : entry.failed_probes + 1;
          });
    }
  }

  event_loop& loop_;
  loop_timer timer_;
  std::vector<route> routes_;
};

// Outcome of one request as seen by its caller.
enum class call_outcome : std::uint8_t {
  kAnswered,
  kReset,
  kTimeout,
  kMismatched,
  kLost  // after kTimeout: no answer for all of the caller's patience either
};

struct call_report {
  call_outcome outcome = call_outcome::kTimeout;
  std::string request;
  std::string target;  // id of the last target that answered on the flow
  bool opened = false;
};

// One flow of a caller: sends `requests` one by one with pauses, then closes.
// An open flow whose request has timed out sends it for `patience` more.
class entry_flow {
 public:
  using report_hook = std::function<void(const call_report&)>;

  entry_flow(event_loop& loop,
             const entry_fabric& fabric,
             int fd,
             flow_key key,
             std::vector<std::string> requests,
             duration pause,
             duration patience,
             report_hook report)
      : loop_(loop),
        fabric_(fabric),
        fd_(fd),
        key_(key),
        requests_(std::move(requests)),
        pause_(pause),
        patience_(patience),
        report_(std::move(report)),
        timer_(loop, [this] { OnTimer(); }) {
    deadline_ = loop_.now() + kCallTimeout;
    SendSyn();
  }

  bool finished() const { return finished_; }
  // The sender of the answer that opened the flow, while it is open.
  std::optional<endpoint> open_at() const {
    return finished_ ? std::nullopt : open_at_;
  }
  const flow_key& key() const { return key_; }
  const std::string& target() const { return target_; }

  void OnPacket(const wire_packet& packet,
                std::string_view data,
                const endpoint& from) {
    if (finished_) {
      return;
    }
    if ((packet.flags & kWireRst) != 0) {
      Finish(call_outcome::kReset);
      return;
    }
    cookie_ = packet.cookie;
    if ((packet.flags & kWireSyn) != 0) {
      if (!opened_) {
        opened_ = true;
        open_at_ = from;
        next_expected_ = packet.sequence + 1;
        ++sequence_;
        SendNextRequest();
      }
      return;
    }
    if (data.empty() || packet.sequence != next_expected_) {
      return;
    }
    next_expected_ += static_cast<std::uint32_t>(data.size());
    OnAnswer(std::string(data));
  }

 private:
  static constexpr duration kCallTimeout = std::chrono::milliseconds(1'500);

  void SendSyn() {
    Send(kWireSyn, syns_sent_, {});
    static constexpr std::array<int, 3> kSynTimeouts = {200, 400, 800};
    timer_.Start(std::chrono::milliseconds(
        kSynTimeouts.at(std::min<std::uint32_t>(syns_sent_, 2))));
    ++syns_sent_;
  }

  void SendNextRequest() {
    awaiting_answer_ = true;
    timed_out_ = false;
    deadline_ = loop_.now() + kCallTimeout;
    SendRequest();
  }

  void SendRequest() {
    Send(kWireAck, next_expected_, requests_.at(request_index_));
    timer_.Start(std::chrono::milliseconds(200));
  }

  void OnAnswer(const std::string& answer) {
    const std::string& request = requests_.at(request_index_);
    const std::size_t separator = answer.rfind(" by ");
    target_ =
        separator == std::string::npos ? "" : answer.substr(separator + 4);
    const bool matches = answer.substr(0, separator) == request;
    if (!matches || !timed_out_) {
      report_({matches ? call_outcome::kAnswered : call_outcome::kMismatched,
               request, target_, true});
    }
    sequence_ += static_cast<std::uint32_t>(request.size());
    awaiting_answer_ = false;
    if (++request_index_ == requests_.size()) {
      Send(kWireAck | kWireFin, next_expected_, {});
      finished_ = true;
      timer_.Stop();
      return;
    }
    Send(kWireAck, next_expected_, {});
    timer_.Start(pause_);
  }

  void OnTimer() {
    if (opened_ && !awaiting_answer_) {
      SendNextRequest();
    } else if (opened_ && loop_.now() >= deadline_ &&
               loop_.now() < deadline_ + patience_) {
      ReportTimeout();
      SendRequest();
    } else if (loop_.now() >= deadline_ || (!opened_ && syns_sent_ >= 3)) {
      Finish(call_outcome::kTimeout);
    } else if (opened_) {
      SendRequest();
    } else {
      SendSyn();
    }
  }

  void ReportTimeout() {
    if (!timed_out_) {
      timed_out_ = true;
      report_({call_outcome::kTimeout, requests_.at(request_index_), target_,
               opened_});
    }
  }

  void Finish(call_outcome outcome) {
    finished_ = true;
    timer_.Stop();
    if (!timed_out_ || outcome == call_outcome::kTimeout) {
      report_({timed_out_ ? call_outcome::kLost : outcome,
               requests_.at(request_index_), target_, opened_});
    }
  }

  void Send(std::uint8_t flags,
            std::uint32_t acknowledged,
            std::string_view data) {
    wire_packet packet;
    packet.flags = flags;
    packet.from_address = key_.caller.address;
    packet.from_port = key_.caller.port;
    packet.to_address = key_.destination.address;
    packet.to_port = key_.destination.port;
    packet.cookie = cookie_;
    packet.sequence = sequence_;
    packet.acknowledged = acknowledged;
    const std::optional<endpoint> to = fabric_.Pick(key_);
    if (to) {
      SendTo(fd_, *to, EncodeWirePacket(packet, data));
    }
  }

  event_loop& loop_;
  const entry_fabric& fabric_;
  int fd_;
  flow_key key_;
  std::vector<std::string> requests_;
  duration pause_;
  duration patience_;
  report_hook report_;
  loop_timer timer_;
  time_point deadline_{};
  std::string target_;
  std::uint32_t syns_sent_ = 0;
  std::uint32_t cookie_ = 0;
  std::uint32_t sequence_ = 1'000;
  std::uint32_t next_expected_ = 0;
  std::size_t request_index_ = 0;
  bool opened_ = false;
  std::optional<endpoint> open_at_;
  bool awaiting_answer_ = false;
  bool timed_out_ = false;  // the present request, as reported
  bool finished_ = false;
};

// A caller with one address and its flows.
class entry_caller {
 public:
  // Called for each reset, also of flows that have ended, with entry_flow's
  // open_at() and the sender of the reset.
  using reset_hook = std::function<void(const ipv4_endpoint& caller,
                                        const std::optional<endpoint>& open_at,
                                        const endpoint& from)>;

  entry_caller(event_loop& loop,
               const entry_fabric& fabric,
               const endpoint& address,
               reset_hook on_reset)
      : loop_(loop),
        fabric_(fabric),
        address_(ToIpv4Endpoint(address)),
        on_reset_(std::move(on_reset)),
        socket_(udp_socket::Bind(address, port_sharing::kExclusive, 1'048'576)
                    .value()),
        watch_(loop, socket_.fd(), io_event::kRead, [this] { OnPackets(); }) {}

  // Sets for how long later flows go on with a request that has timed out.
  void SetPatience(duration patience) { patience_ = patience; }

  flow_key Open(const ipv4_endpoint& destination,
                std::vector<std::string> requests,
                duration pause,
                entry_flow::report_hook report) {
    std::erase_if(flows_,
                  [](const auto& entry) { return entry.second->finished(); });
    const flow_key key{{address_.address, ++next_port_}, destination};
    flows_[next_port_] = std::make_unique<entry_flow>(
        loop_, fabric_, socket_.fd(), key, std::move(requests), pause,
        patience_, std::move(report));
    return key;
  }

  std::size_t open() const {
    return static_cast<std::size_t>(std::count_if(
        flows_.begin(), flows_.end(),
        [](const auto& entry) { return !entry.second->finished(); }));
  }

 private:
  void OnPackets() {
    for (const datagram& entry : received_.Receive(socket_.fd())) {
      const std::string_view bytes(
          reinterpret_cast<const char*>(entry.bytes.data()),
          entry.bytes.size());
      if (bytes.size() < kPacketHeaderBytes) {
        continue;
      }
      const wire_packet packet = DecodeWirePacket(bytes);
      const auto flow = flows_.find(packet.to_port);
      if ((packet.flags & kWireRst) != 0) {
        on_reset_({packet.to_address, packet.to_port},
                  flow == flows_.end() ? std::nullopt : flow->second->open_at(),
                  entry.from);
      }
      if (flow != flows_.end()) {
        flow->second->OnPacket(packet, bytes.substr(kPacketHeaderBytes),
                               entry.from);
      }
    }
  }

  event_loop& loop_;
  const entry_fabric& fabric_;
  ipv4_endpoint address_;
  reset_hook on_reset_;
  duration patience_{};
  udp_socket socket_;
  descriptor_watch watch_;
  receive_batch received_;
  std::map<std::uint16_t, std::unique_ptr<entry_flow>> flows_;
  std::uint16_t next_port_ = 1'024;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TESTS_STANDINS_ENTRY_CALLER_H_
