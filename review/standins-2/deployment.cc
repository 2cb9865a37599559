// A small deployment around entry instances, in one process: the platform's
// store, routers, hosts and requesters. Plays one scenario in real time, writes
// what was sent, answered and run to a record, and judges one rule.
//
// Usage: deployment SCENARIO PREFIX RECORD INSTANCE...
//   PREFIX: the first three octets of the loopback addresses to use
//   INSTANCE: ZONE:OCTET, an entry instance at PREFIX.OCTET
// TROUBLE=0 in the environment leaves the scenario's disruption out.
// Exits with 1 if the rule was broken, 0 if it held, 2 if nothing was served.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace {

constexpr std::uint16_t kPacketPort = 8172;
constexpr std::uint16_t kReadyPort = 8167;
constexpr std::uint16_t kHostPort = 8367;
constexpr std::uint16_t kStorePort = 8169;
constexpr std::uint32_t kRouteAddress = 0xC6120001;  // as the users' example
constexpr std::uint16_t kLedgerPort = 8080;
constexpr std::uint16_t kFilesPort = 8443;
constexpr std::size_t kHeaderBytes = 32;
constexpr std::size_t kTargetBytes = 8;
constexpr std::uint8_t kSyn = 4;
constexpr std::uint8_t kAck = 64;
constexpr std::uint8_t kFin = 16;
constexpr std::uint8_t kRst = 8;
constexpr std::uint64_t kHeartbeatMs = 770;
constexpr std::uint32_t kSlots = 4;
constexpr double kProbeTimeoutMs = 200;
// What a cold host bears a second, and what the rule allows.
constexpr double kColdPerS = 6;
constexpr double kColdOver = 1.5;
constexpr double kColdSlack = 5;
constexpr double kAllowedWhileCold = kColdPerS * kColdOver + kColdSlack;
constexpr std::uint64_t kStoreAnswerMs = 4;

// Milliseconds since the start of this process.
double NowMs() {
  static const std::chrono::steady_clock::time_point kStart =
      std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - kStart)
      .count();
}

std::uint64_t UnixMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

FILE* record = nullptr;

template <typename... Args>
void Record(const char* format, Args... args) {
  std::fprintf(record, "%10.3f s  ", NowMs() / 1'000);
  std::fprintf(record, format, args...);
  std::fprintf(record, "\n");
}

[[noreturn]] void Unusable(const char* what) {
  std::fprintf(stderr, "deployment: %s: %s\n", what, std::strerror(errno));
  std::exit(2);
}

std::uint32_t ParseAddress(const std::string& text) {
  in_addr address{};
  if (inet_pton(AF_INET, text.c_str(), &address) != 1) {
    Unusable(text.c_str());
  }
  return ntohl(address.s_addr);
}

std::string FormatAddress(std::uint32_t address) {
  return std::to_string(address >> 24) + "." +
         std::to_string(address >> 16 & 255) + "." +
         std::to_string(address >> 8 & 255) + "." +
         std::to_string(address & 255);
}

sockaddr_in ToSocketAddress(std::uint32_t address, std::uint16_t port) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_addr.s_addr = htonl(address);
  to.sin_port = htons(port);
  return to;
}

int OpenSocket(int type, std::uint32_t address, std::uint16_t port) {
  const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (type == SOCK_STREAM) {
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  }
  const sockaddr_in local = ToSocketAddress(address, port);
  if (fd < 0 ||
      bind(fd, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) != 0 ||
      (type == SOCK_STREAM && listen(fd, 128) != 0)) {
    Unusable(FormatAddress(address).c_str());
  }
  return fd;
}

// Watches descriptors and runs callbacks at given times.
class scheduler {
 public:
  void Watch(int fd, short events, std::function<void()> run) {
    watches_[fd] = {events, std::move(run)};
  }
  void Forget(int fd) { watches_.erase(fd); }
  void At(double time_ms, std::function<void()> run) {
    timers_.emplace(time_ms, std::move(run));
  }
  void After(double delay_ms, std::function<void()> run) {
    At(NowMs() + delay_ms, std::move(run));
  }
  void Every(double period_ms, const std::function<void()>& run) {
    After(period_ms, [this, period_ms, run] {
      run();
      Every(period_ms, run);
    });
  }

  void RunUntil(double end_ms) {
    while (NowMs() < end_ms) {
      while (!timers_.empty() && timers_.begin()->first <= NowMs()) {
        const std::function<void()> run = timers_.begin()->second;
        timers_.erase(timers_.begin());
        run();
      }
      Poll();
    }
  }

 private:
  struct watch {
    short events;
    std::function<void()> run;
  };

  void Poll() {
    std::vector<pollfd> polled;
    for (const auto& [fd, one] : watches_) {
      polled.push_back({fd, one.events, 0});
    }
    poll(polled.data(), polled.size(), 1);
    for (const pollfd& one : polled) {
      const auto found = watches_.find(one.fd);
      if (one.revents != 0 && found != watches_.end()) {
        const std::function<void()> run = found->second.run;
        run();
      }
    }
  }

  std::map<int, watch> watches_;
  std::multimap<double, std::function<void()>> timers_;
};

scheduler loop;

// A server of short HTTP/1.1 exchanges, one a connection.
class http_server {
 public:
  using answer = std::function<void(int status, const std::string& body)>;
  using handler = std::function<void(const std::string& target, answer done)>;

  http_server(std::uint32_t address, std::uint16_t port, handler handle)
      : fd_(OpenSocket(SOCK_STREAM, address, port)),
        handle_(std::move(handle)) {
    loop.Watch(fd_, POLLIN, [this] { Accept(); });
  }
  ~http_server() {
    loop.Forget(fd_);
    close(fd_);
  }
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

 private:
  struct connection {
    int fd;
    std::string in;
    std::string out;
    bool asked = false;
    bool closed = false;
  };

