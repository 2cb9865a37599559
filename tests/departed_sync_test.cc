#include "entryd/departed_sync.h"

#include <catch2/catch.hpp>

#include <event2/buffer.h>
#include <event2/http.h>

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "adapters/deflate.h"
#include "adapters/json_log.h"
#include "entry_fixture.h"
#include "http_server_fixture.h"
#include "loopback_address.h"
#include "rosemaryreach/view_codec.h"

namespace rosemaryreach {
namespace {

decoded_item Decode(const store_item& item) {
  return target_item{Target(item.key, 1)};
}

constexpr std::uint16_t kControlPort = 7'002;

// A peer that answers the question for departed targets.
class answering_peer {
 public:
  answering_peer(event_loop& loop, const departed_answer& answer)
      : answer_(Deflate(EncodeDeparted(answer))),
        address_(UniqueLoopbackAddress()),
        server_(evhttp_new(loop.base())) {
    evhttp_set_gencb(
        server_,
        [](evhttp_request* request, void* self) {
          static_cast<answering_peer*>(self)->Serve(request);
        },
        this);
    evhttp_bind_socket(server_, FormatIp(address_).c_str(), kControlPort);
  }
  ~answering_peer() { evhttp_free(server_); }
  answering_peer(const answering_peer&) = delete;
  answering_peer& operator=(const answering_peer&) = delete;

  int questions() const { return questions_; }

  // Answers with another status than 200, as builds that lack the call do.
  void SetStatus(int status) { status_ = status; }

  // Returns the beacon of a peer that started at this time.
  beacon Beacon(std::uint64_t started) const {
    beacon sent;
    sent.from.address = ToIpv4Endpoint({address_, 1}).address;
    sent.from.incarnation = started;
    return sent;
  }

 private:
  void Serve(evhttp_request* request) {
    ++questions_;
    evbuffer* body = evbuffer_new();
    evbuffer_add(body, answer_.data(), answer_.size());
    evhttp_send_reply(request, status_, nullptr, body);
    evbuffer_free(body);
  }

  std::string answer_;
  ip_address address_;
  evhttp* server_;
  int status_ = 200;
  int questions_ = 0;
};

// An instance with a view that started at 100 s.
struct departed_sync_fixture {
  void HearSilentPeer() {
    beacon heard;
    heard.from.address = ToIpv4Endpoint({UniqueLoopbackAddress(), 1}).address;
    peers.ApplyBeacon(heard, BootTimeNow());
  }

  // Reads the history from this store from now on.
  void UseStore(const endpoint& store) {
    settings.store_endpoint = store;
    departed.Reload(settings);
  }

