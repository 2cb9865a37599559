#include "rosemaryreach/config_sync.h"

#include <catch2/catch.hpp>

namespace rosemaryreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

template <typename Action>
std::vector<Action> ActionsOf(const std::vector<config_sync_action>& actions) {
  std::vector<Action> found;
  for (const config_sync_action& action : actions) {
    if (const Action* one = std::get_if<Action>(&action)) {
      found.push_back(*one);
    }
  }
  return found;
}

configuration MakeConfiguration(std::uint64_t number) {
  configuration config;
  config.number = number;
  config.data_centres = {{"d", "r"}};
  return config;
}

std::vector<log_entry> Snapshot(std::uint64_t number) {
  return MakeSnapshot(MakeConfiguration(number), snapshot_kind::kPublished,
                      number, 500'000);
}

contact Peer(const std::string& name) {
  return {MakeInstanceId(name), {}, 1};
}

// The config_sync of each of `count` active instances of one data centre.
class fixture {
 public:
  explicit fixture(int count = 1) {
    for (int i = 0; i < count; ++i) {
      instance_info info;
      info.name = "i" + std::to_string(i);
      info.id = MakeInstanceId(info.name);
      info.data_centre = "d";
      info.region = "r";
      info.grpc_port = 1;
      info.state = instance_state::kActive;
      view.instances.push_back(info);
    }
    for (int i = 0; i < count; ++i) {
      logs.push_back(std::make_unique<patch_log>(nullptr));
      syncs.push_back(std::make_unique<config_sync>(
          config_sync_options{}, *logs.back(), view.instances[i].id, "d", 1));
      syncs.back()->OnView(view, {});
    }
  }

  // Returns all instances, the watchers first.
  std::vector<config_sync*> WatchersFirst() {
    std::vector<config_sync*> watching;
    std::vector<config_sync*> others;
    for (const std::unique_ptr<config_sync>& sync : syncs) {
      (sync->IsWatcher() ? watching : others).push_back(sync.get());
    }
    watching.insert(watching.end(), others.begin(), others.end());
    return watching;
  }

  fleet_view view;
  std::vector<std::unique_ptr<patch_log>> logs;
  std::vector<std::unique_ptr<config_sync>> syncs;
  time_point now{};
};

TEST_CASE("two of many instances watch, and only these read at the start") {
  fixture fleet(20);
  std::size_t reads = 0;
  for (const std::unique_ptr<config_sync>& sync : fleet.syncs) {
    reads += ActionsOf<read_platform>(sync->Tick(fleet.now)).size();
  }
  CHECK(reads == 2);
}

TEST_CASE("a watch without an answer times out and is retried") {
  fixture fleet;
  config_sync& sync = *fleet.syncs[0];
  const config_sync_options options;
  REQUIRE(ActionsOf<read_platform>(sync.Tick(fleet.now)).size() == 1);
  fleet.now += milliseconds(options.watch_deadline_ms - 1);
  CHECK(sync.Tick(fleet.now).empty());
  fleet.now += milliseconds(1);
  sync.Tick(fleet.now);
  CHECK(sync.status().platform_errors == 1);
  CHECK_FALSE(sync.status().platform_error.empty());
  fleet.now += milliseconds(options.backoff_max_ms);
  CHECK(ActionsOf<read_platform>(sync.Tick(fleet.now)).size() == 1);
}

TEST_CASE("standbys read after the watchers have timed out") {
  fixture fleet(20);
  std::vector<config_sync*> standbys;
  for (const std::unique_ptr<config_sync>& sync : fleet.syncs) {
    if (!sync->IsWatcher()) {
      sync->Tick(fleet.now);
    }
  }
  const config_sync_options options;
  fleet.now += milliseconds(options.watcher_timeout_ms);
  for (const std::unique_ptr<config_sync>& sync : fleet.syncs) {
    if (!sync->IsWatcher() &&
        !ActionsOf<read_platform>(sync->Tick(fleet.now)).empty()) {
      standbys.push_back(sync.get());
    }
  }
  // Without a configuration all instances read; with one, only the standbys.
  CHECK(standbys.size() >= options.standbys);
}

TEST_CASE("an accepted entry is announced to peers") {
  fixture fleet(20);
  config_sync& watcher = *fleet.WatchersFirst()[0];
  const std::uint64_t token =
      ActionsOf<read_platform>(watcher.Tick(fleet.now)).at(0).token;
  const std::vector<config_sync_action> actions =
      watcher.OnPlatformPage(fleet.now, token, platform_page{Snapshot(5), 5});
  const std::vector<push_digest> pushed = ActionsOf<push_digest>(actions);
  REQUIRE(pushed.size() == config_sync_options{}.push_fanout);
  CHECK(pushed[0].digest.number == 5);
  CHECK(watcher.ready());
}

TEST_CASE("older and repeated platform pages change nothing") {
  fixture fleet;
  config_sync& sync = *fleet.syncs[0];
  const auto read = [&] {
    fleet.now += seconds(5);
    return ActionsOf<read_platform>(sync.Tick(fleet.now)).at(0).token;
  };
  sync.OnPlatformPage(fleet.now, read(), platform_page{Snapshot(5), 5});
  const log_head head = sync.status().head;
  sync.OnPlatformPage(fleet.now, read(), platform_page{Snapshot(3), 3});
  sync.OnPlatformPage(fleet.now, read(), platform_page{{}, 0});
  sync.OnPlatformPage(fleet.now, read(), platform_page{Snapshot(5), 5});
  CHECK(sync.status().head == head);
}

TEST_CASE("corrupt and oversized values are rejected and reported") {
  fixture fleet;
  config_sync& sync = *fleet.syncs[0];
  const std::uint64_t token =
      ActionsOf<read_platform>(sync.Tick(fleet.now)).at(0).token;
  const platform_page page{
      {{1, 0, 0, "garbage"}, {1, 0, 0, std::string(1'100'000, 'x')}}, 1};
  const std::vector<config_sync_action> actions =
      sync.OnPlatformPage(fleet.now, token, page);
  CHECK(ActionsOf<refused_entry>(actions).size() == 2);
  CHECK_FALSE(sync.ready());
  // The next read is delayed, not sent at once.
  CHECK(ActionsOf<read_platform>(sync.Tick(fleet.now)).empty());
}

TEST_CASE(
    "a newer entry is pulled from one peer, after a timeout from another") {
  fixture fleet(20);
  config_sync& sync = *fleet.WatchersFirst().back();
  CHECK(sync.OnPeerDigest(fleet.now, Peer("x"), {0, 0, 0, false}).empty());
  const std::vector<pull_from_peer> first = ActionsOf<pull_from_peer>(
      sync.OnPeerDigest(fleet.now, Peer("x"), {5, 5, 0, false}));
  REQUIRE(first.size() == 1);
  CHECK(ActionsOf<pull_from_peer>(
            sync.OnPeerDigest(fleet.now, Peer("y"), {5, 5, 0, false}))
            .empty());
  fleet.now += milliseconds(config_sync_options{}.pull_timeout_ms);
  const std::vector<pull_from_peer> second =
      ActionsOf<pull_from_peer>(sync.Tick(fleet.now));
  REQUIRE(second.size() == 1);
  CHECK(second[0].peer.id == MakeInstanceId("y"));
  sync.OnPulled(fleet.now, second[0].token, Snapshot(5));
  CHECK(sync.ready());
  CHECK(ActionsOf<pull_from_peer>(
            sync.OnPeerDigest(fleet.now, Peer("z"), {5, 5, 0, false}))
            .empty());
}

TEST_CASE(
    "a peer with a different digest at the same number counts as a fork") {
  fixture fleet;
  config_sync& sync = *fleet.syncs[0];
  const std::uint64_t token =
      ActionsOf<read_platform>(sync.Tick(fleet.now)).at(0).token;
  sync.OnPlatformPage(fleet.now, token, platform_page{Snapshot(5), 5});
  const log_head head = sync.status().head;
  sync.OnPeerDigest(fleet.now, Peer("x"), {5, 5, head.digest, false});
  CHECK(sync.status().forks == 0);
  sync.OnPeerDigest(fleet.now, Peer("x"), {5, 5, head.digest + 1, false});
  CHECK(sync.status().forks == 1);
  CHECK(sync.status().head == head);
}

TEST_CASE("without platform and peers it is not ready and reports why") {
  fixture fleet;
  config_sync& sync = *fleet.syncs[0];
  const std::uint64_t token =
      ActionsOf<read_platform>(sync.Tick(fleet.now)).at(0).token;
  sync.OnPlatformPage(fleet.now, token, Fail(errc::kUnavailable, "refused"));
  CHECK_FALSE(sync.ready());
  CHECK(sync.WaitingFor().find("refused") != std::string::npos);
  CHECK(sync.WaitingFor().find("none known") != std::string::npos);
}

TEST_CASE("failing reads back off") {
  fixture fleet;
  config_sync& sync = *fleet.syncs[0];
  std::size_t reads = 0;
  for (int tick = 0; tick < 2'000; ++tick) {
    fleet.now += milliseconds(50);
    for (const read_platform& read :
         ActionsOf<read_platform>(sync.Tick(fleet.now))) {
      ++reads;
      sync.OnPlatformPage(fleet.now, read.token,
                          Fail(errc::kUnavailable, "refused"));
    }
  }
  // 100 s, with at most one read per half of the maximum backoff.
  CHECK(reads <= 100 + 10);
  CHECK(reads >= 40);
}

}  // namespace
}  // namespace rosemaryreach