  void Accept() {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      const std::shared_ptr<connection> accepted =
          std::make_shared<connection>(connection{fd, "", ""});
      loop.Watch(fd, POLLIN, [this, accepted] { OnReady(accepted); });
    }
  }

  void OnReady(const std::shared_ptr<connection>& one) {
    std::array<char, 4'096> bytes{};
    const ssize_t count = recv(one->fd, bytes.data(), bytes.size(), 0);
    if (count > 0) {
      one->in.append(bytes.data(), static_cast<std::size_t>(count));
    } else if (count == 0 || errno != EAGAIN) {
      Close(one);
      return;
    }
    const std::size_t begin = one->in.find(' ');
    if (one->asked || one->in.find("\r\n\r\n") == std::string::npos) {
      return;
    }
    one->asked = true;
    const std::size_t end = one->in.find(' ', begin + 1);
    handle_(one->in.substr(begin + 1, end - begin - 1),
            [one](int status, const std::string& body) {
              Answer(one, status, body);
            });
  }

  static void Answer(const std::shared_ptr<connection>& one,
                     int status,
                     const std::string& body) {
    if (one->closed) {
      return;
    }
    one->out = "HTTP/1.1 " + std::to_string(status) +
               " Answer\r\nContent-Type: application/json\r\nStore-Era: 0\r\n"
               "Connection: close\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body;
    Write(one);
  }

  static void Write(const std::shared_ptr<connection>& one) {
    const ssize_t count =
        send(one->fd, one->out.data(), one->out.size(), MSG_NOSIGNAL);
    if (count > 0) {
      one->out.erase(0, static_cast<std::size_t>(count));
    }
    if (one->out.empty() || (count < 0 && errno != EAGAIN)) {
      Close(one);
      return;
    }
    loop.Watch(one->fd, POLLOUT, [one] { Write(one); });
  }

  static void Close(const std::shared_ptr<connection>& one) {
    if (!std::exchange(one->closed, true)) {
      loop.Forget(one->fd);
      close(one->fd);
    }
  }

  int fd_;
  handler handle_;
};

std::string Base64(std::string_view bytes) {
  static constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = i; j < i + 3; ++j) {
      group = group << 8 |
              (j < bytes.size() ? static_cast<std::uint8_t>(bytes[j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j <= bytes.size() ? kDigits[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

// The platform's store: items with revisions, listings and watches.
class platform_store {
 public:
  explicit platform_store(std::uint32_t address)
      : server_(
            address,
            kStorePort,
            [this](const std::string& target, const http_server::answer& done) {
              loop.After(kStoreAnswerMs,
                         [this, target, done] { Serve(target, done); });
            }) {}

  void Put(const std::string& key, const std::string& value) {
    const std::string item = R"({"key":")" + key + R"(","value":")" +
                             Base64(value) + R"(","revision":)" +
                             std::to_string(++revision_) +
                             R"(,"created":1,"lease":0})";
    items_[key] = item;
    events_.push_back({revision_, item});
    AnswerWatches();
  }

  void Delete(const std::string& key) {
    if (items_.erase(key) > 0) {
      events_.push_back({++revision_, R"({"key":")" + key + R"(","revision":)" +
                                          std::to_string(revision_) +
                                          R"(,"deleted":true})"});
      AnswerWatches();
    }
  }

 private:
  struct event {
    std::uint64_t revision;
    std::string text;
  };
  struct waiting {
    std::uint64_t after;
    http_server::answer done;
    bool answered = false;
  };

  static std::string Parameter(const std::string& target, const char* name) {
    const std::string start = std::string(name) + "=";
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      const std::size_t next = target.find('&', at + 1);
      if (target.compare(at + 1, start.size(), start) == 0) {
        const std::size_t begin = at + 1 + start.size();
        return Decode(target.substr(
            begin, next == std::string::npos ? next : next - begin));
      }
      at = next;
    }
    return "";
  }

  static std::string Decode(const std::string& text) {
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        plain +=
            static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        plain += text[i];
      }
    }
    return plain;
  }

  void Serve(const std::string& target, const http_server::answer& done) {
    if (target.starts_with("/rosemaryreach/kv-range")) {
      List(Parameter(target, "prefix"), Parameter(target, "after"), done);
    } else if (target.starts_with("/rosemaryreach/kv-watch")) {
      Watch(target, done);
    } else {
      done(404, "{}");
    }
  }

  void List(const std::string& prefix,
            const std::string& after,
            const http_server::answer& done) const {
    std::string items;
    for (const auto& [key, item] : items_) {
      if (key.starts_with(prefix) && key > after) {
        items += (items.empty() ? "" : ",") + item;
      }
    }
    done(200, R"({"items":[)" + items +
                  R"(],"hasMore":false,"storeRevision":)" +
                  std::to_string(revision_) + "}");
  }

  void Watch(const std::string& target, const http_server::answer& done) {
    const std::uint64_t after = std::stoull("0" + Parameter(target, "after"));
    if (after > revision_) {
      done(410, "{}");
      return;
    }
    const std::shared_ptr<waiting> one =
        std::make_shared<waiting>(waiting{after, done});
    if (after < revision_) {
      Answer(*one);
      return;
    }
    waiting_.push_back(one);
    loop.After(std::stod("0" + Parameter(target, "waitMs")),
               [this, one] { Answer(*one); });
  }

  void AnswerWatches() {
    for (const std::shared_ptr<waiting>& one : std::exchange(waiting_, {})) {
      Answer(*one);
    }
  }

  void Answer(waiting& one) {
    if (std::exchange(one.answered, true)) {
      return;
    }
    std::string events;
    for (const event& written : events_) {
      if (written.revision > one.after) {
        events += (events.empty() ? "" : ",") + written.text;
      }
    }
    one.done(200, R"({"events":[)" + events + R"(],"storeRevision":)" +
                      std::to_string(revision_) + "}");
  }

  std::map<std::string, std::string> items_;
  std::vector<event> events_;
  std::vector<std::shared_ptr<waiting>> waiting_;
  std::uint64_t revision_ = 1;
  http_server server_;
};

// A packet of a flow.
struct packet {
  std::uint32_t sum = 0;
  std::uint8_t flags = 0;
  std::uint16_t to_port = 0;
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  std::uint16_t from_port = 0;
  std::uint32_t echo = 0;
  std::uint32_t sequence = 0;
  std::uint32_t acknowledged = 0;
  std::string data;
};

template <typename Number>
void Append(std::string& bytes, Number value) {
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    bytes += static_cast<char>(value >> (8 * i));
  }
}

