// Packets a second through a packet worker on loopback sockets, beside a bare
// loop that forwards with the same batches. The ratio has a bound.
#include <poll.h>

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "adapters/packet_worker.h"
#include "fakes/bench_main.h"
#include "rosemaryreach/packet.h"

namespace rosemaryreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kRunTime(1'000);
constexpr int kRuns = 5;
constexpr int kBufferBytes = 8 << 20;
constexpr int kTargets = 15;
constexpr int kPollMs = 10;
constexpr std::size_t kPacketBytes = 128;
constexpr double kMinRatio = 0.8;

endpoint Loopback(std::uint16_t port) {
  endpoint local = ParseEndpoint("127.0.0.1:0").value();
  local.port = port;
  return local;
}

udp_socket Bind() {
  return udp_socket::Bind(Loopback(0), port_sharing::kExclusive, kBufferBytes)
      .value();
}

// An IPv4 TCP segment of flow `index` to the service.
std::vector<std::uint8_t> MakePacket(std::uint16_t index) {
  std::vector<std::uint8_t> packet(kPacketBytes);
  packet[0] = 0x45;
  packet[3] = kPacketBytes;
  packet[8] = 64;
  packet[9] = 6;
  const std::vector<std::uint8_t> addresses = {192, 0, 2, 1, 198, 51, 100, 1};
  std::copy(addresses.begin(), addresses.end(), packet.begin() + 12);
  packet[20] = static_cast<std::uint8_t>(index >> 8);
  packet[21] = static_cast<std::uint8_t>(index);
  packet[23] = 80;
  packet[32] = 0x50;
  packet[33] = 0x10;
  return packet;
}

// Sends packets of many flows as fast as the socket takes them.
class flood {
 public:
  explicit flood(const endpoint& to) : thread_([this, to] { Run(to); }) {}

  ~flood() {
    stop_ = true;
    thread_.join();
  }

 private:
  static constexpr int kFlows = 4'096;

  void Run(const endpoint& to) {
    std::vector<std::vector<std::uint8_t>> packets;
    packets.reserve(kFlows);
    for (int i = 0; i < kFlows; ++i) {
      packets.push_back(MakePacket(static_cast<std::uint16_t>(i)));
    }
    const udp_socket socket = Bind();
    send_batch sending(socket.fd());
    for (std::size_t next = 0; !stop_; next = (next + 1) % kFlows) {
      sending.Add(0, packets[next], to);
    }
    sending.Flush();
  }

  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

// Receives and forwards without a look at the packets.
class bare_forwarder {
 public:
  explicit bare_forwarder(const endpoint& to)
      : socket_(Bind()), thread_([this, to] { Run(to); }) {}

  ~bare_forwarder() {
    stop_ = true;
    thread_.join();
  }

  endpoint local() const { return socket_.local(); }
  std::uint64_t forwarded() const { return forwarded_; }

 private:
  void Run(const endpoint& to) {
    receive_batch batch;
    send_batch sending(socket_.fd());
    while (!stop_) {
      const std::span<const datagram> received = batch.Receive(socket_.fd());
      if (received.empty()) {
        pollfd polled{socket_.fd(), POLLIN, 0};
        poll(&polled, 1, kPollMs);
      }
      for (const datagram& one : received) {
        sending.Add(0, one.bytes, to);
      }
      sending.Flush();
      forwarded_ = sending.sent();
    }
  }

  udp_socket socket_;
  std::atomic<bool> stop_ = false;
  std::atomic<std::uint64_t> forwarded_ = 0;
  std::thread thread_;
};

std::shared_ptr<const configuration> MakeConfiguration(
    const endpoint& target_address) {
  std::shared_ptr<configuration> config = std::make_shared<configuration>();
  config->number = 1;
  config->data_centres = {{"a", "r", data_centre_state::kIn}};
  service_config service;
  service.name = "ledger";
  service.addresses = {ParseEndpoint("198.51.100.1:80").value()};
  for (int i = 0; i < kTargets; ++i) {
    target_config target;
    target.name = "t" + std::to_string(i);
    target.address = target_address;
    target.data_centre = "a";
    service.targets.push_back(target);
  }
  config->services.push_back(service);
  return config;
}

// A packet worker of an instance that is alone.
class worker_forwarder {
 public:
  explicit worker_forwarder(const endpoint& to)
      : packets_(Bind().local()),
        worker_(loop_, Options(), keys_, 1, log_, Hooks()) {
    worker_.Start().value();
    worker_.ApplyConfiguration(MakeConfiguration(to));
    worker_.ApplyView(View());
    thread_ = std::thread([this] { loop_.Run(); });
  }

  ~worker_forwarder() {
    loop_.Stop();
    thread_.join();
  }

  endpoint local() const { return packets_; }
  std::uint64_t forwarded() {
    std::atomic<std::uint64_t> sent = 0;
    std::atomic<bool> done = false;
    loop_.Post([&] {
      sent = worker_.stats().sent;
      done = true;
    });
    while (!done) {
      std::this_thread::yield();
    }
    return sent;
  }

 private:
  packet_worker_options Options() const {
    packet_worker_options options;
    options.address = packets_.address;
    options.packet_port = packets_.port;
    options.detour_port = Bind().local().port;
    options.socket_buffer_bytes = kBufferBytes;
    return options;
  }

  static packet_worker_hooks Hooks() {
    return {[](instance_id, const std::string&) {}};
  }

  fleet_view View() const {
    instance_info info;
    info.name = "i0";
    info.id = MakeInstanceId(info.name);
    info.data_centre = "a";
    info.region = "r";
    info.address = packets_.address;
    info.incarnation = 1;
    info.state = instance_state::kActive;
    info.configuration_number = 1;
    return {info.id, {info}, 1};
  }

  endpoint packets_;
  null_log_sink log_;
  peer_keys keys_ = {std::string(kMinPeerKeyBytes, 'k')};
  event_loop loop_;
  packet_worker worker_;
  std::thread thread_;
};

// Returns the packets a second that `Forwarder` passes on under a flood.
template <typename Forwarder>
double Measure() {
  const udp_socket sink = Bind();
  Forwarder forwarder(sink.local());
  const flood source(forwarder.local());
  std::this_thread::sleep_for(kRunTime / 4);
  const std::uint64_t before = forwarder.forwarded();
  const steady_clock::time_point start = steady_clock::now();
  std::this_thread::sleep_for(kRunTime);
  const std::uint64_t after = forwarder.forwarded();
  const std::chrono::duration<double> elapsed = steady_clock::now() - start;
  return static_cast<double>(after - before) / elapsed.count();
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

void RunLoopback(std::uint64_t /*seed*/, fakes::bench_report& report) {
  std::vector<double> bare;
  std::vector<double> worker;
  for (int i = 0; i < kRuns; ++i) {
    bare.push_back(Measure<bare_forwarder>());
    worker.push_back(Measure<worker_forwarder>());
  }
  const double bare_rate = Median(bare);
  const double worker_rate = Median(worker);
  report.Show("bare_packets_per_s", bare_rate);
  report.Show("worker_packets_per_s", worker_rate);
  report.AtLeast("worker_to_bare_ratio", worker_rate / bare_rate, kMinRatio);
}

}  // namespace
}  // namespace rosemaryreach

int main(int argc, char** argv) {
  return rosemaryreach::fakes::BenchMain(
      argc, const_cast<const char**>(argv),
      {{"loopback", rosemaryreach::RunLoopback}});
}
