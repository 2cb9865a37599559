// Plays starts of rosemaryreach-entry against stand-ins of the store and of
// targets: processor time and elapsed time from the start of the process to its
// first call to the store, and to the first packet that reaches a target.
#include <popt.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "standins/entry_process.h"
#include "standins/entry_testbed.h"
#include "temporary_directory.h"

namespace rosemaryreach {
namespace {

constexpr duration kTimeout = std::chrono::seconds(10);
// Between two first packets. Those sent before the process has a socket are
// lost.
constexpr duration kPacketPeriod = std::chrono::microseconds(500);
constexpr std::size_t kPageItems = 500;
constexpr double kMicrosPerMilli = 1e3;
constexpr double kNanosPerMilli = 1e6;

struct start_options {
  std::string program = "build/bin/rosemaryreach-entry";
  int starts = 20;
};

struct fleet_size {
  int targets;
  int routes;
};

// Times of one start, in milliseconds.
struct start_times {
  double processor_to_store = 0;
  double processor = 0;  // to the first packet at a target
  double elapsed = 0;
};

double ElapsedMillis(time_point since) {
  return static_cast<double>((MonotonicNow() - since).count()) /
         kMicrosPerMilli;
}

// Returns the processor time of a process so far, in milliseconds, from the
// scheduler's statistics of its threads.
double ProcessorMillis(pid_t pid) {
  double nanos = 0;
  const std::string tasks = "/proc/" + std::to_string(pid) + "/task";
  for (const auto& task : std::filesystem::directory_iterator(tasks)) {
    std::ifstream file(task.path() / "schedstat");
    double thread_nanos = 0;
    file >> thread_nanos;
    nanos += thread_nanos;
  }
  return nanos / kNanosPerMilli;
}

std::string Configuration(int routes) {
  nlohmann::json list = nlohmann::json::array();
  for (int i = 0; i < routes; ++i) {
    list.push_back({{"name", "route-" + std::to_string(i)},
                    {"host", "198.18.0." + std::to_string(1 + i / 100)},
                    {"prefix", "/" + std::to_string(8'000 + i % 100) + "/"},
                    {"type", "idempotent"},
                    {"service", "ledger"},
                    {"sloMs", 250},
                    {"priority", 1},
                    {"timeoutMs", 2'500}});
  }
  return nlohmann::json{{"version", 1},
                        {"routes", std::move(list)},
                        {"services", {{{"name", "ledger"}}}}}
      .dump();
}

// One process among stand-ins, started again and again.
class start_player {
 public:
  start_player(const fleet_size& size, const start_options& options)
      : options_(options),
        testbed_(loop_, 1, 1, 1),
        sender_(std::move(udp_socket::Bind({UniqueLoopbackAddress(), 0},
                                           port_sharing::kExclusive,
                                           0)
                              .value())) {
    testbed_.store().SetPageItems(kPageItems);
    testbed_.store().Put("op/config", Configuration(size.routes));
    for (int i = 0; i < size.targets; ++i) {
      testbed_.AddTarget("ledger", "dc-a");
    }
  }

  // Plays a start; returns nothing if no packet reaches a target in time.
  std::optional<start_times> Play() {
    const std::string settings = testbed_.WriteSettings(0, directory_.path());
    const std::uint64_t calls = testbed_.store().calls();
    const std::size_t flows = Flows();
    loop_timer packets(loop_, [this] { OpenFlow(); });
    packets.StartEvery(kPacketPeriod);
    const time_point began = MonotonicNow();
    entry_process process(options_.program, settings,
                          directory_.path() + "/start");
    start_times times;
    if (!Until([&] { return testbed_.store().calls() > calls; })) {
      return std::nullopt;
    }
    times.processor_to_store = ProcessorMillis(process.pid());
    if (!Until([&] { return Flows() > flows; })) {
      return std::nullopt;
    }
    times.processor = ProcessorMillis(process.pid());
    times.elapsed = ElapsedMillis(began);
    return times;
  }

 private:
  bool Until(const std::function<bool()>& done) {
    const time_point end = MonotonicNow() + kTimeout;
    while (!done() && MonotonicNow() < end) {
      loop_.RunOnce();
    }
    return done();
  }

  std::size_t Flows() {
    std::size_t flows = 0;
    for (const auto& [id, target] : testbed_.targets()) {
      flows += target->flows();
    }
    return flows;
  }

  void OpenFlow() {
    wire_packet packet;
    packet.flags = kWireSyn;
    packet.from_address = 0x7F000001;
    packet.from_port = ++port_;
    packet.to_address = 0xC6120001;
    packet.to_port = 8'001;
    endpoint to = testbed_.ControlAddress(0);
    to.port = kPacketPort;
    SendTo(sender_.fd(), to, EncodeWirePacket(packet, {}));
  }

  start_options options_;
  event_loop loop_;
  temporary_directory directory_;
  entry_testbed testbed_;
  udp_socket sender_;
  std::uint16_t port_ = 0;
};

// Returns the value below which this share of the values lies.
double Quantile(std::vector<double> values, double share) {
  std::sort(values.begin(), values.end());
  const double last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(last * share)];
}

void Report(const std::string& metric, const std::vector<double>& values) {
  std::printf("  %-32s median %6.2f ms, p99 %6.2f ms\n", metric.c_str(),
              Quantile(values, 0.5), Quantile(values, 0.99));
}

bool PlayStarts(const fleet_size& size, const start_options& options) {
  start_player player(size, options);
  std::vector<double> to_store;
  std::vector<double> processor;
  std::vector<double> elapsed;
  for (int i = 0; i < options.starts; ++i) {
    const std::optional<start_times> times = player.Play();
    if (!times) {
      std::printf("%s: no packet reached a target within 10 s\n",
                  options.program.c_str());
      return false;
    }
    to_store.push_back(times->processor_to_store);
    processor.push_back(times->processor);
    elapsed.push_back(times->elapsed);
  }
  std::printf("%d targets, %d routes, %d starts\n", size.targets, size.routes,
              options.starts);
  Report("processor time to store call", to_store);
  Report("processor time to first packet", processor);
  Report("elapsed time to first packet", elapsed);
  return true;
}

}  // namespace
}  // namespace rosemaryreach

int main(int argc, const char** argv) {
  rosemaryreach::start_options options;
  char* program = nullptr;
  const std::vector<poptOption> table = {
      {"program", 'p', POPT_ARG_STRING, &program, 0,
       "rosemaryreach-entry to start; default: that of build/bin", "FILE"},
      {"starts", 'n', POPT_ARG_INT, &options.starts, 0,
       "starts of each size; default: 20", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("bench_start", argc, argv, table.data(), 0);
  const int parsed = poptGetNextOpt(context);
  poptFreeContext(context);
  if (parsed != -1 || options.starts < 1) {
    std::fprintf(stderr, "bench_start: invalid arguments; see --help\n");
    return 2;
  }
  if (program != nullptr) {
    options.program = program;
    std::free(program);
  }
  const std::vector<rosemaryreach::fleet_size> sizes = {
      {20, 10}, {20, 400}, {150, 40}, {1'000, 40}};
  for (const rosemaryreach::fleet_size& size : sizes) {
    if (!rosemaryreach::PlayStarts(size, options)) {
      return 1;
    }
  }
  return 0;
}