template <typename Number>
Number Extract(std::string_view bytes, std::size_t at) {
  Number value = 0;
  for (std::size_t i = sizeof(Number); i > 0; --i) {
    value = static_cast<Number>(value << 8 |
                                static_cast<std::uint8_t>(bytes[at + i - 1]));
  }
  return value;
}

// The keyed sum of the two ends; leaves out `echo`.
std::uint32_t SumOf(const packet& one) {
  std::string bytes;
  Append(bytes, one.flags);
  Append(bytes, one.to_port);
  Append(bytes, one.from);
  Append(bytes, one.to);
  Append(bytes, one.from_port);
  Append(bytes, one.sequence);
  Append(bytes, one.acknowledged);
  std::uint32_t sum = 0x9E3779B9;
  for (const char byte : bytes + one.data) {
    sum = (sum ^ static_cast<std::uint8_t>(byte)) * 16'777'619;
  }
  return sum == 0 ? 1 : sum;
}

std::string Encode(packet one) {
  one.sum = SumOf(one);
  std::string bytes;
  Append(bytes, one.sum);
  Append(bytes, one.flags);
  Append(bytes, std::uint8_t{0});
  Append(bytes, one.to_port);
  Append(bytes, one.from);
  Append(bytes, one.to);
  Append(bytes, one.from_port);
  Append(bytes, static_cast<std::uint16_t>(one.data.size()));
  Append(bytes, one.echo);
  Append(bytes, one.sequence);
  Append(bytes, one.acknowledged);
  return bytes + one.data;
}

// Returns whether `bytes` are a packet as its sender wrote it.
bool Parse(std::string_view bytes, packet& one) {
  if (bytes.size() < kHeaderBytes) {
    return false;
  }
  one.sum = Extract<std::uint32_t>(bytes, 0);
  one.flags = Extract<std::uint8_t>(bytes, 4);
  one.to_port = Extract<std::uint16_t>(bytes, 6);
  one.from = Extract<std::uint32_t>(bytes, 8);
  one.to = Extract<std::uint32_t>(bytes, 12);
  one.from_port = Extract<std::uint16_t>(bytes, 16);
  one.echo = Extract<std::uint32_t>(bytes, 20);
  one.sequence = Extract<std::uint32_t>(bytes, 24);
  one.acknowledged = Extract<std::uint32_t>(bytes, 28);
  one.data = bytes.substr(kHeaderBytes);
  const bool reset = one.sum == 0 && one.flags == kRst && one.data.empty();
  return reset || one.sum == SumOf(one);
}

void Send(int fd,
          std::uint32_t address,
          std::uint16_t port,
          const std::string& bytes) {
  const sockaddr_in to = ToSocketAddress(address, port);
  (void)sendto(fd, bytes.data(), bytes.size(), 0,
               reinterpret_cast<const sockaddr*>(&to), sizeof(to));
}

// One flow with one request, from its opening to its end, as both ends saw it.
struct call {
  std::string name;
  std::string service;  // that its route names
  double sent_ms = 0;   // the copy of the first packet that opened it
  double opened_ms = 0;
  double run_ms = 0;
  std::string ran_at;
  std::string ran_service;
  int runs = 0;
  std::string outcome = "open";
};

// A reset of an open flow, as its requester got it.
struct reset {
  std::string request;
  std::uint32_t host;   // at which the flow opened
  std::uint32_t from;   // sender of the reset
  std::uint32_t taker;  // instance that got the flow's last packet
  double at_ms;
};

std::map<std::string, call> calls;
std::vector<reset> resets;
int foreign_packets = 0;  // at either end, not as their sender wrote them

// A host: registers itself, takes flows and runs their requests.
class host {
 public:
  struct options {
    std::string id;
    std::string service;
    std::string zone;
    std::uint32_t address = 0;
    double work_ms = 65;
    double cold_ms = 0;  // after its start
  };
  struct taken_flow {
    double sent_ms;
    double arrived_ms;
  };

  host(platform_store& store, options options)
      : store_(store),
        options_(std::move(options)),
        born_(UnixMs()),
        fd_(OpenSocket(SOCK_DGRAM, options_.address, kHostPort)),
        health_(std::make_unique<http_server>(
            options_.address,
            kHostPort,
            [](const std::string&, const http_server::answer& done) {
              done(200, "{}");
            })) {
    loop.Watch(fd_, POLLIN, [this] { OnPackets(); });
    if (options_.cold_ms > 0) {
      TurnCold(options_.cold_ms);
    }
    Heartbeat();
    // Hosts write at times of their own.
    loop.After(
        std::stoull(options_.id.substr(2), nullptr, 16) * 290 % kHeartbeatMs,
        [this] {
          Heartbeat();
          loop.Every(kHeartbeatMs, [this] { Heartbeat(); });
        });
  }

  // Is cold for this long from now on, as the next heartbeat says.
  void TurnCold(double cold_ms) {
    cold_.emplace_back(NowMs(), NowMs() + cold_ms);
    Record("host %s of %s in %s is cold for %.0f ms", options_.id.c_str(),
           options_.service.c_str(), options_.zone.c_str(), cold_ms);
  }

