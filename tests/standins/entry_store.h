// A stand-in for the platform's store: items with revisions, listings and
// watches over HTTP, and injected faults.
#ifndef ROSEMARYREACH_TESTS_STANDINS_ENTRY_STORE_H_
#define ROSEMARYREACH_TESTS_STANDINS_ENTRY_STORE_H_

#include <event2/buffer.h>
#include <event2/http.h>

#include <cstdint>
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
        watch_timer_(loop, [this] { AnswerWatches(); }) {
    evhttp_bind_socket(server_, FormatIp(address.address).c_str(),
                       address.port);
    evhttp_set_gencb(
        server_,
        [](evhttp_request* request, void* self) {
          static_cast<entry_store*>(self)->Serve(request);
        },
        this);
    watch_timer_.StartEvery(std::chrono::milliseconds(5));
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
    events_.clear();
  }

  void SetFault(store_fault fault) { fault_ = fault; }

  std::uint64_t calls() const { return calls_; }

 private:
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
      evhttp_send_reply(request, 503, nullptr, nullptr);
      return;
    }
    const http_query query(request);
    const std::string uri = evhttp_request_get_uri(request);
    if (uri.starts_with("/rosemaryreach/kv-range")) {
      List(request, query.Text("after"));
      return;
    }
    const std::uint64_t after = query.Number("after");
    if (after < compacted_) {
      evhttp_send_reply(request, 410, nullptr, nullptr);
      return;
    }
    pending_watches_.push_back(
        {request, after,
         loop_.now() + std::chrono::milliseconds(query.Number("waitMs"))});
  }

  void List(evhttp_request* request, const std::string& after) {
    nlohmann::json items = nlohmann::json::array();
    auto next = items_.upper_bound(after);
    for (; next != items_.end() && items.size() < kPageItems; ++next) {
      items.push_back(next->second);
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

  static void Reply(evhttp_request* request, const nlohmann::json& body) {
    const std::string text = body.dump();
    evbuffer* buffer = evbuffer_new();
    evbuffer_add(buffer, text.data(), text.size());
    evhttp_send_reply(request, 200, nullptr, buffer);
    evbuffer_free(buffer);
  }

  // Small, so that listings have several pages.
  static constexpr std::size_t kPageItems = 10;

  event_loop& loop_;
  evhttp* server_;
  loop_timer watch_timer_;
  std::map<std::string, nlohmann::json> items_;
  std::vector<nlohmann::json> events_;
  std::list<pending_watch> pending_watches_;
  std::uint64_t revision_ = 1;
  std::uint64_t compacted_ = 0;
  std::uint64_t calls_ = 0;
  store_fault fault_ = store_fault::kNone;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TESTS_STANDINS_ENTRY_STORE_H_
