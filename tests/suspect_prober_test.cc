#include "entryd/suspect_prober.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "entry_fixture.h"
#include "http_server_fixture.h"
#include "loopback_address.h"

namespace rosemaryreach {
namespace {

// A prober with one target and no callers.
struct suspect_prober_fixture {
  // Adds a target that listens at `address`.
  target_index Add(const endpoint& address) {
    record = Target("l1", 1);
    record.address = ToIpv4Endpoint(address);
    return entry.Add(record, BootTimeNow());
  }

  bool Until(const std::function<bool()>& done) {
    loop_timer tick(loop, [this] { prober.Tick(); });
    tick.StartEvery(std::chrono::milliseconds(5));
    const time_point end = loop.now() + std::chrono::minutes(1);
    while (!done() && loop.now() < end) {
      loop.RunOnce();
    }
    return done();
  }

  // Marks the target as suspected in the tracker and the prober.
  void MarkSuspected(target_index target) {
    entry.tracker.MarkSuspected(target, "test");
    prober.OnSuspected(target, "test");
  }

  const target_status& status(target_index target) const {
    return entry.tracker.StatusOf(target);
  }

  event_loop loop;
  entry_fixture entry;
  target_record record;
  null_log_sink silent;
  entry_log log{silent};
  std::unique_ptr<metrics_registry> registry = MakeMetricsRegistry();
  entry_metrics metrics{*registry};
  bool process_late = false;
  std::vector<target_index> unreachable_targets;
  std::vector<target_index> reached_targets;
  suspect_prober prober{
      loop,
      entry.directory,
      entry.tracker,
      [this] { return process_late; },
      [this](target_index target) { unreachable_targets.push_back(target); },
      [this](target_index target) { reached_targets.push_back(target); },
      log,
      metrics};
};

TEST_CASE("A target whose port answers is no longer suspected") {
  suspect_prober_fixture fixture;
  const http_server_fixture server(
      fixture.loop, [](const std::string&) { return scripted_reply{}; });
  const target_index target = fixture.Add(server.address());
  fixture.MarkSuspected(target);
  CHECK(fixture.Until([&] { return !fixture.status(target).suspected; }));
  CHECK(fixture.reached_targets == std::vector<target_index>{target});
  CHECK(fixture.unreachable_targets.empty());
}

TEST_CASE("A target that refuses connections is reported unreachable once") {
  suspect_prober_fixture fixture;
  const target_index target = fixture.Add({UniqueLoopbackAddress(), 9});
  fixture.MarkSuspected(target);
  CHECK(fixture.Until([&] { return !fixture.unreachable_targets.empty(); }));
  CHECK(
      fixture.Until([&] { return fixture.status(target).failed_probes >= 5; }));
  CHECK(fixture.unreachable_targets.size() == 1);
}

TEST_CASE("Failed probes are not counted while the process runs late") {
  suspect_prober_fixture fixture;
  fixture.process_late = true;
  const target_index target = fixture.Add({UniqueLoopbackAddress(), 9});
  fixture.MarkSuspected(target);
  REQUIRE(fixture.Until([&] { return fixture.metrics.probes.value() >= 2; }));
  CHECK(fixture.status(target).failed_probes == 0);
}

TEST_CASE(
    "Failed probes report no target while most suspicions are disproved") {
  suspect_prober_fixture fixture;
  const target_index target = fixture.Add({UniqueLoopbackAddress(), 9});
  const target_index full = fixture.entry.Add(Target("l2", 2), BootTimeNow());
  fixture.MarkSuspected(target);
  const time_point end = BootTimeNow() + std::chrono::milliseconds(900);
  fixture.Until([&] {
    fixture.entry.tracker.Open(Flow(1), full,
                               BootTimeNow() - kOpenAnswerTimeout);
    fixture.entry.tracker.CheckOpenTimeout(full, BootTimeNow());
    fixture.entry.tracker.OnProbeResult(full, probe_outcome::kReached,
                                        BootTimeNow());
    fixture.entry.tracker.Drop(Flow(1));
    return BootTimeNow() >= end;
  });
  CHECK(fixture.status(target).failed_probes > kUnreachableProbes);
  CHECK(fixture.unreachable_targets.empty());
}

TEST_CASE("The number of probes is limited") {
  suspect_prober_fixture fixture;
  const http_server_fixture server(
      fixture.loop, [](const std::string&) { return scripted_reply{}; });
  const target_index target = fixture.Add(server.address());
  const time_point end = BootTimeNow() + std::chrono::seconds(1);
  fixture.Until([&] {
    fixture.MarkSuspected(target);
    return BootTimeNow() >= end || fixture.metrics.deferred_probes.value() > 0;
  });
  CHECK(static_cast<double>(fixture.metrics.probes.value()) <=
        kProbeBurst + kProbesPerSecond);
}

TEST_CASE("A gone, unreachable target is not probed until it is listed again") {
  suspect_prober_fixture fixture;
  const target_index target = fixture.Add({UniqueLoopbackAddress(), 9});
  fixture.entry.Drain(fixture.record, BootTimeNow());
  fixture.entry.Remove("l1", BootTimeNow());
  fixture.MarkSuspected(target);
  REQUIRE(fixture.Until([&] { return !fixture.unreachable_targets.empty(); }));
  const std::uint64_t probes = fixture.metrics.probes.value();
  for (int i = 0; i < 50; ++i) {
    fixture.prober.Tick();
  }
  CHECK(fixture.metrics.probes.value() == probes);
  const http_server_fixture server(
      fixture.loop, [](const std::string&) { return scripted_reply{}; });
  fixture.record.address = ToIpv4Endpoint(server.address());
  fixture.entry.Add(fixture.record, BootTimeNow());
  CHECK(fixture.Until([&] { return !fixture.status(target).suspected; }));
}

// Targets of a cut data centre are probed at a limited rate.
TEST_CASE("All targets of a cut are trusted again soon after it ends") {
  constexpr std::size_t kTargets = 300;
  suspect_prober_fixture fixture;
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const endpoint any{UniqueLoopbackAddress(), 0};
  socket_address local = ToSocketAddress(any);
  REQUIRE(bind(listener, local.get(), local.size) == 0);
  REQUIRE(getsockname(listener, local.get(), &local.size) == 0);
  const std::uint16_t port =
      ntohs(reinterpret_cast<sockaddr_in*>(local.get())->sin_port);
  std::vector<target_index> targets;
  for (std::size_t i = 0; i < kTargets; ++i) {
    target_record record = Target("l" + std::to_string(i), 1);
    record.address = ToIpv4Endpoint({any.address, port});
    targets.push_back(fixture.entry.Add(record, BootTimeNow()));
    fixture.MarkSuspected(targets.back());
  }
  REQUIRE(fixture.Until(
      [&] { return fixture.unreachable_targets.size() == kTargets; }));
  REQUIRE(listen(listener, 1'024) == 0);
  const time_point ended = BootTimeNow();
  CHECK(fixture.Until([&] {
    return std::none_of(targets.begin(), targets.end(), [&](target_index one) {
      return fixture.status(one).suspected;
    });
  }));
  CHECK(BootTimeNow() - ended < std::chrono::milliseconds(1'500));
  close(listener);
}

}  // namespace
}  // namespace rosemaryreach
