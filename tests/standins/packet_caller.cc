// Stand-in for callers and the fabric: opens TCP flows to services, sends each
// segment to an instance at random, and checks that every answer of a flow
// comes from the target that accepted it. Prints a JSON summary.
// Usage: packet_caller --return ADDR:PORT --instance ADDR:PORT...
//            --service ADDR:PORT=TARGET_PREFIX... [--flows N] [--seconds S]
//            [--per-second N] [--seed N]
#include <poll.h>
#include <popt.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "adapters/udp_socket.h"
#include "standins/tcp_packet.h"

namespace rosemaryreach::standins {
namespace {

using steady_clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kBufferBytes = 1 << 22;
constexpr int kTickMs = 10;
constexpr milliseconds kRetransmitAfter(200);
constexpr milliseconds kSegmentEvery(100);
constexpr int kMaxTries = 40;
constexpr std::uint16_t kFirstPort = 1'024;

struct service_endpoint {
  endpoint address;
  std::string target_prefix;
};

struct caller_options {
  endpoint return_address;
  std::vector<endpoint> instances;
  std::vector<service_endpoint> services;
  int flows = 100;
  int seconds = 1;
  int flows_per_second = 0;
  std::uint64_t seed = 1;
};

enum class flow_state : std::uint8_t { kOpening, kOpen, kReset, kTimedOut };

struct caller_flow {
  std::size_t service = 0;
  endpoint address;
  flow_state state = flow_state::kOpening;
  std::string target;
  int sequence = 0;
  int tries = 0;
  bool awaiting = true;
  steady_clock::time_point next;
};

struct caller_counters {
  std::uint64_t answers = 0;
  std::uint64_t wrong_target = 0;
  std::uint64_t wrong_service = 0;
  std::uint64_t retransmits = 0;
  std::map<std::string, std::uint64_t> resets_by_target;
  std::map<std::string, std::uint64_t> opened_by_target;
};

class packet_caller {
 public:
  packet_caller(caller_options options, udp_socket socket)
      : options_(std::move(options)),
        socket_(std::move(socket)),
        random_(options_.seed) {}

  void Run() {
    for (int i = 0; i < options_.flows; ++i) {
      OpenFlow();
    }
    const steady_clock::time_point start = steady_clock::now();
    const steady_clock::time_point end =
        start + std::chrono::seconds(options_.seconds);
    while (steady_clock::now() < end) {
      OpenDueFlows(steady_clock::now() - start);
      SendDue();
      Receive();
    }
  }

  // Returns the counters. "silent" flows got no answer after all retransmits.
  nlohmann::json Summary() const {
    std::uint64_t opening = 0;
    std::uint64_t timed_out = 0;
    std::uint64_t reset = 0;
    for (const caller_flow& flow : flows_) {
      opening += flow.state == flow_state::kOpening ? 1 : 0;
      timed_out += flow.state == flow_state::kTimedOut ? 1 : 0;
      reset += flow.state == flow_state::kReset ? 1 : 0;
    }
    return {{"flows", flows_.size()},
            {"opening", opening},
            {"reset", reset},
            {"silent", timed_out},
            {"answers", counters_.answers},
            {"retransmits", counters_.retransmits},
            {"wrong_target", counters_.wrong_target},
            {"wrong_service", counters_.wrong_service},
            {"opened_by_target", counters_.opened_by_target},
            {"resets_by_target", counters_.resets_by_target}};
  }

 private:
  void OpenFlow() {
    const std::size_t index = flows_.size();
    caller_flow flow;
    flow.service = index % options_.services.size();
    flow.address = options_.return_address;
    flow.address.address.bytes[14] = static_cast<std::uint8_t>(index >> 15);
    flow.address.port =
        static_cast<std::uint16_t>(kFirstPort + (index & 0x7fff));
    flow.next = steady_clock::now();
    by_address_[flow.address] = index;
    flows_.push_back(flow);
  }

  void OpenDueFlows(steady_clock::duration elapsed) {
    const std::int64_t ms =
        std::chrono::duration_cast<milliseconds>(elapsed).count();
    const std::int64_t due =
        options_.flows + ms * options_.flows_per_second / 1'000;
    while (static_cast<std::int64_t>(flows_.size()) < due) {
      OpenFlow();
    }
  }

  void SendDue() {
    const steady_clock::time_point now = steady_clock::now();
    for (caller_flow& flow : flows_) {
      const bool live =
          flow.state == flow_state::kOpening || flow.state == flow_state::kOpen;
      if (live && flow.next <= now) {
        SendSegment(flow, now);
      }
    }
  }

  void SendSegment(caller_flow& flow, steady_clock::time_point now) {
    if (flow.tries >= kMaxTries) {
      flow.state = flow_state::kTimedOut;
      return;
    }
    counters_.retransmits += flow.tries > 0 ? 1 : 0;
    ++flow.tries;
    flow.awaiting = true;
    flow.next = now + kRetransmitAfter;
    tcp_segment segment{flow.address, options_.services[flow.service].address,
                        kAck, std::to_string(flow.sequence)};
    if (flow.state == flow_state::kOpening) {
      segment.flags = kSyn;
      segment.payload.clear();
    }
    std::uniform_int_distribution<std::size_t> pick(
        0, options_.instances.size() - 1);
    const std::vector<std::uint8_t> packet = EncodeSegment(segment);
    send_batch sending(socket_.fd());
    sending.Add(0, packet, options_.instances[pick(random_)]);
    sending.Flush();
  }