  // Writes the entry in the store.
  void Heartbeat() {
    if (fallen_) {
      return;
    }
    double cold_left = 0;
    for (const auto& [begin, end] : cold_) {
      cold_left = std::max(cold_left, end - NowMs());
    }
    const std::string fields =
        R"({"service":")" + options_.service + R"(","address":")" +
        FormatAddress(options_.address) + ":" + std::to_string(kHostPort) +
        R"(","zone":")" + options_.zone +
        R"(","version":"v1","maxConcurrency":)" + std::to_string(kSlots) +
        R"(,"state":"ready","coldLeftMs":)" +
        std::to_string(static_cast<int>(cold_left)) + R"(,"sequence":)" +
        std::to_string(++sequence_) + R"(,"born":)" + std::to_string(born_) +
        "}";
    store_.Put("servers/" + options_.id, fields);
  }

  const options& about() const { return options_; }
  const std::vector<std::pair<double, double>>& cold() const { return cold_; }
  const std::vector<taken_flow>& taken() const { return taken_; }
  bool IsColdAt(double time_ms) const {
    return std::any_of(cold_.begin(), cold_.end(), [&](const auto& one) {
      return one.first <= time_ms && time_ms < one.second;
    });
  }

 private:
  struct flow {
    std::uint32_t first = 0;     // sequence number of the first packet
    std::uint32_t sequence = 0;  // of the next byte sent
    std::uint32_t received = 0;  // of the next byte expected
    std::uint32_t echo = 0;
    double syn_arrived_ms = 0;
    std::uint16_t caller_packet_port = kPacketPort;
    bool open = false;
    packet reply_to;
  };
  using caller = std::pair<std::uint32_t, std::uint16_t>;

  void OnPackets() {
    std::array<char, 2'048> bytes{};
    ssize_t count = 0;
    while ((count = recv(fd_, bytes.data(), bytes.size(), 0)) > 0) {
      const std::string_view datagram(bytes.data(),
                                      static_cast<std::size_t>(count));
      if (fallen_ || datagram.size() < kTargetBytes + kHeaderBytes) {
        continue;
      }
      std::uint64_t meant = 0;
      for (std::size_t i = 0; i < kTargetBytes; ++i) {
        meant = meant << 8 | static_cast<std::uint8_t>(datagram[i]);
      }
      if (meant != 0 &&
          meant != std::stoull(options_.id.substr(2), nullptr, 16)) {
        continue;
      }
      packet one;
      if (!Parse(datagram.substr(kTargetBytes), one)) {
        ++foreign_packets;
        Record("host %s got a packet that its sender did not write so",
               options_.id.c_str());
        continue;
      }
      OnPacket(one);
    }
  }

  void OnPacket(const packet& one) {
    const caller from{one.from, one.from_port};
    if ((one.flags & kSyn) != 0) {
      flow& opened = flows_[from];
      if (opened.sequence == 0 || opened.first != one.sequence) {
        opened = {};
        opened.first = one.sequence;
        opened.received = one.sequence + 1;
        opened.sequence = ++next_sequence_ * 1'000'000;
        opened.syn_arrived_ms = NowMs();
      }
      if (opened.open) {
        return;  // a late copy
      }
      opened.echo = one.echo;
      Reply(one, opened, opened.sequence, kSyn | kAck, "");
      return;
    }
    const auto found = flows_.find(from);
    if (found == flows_.end() ||
        (!found->second.open &&
         one.acknowledged != found->second.sequence + 1)) {
      Reply(one, {}, 0, kRst, "");
      return;
    }
    OnFlowPacket(one, found->second);
    if ((one.flags & kRst) != 0) {
      flows_.erase(found);
    }
  }

  void OnFlowPacket(const packet& one, flow& flow) {
    flow.echo = one.echo;
    if (!std::exchange(flow.open, true)) {
      ++flow.sequence;
    }
    if ((one.flags & kFin) != 0) {
      Reply(one, flow, flow.sequence, kFin | kAck, "");
      return;
    }
    if (one.data.empty() || one.sequence != flow.received) {
      return;
    }
    flow.received += static_cast<std::uint32_t>(one.data.size());
    const std::size_t at = one.data.find("X-Request-Id: ");
    const std::string name =
        one.data.substr(at + 14, one.data.find('\r', at) - at - 14);
    call& run = calls[name];
    run.ran_at = options_.id;
    run.ran_service = options_.service;
    run.run_ms = NowMs();
    ++run.runs;
    taken_.push_back({run.sent_ms, flow.syn_arrived_ms});
    waiting_.emplace_back(one, name);
    FallOverIfOverloaded();
    RunNext();
  }

  // A cold host crashes under more load than the rule allows: it discards its
  // flows, and its entry lapses after three heartbeats.
  void FallOverIfOverloaded() {
    const auto recent = std::count_if(
        taken_.begin(), taken_.end(), [this](const taken_flow& one) {
          return NowMs() - one.sent_ms < 1'000 && IsColdAt(one.arrived_ms);
        });
    if (fallen_ || static_cast<double>(recent) <= kAllowedWhileCold) {
      return;
    }
    fallen_ = true;
    flows_.clear();
    waiting_.clear();
    health_.reset();
    Record("host %s falls over: %d requests in a second while cold",
           options_.id.c_str(), static_cast<int>(recent));
    loop.After(3 * kHeartbeatMs,
               [this] { store_.Delete("servers/" + options_.id); });
  }

  // Runs as many requests at a time as the entry says; the others wait.
  void RunNext() {
    if (running_ >= kSlots || waiting_.empty()) {
      return;
    }
    ++running_;
    const auto [one, name] = waiting_.front();
    waiting_.pop_front();
    loop.After(options_.work_ms, [this, one = one, name = name] {
      --running_;
      Answer(one, name);
      RunNext();
    });
  }

  void Answer(const packet& one, const std::string& name) {
    const auto found = flows_.find({one.from, one.from_port});
    if (found == flows_.end()) {
      return;
    }
    const std::string body = "answer to " + name;
    const std::string text =
        "HTTP/1.1 200 OK\r\nX-Server-Seal: " + options_.id +
        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
        body;
    Reply(one, found->second, found->second.sequence, kAck, text);
    found->second.sequence += static_cast<std::uint32_t>(text.size());
  }

  void Reply(const packet& to,
             const flow& flow,
             std::uint32_t sequence,
             std::uint8_t flags,
             const std::string& data) const {
    packet one;
    one.flags = flags;
    one.from = to.to;
    one.from_port = to.to_port;
    one.to = to.from;
    one.to_port = to.from_port;
    one.echo = flow.echo;
    one.sequence = sequence;
    one.acknowledged = flow.received;
    one.data = data;
    Send(fd_, to.from, kPacketPort, Encode(one));
  }

  platform_store& store_;
  options options_;
  std::uint64_t born_;
  int fd_;
  std::unique_ptr<http_server> health_;
  std::uint64_t sequence_ = 0;
  std::uint32_t next_sequence_ = 0;
  std::map<caller, flow> flows_;
  std::vector<std::pair<double, double>> cold_;
  std::vector<taken_flow> taken_;
  std::deque<std::pair<packet, std::string>> waiting_;
  std::uint32_t running_ = 0;
  bool fallen_ = false;
};

