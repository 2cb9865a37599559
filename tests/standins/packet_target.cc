// Stand-in for the targets of a packet service: decapsulates IP-in-UDP,
// answers each TCP segment with its own name, directly to the caller.
// Usage: packet_target --reply-to ADDR:PORT NAME=ADDR:PORT...
#include <poll.h>
#include <popt.h>
#include <sys/signalfd.h>

#include <csignal>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "adapters/udp_socket.h"
#include "standins/tcp_packet.h"

namespace rosemaryreach::standins {
namespace {

constexpr int kBufferBytes = 1 << 22;

using flow = std::pair<endpoint, endpoint>;

// One target: its socket and the connections that it has accepted.
class packet_target {
 public:
  packet_target(std::string name, udp_socket socket, endpoint reply_to)
      : name_(std::move(name)),
        socket_(std::move(socket)),
        reply_to_(reply_to) {}

  int fd() const { return socket_.fd(); }

  void Receive(receive_batch& batch) {
    send_batch replies(socket_.fd());
    for (const datagram& received : batch.Receive(socket_.fd())) {
      const std::optional<tcp_segment> segment = DecodeSegment(received.bytes);
      if (segment) {
        Answer(*segment, replies);
      }
    }
  }

  nlohmann::json Summary() const {
    return {{"target", name_},
            {"accepted", accepted_},
            {"open", flows_.size()},
            {"segments", segments_},
            {"resets", resets_}};
  }

 private:
  void Answer(const tcp_segment& segment, send_batch& replies) {
    ++segments_;
    const flow key(segment.from, segment.to);
    tcp_segment reply{segment.to, segment.from, kAck, name_};
    if ((segment.flags & kSyn) != 0) {
      accepted_ += flows_.insert(key).second ? 1 : 0;
      reply.flags = kSyn | kAck;
    } else if (!flows_.contains(key)) {
      ++resets_;
      reply.flags = kRst;
    } else if ((segment.flags & kFin) != 0) {
      flows_.erase(key);
      reply.flags = kFin | kAck;
    } else {
      reply.payload += " " + segment.payload;
    }
    const std::vector<std::uint8_t> packet = EncodeSegment(reply);
    replies.Add(0, packet, reply_to_);
    replies.Flush();
  }

  std::string name_;
  udp_socket socket_;
  endpoint reply_to_;
  std::set<flow> flows_;
  std::uint64_t accepted_ = 0;
  std::uint64_t segments_ = 0;
  std::uint64_t resets_ = 0;
};

// Parses NAME=ADDR:PORT and binds the socket of the target.
result<packet_target> OpenTarget(std::string_view text, endpoint reply_to) {
  const std::size_t equals = text.find('=');
  if (equals == std::string_view::npos) {
    return Fail(errc::kInvalidAddress, "expected NAME=ADDR:PORT");
  }
  BOOST_OUTCOME_TRY(local, ParseEndpoint(text.substr(equals + 1)));
  BOOST_OUTCOME_TRY(
      socket, udp_socket::Bind(local, port_sharing::kExclusive, kBufferBytes));
  return packet_target(std::string(text.substr(0, equals)), std::move(socket),
                       reply_to);
}

int OpenSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  return signalfd(-1, &signals, SFD_CLOEXEC);
}

void Serve(std::vector<packet_target>& targets) {
  std::vector<pollfd> polled;
  polled.reserve(targets.size() + 1);
  for (const packet_target& target : targets) {
    polled.push_back({target.fd(), POLLIN, 0});
  }
  polled.push_back({OpenSignals(), POLLIN, 0});
  receive_batch batch;
  while (polled.back().revents == 0) {
    poll(polled.data(), polled.size(), -1);
    for (std::size_t i = 0; i < targets.size(); ++i) {
      if (polled[i].revents != 0) {
        targets[i].Receive(batch);
      }
    }
  }
}

int Run(int argc, const char** argv) {
  char* reply_text = nullptr;
  const std::vector<poptOption> options = {
      {"reply-to", 'r', POPT_ARG_STRING, &reply_text, 0,
       "address for replies to callers", "ADDR:PORT"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("packet_target", argc, argv, options.data(), 0);
  const int parsed = poptGetNextOpt(context);
  const result<endpoint> reply_to =
      ParseEndpoint(reply_text == nullptr ? "" : reply_text);
  if (parsed != -1 || !reply_to) {
    std::fprintf(stderr, "packet_target: --reply-to ADDR:PORT is required\n");
    return 2;
  }
  std::vector<packet_target> targets;
  while (const char* argument = poptGetArg(context)) {
    result<packet_target> opened = OpenTarget(argument, reply_to.value());
    if (!opened) {
      std::fprintf(stderr, "packet_target: %s\n",
                   FormatError(opened.error()).c_str());
      return 2;
    }
    targets.push_back(std::move(opened.value()));
  }
  poptFreeContext(context);
  Serve(targets);
  for (const packet_target& target : targets) {
    std::puts(target.Summary().dump().c_str());
  }
  return 0;
}

}  // namespace
}  // namespace rosemaryreach::standins

int main(int argc, char** argv) {
  return rosemaryreach::standins::Run(argc, const_cast<const char**>(argv));
}
