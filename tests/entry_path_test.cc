// End-to-end tests over real sockets: store, instances, targets and callers.
#include <algorithm>
#include <csignal>

#include "adapters/http_get.h"
#include "entry_path_fixture.h"
#include "odd_entries.h"

namespace rosemaryreach {
namespace {

TEST_CASE("Flows are answered through any of three instances") {
  entry_path_fixture fixture(3);
  for (std::size_t i = 0; i < 3; ++i) {
    fixture.Start(i);
  }
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.testbed().fabric().ready() == 3; }));
  REQUIRE(fixture.RunFlows(100));
  CHECK(fixture.testbed().violations().empty());
  CHECK(fixture.testbed().counts().answered > 100);
  CHECK(fixture.testbed().counts().reset_open == 0);
}

TEST_CASE(
    "Open flows survive the drain of their target and the end of an instance") {
  entry_path_fixture fixture(3);
  for (std::size_t i = 0; i < 3; ++i) {
    fixture.Start(i);
  }
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.testbed().fabric().ready() == 3; }));
  entry_testbed& testbed = fixture.testbed();
  for (int i = 0; i < 40; ++i) {
    testbed.OpenFlow();
  }
  REQUIRE(fixture.RunUntil([&] { return testbed.counts().answered > 40; }));
  testbed.targets().begin()->second->Drain();
  fixture.Stop(2);
  REQUIRE(fixture.RunUntil([&] { return testbed.open_flows() == 0; }));
  CHECK(testbed.violations().empty());
  CHECK(testbed.counts().reset_open == 0);
  CHECK(testbed.counts().reset_opening == 0);
}

TEST_CASE("A new instance gets its view from peers while the store hangs") {
  entry_path_fixture fixture(3);
  fixture.Start(0);
  fixture.Start(1);
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.testbed().fabric().ready() == 2; }));
  fixture.testbed().store().SetFault(store_fault::kSilent);
  fixture.Start(2);
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.testbed().fabric().ready() == 3; }));
  REQUIRE(fixture.RunFlows(50));
  CHECK(fixture.testbed().violations().empty());
}

// Flows of targets that lost power, whose callers send their next request when
// `next_request` ms have passed.
struct idle_flows {
  idle_flows(entry_path_fixture& fixture, std::int64_t next_request) {
    entry_testbed& testbed = fixture.testbed();
    for (std::size_t i = 0; i < kFlows; ++i) {
      testbed.OpenCall(
          {0xC6120001, 8443}, {"ledger watch 1", "ledger watch 2"},
          [this](const call_report& report) { ++outcomes[report.outcome]; },
          std::chrono::milliseconds(next_request));
    }
    REQUIRE(fixture.RunUntil(
        [&] { return outcomes[call_outcome::kAnswered] == kFlows; }));
  }

  static void ReplaceTargets(entry_path_fixture& fixture, bool same_address) {
    std::vector<std::string> ids;
    for (const auto& [id, target] : fixture.testbed().targets()) {
      if (target->options().service == "ledger") {
        ids.push_back(id);
      }
    }
    for (const std::string& id : ids) {
      fixture.testbed().ReplaceTarget(id, same_address);
    }
  }

  static constexpr std::size_t kFlows = 40;
  std::map<call_outcome, std::size_t> outcomes;
};