// The platform's routers: keep ready instances in rotation and pick one for
// each flow by a steady hash.
class router {
 public:
  struct instance {
    std::string zone;
    std::uint32_t address = 0;
    int misses = 2;
    bool asked = false;
  };

  explicit router(std::vector<instance> instances)
      : instances_(std::move(instances)) {
    Probe();
    loop.Every(500, [this] { Probe(); });
  }

  std::size_t ready() const {
    return static_cast<std::size_t>(
        std::count_if(instances_.begin(), instances_.end(),
                      [](const instance& one) { return one.misses < 2; }));
  }

  // Returns the instance for a flow from `zone`; 0 if there is none.
  std::uint32_t Pick(const std::string& zone, std::uint64_t flow) const {
    std::vector<std::uint32_t> all;
    std::vector<std::uint32_t> rotating;
    std::vector<std::uint32_t> elsewhere;
    for (const instance& one : instances_) {
      const bool rotates = one.misses < 2;
      if (one.zone == zone) {
        all.push_back(one.address);
      }
      if (rotates) {
        (one.zone == zone ? rotating : elsewhere).push_back(one.address);
      }
    }
    if (rotating.empty()) {
      return Best(elsewhere, flow);
    }
    return Best(2 * rotating.size() < all.size() ? all : rotating, flow);
  }

 private:
  static std::uint32_t Best(const std::vector<std::uint32_t>& from,
                            std::uint64_t flow) {
    std::uint32_t best = 0;
    std::uint64_t best_score = 0;
    for (const std::uint32_t address : from) {
      std::uint64_t score =
          (flow ^ address * 0x9E3779B97F4A7C15ULL) * 0xBF58476D1CE4E5B9ULL;
      score = (score ^ score >> 29) * 0x94D049BB133111EBULL;
      score ^= score >> 32;
      if (best == 0 || score > best_score) {
        best = address;
        best_score = score;
      }
    }
    return best;
  }

  void Probe() {
    for (instance& one : instances_) {
      ProbeOne(one);
    }
  }

  // Asks once; an answer of 200 within kProbeTimeoutMs counts.
  static void ProbeOne(instance& one) {
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in to = ToSocketAddress(one.address, kReadyPort);
    (void)connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    const std::shared_ptr<bool> good = std::make_shared<bool>(false);
    loop.Watch(fd, POLLOUT, [fd, good] {
      static constexpr std::string_view kRequest =
          "GET /readyz HTTP/1.1\r\nHost: instance\r\nConnection: close\r\n\r\n";
      if (send(fd, kRequest.data(), kRequest.size(), MSG_NOSIGNAL) <= 0) {
        loop.Forget(fd);
        return;
      }
      loop.Watch(fd, POLLIN, [fd, good] {
        std::array<char, 1'024> bytes{};
        const ssize_t count = recv(fd, bytes.data(), bytes.size(), 0);
        const std::string_view text(
            bytes.data(),
            static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        *good = *good || text.starts_with("HTTP/1.1 200");
        loop.Forget(fd);
      });
    });
    loop.After(kProbeTimeoutMs, [fd, good, &one] {
      loop.Forget(fd);
      close(fd);
      const int before = one.misses;
      one.misses = *good ? 0 : one.misses + 1;
      if ((before < 2) != (one.misses < 2)) {
        Record("instance %s is %s rotation", FormatAddress(one.address).c_str(),
               one.misses < 2 ? "in" : "out of");
      }
    });
  }

  std::vector<instance> instances_;
};

// Requesters of one zone, at one address: a flow for each request.
class requesters {
 public:
  requesters(const router& router, std::string zone, std::uint32_t address)
      : router_(router),
        zone_(std::move(zone)),
        address_(address),
        fd_(OpenSocket(SOCK_DGRAM, address, kPacketPort)) {
    loop.Watch(fd_, POLLIN, [this] { OnPackets(); });
  }

  // Opens a flow for `requests` requests with pauses between them.
  void Ask(const std::string& service,
           std::uint16_t route_port,
           int requests = 1) {
    const std::uint16_t port = ++next_port_;
    flow& opened = flows_[port];
    opened = {};
    opened.service = service;
    opened.requests = requests;
    opened.route_port = route_port;
    BeginCall(opened);
    opened.sequence = 1'000U * port;
    SendSyn(port, 0);
  }

 private:
  struct flow {
    std::string name;  // of the present request
    std::string service;
    int requests = 1;  // the present one and those after it
    std::uint16_t route_port = 0;
    std::uint32_t host = 0;   // address of the one that it opened at
    std::uint32_t taker = 0;  // instance that the last packet was sent to
    std::uint32_t sequence = 0;
    std::uint32_t received = 0;
    std::uint32_t echo = 0;
    bool open = false;
    bool ended = false;
  };

  void BeginCall(flow& flow) const {
    static int next = 0;
    flow.name = zone_ + "-" + std::to_string(++next);
    calls[flow.name].name = flow.name;
    calls[flow.name].service = flow.service;
    calls[flow.name].sent_ms = NowMs();
  }

  void SendSyn(std::uint16_t port, std::uint32_t copy) {
    flow& one = flows_[port];
    if (one.open || one.ended) {
      return;
    }
    if (copy == 3) {
      End(one, "never opened");
      return;
    }
    calls[one.name].sent_ms = NowMs();
    SendPacket(port, kSyn, copy, "");
    static constexpr std::array<double, 3> kWaitMs = {200, 400, 800};
    loop.After(kWaitMs.at(copy), [this, port, copy, name = one.name] {
      if (flows_[port].name == name) {
        SendSyn(port, copy + 1);
      }
    });
  }

