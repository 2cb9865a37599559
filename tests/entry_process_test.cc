// Tests of the rosemaryreach-entry executable.
#include "standins/entry_process.h"

#include <sys/stat.h>

#include <catch2/catch.hpp>

#include "standins/entry_testbed.h"
#include "temporary_directory.h"

namespace rosemaryreach {
namespace {

// Runs one process in a testbed; its output goes to the file `log`.
class process_fixture {
 public:
  explicit process_fixture(const std::string& log)
      : testbed_(loop_, 1, 1, 1), log_(directory_.path() + "/" + log) {
    testbed_.PublishConfiguration();
    for (const char* service : {"ledger", "files"}) {
      testbed_.AddTarget(service, "dc-a");
    }
  }

  void Start() {
    process_ = std::make_unique<entry_process>(
        ROSEMARYREACH_ENTRY, testbed_.WriteSettings(0, directory_.path()),
        log_);
    REQUIRE(Until([this] { return testbed_.fabric().ready() == 1; }));
  }

  bool Until(const std::function<bool()>& done) {
    const time_point end = loop_.now() + std::chrono::minutes(1);
    while (!done() && loop_.now() < end) {
      loop_.RunOnce();
    }
    return done();
  }

  // Keeps up to eight flows open until `answered` more calls are answered.
  bool RunUntilAnswered(std::uint64_t answered) {
    const std::uint64_t before = testbed_.counts().answered;
    return Until([&] {
      if (testbed_.open_flows() < 8) {
        testbed_.OpenFlow();
      }
      return testbed_.counts().answered >= before + answered;
    });
  }

  event_loop& loop() { return loop_; }
  entry_testbed& testbed() { return testbed_; }
  entry_process& process() { return *process_; }
  std::string log() const { return log_ + ".1.log"; }

 private:
  event_loop loop_;
  temporary_directory directory_;
  entry_testbed testbed_;
  std::string log_;
  std::unique_ptr<entry_process> process_;
};

TEST_CASE("Output that is not read blocks neither flows nor the exit") {
  process_fixture fixture("pipe");
  REQUIRE(mkfifo(fixture.log().c_str(), 0600) == 0);
  fixture.Start();
  // Each flow to an unknown address is logged; together the lines exceed the
  // capacity of a pipe.
  bool ended = false;
  for (int i = 0; i < 2'000; ++i) {
    fixture.testbed().OpenCall({0xC6120009, 1}, {"none"},
                               [&ended](const call_report&) { ended = true; });
  }
  REQUIRE(fixture.Until([&ended] { return ended; }));
  CHECK(fixture.RunUntilAnswered(200));
  fixture.process().Signal(SIGTERM);
  REQUIRE(fixture.Until([&] { return fixture.process().Ended(); }));
  CHECK_FALSE(fixture.process().ended_abnormally());
}

TEST_CASE("A graceful stop answers all flows and exits with success") {
  process_fixture fixture("log");
  fixture.Start();
  REQUIRE(fixture.RunUntilAnswered(20));
  fixture.process().Signal(SIGTERM);
  REQUIRE(fixture.Until([&] { return fixture.process().Ended(); }));
  CHECK_FALSE(fixture.process().ended_abnormally());
  CHECK(fixture.testbed().counts().reset_open == 0);
  CHECK(fixture.testbed().violations().empty());
}

// Packets in the buffer of the socket were lost with the process, for example
// when it waited for the processor as its grace period ended.
TEST_CASE("Packets that wait when the grace period ends are forwarded") {
  constexpr std::uint16_t kFlows = 3'000;
  process_fixture fixture("log");
  fixture.Start();
  udp_socket sender =
      std::move(udp_socket::Bind({UniqueLoopbackAddress(), 0},
                                 port_sharing::kExclusive, 1'000'000)
                    .value());
  endpoint to = fixture.testbed().ControlAddress(0);
  to.port = kPacketPort;
  const auto open = [&](std::uint16_t port) {
    wire_packet packet;
    packet.flags = kWireSyn;
    packet.from_address = 0x7F000001;
    packet.from_port = port;
    packet.to_address = 0xC6120001;
    packet.to_port = 8443;
    SendTo(sender.fd(), to, EncodeWirePacket(packet, {}));
  };
  const auto run_for = [&](std::int64_t ms) {
    const time_point end = MonotonicNow() + std::chrono::milliseconds(ms);
    loop_timer tick(fixture.loop(), [] {});
    tick.StartEvery(std::chrono::milliseconds(5));
    fixture.Until([&] { return MonotonicNow() >= end; });
  };
  fixture.process().Signal(SIGTERM);
  for (int i = 0; i < 49; ++i) {  // keeps the instance from ending early
    open(1);
    run_for(100);
  }
  fixture.process().Signal(SIGSTOP);
  for (std::uint16_t port = 1; port <= kFlows; ++port) {
    open(port);
  }
  run_for(500);
  fixture.process().Signal(SIGCONT);
  REQUIRE(fixture.Until([&] { return fixture.process().Ended(); }));
  run_for(200);
  CHECK_FALSE(fixture.process().ended_abnormally());
  std::size_t flows = 0;
  for (const auto& [id, target] : fixture.testbed().targets()) {
    flows += target->flows();
  }
  CHECK(flows == kFlows);
}

TEST_CASE("Malformed datagrams do not end the process") {
  process_fixture fixture("log");
  fixture.Start();
  std::mt19937 random(1);
  udp_socket sender =
      std::move(udp_socket::Bind({UniqueLoopbackAddress(), 0},
                                 port_sharing::kExclusive, 1'000'000)
                    .value());
  for (int i = 0; i < 5'000; ++i) {
    std::string bytes(random() % 200, '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(random());
    }
    endpoint to = fixture.testbed().ControlAddress(0);
    to.port = i % 2 == 0 ? kPacketPort : kPeerPort;
    SendTo(sender.fd(), to, bytes);
  }
  CHECK(fixture.RunUntilAnswered(20));
  CHECK_FALSE(fixture.process().Ended());
}

}  // namespace
}  // namespace rosemaryreach