  void Receive() {
    pollfd polled{socket_.fd(), POLLIN, 0};
    if (poll(&polled, 1, kTickMs) <= 0) {
      return;
    }
    for (const datagram& received : batch_.Receive(socket_.fd())) {
      const std::optional<tcp_segment> segment = DecodeSegment(received.bytes);
      if (segment && by_address_.contains(segment->to)) {
        OnAnswer(flows_[by_address_[segment->to]], *segment);
      }
    }
  }

  void OnAnswer(caller_flow& flow, const tcp_segment& segment) {
    if ((segment.flags & kRst) != 0) {
      if (flow.state != flow_state::kReset) {
        ++counters_.resets_by_target[flow.target];
        flow.state = flow_state::kReset;
      }
      return;
    }
    const std::string target =
        segment.payload.substr(0, segment.payload.find(' '));
    const std::string& prefix = options_.services[flow.service].target_prefix;
    counters_.wrong_service += target.starts_with(prefix) ? 0 : 1;
    if ((segment.flags & kSyn) != 0) {
      Accept(flow, target);
    } else if (segment.payload ==
               flow.target + " " + std::to_string(flow.sequence)) {
      Advance(flow);
    } else if (target != flow.target) {
      ++counters_.wrong_target;
    }
  }

  void Accept(caller_flow& flow, const std::string& target) {
    if (flow.state == flow_state::kOpening) {
      flow.state = flow_state::kOpen;
      flow.target = target;
      ++counters_.opened_by_target[target];
      Advance(flow);
    } else if (flow.target != target) {
      ++counters_.wrong_target;
    }
  }

  void Advance(caller_flow& flow) {
    ++counters_.answers;
    ++flow.sequence;
    flow.tries = 0;
    flow.awaiting = false;
    flow.next = steady_clock::now() + kSegmentEvery;
  }

  caller_options options_;
  udp_socket socket_;
  std::mt19937_64 random_;
  receive_batch batch_;
  std::vector<caller_flow> flows_;
  std::map<endpoint, std::size_t> by_address_;
  caller_counters counters_;
};

result<service_endpoint> ParseService(std::string_view text) {
  const std::size_t equals = text.find('=');
  if (equals == std::string_view::npos) {
    return Fail(errc::kInvalidAddress, "expected ADDR:PORT=TARGET_PREFIX");
  }
  BOOST_OUTCOME_TRY(address, ParseEndpoint(text.substr(0, equals)));
  return service_endpoint{address, std::string(text.substr(equals + 1))};
}

enum option_code : int { kReturn = 1, kInstance, kService };

// Applies one repeatable option to `options`.
result<void> ApplyOption(int code,
                         std::string_view text,
                         caller_options& options) {
  if (code == kService) {
    BOOST_OUTCOME_TRY(service, ParseService(text));
    options.services.push_back(service);
    return success();
  }
  BOOST_OUTCOME_TRY(address, ParseEndpoint(text));
  if (code == kReturn) {
    options.return_address = address;
  } else {
    options.instances.push_back(address);
  }
  return success();
}

result<caller_options> ParseOptions(int argc, const char** argv) {
  caller_options options;
  char* text = nullptr;
  long seed = 1;
  const std::vector<poptOption> table = {
      {"return", 'r', POPT_ARG_STRING, &text, kReturn,
       "address for replies; inner caller address", "ADDR:PORT"},
      {"instance", 'i', POPT_ARG_STRING, &text, kInstance,
       "packet port of an instance", "ADDR:PORT"},
      {"service", 's', POPT_ARG_STRING, &text, kService,
       "service address and the prefix of its targets", "ADDR:PORT=PREFIX"},
      {"flows", 'f', POPT_ARG_INT, &options.flows, 0, "flows at start", "N"},
      {"seconds", 't', POPT_ARG_INT, &options.seconds, 0, "run time", "S"},
      {"per-second", 'p', POPT_ARG_INT, &options.flows_per_second, 0,
       "new flows a second", "N"},
      {"seed", 0, POPT_ARG_LONG, &seed, 0, "random seed", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("packet_caller", argc, argv, table.data(), 0);
  int code = 0;
  while ((code = poptGetNextOpt(context)) > 0) {
    BOOST_OUTCOME_TRYV(ApplyOption(code, text, options));
  }
  poptFreeContext(context);
  options.seed = static_cast<std::uint64_t>(seed);
  if (code != -1 || options.instances.empty() || options.services.empty()) {
    return Fail(errc::kUnsupported,
                "--return, --instance and --service are required");
  }
  return options;
}

int Run(int argc, const char** argv) {
  const result<caller_options> options = ParseOptions(argc, argv);
  if (!options) {
    std::fprintf(stderr, "packet_caller: %s\n",
                 FormatError(options.error()).c_str());
    return 2;
  }
  result<udp_socket> socket = udp_socket::Bind(
      options.value().return_address, port_sharing::kExclusive, kBufferBytes);
  if (!socket) {
    std::fprintf(stderr, "packet_caller: %s\n",
                 FormatError(socket.error()).c_str());
    return 2;
  }
  packet_caller caller(options.value(), std::move(socket.value()));
  caller.Run();
  std::puts(caller.Summary().dump().c_str());
  return 0;
}

}  // namespace
}  // namespace rosemaryreach::standins

int main(int argc, char** argv) {
  return rosemaryreach::standins::Run(argc, const_cast<const char**>(argv));
}