  void SendRequest(std::uint16_t port, double wait_ms, double until_ms) {
    flow& one = flows_[port];
    if (one.ended) {
      return;
    }
    if (NowMs() >= until_ms) {
      End(one, "no answer in its time budget");
      return;
    }
    SendPacket(port, kAck, one.received,
               "POST /bookings HTTP/1.1\r\nHost: ledger\r\nX-Request-Id: " +
                   one.name + "\r\nContent-Length: 0\r\n\r\n");
    loop.After(wait_ms, [this, port, wait_ms, until_ms, name = one.name] {
      if (flows_[port].name == name) {
        SendRequest(port, std::min(2 * wait_ms, 1'600.0), until_ms);
      }
    });
  }

  void OnPackets() {
    std::array<char, 2'048> bytes{};
    ssize_t count = 0;
    sockaddr_in from{};
    socklen_t size = sizeof(from);
    while ((count = recvfrom(fd_, bytes.data(), bytes.size(), 0,
                             reinterpret_cast<sockaddr*>(&from), &size)) > 0) {
      packet one;
      if (!Parse({bytes.data(), static_cast<std::size_t>(count)}, one)) {
        ++foreign_packets;
        continue;
      }
      OnPacket(one, ntohl(from.sin_addr.s_addr));
    }
  }

  void OnPacket(const packet& one, std::uint32_t from) {
    const auto found = flows_.find(one.to_port);
    if (found == flows_.end() || found->second.ended) {
      return;
    }
    flow& flow = found->second;
    if ((one.flags & kRst) != 0) {
      OnReset(flow, from);
      return;
    }
    // The last echo that was received on the flow, whoever sent it.
    flow.echo = one.echo;
    if ((one.flags & kSyn) != 0) {
      if (!std::exchange(flow.open, true)) {
        flow.host = from;
        flow.received = one.sequence + 1;
        ++flow.sequence;
        calls[flow.name].opened_ms = NowMs();
        SendRequest(one.to_port, 200, NowMs() + 3'000);
      }
      return;
    }
    if (!one.data.empty() && one.sequence == flow.received) {
      flow.received += static_cast<std::uint32_t>(one.data.size());
      flow.sequence = one.acknowledged;
      OnAnswer(flow, one.to_port, one.data.ends_with("answer to " + flow.name));
    }
  }

  void OnAnswer(flow& flow, std::uint16_t port, bool own) {
    if (!own || --flow.requests == 0) {
      SendPacket(port, kAck | kFin, flow.received, "");
      End(flow, own ? "answered" : "foreign answer");
      return;
    }
    calls[flow.name].outcome = "answered";
    SendPacket(port, kAck, flow.received, "");
    BeginCall(flow);
    loop.After(150, [this, port, name = flow.name] {
      if (flows_[port].name == name) {
        SendRequest(port, 200, NowMs() + 3'000);
      }
    });
  }

  void OnReset(flow& flow, std::uint32_t from) {
    if (flow.open) {
      resets.push_back({flow.name, flow.host, from, flow.taker, NowMs()});
    }
    End(flow, flow.open ? "reset while open" : "refused");
  }

  void End(flow& flow, const char* outcome) {
    flow.ended = true;
    calls[flow.name].outcome = outcome;
  }

  void SendPacket(std::uint16_t port,
                  std::uint8_t flags,
                  std::uint32_t acknowledged,
                  const std::string& data) {
    flow& flow = flows_[port];
    packet one;
    one.flags = flags;
    one.from = address_;
    one.from_port = port;
    one.to = kRouteAddress;
    one.to_port = flow.route_port;
    one.echo = flow.echo;
    one.sequence = flow.sequence;
    one.acknowledged = acknowledged;
    one.data = data;
    const std::uint32_t to =
        router_.Pick(zone_, static_cast<std::uint64_t>(address_) << 32 |
                                port << 16 | flow.route_port);
    flow.taker = to;
    if (to != 0) {
      Send(fd_, to, kPacketPort, Encode(one));
    }
  }

  const router& router_;
  std::string zone_;
  std::uint32_t address_;
  int fd_;
  std::uint16_t next_port_ = 20'000;
  std::map<std::uint16_t, flow> flows_;
};

constexpr std::array<const char*, 3> kZones = {"almaty-a", "almaty-b",
                                               "almaty-c"};

std::string Configuration(double cold_start_s) {
  const auto route = [](const char* name, std::uint16_t port, const char* type,
                        const char* service) {
    return R"({"name":")" + std::string(name) + R"(","host":")" +
           FormatAddress(kRouteAddress) + R"(","prefix":"/)" +
           std::to_string(port) + R"(/","type":")" + type +
           R"(","timeoutMs":3000,"sloMs":300,"priority":1,"service":")" +
           service + R"(","maxAttempts":2})";
  };
  const auto service = [cold_start_s](const char* name) {
    return R"({"name":")" + std::string(name) +
           R"(","healthPath":"/healthz","maxConns":2000,"protocol":"h1",)"
           R"("tls":false,"coldStartS":)" +
           std::to_string(cold_start_s) + R"(,"coldPerS":)" +
           std::to_string(kColdPerS) + "}";
  };
  return R"({"version":7,"routes":[)" +
         route("r-book", kLedgerPort, "non_idempotent", "ledger") + "," +
         route("r-files", kFilesPort, "download", "files") +
         R"(],"services":[)" + service("ledger") + "," + service("files") +
         R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

// Everything around the instances.
class deployment {
 public:
  deployment(const std::string& prefix,
             std::vector<router::instance> instances,
             double cold_start_s)
      : prefix_(prefix),
        store_(ParseAddress(prefix + ".2")),
        router_(std::move(instances)) {
    store_.Put("op/config", Configuration(cold_start_s));
    for (std::size_t i = 0; i < kZones.size(); ++i) {
      requesters_.push_back(std::make_unique<requesters>(
          router_, kZones.at(i),
          ParseAddress(prefix + "." + std::to_string(201 + i))));
    }
  }

  host& AddHost(const std::string& service,
                const std::string& zone,
                double cold_ms,
                double work_ms = 65) {
    const std::size_t number = hosts_.size() + 1;
    std::array<char, 16> id{};
    std::snprintf(id.data(), id.size(), "i-%08zx", 0x7f3a9100 + number);
    hosts_.push_back(std::make_unique<host>(
        store_, host::options{
                    id.data(), service, zone,
                    ParseAddress(prefix_ + "." + std::to_string(100 + number)),
                    work_ms, cold_ms}));
    Record("host %s of %s starts in %s", id.data(), service.c_str(),
           zone.c_str());
    return *hosts_.back();
  }