  // Lists these targets, as of revision 1,000.
  void List(const std::vector<std::string>& keys) {
    std::vector<store_item> items;
    items.reserve(keys.size());
    for (const std::string& key : keys) {
      items.push_back({key, "value", 990, false});
    }
    view.MergeListing(items, {0, 1'000});
  }

  void RunFor(duration time) {
    const time_point end = BootTimeNow() + time;
    RunUntil([end] { return BootTimeNow() >= end; });
  }

  // Runs until `done` returns true or ten seconds have passed.
  void RunUntil(const std::function<bool()>& done) {
    loop_timer tick(loop, [] {});
    tick.StartEvery(std::chrono::milliseconds(5));
    const time_point end = BootTimeNow() + std::chrono::seconds(10);
    while (!done() && BootTimeNow() < end) {
      departed.Tick(BootTimeNow() + skipped);
      loop.RunOnce();
    }
  }

  // Returns the questions that peers, or the store, did not answer.
  std::size_t Failures() const { return CountFailures(false); }
  std::size_t StoreFailures() const { return CountFailures(true); }

  std::size_t CountFailures(bool of_store) const {
    return static_cast<std::size_t>(std::count_if(
        lines.begin(), lines.end(), [of_store](const nlohmann::json& line) {
          return line.value("outcome", "") == "departed_pull_failed" &&
                 (line.value("peer", "") == "the store") == of_store;
        }));
  }

  event_loop loop;
  duration skipped{};  // time that the object is told has passed as well
  std::vector<std::string> learned;
  std::vector<nlohmann::json> lines;
  json_log sink{{log_level::kInfo, 1}, "e", [this](const std::string& line) {
                  lines.push_back(nlohmann::json::parse(line));
                }};
  entry_log log{sink};
  peer_group peers{[] {
                     peer_summary self;
                     self.incarnation = 100'000;
                     return self;
                   }(),
                   {},
                   1,
                   [](std::uint32_t, const char*) {}};
  std::unique_ptr<metrics_registry> registry = MakeMetricsRegistry();
  entry_metrics metrics{*registry};
  entry_settings settings = [] {
    entry_settings made;
    made.control_endpoint.port = kControlPort;
    made.store_endpoint = {UniqueLoopbackAddress(), 1};  // refuses
    return made;
  }();
  item_cache view{Decode};
  departed_sync departed{loop,
                         settings,
                         peers,
                         view,
                         Decode,
                         std::chrono::seconds(75),
                         [this](std::span<const departed_target> added) {
                           for (const departed_target& target : added) {
                             learned.push_back(target.record.id);
                           }
                         },
                         log,
                         metrics};
};

// A store whose history from `first` on holds a write of a target that has left
// and one of a target that is listed.
class history_store {
 public:
  history_store(departed_sync_fixture& fixture, std::uint64_t first)
      : first_(first), server_(fixture.loop, [this](const std::string& uri) {
          return Answer(uri);
        }) {
    fixture.List({"servers/listed"});
    fixture.UseStore(server_.address());
  }

  // Answers with another status than 200.
  void SetStatus(int status) { status_ = status; }
  void SetEra(const std::string& era) { era_ = era; }

  // The revisions after which the history was read.
  const std::vector<std::uint64_t>& readings() const { return readings_; }

 private:
  scripted_reply Answer(const std::string& uri) {
    const std::string name = "&after=";
    const std::uint64_t after =
        std::stoull(uri.substr(uri.find(name) + name.size()));
    readings_.push_back(after);
    if (status_ != 200) {
      return {status_, "{}"};
    }
    if (after < first_) {
      return {410, "{}"};
    }
    return {200,
            R"({"storeRevision": 1000, "events": [
              {"key": "servers/left", "value": "QQ==", "revision": 988},
              {"key": "servers/left", "revision": 989, "deleted": true},
              {"key": "servers/listed", "value": "QQ==", "revision": 990}]})",
            {{"Store-Era", era_}}};
  }

