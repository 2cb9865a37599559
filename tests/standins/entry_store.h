// A stand-in for the platform's store: items with revisions, listings and
// watches over HTTP, and injected faults.
#ifndef ROSEMARYREACH_TESTS_STANDINS_ENTRY_STORE_H_
#define ROSEMARYREACH_TESTS_STANDINS_ENTRY_STORE_H_

#include <event2/buffer.h>
#include <event2/http.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/escaping.h"
#include "adapters/event_loop.h"
#include "adapters/http_query.h"

namespace rosemaryreach {

enum class store_fault : std::uint8_t { kNone, kUnavailable, kSilent };

class entry_store {
 public:
  entry_store(event_loop& loop, const endpoint& address)
      : loop_(loop),
        server_(evhttp_new(loop.base())),
        watch_timer_(loop, [this] { AnswerWatches(); }),
        copy_timer_(loop, [this] { KeepCopy(); }) {
    evhttp_bind_socket(server_, FormatIp(address.address).c_str(),
                       address.port);
    evhttp_set_gencb(
        server_,
        [](evhttp_request* request, void* self) {
          static_cast<entry_store*>(self)->Serve(request);
        },
        this);
    watch_timer_.StartEvery(std::chrono::milliseconds(5));
    KeepCopy();
    copy_timer_.StartEvery(kCopyPeriod);
  }
  ~entry_store() { evhttp_free(server_); }
  entry_store(const entry_store&) = delete;
  entry_store& operator=(const entry_store&) = delete;

  void Put(const std::string& key, const std::string& value) {
    ++revision_;
    events_.push_back({{"key", key},
                       {"value", absl::Base64Escape(value)},
                       {"revision", revision_}});
    items_[key] = events_.back();
  }

  void Delete(const std::string& key) {
    if (items_.erase(key) > 0) {
      ++revision_;
      events_.push_back(
          {{"key", key}, {"revision", revision_}, {"deleted", true}});
    }
  }

  // Drops the history of changes: watches of older revisions get status 410.
  void Compact() {
    compacted_ = revision_;
    compacted_at_ = loop_.now();
    events_.clear();
  }
  time_point compacted_at() const { return compacted_at_; }

  // Goes back to the state of the latest time that is at least `age` ago, or to
  // the oldest one kept: later writes are lost, their revisions are given out
  // again, and a new era begins.
  void Restore(duration age) {
    const auto copy = std::find_if(
        copies_.rbegin(), copies_.rend(),
        [&](const store_copy& one) { return loop_.now() - one.made >= age; });
    const store_copy& chosen = copy == copies_.rend() ? copies_.front() : *copy;
    items_ = chosen.items;
    revision_ = chosen.revision;
    copies_.clear();
    KeepCopy();
    ++era_;
    Compact();
  }

  std::uint64_t era() const { return era_; }

  std::vector<std::string> Keys(const std::string& prefix) const {
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (key.starts_with(prefix)) {
        keys.push_back(key);
      }
    }
    return keys;
  }

  void SetFault(store_fault fault) { fault_ = fault; }

  std::uint64_t calls() const { return calls_; }

  // Sets the items of a listing's page; small by default, so that listings have
  // several pages.
  void SetPageItems(std::size_t items) { page_items_ = items; }

 private:
  struct store_copy {
    time_point made{};
    std::map<std::string, nlohmann::json> items;
    std::uint64_t revision = 0;
  };

  void KeepCopy() {
    copies_.push_back({loop_.now(), items_, revision_});
    if (copies_.size() > kCopies) {
      copies_.pop_front();
    }
  }

  struct pending_watch {
    evhttp_request* request;
    std::uint64_t after;
    time_point until;
  };

  void Serve(evhttp_request* request) {
    ++calls_;
    if (fault_ == store_fault::kSilent) {
      return;  // The connection stays open without an answer.
    }
    if (fault_ == store_fault::kUnavailable) {
      Reply(request, 503, "");
      return;
    }
    const http_query query(request);
    const std::string uri = evhttp_request_get_uri(request);
    if (uri.starts_with("/rosemaryreach/kv-range")) {
      List(request, query.Text("after"));
      return;
    }
    const std::uint64_t after = query.Number("after");
    if (after < compacted_ || after > revision_) {
      Reply(request, 410, "");
      return;
    }
    pending_watches_.push_back(
        {request, after,
         loop_.now() + std::chrono::milliseconds(query.Number("waitMs"))});
  }

  void List(evhttp_request* request, const std::string& after) {
    nlohmann::json items = nlohmann::json::array();
    auto next = items_.upper_bound(after);
    std::size_t bytes = 0;
    for (; next != items_.end() && items.size() < page_items_ &&
           bytes < kPageBytes;
         ++next) {
      items.push_back(next->second);
      bytes += next->second.at("value").get_ref<const std::string&>().size();
    }
    Reply(request, {{"items", std::move(items)},
                    {"hasMore", next != items_.end()},
                    {"storeRevision", revision_}});
  }

  void AnswerWatches() {
    for (auto watch = pending_watches_.begin();
         watch != pending_watches_.end();) {
      nlohmann::json events = nlohmann::json::array();
      for (const nlohmann::json& event : events_) {
        if (event.at("revision") > watch->after) {
          events.push_back(event);
        }
      }
      if (events.empty() && loop_.now() < watch->until) {
        ++watch;
        continue;
      }
      Reply(watch->request,
            {{"events", std::move(events)}, {"storeRevision", revision_}});
      watch = pending_watches_.erase(watch);
    }
  }

  void Reply(evhttp_request* request, const nlohmann::json& body) const {
    Reply(request, 200, body.dump());
  }

  void Reply(evhttp_request* request,
             int status,
             const std::string& text) const {
    evhttp_add_header(evhttp_request_get_output_headers(request), "Store-Era",
                      std::to_string(era_).c_str());
    evbuffer* buffer = evbuffer_new();
    evbuffer_add(buffer, text.data(), text.size());
    evhttp_send_reply(request, status, nullptr, buffer);
    evbuffer_free(buffer);
  }

  static constexpr std::size_t kPageBytes = 1'000'000;  // of values
  static constexpr duration kCopyPeriod = std::chrono::milliseconds(250);
  static constexpr std::size_t kCopies = 44;  // the last 11 s

  event_loop& loop_;
  evhttp* server_;
  loop_timer watch_timer_;
  loop_timer copy_timer_;
  std::map<std::string, nlohmann::json> items_;
  std::vector<nlohmann::json> events_;
  std::list<pending_watch> pending_watches_;
  std::deque<store_copy> copies_;  // oldest first
  std::uint64_t revision_ = 1;
  std::uint64_t compacted_ = 0;
  time_point compacted_at_{};
  std::uint64_t era_ = 0;
  std::uint64_t calls_ = 0;
  std::size_t page_items_ = 10;
  store_fault fault_ = store_fault::kNone;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TESTS_STANDINS_ENTRY_STORE_H_