  // Sends `per_s` requests a second, spread over the zones, from `begin_ms` to
  // `end_ms`.
  void StartRequests(const std::string& service,
                     std::uint16_t port,
                     double per_s,
                     double begin_ms,
                     double end_ms,
                     int requests = 1) {
    for (double at = begin_ms; at < end_ms; at += 1'000 / per_s) {
      loop.At(at, [this, service, port, requests] {
        requesters_[++asked_ % requesters_.size()]->Ask(service, port,
                                                        requests);
      });
    }
  }

  platform_store& store() { return store_; }
  const router& routers() const { return router_; }
  const std::vector<std::unique_ptr<host>>& hosts() const { return hosts_; }

 private:
  std::string prefix_;
  platform_store store_;
  router router_;
  std::vector<std::unique_ptr<host>> hosts_;
  std::vector<std::unique_ptr<requesters>> requesters_;
  std::size_t asked_ = 0;
};

// Returns whether a host took more opening packets in a second of its cold time
// than the rule allows; counted are those sent and arrived inside that second.
bool FailbackBroken(const deployment& all) {
  bool broken = false;
  for (const std::unique_ptr<host>& one : all.hosts()) {
    std::size_t most = 0;
    double most_at = 0;
    for (const host::taken_flow& first : one->taken()) {
      const double begin = first.sent_ms;
      const auto inside = [&](const host::taken_flow& flow) {
        return flow.sent_ms >= begin && flow.arrived_ms < begin + 1'000 &&
               one->IsColdAt(flow.arrived_ms);
      };
      const std::size_t count = static_cast<std::size_t>(
          std::count_if(one->taken().begin(), one->taken().end(), inside));
      if (count > most) {
        most = count;
        most_at = begin;
      }
    }
    if (!one->cold().empty()) {
      Record(
          "host %s took at most %zu requests in a second while cold, from "
          "%.3f s on; allowed are %.1f",
          one->about().id.c_str(), most, most_at / 1'000, kAllowedWhileCold);
    }
    broken = broken || static_cast<double>(most) > kAllowedWhileCold;
  }
  return broken;
}

bool RouteBroken() {
  std::size_t foreign = 0;
  for (const auto& [name, one] : calls) {
    if (one.runs > 0 && one.service != one.ran_service) {
      ++foreign;
    }
  }
  Record("%zu requests ran at a service that their route does not name",
         foreign);
  return foreign > 0;
}

void RecordCalls() {
  std::map<std::string, std::size_t> outcomes;
  for (const auto& [name, one] : calls) {
    ++outcomes[one.outcome];
    std::fprintf(
        record, "%10.3f s  request %s for %s: ran %d times, at %s of %s; %s\n",
        one.sent_ms / 1'000, name.c_str(), one.service.c_str(), one.runs,
        one.ran_at.c_str(), one.ran_service.c_str(), one.outcome.c_str());
  }
  const auto lost =
      std::count_if(calls.begin(), calls.end(), [](const auto& one) {
        return one.second.runs > 0 && one.second.outcome != "answered";
      });
  Record("%d requests ran or began to run and were never answered",
         static_cast<int>(lost));
  for (const auto& [outcome, count] : outcomes) {
    Record("%zu requests: %s", count, outcome.c_str());
  }
}

// Hosts at the start: `ledger` has three in each zone, `files` one.
void AddUsualHosts(deployment& all) {
  for (const char* zone : kZones) {
    for (int i = 0; i < 3; ++i) {
      all.AddHost("ledger", zone, 0);
    }
    all.AddHost("files", zone, 0);
  }
}

// Another writer puts an entry that lacks `version` and `sequence` where a host
// of `files` has registered itself, as often as hosts write theirs.
bool PlayOddEntry(deployment& all, bool trouble) {
  AddUsualHosts(all);
  all.StartRequests("ledger", kLedgerPort, 180, 4'000, 15'000);
  all.StartRequests("files", kFilesPort, 10, 4'000, 15'000);
  const host::options& files = all.hosts().at(3)->about();
  constexpr std::uint64_t kWriterStartMs = 10'400;
  const std::string entry =
      R"({"service":"ledger","address":")" + FormatAddress(files.address) +
      ":" + std::to_string(kHostPort) + R"(","zone":")" + files.zone +
      R"(","maxConcurrency":4,"state":"ready","coldLeftMs":0,"born":)" +
      std::to_string(UnixMs() + kWriterStartMs) + "}";
  for (int i = 0; trouble && i < 5; ++i) {
    loop.At(static_cast<double>(kWriterStartMs + i * kHeartbeatMs),
            [&all, &files, entry] {
              Record("another writer puts servers/%s: %s", files.id.c_str(),
                     entry.c_str());
              all.store().Put("servers/" + files.id, entry);
            });
  }
  loop.RunUntil(19'000);
  return RouteBroken();
}

// A host that started cold turns cold again before that has passed.
bool PlayColdAgain(deployment& all, bool trouble, double cold_start_ms) {
  AddUsualHosts(all);
  all.StartRequests("ledger", kLedgerPort, 300, 4'000, 16'000);
  loop.At(9'000, [&all, trouble, cold_start_ms] {
    host& added = all.AddHost("ledger", kZones.at(0), cold_start_ms);
    loop.After(0.8 * cold_start_ms, [&added, trouble, cold_start_ms] {
      if (trouble) {
        added.TurnCold(cold_start_ms);
        added.Heartbeat();
      }
    });
  });
  loop.RunUntil(20'000);
  return FailbackBroken(all);
}

// A service gets its first host in a zone, at instances whose seeds may be
// stale.
bool PlayStaleSeeds(deployment& all, double cold_start_ms) {
  for (const char* zone : {kZones.at(0), kZones.at(1)}) {
    for (int i = 0; i < 4; ++i) {
      all.AddHost("ledger", zone, 0);
    }
  }
  all.StartRequests("ledger", kLedgerPort, 180, 4'000, 16'000);
  loop.At(10'000, [&all, cold_start_ms] {
    all.AddHost("ledger", kZones.at(2), cold_start_ms);
  });
  loop.RunUntil(20'000);
  return FailbackBroken(all);
}

// The hosts of a zone that was taken out are cold when it is taken back; their
// entries say so with their next heartbeats.
bool PlayTakenBack(deployment& all, bool trouble, double cold_start_ms) {
  AddUsualHosts(all);
  all.StartRequests("ledger", kLedgerPort, 300, 4'000, 18'000);
  const std::string zone = kZones.at(1);
  loop.At(7'000, [&all, zone] {
    Record("the operator takes zone %s out", zone.c_str());
    all.store().Put("op/evacuate/" + zone, "{}");
  });
  loop.At(14'000, [&all, zone, trouble, cold_start_ms] {
    for (const std::unique_ptr<host>& one : all.hosts()) {
      if (trouble && one->about().zone == zone) {
        one->TurnCold(cold_start_ms);
      }
    }
    Record("the operator takes zone %s back", zone.c_str());
    all.store().Delete("op/evacuate/" + zone);
  });
  loop.RunUntil(22'000);
  return FailbackBroken(all);
}

