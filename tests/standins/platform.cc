// Test substitute for the operators' platform: serves a directory of documents
// over HTTP with blocking queries. GET /fault?mode=MODE selects a fault: none,
// down (HTTP 503), silent (no response), stale (no new entries), reverted
// (&sequence=N: all entries from the first up to N, regardless of the index).
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "adapters/event_loop.h"
#include "adapters/http_query.h"
#include "adapters/platform_documents.h"

namespace rosemaryreach {
namespace {

constexpr duration kPollInterval = std::chrono::milliseconds(10);

enum class fault : std::uint8_t { kNone, kDown, kSilent, kStale, kReverted };

// A blocking query that waits for new entries or its deadline.
struct pending_query {
  evhttp_request* request = nullptr;
  log_position after;
  time_point deadline;
};

class platform_server {
 public:
  platform_server(event_loop& loop, std::string directory)
      : loop_(loop),
        directory_(std::move(directory)),
        server_(evhttp_new(loop.base())),
        poll_(loop, [this] { AnswerPending(); }) {
    evhttp_set_gencb(
        server_,
        [](evhttp_request* request, void* self) {
          static_cast<platform_server*>(self)->HandleRequest(request);
        },
        this);
    poll_.StartEvery(kPollInterval);
  }
  ~platform_server() { evhttp_free(server_); }
  platform_server(const platform_server&) = delete;
  platform_server& operator=(const platform_server&) = delete;

  bool Listen(const char* address, std::uint16_t port) {
    return evhttp_bind_socket(server_, address, port) == 0;
  }

 private:
  void HandleRequest(evhttp_request* request) {
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
    const std::string path = evhttp_uri_get_path(uri);
    const http_query query(request);
    if (path == "/fault") {
      SetFault(query);
      Send(request, 200, "{}");
      return;
    }
    if (path == "/count") {
      Send(request, 200, "{\"reads\": " + std::to_string(reads_) + "}");
      return;
    }
    ++reads_;
    if (fault_ == fault::kDown) {
      Send(request, 503, "");
    } else if (path == "/v1/entries") {
      StartQuery(request, query);
    } else if (path == "/v1/instances" && fault_ != fault::kSilent) {
      SendInstances(request);
    } else if (fault_ != fault::kSilent) {
      Send(request, 404, "");
    }
  }

  void SetFault(const http_query& query) {
    const std::string mode = query.Text("mode");
    const std::vector<std::string> modes = {"none", "down", "silent", "stale",
                                            "reverted"};
    for (std::size_t i = 0; i < modes.size(); ++i) {
      if (modes[i] == mode) {
        fault_ = static_cast<fault>(i);
      }
    }
    last_sequence_ = query.Number("sequence");
    if (fault_ == fault::kStale) {
      const result<platform_page> page = ReadDirectory(directory_, {});
      last_sequence_ = page ? page.value().head_sequence : 0;
    }
  }

  void StartQuery(evhttp_request* request, const http_query& query) {
    pending_query pending;
    pending.request = request;
    pending.after = {query.Number("index"), query.Number("snapshot"),
                     static_cast<std::uint32_t>(query.Number("parts"))};
    pending.deadline =
        loop_.now() + std::chrono::milliseconds(query.Number("wait"));
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(request),
        [](evhttp_connection* connection, void* self) {
          static_cast<platform_server*>(self)->RemovePending(connection);
        },
        this);
    pending_.push_back(pending);
  }

  void RemovePending(evhttp_connection* connection) {
    std::erase_if(pending_, [connection](const pending_query& pending) {
      return evhttp_request_get_connection(pending.request) == connection;
    });
  }

  void AnswerPending() {
    std::vector<pending_query> pending = std::move(pending_);
    pending_.clear();
    for (const pending_query& query : pending) {
      if (fault_ == fault::kSilent || !TryAnswer(query)) {
        pending_.push_back(query);
      }
    }
  }

  // Returns whether the query was answered.
  bool TryAnswer(const pending_query& query) {
    const bool reverted = fault_ == fault::kReverted;
    result<platform_page> page =
        ReadDirectory(directory_, reverted ? log_position{} : query.after);
    if (!page) {
      Send(query.request, 503, "");
      return true;
    }
    if (fault_ == fault::kStale || reverted) {
      TruncatePage(page.value());
    }
    if (page.value().entries.empty() && loop_.now() < query.deadline) {
      return false;
    }
    const result<std::string> body = FormatPage(page.value());
    Send(query.request, body ? 200 : 500, body ? body.value() : "");
    return true;
  }

  // Removes the entries after last_sequence_, as if none had been published.
  void TruncatePage(platform_page& page) const {
    page.head_sequence = last_sequence_;
    std::erase_if(page.entries, [this](const log_entry& entry) {
      return entry.sequence > last_sequence_;
    });
  }

  void SendInstances(evhttp_request* request) {
    const result<std::string> text =
        ReadFileText(directory_ + "/instances.json");
    Send(request, 200, text ? text.value() : "{\"instances\": []}");
  }

  void Send(evhttp_request* request, int status, const std::string& body) {
    evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                  nullptr, nullptr);
    evbuffer* buffer = evbuffer_new();
    evbuffer_add(buffer, body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, buffer);
    evbuffer_free(buffer);
  }

  event_loop& loop_;
  std::string directory_;
  evhttp* server_;
  loop_timer poll_;
  std::vector<pending_query> pending_;
  fault fault_ = fault::kNone;
  std::uint64_t last_sequence_ = 0;
  std::uint64_t reads_ = 0;
};

int Main(int argc, const char** argv) {
  const char* address = "127.0.0.1";
  const char* directory = nullptr;
  int port = 0;
  const std::vector<poptOption> options = {
      {"address", 'a', POPT_ARG_STRING, &address, 0, "address", "IP"},
      {"port", 'p', POPT_ARG_INT, &port, 0, "port", "PORT"},
      {"directory", 'd', POPT_ARG_STRING, &directory, 0, "documents", "DIR"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(argv[0], argc, argv, options.data(), 0);
  const int parsed = poptGetNextOpt(context);
  if (parsed != -1 || directory == nullptr) {
    poptPrintUsage(context, stderr, 0);
    return 2;
  }
  event_loop loop;
  platform_server server(loop, directory);
  if (!server.Listen(address, static_cast<std::uint16_t>(port))) {
    std::fprintf(stderr, "can't bind %s:%d\n", address, port);
    return 1;
  }
  std::printf("{\"event\": \"listening\", \"port\": %d}\n", port);
  std::fflush(stdout);
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace rosemaryreach

int main(int argc, const char** argv) {
  return rosemaryreach::Main(argc, argv);
}
