#include "entryd/store_sync.h"

#include <absl/strings/escaping.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "adapters/deflate.h"
#include "http_server_fixture.h"
#include "odd_entries.h"
#include "rosemaryreach/item_cache.h"
#include "rosemaryreach/metrics.h"
#include "rosemaryreach/view_codec.h"
#include "standins/flow_wire.h"
#include "store_documents.h"

namespace rosemaryreach {
namespace {

const std::string kFirstPage =
    R"({"items":[{"key":"op/evacuate/a","value":"eA==","revision":4}],)"
    R"("storeRevision":9,"hasMore":true})";
const std::string kLastPage =
    R"({"items":[{"key":"op/evacuate/b","value":"eA==","revision":5}],)"
    R"("storeRevision":9,"hasMore":false})";

// Reads a scripted store; `keys` are those of all changes reported.
class sync_fixture {
 public:
  // `script` answers all calls but those for the history before the first view,
  // which fail.
  sync_fixture(http_server_fixture::script script, item_decoder decode)
      : server_(loop_,
                [script = std::move(script)](const std::string& uri) {
                  return uri.find("prefix=servers") == std::string::npos
                             ? script(uri)
                             : scripted_reply{503};
                }),
        sync_(
            loop_,
            Settings(),
            std::move(decode),
            [this](const view_change& change) {
              for (const changed_item& changed : change.items) {
                keys.push_back(changed.item.key);
                if (const target_item* target =
                        std::get_if<target_item>(&changed.decoded)) {
                  targets.push_back(target->record.id);
                }
              }
            },
            std::chrono::seconds(75),
            [](std::span<const departed_target>) {},
            log_,
            metrics_,
            1,
            {}),
        tick_(loop_, [this] { sync_.Tick(); }) {
    loop_.SetErrorHandler([this](std::string_view) { ++errors; });
    REQUIRE(sync_.Start());
    tick_.StartEvery(std::chrono::milliseconds(20));
  }