// Their addresses are those of other targets, which would reset the flows.
TEST_CASE("Flows of targets that left reach no target at their addresses") {
  entry_path_fixture fixture(2);
  entry_testbed& testbed = fixture.testbed();
  fixture.Start(0);
  REQUIRE(fixture.RunUntil([&] { return testbed.fabric().ready() == 1; }));
  idle_flows flows(fixture, 3'000);
  idle_flows::ReplaceTargets(fixture, true);
  fixture.Start(1);
  REQUIRE(fixture.RunUntil([&] { return testbed.fabric().ready() == 2; }));
  REQUIRE(fixture.RunUntil([&] { return testbed.open_flows() == 0; }));
  CHECK(flows.outcomes[call_outcome::kReset] == 0);
  CHECK(flows.outcomes[call_outcome::kTimeout] == idle_flows::kFlows);
}

// All instances have restarted, and the store has dropped its history.
TEST_CASE("Flows of targets that no instance knows are left to their callers") {
  entry_path_fixture fixture(1);
  entry_testbed& testbed = fixture.testbed();
  fixture.Start(0);
  REQUIRE(fixture.RunUntil([&] { return testbed.fabric().ready() == 1; }));
  idle_flows flows(fixture, 5'000);
  fixture.Stop(0);
  idle_flows::ReplaceTargets(fixture, false);
  testbed.store().Compact();
  fixture.Start(0);
  REQUIRE(fixture.RunUntil([&] { return testbed.open_flows() == 0; }));
  CHECK(flows.outcomes[call_outcome::kTimeout] == idle_flows::kFlows);
  CHECK_FALSE(fixture.FindLogLine(0, {{"rule", "unknown_cookie"}}).is_null());
}

TEST_CASE("An instance without a view serves none to peers") {
  entry_path_fixture fixture(1);
  fixture.testbed().store().SetFault(store_fault::kSilent);
  fixture.Start(0);
  http_get_client getter(fixture.loop(), fixture.testbed().ControlAddress(0),
                         1'000);
  int status = 0;
  getter.Get("/v1/items?after=0", std::chrono::seconds(10),
             [&status](const result<http_reply>& reply) {
               status = reply.value().status;
             });
  REQUIRE(fixture.RunUntil([&status] { return status != 0; }));
  CHECK(status == 503);
}

TEST_CASE("A store that compacted its history is listed again") {
  entry_path_fixture fixture(1);
  fixture.Start(0);
  entry_testbed& testbed = fixture.testbed();
  REQUIRE(fixture.RunUntil([&] { return testbed.fabric().ready() == 1; }));
  testbed.store().SetFault(store_fault::kUnavailable);
  const std::uint64_t calls = testbed.store().calls();
  REQUIRE(
      fixture.RunUntil([&] { return testbed.store().calls() >= calls + 2; }));
  testbed.PublishConfiguration();
  const std::string added = testbed.AddTarget("ledger", "dc-a");
  testbed.store().Compact();
  testbed.store().SetFault(store_fault::kNone);
  bool used = false;
  REQUIRE(fixture.RunUntil([&] {
    static int turn = 0;
    if (++turn % 50 == 0) {
      testbed.OpenFlow();
    }
    used = used || testbed.targets().at(added)->flows() > 0;
    return used;
  }));
  CHECK(testbed.violations().empty());
}

// Revisions are given out again: without eras the instances would ignore all
// changes until the store has passed the revision that they know.
TEST_CASE("A store that comes back from a copy is followed at once") {
  entry_path_fixture fixture(3);
  for (std::size_t i = 0; i < 3; ++i) {
    fixture.Start(i);
  }
  entry_testbed& testbed = fixture.testbed();
  REQUIRE(fixture.RunUntil([&] { return testbed.fabric().ready() == 3; }));
  // Raises the revision far beyond what is written after the restore.
  for (int i = 0; i < 500; ++i) {
    testbed.store().Put("op/other", "x");
  }
  const time_point written = fixture.loop().now();
  REQUIRE(fixture.RunUntil([&] {
    return fixture.loop().now() - written >= std::chrono::seconds(1);
  }));
  testbed.RestoreStore(std::chrono::seconds(30));
  const std::string added = testbed.AddTarget("ledger", "dc-a");
  const time_point restored = fixture.loop().now();
  bool used = false;
  REQUIRE(fixture.RunUntil([&] {
    // Fewer flows may miss the target for seconds though it is in use.
    if (testbed.open_flows() < 24) {
      testbed.OpenFlow();
    }
    used = used || testbed.targets().at(added)->flows() > 0;
    return used;
  }));
  CHECK(fixture.loop().now() - restored < std::chrono::seconds(5));
  CHECK(testbed.violations().empty());
  CHECK(testbed.counts().reset_open == 0);
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK_FALSE(fixture.FindLogLine(i, {{"outcome", "new_era"}}).is_null());
  }
}

// Returns whether all log lines of instance `i` are bounded.
bool LinesAreBounded(entry_path_fixture& fixture, std::size_t i) {
  const std::vector<nlohmann::json> lines = fixture.LogLines(i);
  return std::all_of(lines.begin(), lines.end(),
                     [](const nlohmann::json& line) {
                       return line.dump().size() < 2 * kMaxFieldBytes &&
                              (line.at("event") != "callback_failed");
                     });
}

// Guards against machines that end, or stop following the store, by an odd
// entry of another writer. One instance lists such entries, one has watched
// them, and one gets them from these.
TEST_CASE("Odd entries end no instance and stop none from following") {
  std::signal(SIGPIPE, SIG_IGN);  // as in the program
  constexpr std::size_t kOfEachKind = 3;
  entry_path_fixture fixture(3);
  entry_testbed& testbed = fixture.testbed();
  testbed.store().SetPageItems(100);
  fixture.Start(0);
  REQUIRE(fixture.RunUntil([&] { return testbed.fabric().ready() == 1; }));
  for (std::size_t number = 0; number < kOfEachKind; ++number) {
    for (const odd_entry& entry : OddEntries(number)) {
      testbed.store().Put(entry.key, entry.value);
    }
  }
  fixture.Start(1);
  REQUIRE(fixture.RunUntil([&] { return testbed.fabric().ready() == 2; }));
  fixture.Start(2);
  REQUIRE(fixture.RunUntil([&] { return testbed.fabric().ready() == 3; }));
  testbed.PublishConfiguration();
  const std::string added = testbed.AddTarget("ledger", "dc-a");
  REQUIRE(fixture.RunUntil([&] {
    if (testbed.open_flows() < 8) {
      testbed.OpenFlow();
    }
    return testbed.targets().at(added)->flows() > 0;
  }));
  REQUIRE(fixture.RunFlows(100));
  CHECK(testbed.violations().empty());
  CHECK(testbed.counts().reset_open == 0);
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK(LinesAreBounded(fixture, i));
    for (const nlohmann::json& line : fixture.LogLines(i)) {
      const bool used = line.value("outcome", "") == "target_added" &&
                        line.value("subject", "").starts_with("i-f");
      CHECK_FALSE(used);
    }
  }
}

}  // namespace
}  // namespace rosemaryreach