  std::uint64_t first_;
  int status_ = 200;
  std::string era_ = "0";
  std::vector<std::uint64_t> readings_;
  http_server_fixture server_;
};

constexpr duration kPause = std::chrono::milliseconds(100);

// It may know a live target whose entry has expired.
TEST_CASE("A peer that does not answer is asked again") {
  departed_sync_fixture fixture;
  fixture.HearSilentPeer();
  fixture.RunUntil([&] { return fixture.Failures() >= 3; });
  CHECK(fixture.Failures() == 3);
  CHECK(fixture.departed.size() == 0);
}

// They start together, and hear of an older peer only after a cut has ended.
TEST_CASE("Empty lists of newcomers hide no target that an older peer knows") {
  // They had their views together with the instance, or a little earlier.
  const std::int64_t known_for_ms = GENERATE(5, 4'000);
  departed_sync_fixture fixture;
  const departed_answer nothing{{}, std::chrono::milliseconds(known_for_ms)};
  const answering_peer one(fixture.loop, nothing);
  const answering_peer other(fixture.loop, nothing);
  const answering_peer older(
      fixture.loop,
      {{{"l1", "value", std::chrono::seconds(3)}}, std::chrono::seconds(60)});
  fixture.peers.ApplyBeacon(one.Beacon(99'900 - known_for_ms), BootTimeNow());
  fixture.peers.ApplyBeacon(other.Beacon(100'100 - known_for_ms),
                            BootTimeNow());
  fixture.RunUntil([&] { return one.questions() + other.questions() >= 2; });
  fixture.peers.ApplyBeacon(older.Beacon(40'000), BootTimeNow());
  fixture.RunUntil([&] { return fixture.departed.size() == 1; });
  CHECK(fixture.departed.size() == 1);
}

// After a restart of all instances, no peer knows it. Each reading holds what
// the one before held.
TEST_CASE("A target that left is learned once from readings further back") {
  departed_sync_fixture fixture;
  const history_store store(fixture, 0);
  fixture.RunUntil([&] { return store.readings().size() >= 3; });
  fixture.RunFor(kPause);
  CHECK(store.readings() == std::vector<std::uint64_t>{936, 744, 0});
  CHECK(fixture.learned == std::vector<std::string>{"servers/left"});
}

TEST_CASE("Readings of the history end at the first revisions that are gone") {
  departed_sync_fixture fixture;
  const history_store store(fixture, 900);
  fixture.RunUntil([&] { return store.readings().size() >= 2; });
  fixture.RunFor(kPause);
  CHECK(store.readings() == std::vector<std::uint64_t>{936, 744});
  CHECK(fixture.learned == std::vector<std::string>{"servers/left"});
}

TEST_CASE("A history that is shorter than asked for is read from nearer") {
  departed_sync_fixture fixture;
  const history_store store(fixture, 980);
  fixture.RunUntil([&] { return store.readings().size() >= 2; });
  fixture.RunFor(kPause);
  CHECK(store.readings() == std::vector<std::uint64_t>{936, 984});
  CHECK(fixture.learned == std::vector<std::string>{"servers/left"});
}

TEST_CASE("A store without any history is not asked for ever") {
  departed_sync_fixture fixture;
  const history_store store(fixture, 1'001);
  fixture.RunUntil([&] { return store.readings().size() >= 4; });
  fixture.skipped += std::chrono::seconds(5);
  fixture.RunFor(kPause);
  CHECK(store.readings() == std::vector<std::uint64_t>{936, 984, 996, 999});
  CHECK(fixture.learned.empty());
}

// Its revisions are not those of the view.
TEST_CASE("The history of another era adds no target") {
  departed_sync_fixture fixture;
  history_store store(fixture, 0);
  store.SetEra("1");
  fixture.RunUntil([&] { return fixture.StoreFailures() >= 1; });
  fixture.RunFor(kPause);
  CHECK(store.readings().size() == 1);
  CHECK(fixture.learned.empty());
  CHECK(fixture.departed.size() == 0);
}

TEST_CASE("A store that is overloaded is asked a few times only") {
  departed_sync_fixture fixture;
  history_store store(fixture, 0);
  store.SetStatus(503);
  for (std::size_t i = 1; i <= 5; ++i) {
    fixture.RunUntil([&] { return fixture.StoreFailures() >= i; });
    CHECK(store.readings().size() == i);
    fixture.skipped += std::chrono::seconds(1);
  }
  fixture.skipped += std::chrono::seconds(5);
  fixture.RunFor(kPause);
  CHECK(store.readings().size() == 5);
}

// Builds mix during an upgrade.
TEST_CASE("A peer of a build without the call does not end the question") {
  departed_sync_fixture fixture;
  answering_peer older(
      fixture.loop,
      {{{"l1", "value", std::chrono::seconds(3)}}, std::chrono::seconds(60)});
  older.SetStatus(404);
  fixture.peers.ApplyBeacon(older.Beacon(40'000), BootTimeNow());
  fixture.RunUntil([&] { return older.questions() >= 3; });
  CHECK(fixture.learned.empty());
  older.SetStatus(200);
  fixture.RunUntil([&] { return !fixture.learned.empty(); });
  CHECK(fixture.learned == std::vector<std::string>{"l1"});
}

TEST_CASE("An answer after the end of the object that asked reaches nothing") {
  const bool of_peer = GENERATE(true, false);
  departed_sync_fixture fixture;
  const history_store store(fixture, 0);
  const answering_peer older(
      fixture.loop,
      {{{"l1", "value", std::chrono::seconds(3)}}, std::chrono::seconds(60)});
  if (of_peer) {
    fixture.peers.ApplyBeacon(older.Beacon(40'000), BootTimeNow());
  }
  std::size_t learned = 0;
  std::unique_ptr<departed_sync> ended = std::make_unique<departed_sync>(
      fixture.loop, fixture.settings, fixture.peers, fixture.view, Decode,
      std::chrono::seconds(75),
      [&learned](std::span<const departed_target> added) {
        learned += added.size();
      },
      fixture.log, fixture.metrics);
  const time_point now = BootTimeNow();
  ended->Tick(now);
  ended->Tick(now + std::chrono::milliseconds(300));
  CHECK(
      fixture.metrics.DepartedQuestions(of_peer ? "peer" : "history").value() ==
      1);
  ended.reset();
  loop_timer wake(fixture.loop, [] {});
  wake.StartEvery(std::chrono::milliseconds(5));
  while (BootTimeNow() < now + kPause) {
    fixture.loop.RunOnce();
  }
  CHECK(learned == 0);
}

}  // namespace
}  // namespace rosemaryreach