  // Has a peer on 127.0.0.1 announce `view` as of `age` ago and serve it.
  void Announce(const store_answer& view, duration age) {
    peer_ = std::make_unique<http_server_fixture>(
        loop_, [view](const std::string&) {
          return scripted_reply{200, Deflate(EncodeView(view))};
        });
    settings_.control_endpoint.port = peer_->address().port;
    sync_.Reload(settings_);
    beacon sent;
    sent.from = {ToIpv4Endpoint(peer_->address()).address,
                 1,
                 1,
                 1,
                 1,
                 false,
                 view.changed};
    sent.cursor = view.cursor;
    sent.age = age;
    const udp_socket socket =
        udp_socket::Bind(ParseEndpoint("127.0.0.1:0").value(),
                         port_sharing::kExclusive, 65'536)
            .value();
    SendTo(socket.fd(), {settings_.control_endpoint.address, kPeerPort},
           EncodeBeacon(sent));
  }

  const store_sync& sync() const { return sync_; }

  void Refresh() { sync_.Refresh(); }

  // Has `peer` pull, as after a beacon.
  void Pull(item_cache& peer) {
    const std::optional<std::string> answer = sync_.ItemsAfter(peer.changed());
    REQUIRE(answer);
    peer.MergePeerAnswer(
        DecodeView(Inflate(*answer, 16'000'000).value()).value());
  }

  void RunUntil(const std::function<bool()>& done) {
    const time_point end = loop_.now() + std::chrono::seconds(20);
    while (!done() && loop_.now() < end) {
      loop_.RunOnce();
    }
  }

  std::vector<std::string> keys;
  std::vector<std::string> targets;  // ids
  int errors = 0;

 private:
  static constexpr std::uint16_t kPeerPort = 7'003;

  entry_settings Settings() const {
    entry_settings settings;
    settings.data_centre = "a";
    settings.control_endpoint = ParseEndpoint("127.0.0.77:0").value();
    settings.peer_port = kPeerPort;
    settings.store_endpoint = server_.address();
    return settings;
  }

  event_loop loop_;
  http_server_fixture server_;
  entry_settings settings_ = Settings();
  std::unique_ptr<http_server_fixture> peer_;
  null_log_sink sink_;
  entry_log log_{sink_};
  std::unique_ptr<metrics_registry> registry_ = MakeMetricsRegistry();
  entry_metrics metrics_{*registry_};
  store_sync sync_;
  loop_timer tick_;
};

// The part that had been read passed for the whole store, so that all targets
// of later pages were missing.
TEST_CASE("A listing that ends in the middle changes nothing") {
  for (const std::string& broken :
       {std::string(R"({"items":[],"storeRevision":9,"hasMore":true})"),
        std::string(R"({"items":null,"storeRevision":9})"),
        kLastPage.substr(0, kLastPage.size() - 1), std::string()}) {
    CAPTURE(broken);
    int pages = 0;
    sync_fixture fixture(
        [&](const std::string&) {
          ++pages;
          return scripted_reply{200, pages % 2 == 1
                                         ? kFirstPage
                                         : (pages == 2 ? broken : kLastPage)};
        },
        DecodeItem);
    fixture.RunUntil([&] { return !fixture.keys.empty(); });
    CHECK(pages == 4);
    CHECK(fixture.keys ==
          std::vector<std::string>{"op/evacuate/a", "op/evacuate/b"});
  }
}

// The read counted as in progress for ever.
TEST_CASE("Reads go on after an answer that could not be handled") {
  int decoded = 0;
  sync_fixture fixture(
      [](const std::string&) {
        return scripted_reply{200, kLastPage};
      },
      [&](const store_item& item) {
        if (++decoded == 1) {
          throw std::runtime_error("unexpected");
        }
        return DecodeItem(item);
      });
  fixture.RunUntil([&] { return !fixture.keys.empty(); });
  CHECK(fixture.errors == 1);
  CHECK(fixture.keys == std::vector<std::string>{"op/evacuate/b"});
}

// A view that all peers had long ago counted as read at the start: targets that
// had left were used, and the store was not read for half a second.
TEST_CASE("A first view from a stale peer keeps its age") {
  const store_item known{"op/evacuate/a", "x", 4, false};
  sync_fixture fixture([](const std::string&) { return scripted_reply{0}; },
                       DecodeItem);
  fixture.Announce({{known}, {0, 4}, {0, 4}, false, true},
                   std::chrono::hours(1));
  fixture.RunUntil([&] { return !fixture.keys.empty(); });
  CHECK(fixture.keys == std::vector<std::string>{"op/evacuate/a"});
  CHECK(fixture.sync().age() >= std::chrono::hours(1));
  CHECK(fixture.sync().store_unavailable());
}

// The watch was repeated for ever, and all changes after it were missed.
TEST_CASE("An answer to a watch that is too large is followed by a listing") {
  std::signal(SIGPIPE, SIG_IGN);  // the rest of the answer is not read
  std::vector<std::string> calls;
  sync_fixture fixture(
      [&](const std::string& uri) {
        calls.push_back(uri.find("kv-watch") == std::string::npos ? "list"
                                                                  : "watch");
        if (calls.size() == 1) {
          return scripted_reply{200, kFirstPage};
        }
        return calls.back() == "list"
                   ? scripted_reply{200, kLastPage}
                   : scripted_reply{200, std::string(5'000'000, ' ')};
      },
      DecodeItem);
  fixture.RunUntil([&] { return calls.size() == 4; });
  CHECK(calls == std::vector<std::string>{"list", "list", "watch", "list"});
}

// A watch that the store answered after its restore counted as complete, though
// it began in the former era. The changes before it were never read.
TEST_CASE("A watch that began in another era is followed by a listing") {
  const std::map<std::string, std::string> restored = {{"Store-Era", "1"}};
  std::vector<std::string> calls;
  sync_fixture fixture(
      [&](const std::string& uri) {
        calls.push_back(uri.find("kv-watch") == std::string::npos ? "list"
                                                                  : "watch");
        if (calls.size() == 1) {
          return scripted_reply{200, kLastPage};
        }
        return calls.back() == "list"
                   ? scripted_reply{200, kLastPage, restored}
                   : scripted_reply{200, R"({"events":[],"storeRevision":20})",
                                    restored, std::chrono::milliseconds(300)};
      },
      DecodeItem);
  fixture.RunUntil([&] { return calls.size() == 2; });
  fixture.Announce({{}, {1, 5}, {1, 5}, false, true}, {});
  fixture.RunUntil([&] { return calls.size() == 3; });
  CHECK(calls == std::vector<std::string>{"list", "watch", "list"});
}

nlohmann::json StoreItem(const std::string& key,
                         const std::string& value,
                         std::uint64_t revision) {
  return {{"key", key},
          {"value", absl::Base64Escape(value)},
          {"revision", revision}};
}

// Returns an answer of the store with these entries between two targets.
std::string AnswerWith(const char* list,
                       std::span<const odd_entry> entries,
                       std::uint64_t revision) {
  nlohmann::json items = {StoreItem("servers/a1", TargetEntry(), revision)};
  for (const odd_entry& entry : entries) {
    items.push_back(StoreItem(entry.key, entry.value, ++revision));
  }
  items.push_back(StoreItem("servers/z2", TargetEntry(), ++revision));
  const nlohmann::json answer = {{list, std::move(items)},
                                 {"storeRevision", revision}};
  return answer.dump();
}

// Checks that the targets are used and passed on, and the entries are not.
void CheckTargets(sync_fixture& fixture) {
  const std::vector<std::string> good = {"a1", "z2"};
  fixture.RunUntil([&] { return fixture.targets.size() >= 2; });
  CHECK(fixture.targets == good);
  CHECK(fixture.errors == 0);
  item_cache peer(DecodeItem);
  fixture.Pull(peer);
  std::vector<std::string> passed_on;
  for (const store_item& item : peer.ChangedAfter({}).items) {
    if (std::holds_alternative<target_item>(DecodeItem(item))) {
      passed_on.push_back(item.key);
    }
  }
  CHECK(passed_on == std::vector<std::string>{"servers/a1", "servers/z2"});
}

// Checks that the store is read on.
void CheckReads(sync_fixture& fixture, const int& calls) {
  const int before = calls;
  fixture.Refresh();
  fixture.RunUntil([&] { return calls > before; });
  CHECK(calls > before);
}

void CheckByListing(std::span<const odd_entry> entries) {
  int calls = 0;
  const std::string listing = AnswerWith("items", entries, 10);
  sync_fixture fixture(
      [&](const std::string& uri) {
        ++calls;
        const bool lists = uri.find("kv-range") != std::string::npos;
        return scripted_reply{
            200, lists ? listing : R"({"events":[],"storeRevision":9000})"};
      },
      DecodeItem);
  CheckTargets(fixture);
  CheckReads(fixture, calls);
}

void CheckByWatch(std::span<const odd_entry> entries) {
  int calls = 0;
  const std::string changes = AnswerWith("events", entries, 10);
  sync_fixture fixture(
      [&](const std::string& uri) {
        ++calls;
        const bool lists = uri.find("kv-range") != std::string::npos;
        const bool first = uri.find("after=9&") != std::string::npos;
        return scripted_reply{
            200, lists ? R"({"items":[],"storeRevision":9})"
                       : (first ? changes
                                : R"({"events":[],"storeRevision":9000})")};
      },
      DecodeItem);
  fixture.RunUntil([&] { return fixture.sync().cursor() != store_cursor{}; });
  fixture.Refresh();
  CheckTargets(fixture);
  CheckReads(fixture, calls);
}

void CheckByPeer(std::span<const odd_entry> entries) {
  store_answer view;
  view.items.push_back({"servers/a1", TargetEntry(), 4, false});
  for (const odd_entry& entry : entries) {
    view.items.push_back({entry.key, entry.value, 5, false});
  }
  view.items.push_back({"servers/z2", TargetEntry(), 9, false});
  view.cursor = {0, 9};
  view.changed = {0, 9};
  sync_fixture fixture(
      [](const std::string&) {
        return scripted_reply{503, ""};
      },
      DecodeItem);
  fixture.Announce(view, {});
  CheckTargets(fixture);
}

// Other operators saw an odd entry of another writer end the machines that read
// it, or stop them from following the list.
TEST_CASE("Each odd entry alone costs the others nothing") {
  for (const odd_entry& entry : OddEntries()) {
    CAPTURE(entry.key, entry.value.substr(0, 200));
    CheckByListing({&entry, 1});
    CheckByWatch({&entry, 1});
    CheckByPeer({&entry, 1});
  }
}

TEST_CASE("Many odd entries cost the others nothing") {
  std::vector<odd_entry> entries;
  for (std::size_t number = 0; number < 100; ++number) {
    for (odd_entry& entry : OddEntries(number)) {
      if (entry.value.size() < 100'000) {
        entries.push_back(std::move(entry));
      }
    }
  }
  CheckByListing(entries);
  CheckByWatch(entries);
  CheckByPeer(entries);
}

// Guards against review case 3: an item that was written between two pages made
// peers skip the changes of earlier pages, and use a dropped route for ever.
TEST_CASE("A change between the pages of a listing reaches the peers") {
  const std::string last_page =
      R"({"items":[{"key":"op/evacuate/b","value":"eA==","revision":12}],)"
      R"("storeRevision":12,"hasMore":false})";
  const std::string changes =
      R"({"events":[{"key":"op/evacuate/a","revision":10,"deleted":true},)"
      R"({"key":"op/evacuate/b","value":"eA==","revision":12}],)"
      R"("storeRevision":12})";
  item_cache peer(DecodeItem);
  sync_fixture fixture(
      [&](const std::string& uri) {
        if (uri.find("kv-watch") != std::string::npos) {
          return scripted_reply{200, changes};
        }
        const bool first = uri.find("after=") == std::string::npos;
        return scripted_reply{200, first ? kFirstPage : last_page};
      },
      DecodeItem);
  fixture.RunUntil([&] { return fixture.keys.size() == 2; });
  fixture.Pull(peer);
  CHECK(peer.ChangedAfter({}).items.size() == 2);
  fixture.RunUntil([&] { return fixture.keys.size() == 3; });
  fixture.Pull(peer);
  std::vector<std::string> live;
  for (const store_item& item : peer.ChangedAfter({}).items) {
    if (!item.deleted) {
      live.push_back(item.key);
    }
  }
  CHECK(live == std::vector<std::string>{"op/evacuate/b"});
}

}  // namespace
}  // namespace rosemaryreach