struct freeze {
  std::uint32_t instance;
  double begin_ms;
  double end_ms;
};

// Reads the process of the instance at `address` from the file that PIDS names.
pid_t ProcessOf(const std::string& address) {
  const char* path = std::getenv("PIDS");
  FILE* file = path == nullptr ? nullptr : std::fopen(path, "r");
  pid_t found = 0;
  std::array<char, 64> name{};
  int pid = 0;
  while (file != nullptr &&
         std::fscanf(file, "%63s %d", name.data(), &pid) == 2) {
    found = address == name.data() ? pid : found;
  }
  if (file != nullptr) {
    std::fclose(file);
  }
  return found;
}

// Returns whether an open flow was reset by another than its host, while the
// host lived and the instance that took its last packet was in touch.
bool FlowBroken(const std::vector<freeze>& freezes) {
  constexpr double kStableWindowMs = 4'000;
  std::size_t broken = 0;
  for (const reset& one : resets) {
    const bool in_touch =
        std::none_of(freezes.begin(), freezes.end(), [&](const freeze& other) {
          return other.instance == one.taker && one.at_ms >= other.begin_ms &&
                 one.at_ms < other.end_ms + kStableWindowMs;
        });
    const bool counts = one.from != one.host && in_touch;
    broken += counts ? 1 : 0;
    Record(
        "the flow of %s, open at %s, got a reset of %s; its last packet went "
        "through %s, which was %sin touch",
        one.request.c_str(), FormatAddress(one.host).c_str(),
        FormatAddress(one.from).c_str(), FormatAddress(one.taker).c_str(),
        in_touch ? "" : "not ");
  }
  Record("%zu open flows were reset by another than their host", broken);
  return broken > 0;
}

// Instances are suspended for less than a second, one after the other.
bool PlayShortPauses(deployment& all,
                     bool trouble,
                     const std::vector<router::instance>& instances) {
  constexpr double kPauseMs = 950;
  constexpr double kPeriodMs = 5'300;
  constexpr int kPauses = 14;
  AddUsualHosts(all);
  constexpr double kEndMs = 8'000 + kPauses * kPeriodMs;
  all.StartRequests("ledger", kLedgerPort, 100, 4'000, kEndMs, 4);
  std::vector<freeze> freezes;
  for (int i = 0; trouble && i < kPauses; ++i) {
    const std::uint32_t address =
        instances.at(static_cast<std::size_t>(i) % instances.size()).address;
    loop.At(8'000 + i * kPeriodMs, [address, &freezes] {
      const pid_t pid = ProcessOf(FormatAddress(address));
      if (pid <= 0) {
        return;
      }
      Record("instance %s is stopped", FormatAddress(address).c_str());
      kill(pid, SIGSTOP);
      freezes.push_back({address, NowMs(), NowMs() + kPauseMs});
      loop.After(kPauseMs, [pid, address] {
        kill(pid, SIGCONT);
        Record("instance %s goes on", FormatAddress(address).c_str());
      });
    });
  }
  loop.RunUntil(kEndMs + 5'000);
  return FlowBroken(freezes);
}

int Main(const std::vector<std::string>& arguments) {
  const std::string& scenario = arguments.at(1);
  const std::string& prefix = arguments.at(2);
  record = std::fopen(arguments.at(3).c_str(), "w");
  if (record == nullptr) {
    Unusable(arguments.at(3).c_str());
  }
  std::vector<router::instance> instances;
  for (std::size_t i = 4; i < arguments.size(); ++i) {
    const std::size_t colon = arguments[i].find(':');
    instances.push_back(
        {arguments[i].substr(0, colon),
         ParseAddress(prefix + "." + arguments[i].substr(colon + 1))});
  }
  const char* set = std::getenv("TROUBLE");
  const bool trouble = set == nullptr || std::string_view(set) != "0";
  constexpr double kColdStartMs = 2'000;
  deployment all(prefix, instances, kColdStartMs / 1'000);
  Record("scenario %s, %s disruption", scenario.c_str(),
         trouble ? "with the" : "without its");
  bool broken = false;
  if (scenario == "odd-entry") {
    broken = PlayOddEntry(all, trouble);
  } else if (scenario == "cold-again") {
    broken = PlayColdAgain(all, trouble, kColdStartMs);
  } else if (scenario == "short-pauses") {
    broken = PlayShortPauses(all, trouble, instances);
  } else if (scenario == "taken-back") {
    broken = PlayTakenBack(all, trouble, kColdStartMs);
  } else {
    broken = PlayStaleSeeds(all, kColdStartMs);
  }
  RecordCalls();
  const auto answered = std::count_if(
      calls.begin(), calls.end(),
      [](const auto& one) { return one.second.outcome == "answered"; });
  Record("%d packets at an end that its sender did not write", foreign_packets);
  Record("the rule %s", broken ? "was broken" : "held");
  std::fclose(record);
  if (!broken && answered * 2 < static_cast<long>(calls.size())) {
    return 2;
  }
  return broken ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) {
    std::fprintf(stderr,
                 "usage: deployment SCENARIO PREFIX RECORD INSTANCE...\n");
    return 2;
  }
  return Main({argv, argv + argc});
}
