#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <sstream>

namespace review {
namespace {

constexpr uint8_t kSyn = 4;
constexpr uint8_t kAck = 64;
constexpr uint8_t kFin = 16;
constexpr uint8_t kRst = 8;
constexpr uint8_t kBounced = 2;
constexpr std::size_t kHead = 32;
constexpr std::size_t kPrefix = 8;

std::FILE* g_record = nullptr;

struct wire_packet {
  uint32_t sum = 0;
  uint8_t flags = 0;
  uint16_t dport = 0;
  uint32_t src = 0;
  uint32_t dst = 0;
  uint16_t sport = 0;
  uint16_t len = 0;
  uint32_t echo = 0;
  uint32_t seq = 0;
  uint32_t ack = 0;
};

void Put16(std::string& to, std::size_t at, uint16_t value) {
  for (int i = 0; i < 2; ++i) {
    to[at + i] = static_cast<char>(value >> (8 * i));
  }
}
void Put32(std::string& to, std::size_t at, uint32_t value) {
  for (int i = 0; i < 4; ++i) {
    to[at + i] = static_cast<char>(value >> (8 * i));
  }
}
uint16_t Get16(const std::string& from, std::size_t at) {
  return static_cast<uint16_t>(static_cast<uint8_t>(from[at]) |
                               static_cast<uint8_t>(from[at + 1]) << 8);
}
uint32_t Get32(const std::string& from, std::size_t at) {
  uint32_t value = 0;
  for (int i = 3; i >= 0; --i) {
    value = value << 8 | static_cast<uint8_t>(from[at + i]);
  }
  return value;
}

// A keyed sum over all fields except echo, pad and BOUNCED; never 0.
uint32_t Sum(const wire_packet& packet) {
  uint64_t hash = 0x5eed5eed12345678ULL;
  const auto mix = [&hash](uint64_t value) {
    hash = (hash ^ value) * 0x9E3779B97F4A7C15ULL;
    hash ^= hash >> 29;
  };
  mix(packet.flags & ~kBounced);
  mix(packet.dport);
  mix(packet.src);
  mix(packet.dst);
  mix(packet.sport);
  mix(packet.len);
  mix(packet.seq);
  mix(packet.ack);
  const uint32_t sum = static_cast<uint32_t>(hash);
  return sum == 0 ? 1 : sum;
}

std::string Encode(wire_packet packet, const std::string& data) {
  packet.len = static_cast<uint16_t>(data.size());
  std::string bytes(kHead, '\0');
  Put32(bytes, 0, Sum(packet));
  bytes[4] = static_cast<char>(packet.flags);
  Put16(bytes, 6, packet.dport);
  Put32(bytes, 8, packet.src);
  Put32(bytes, 12, packet.dst);
  Put16(bytes, 16, packet.sport);
  Put16(bytes, 18, packet.len);
  Put32(bytes, 20, packet.echo);
  Put32(bytes, 24, packet.seq);
  Put32(bytes, 28, packet.ack);
  return bytes + data;
}

wire_packet Decode(const std::string& bytes) {
  wire_packet packet;
  packet.sum = Get32(bytes, 0);
  packet.flags = static_cast<uint8_t>(bytes[4]);
  packet.dport = Get16(bytes, 6);
  packet.src = Get32(bytes, 8);
  packet.dst = Get32(bytes, 12);
  packet.sport = Get16(bytes, 16);
  packet.len = Get16(bytes, 18);
  packet.echo = Get32(bytes, 20);
  packet.seq = Get32(bytes, 24);
  packet.ack = Get32(bytes, 28);
  return packet;
}

sockaddr_in SocketAddress(uint32_t address, uint16_t port) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_addr.s_addr = htonl(address);
  to.sin_port = htons(port);
  return to;
}

void SetNonBlocking(int fd) {
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
  fcntl(fd, F_SETFD, FD_CLOEXEC);
}

int BindUdp(uint32_t address, uint16_t port) {
  const int fd = socket(AF_INET, SOCK_DGRAM, 0);
  SetNonBlocking(fd);
  const int buffer = 1 << 20;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
  const sockaddr_in at = SocketAddress(address, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

int ListenTcp(uint32_t address, uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  SetNonBlocking(fd);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in at = SocketAddress(address, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

uint16_t PortOf(int fd) {
  sockaddr_in at{};
  socklen_t size = sizeof(at);
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}

std::string Base64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  text.reserve((bytes.size() + 2) / 3 * 4);
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    const std::size_t left = std::min<std::size_t>(3, bytes.size() - i);
    uint32_t value = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      value = value << 8 | (j < left ? static_cast<uint8_t>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += j <= left ? kDigits[value >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t begin = at + 1;
    const std::size_t end = target.find('&', begin);
    const std::string pair =
        target.substr(begin, end == std::string::npos ? end : end - begin);
    if (pair.compare(0, name.size() + 1, name + "=") == 0) {
      std::string value;
      for (std::size_t i = name.size() + 1; i < pair.size(); ++i) {
        if (pair[i] == '%' && i + 2 < pair.size()) {
          value += static_cast<char>(
              std::strtol(pair.substr(i + 1, 2).c_str(), nullptr, 16));
          i += 2;
        } else {
          value += pair[i];
        }
      }
      return value;
    }
    at = end;
  }
  return "";
}

uint64_t Mix(uint64_t a, uint64_t b) {
  uint64_t hash = (a ^ b * 0x9E3779B97F4A7C15ULL) * 0xBF58476D1CE4E5B9ULL;
  return hash ^ hash >> 31;
}

std::string Endpoint(uint32_t address, uint16_t port) {
  return Ip(address) + ":" + std::to_string(port);
}

}  // namespace

double Now() {
  static const auto kStart = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - kStart)
      .count();
}

uint64_t UnixMillis() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

void CannotRun(const std::string& why) {
  Record("could not run: " + why);
  std::fprintf(stderr, "could not run: %s\n", why.c_str());
  std::exit(2);
}

void OpenRecord(const std::string& path) {
  g_record = std::fopen(path.c_str(), "w");
  if (g_record == nullptr) {
    std::perror(path.c_str());
    std::exit(2);
  }
}

void Record(const std::string& line) {
  if (g_record != nullptr) {
    std::fprintf(g_record, "%9.1f %s\n", Now(), line.c_str());
    std::fflush(g_record);
  }
}

std::string Ip(uint32_t address) {
  in_addr in{htonl(address)};
  char text[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &in, text, sizeof(text));
  return text;
}

uint16_t FreePortOffset(uint32_t address,
                        std::initializer_list<uint16_t> tcp,
                        std::initializer_list<uint16_t> udp) {
  for (uint16_t offset = 0; offset < 2'000; offset += 40) {
    bool free = true;
    for (const uint16_t port : tcp) {
      const int fd = ListenTcp(address, port + offset);
      free = free && fd >= 0;
      close(fd);
    }
    for (const uint16_t port : udp) {
      const int fd = BindUdp(address, port + offset);
      free = free && fd >= 0;
      close(fd);
    }
    if (free) {
      return offset;
    }
  }
  CannotRun("no free ports");
}

uint32_t NextAddress() {
  // 127.x.y.1 to 127.x.y.254 and on, with x and y from the process id.
  static uint32_t next =
      0x7F000000U | (64U + static_cast<uint32_t>(getpid()) % 128U) << 16 |
      (static_cast<uint32_t>(getpid()) / 128U % 32U * 8U) << 8;
  do {
    ++next;
  } while ((next & 0xFF) == 0 || (next & 0xFF) == 255);
  return next;
}

void poll_loop::Watch(int fd,
                      short events,
                      std::function<void(short)> handler) {
  watches_[fd] = std::make_shared<watch>(watch{events, std::move(handler)});
}

void poll_loop::Forget(int fd) {
  watches_.erase(fd);
}

void poll_loop::After(double ms, std::function<void()> run) {
  timers_.emplace(Now() + ms, std::move(run));
}

void poll_loop::RunUntil(double at_ms) {
  RunUntil(at_ms, [] { return false; });
}

bool poll_loop::RunUntil(double at_ms, const std::function<bool()>& done) {
  while (Now() < at_ms) {
    if (done()) {
      return true;
    }
    Step(at_ms);
  }
  return done();
}

void poll_loop::Step(double until) {
  while (!timers_.empty() && timers_.begin()->first <= Now()) {
    const auto due = timers_.begin();
    const std::function<void()> run = std::move(due->second);
    timers_.erase(due);
    run();
  }
  double wait = until - Now();
  if (!timers_.empty()) {
    wait = std::min(wait, timers_.begin()->first - Now());
  }
  std::vector<pollfd> polled;
  for (const auto& [fd, one] : watches_) {
    polled.push_back({fd, one->events, 0});
  }
  const int count =
      poll(polled.data(), polled.size(),
           static_cast<int>(std::clamp(wait + 0.999, 0.0, 100.0)));
  for (const pollfd& one : polled) {
    if (count <= 0) {
      break;
    }
    const auto found = watches_.find(one.fd);
    if (one.revents != 0 && found != watches_.end()) {
      const std::shared_ptr<watch> held = found->second;
      held->handler(one.revents);
    }
  }
}

struct platform_store::connection {
  int fd = -1;
  std::string in;
  std::string out;
  std::size_t sent = 0;
  bool closed = false;
};

platform_store::platform_store(poll_loop& loop, uint32_t address, uint16_t port)
    : loop_(loop) {
  listener_ = ListenTcp(address, port);
  if (listener_ < 0) {
    CannotRun("the store's address is in use");
  }
  loop_.Watch(listener_, POLLIN, [this](short) { Accept(); });
}

void platform_store::Accept() {
  for (;;) {
    const int fd = accept(listener_, nullptr, nullptr);
    if (fd < 0) {
      return;
    }
    SetNonBlocking(fd);
    const auto one = std::make_shared<connection>();
    one->fd = fd;
    loop_.Watch(fd, POLLIN, [this, one](short) {
      char buffer[4096];
      const ssize_t size = read(one->fd, buffer, sizeof(buffer));
      if (size <= 0) {
        if (size == 0 || errno != EAGAIN) {
          loop_.Forget(one->fd);
          close(one->fd);
          one->closed = true;
        }
        return;
      }
      one->in.append(buffer, static_cast<std::size_t>(size));
      if (one->in.find("\r\n\r\n") != std::string::npos) {
        const std::size_t begin = one->in.find(' ') + 1;
        const std::string target =
            one->in.substr(begin, one->in.find(' ', begin) - begin);
        one->in.clear();
        OnRequest(one, target);
      }
    });
  }
}

void platform_store::OnRequest(const std::shared_ptr<connection>& from,
                               const std::string& target) {
  ++reads;
  const std::string path = target.substr(0, target.find('?'));
  const std::string prefix = QueryValue(target, "prefix");
  if (path == "/rosemaryreach/kv-range") {
    const std::string after = QueryValue(target, "after");
    loop_.After(answer_ms, [this, from, prefix, after] {
      AnswerRange(from, prefix, after);
    });
  } else if (path == "/rosemaryreach/kv-watch") {
    const uint64_t after =
        std::strtoull(QueryValue(target, "after").c_str(), nullptr, 10);
    const double wait = std::atof(QueryValue(target, "waitMs").c_str());
    loop_.After(answer_ms, [this, from, prefix, after, wait] {
      AnswerWatch(from, prefix, after, Now() + wait);
    });
  } else {
    Reply(from, 404, "{}");
  }
}

std::string platform_store::ItemJson(const std::string& key, const item& one) {
  return "{\"key\":\"" + key + "\",\"value\":\"" + Base64(one.value) +
         "\",\"revision\":" + std::to_string(one.revision) +
         ",\"created\":" + std::to_string(one.created) + ",\"lease\":0}";
}

void platform_store::AnswerRange(const std::shared_ptr<connection>& to,
                                 const std::string& prefix,
                                 const std::string& after) {
  std::string list;
  std::size_t count = 0;
  auto next = after.empty() ? items_.begin() : items_.upper_bound(after);
  bool more = false;
  for (; next != items_.end(); ++next) {
    if (next->first.compare(0, prefix.size(), prefix) != 0) {
      continue;
    }
    const std::string json = ItemJson(next->first, next->second);
    if (count == page_items ||
        (count > 0 && list.size() + json.size() > page_bytes)) {
      more = true;
      break;
    }
    list += (count++ == 0 ? "" : ",") + json;
  }
  Reply(to, 200,
        "{\"items\":[" + list + "],\"hasMore\":" + (more ? "true" : "false") +
            ",\"storeRevision\":" + std::to_string(revision_) + "}");
  if (on_page) {
    on_page(after, more);
  }
}

void platform_store::AnswerWatch(const std::shared_ptr<connection>& to,
                                 const std::string& prefix,
                                 uint64_t after,
                                 double until) {
  if (to->closed) {
    return;
  }
  while (!events_.empty() && Now() - events_.front().at > retention_ms) {
    dropped_ = events_.front().revision;
    events_.erase(events_.begin());
  }
  if (after < dropped_ || after > revision_) {
    Reply(to, 410, "{}");
    return;
  }
  std::string list;
  for (const event& one : events_) {
    if (one.revision > after) {
      list += (list.empty() ? "" : ",") + one.json;
    }
  }
  if (list.empty() && Now() < until) {
    loop_.After(2, [this, to, prefix, after, until] {
      AnswerWatch(to, prefix, after, until);
    });
    return;
  }
  largest_watch_answer = std::max(largest_watch_answer, list.size());
  Reply(to, 200,
        "{\"events\":[" + list +
            "],\"storeRevision\":" + std::to_string(revision_) + "}");
}

void platform_store::Reply(const std::shared_ptr<connection>& to,
                           int status,
                           const std::string& body) {
  if (to->closed) {
    return;
  }
  to->out = "HTTP/1.1 " + std::to_string(status) +
            " X\r\nContent-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" +
            body;
  const auto flush = [this, to](short) {
    while (to->sent < to->out.size()) {
      const ssize_t size = send(to->fd, to->out.data() + to->sent,
                                to->out.size() - to->sent, MSG_NOSIGNAL);
      if (size < 0 && errno == EAGAIN) {
        return;
      }
      if (size <= 0) {
        break;
      }
      to->sent += static_cast<std::size_t>(size);
    }
    to->closed = true;
    loop_.Forget(to->fd);
    close(to->fd);
  };
  loop_.Watch(to->fd, POLLOUT, flush);
}

uint64_t platform_store::Put(const std::string& key, const std::string& value) {
  item& one = items_[key];
  one.value = value;
  one.revision = ++revision_;
  if (one.created == 0) {
    one.created = revision_;
  }
  events_.push_back({Now(), revision_, ItemJson(key, one)});
  return revision_;
}

uint64_t platform_store::Delete(const std::string& key) {
  if (items_.erase(key) > 0) {
    ++revision_;
    events_.push_back({Now(), revision_,
                       "{\"key\":\"" + key + "\",\"revision\":" +
                           std::to_string(revision_) + ",\"deleted\":true}"});
  }
  return revision_;
}

host_pool::host_pool(poll_loop& loop,
                     platform_store& store,
                     uint16_t caller_port)
    : loop_(loop), store_(store), caller_port_(caller_port) {
  for (int i = 0; i < 50 && tcp_ < 0; ++i) {
    if (udp_ >= 0) {
      close(udp_);
    }
    udp_ = BindUdp(INADDR_ANY, 0);
    port_ = PortOf(udp_);
    tcp_ = ListenTcp(INADDR_ANY, port_);
  }
  if (tcp_ < 0) {
    CannotRun("no port for the hosts");
  }
  const int on = 1;
  setsockopt(udp_, IPPROTO_IP, IP_PKTINFO, &on, sizeof(on));
  loop_.Watch(udp_, POLLIN, [this](short) { OnDatagrams(); });
  // Liveness checks: answers 200 to any request.
  loop_.Watch(tcp_, POLLIN, [this](short) {
    for (int fd = accept(tcp_, nullptr, nullptr); fd >= 0;
         fd = accept(tcp_, nullptr, nullptr)) {
      SetNonBlocking(fd);
      loop_.Watch(fd, POLLIN, [this, fd](short) {
        char buffer[2048];
        if (read(fd, buffer, sizeof(buffer)) > 0) {
          static constexpr char kOk[] =
              "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: "
              "close\r\n\r\n";
          (void)!write(fd, kOk, sizeof(kOk) - 1);
        }
        loop_.Forget(fd);
        close(fd);
      });
    }
  });
}

target_host& host_pool::Add(const std::string& service,
                            const std::string& zone) {
  auto host = std::make_unique<target_host>();
  char id[32];
  std::snprintf(id, sizeof(id), "i-%08llx",
                static_cast<unsigned long long>(0x10000000ULL + ++next_id_));
  host->id = id;
  host->address = NextAddress();
  host->service = service;
  host->zone = zone;
  host->born = UnixMillis();
  by_address_[host->address] = host.get();
  hosts_.push_back(std::move(host));
  return *hosts_.back();
}

std::string host_pool::Entry(const target_host& host) const {
  const double cold = std::max(0.0, host.cold_until - Now());
  return "{\"service\":\"" + host.service + "\",\"address\":\"" +
         Endpoint(host.address, port_) + "\",\"zone\":\"" + host.zone +
         "\",\"version\":\"v1\",\"maxConcurrency\":" +
         std::to_string(host.slots) + ",\"state\":\"" + host.state +
         "\",\"coldLeftMs\":" + std::to_string(static_cast<long>(cold)) +
         ",\"sequence\":1,\"born\":" + std::to_string(host.born) + "}";
}

void host_pool::Register(const target_host& host) {
  store_.Put("servers/" + host.id, Entry(host));
}

void host_pool::Remove(target_host& host) {
  host.up = false;
  host.flows.clear();
  store_.Delete("servers/" + host.id);
}

const target_host* host_pool::HolderOf(uint32_t caller, uint16_t port) const {
  for (const auto& host : hosts_) {
    const auto found = host->flows.find({caller, port});
    if (host->up && found != host->flows.end() && found->second.open) {
      return host.get();
    }
  }
  return nullptr;
}

void host_pool::OnDatagrams() {
  for (;;) {
    char bytes[2048];
    char control[256];
    iovec vector{bytes, sizeof(bytes)};
    msghdr message{};
    message.msg_iov = &vector;
    message.msg_iovlen = 1;
    message.msg_control = control;
    message.msg_controllen = sizeof(control);
    const ssize_t size = recvmsg(udp_, &message, 0);
    if (size < 0) {
      return;
    }
    for (cmsghdr* one = CMSG_FIRSTHDR(&message); one != nullptr;
         one = CMSG_NXTHDR(&message, one)) {
      if (one->cmsg_level != IPPROTO_IP || one->cmsg_type != IP_PKTINFO) {
        continue;
      }
      in_pktinfo info{};
      std::memcpy(&info, CMSG_DATA(one), sizeof(info));
      const auto found = by_address_.find(ntohl(info.ipi_addr.s_addr));
      if (found != by_address_.end() && found->second->up) {
        OnPacket(*found->second,
                 std::string(bytes, static_cast<std::size_t>(size)));
      }
    }
  }
}

void host_pool::OnPacket(target_host& host, const std::string& bytes) {
  if (bytes.size() < kPrefix + kHead) {
    return;
  }
  uint64_t meant = 0;
  for (std::size_t i = 0; i < kPrefix; ++i) {
    meant = meant << 8 | static_cast<uint8_t>(bytes[i]);
  }
  if (meant != 0 && meant != std::strtoull(host.id.c_str() + 2, nullptr, 16)) {
    return;  // not the intended host
  }
  const wire_packet packet = Decode(bytes.substr(kPrefix));
  const std::string data = bytes.substr(kPrefix + kHead);
  if (packet.sum != Sum(packet)) {
    Record("host " + host.id + " got a packet that its sender did not write");
    return;
  }
  wire_packet answer;
  answer.src = packet.dst;
  answer.sport = packet.dport;
  answer.dst = packet.src;
  answer.dport = packet.sport;
  answer.echo = packet.echo;
  const std::pair<uint32_t, uint16_t> key{packet.src, packet.sport};
  if ((packet.flags & kSyn) != 0) {
    if ((packet.flags & kAck) != 0) {
      return;  // forged
    }
    const bool fresh = !host.flows.contains(key);
    target_host::flow& one = host.flows[key];
    if (fresh) {
      one.sequence = next_sequence_ += 100'000;
      if (events.taken) {
        events.taken(host, packet.src, packet.sport);
      }
    }
    one.cookie = packet.echo;
    one.expected = packet.seq + 1;
    answer.flags = kSyn | kAck;
    answer.seq = one.sequence;
    answer.ack = one.expected;
    Send(packet.src, caller_port_, Encode(answer, ""));
    return;
  }
  const auto found = host.flows.find(key);
  if (found == host.flows.end()) {
    if ((packet.flags & kRst) == 0) {
      answer.flags = kRst;
      answer.seq = packet.ack;
      Send(packet.src, caller_port_, Encode(answer, ""));
    }
    return;
  }
  target_host::flow& one = found->second;
  if ((packet.flags & kRst) != 0) {
    host.flows.erase(found);
    return;
  }
  one.cookie = packet.echo;
  if (!one.open && packet.ack != one.sequence + 1) {
    return;  // the requester opened the flow at another host
  }
  if (!one.open) {
    one.open = true;
    ++one.sequence;
  }
  if (!data.empty() && packet.seq == one.expected) {
    one.expected += static_cast<uint32_t>(data.size());
    const std::size_t at = data.find("X-Request-Id: ");
    const std::string request =
        data.substr(at + 14, data.find("\r\n", at) - at - 14);
    Record("run: request " + request + " at host " + host.id);
    if (events.run) {
      events.run(host, request);
    }
    const std::string body = request + " at " + host.id;
    one.last_answer = "HTTP/1.1 200 OK\r\nX-Server-Seal: " + host.id +
                      "\r\nContent-Length: " + std::to_string(body.size()) +
                      "\r\n\r\n" + body;
    one.last_answered = packet.seq;
    target_host* const at_host = &host;
    loop_.After(host.work_ms, [this, at_host, key, answer]() mutable {
      const auto now = at_host->flows.find(key);
      if (!at_host->up || now == at_host->flows.end()) {
        return;
      }
      answer.flags = kAck;
      answer.echo = now->second.cookie;
      answer.seq = now->second.sequence;
      answer.ack = now->second.expected;
      Send(key.first, caller_port_, Encode(answer, now->second.last_answer));
      now->second.sequence +=
          static_cast<uint32_t>(now->second.last_answer.size());
    });
  } else if (!data.empty()) {
    // A copy of the last request: its answer was lost or is under way.
    if (packet.seq == one.last_answered && packet.ack != one.sequence) {
      answer.flags = kAck;
      answer.seq = one.sequence - static_cast<uint32_t>(one.last_answer.size());
      answer.ack = one.expected;
      Send(packet.src, caller_port_, Encode(answer, one.last_answer));
    }
  }
  if ((packet.flags & kFin) != 0) {
    answer.flags = kAck | kFin;
    answer.seq = one.sequence;
    answer.ack = packet.seq + 1;
    Send(packet.src, caller_port_, Encode(answer, ""));
    host.flows.erase(found);
  }
}

void host_pool::Send(uint32_t to, uint16_t to_port, const std::string& packet) {
  const sockaddr_in at = SocketAddress(to, to_port);
  sendto(udp_, packet.data(), packet.size(), 0,
         reinterpret_cast<const sockaddr*>(&at), sizeof(at));
}

entry_fleet::entry_fleet(poll_loop& loop,
                         std::string directory,
                         std::string command,
                         uint32_t store)
    : loop_(loop),
      directory_(std::move(directory)),
      command_(std::move(command)),
      store_(store) {
  bounds =
      "  seedLagS: 3\n  addrReuseS: 2\n  stableWindowMs: 4000\n"
      "  ackTimeoutMs: 5000\n  syncS: 4\n  drainTimeoutMs: 3000\n"
      "  gracePeriodS: 6\n  lossSlackMs: 200\n  configApplyMs: 3000\n"
      "  rollbackSlackMs: 250\n  maxStretchMs: 12000\n  coldOver: 1.5\n"
      "  coldSlack: 5\n  evacuateMs: 5000\n  recoveryS: 12\n  flowMs: 2000\n"
      "  flowTtlS: 60\n";
  // The same on all machines.
  const uint16_t offset =
      FreePortOffset(NextAddress(), {8167, 8166, 8169}, {8172, 7720});
  packet_port = 8172 + offset;
  ready_port = 8167 + offset;
  control_port = 8166 + offset;
  first_port = 7720 + offset;
  store_port = 8169 + offset;
}

entry_fleet::~entry_fleet() {
  for (const auto& one : instances) {
    if (one->pid > 0) {
      kill(one->pid, SIGKILL);
      waitpid(one->pid, nullptr, 0);
    }
  }
}

void entry_fleet::Add(const std::string& zone) {
  auto one = std::make_unique<entry_node>();
  one->name = "front-" + zone + "-" + std::to_string(instances.size() + 1);
  one->zone = zone;
  one->address = NextAddress();
  one->settings = directory_ + "/" + one->name + ".yaml";
  one->log = directory_ + "/" + one->name + ".log";
  instances.push_back(std::move(one));
}

void entry_fleet::WriteSettings(const std::vector<uint32_t>& seed_addresses) {
  for (const auto& one : instances) {
    std::FILE* file = std::fopen(one->settings.c_str(), "w");
    if (file == nullptr) {
      CannotRun("settings can't be written");
    }
    const std::string ip = Ip(one->address);
    std::ostringstream text;
    text << "nodeName: \"" << one->name
         << "\"\nrole: \"entry\"\nmachineClass: \"front\"\nserves:\n"
            "  - \"front\"\n  - \"control\"\nbindIp: \""
         << ip << "\"\nzone: \"" << one->zone
         << "\"\nregion: \"r\"\nlisten:\n  packetAddr: \"" << ip << ":"
         << packet_port << "\"\n  ready: \"" << ip << ":" << ready_port
         << "\"\n  control: \"" << ip << ":" << control_port
         << "\"\nportRange:\n  - " << first_port << "\n  - " << first_port + 15
         << "\nseedAddrs:\n";
    for (const uint32_t seed : seed_addresses) {
      text << "  - \"" << Endpoint(seed, control_port) << "\"\n";
    }
    text << "bootstrap: true\ncountLoss: false\nlimits:\n  cpuShare: 0."
         << cpu_hundredths
         << "\n  cpuCores: 1\n  memoryMb: 260\n  maxFds: 4100\n"
            "  linkMbps: 1000.0\n  diskMb: 0\ndataDir: null\n"
            "discovery: \"platform\"\nentry: \"advertise\"\n"
            "heartbeatMs: 770\nbounds:\n"
         << bounds
         << "hash: \"steady\"\ndeploymentMode: \"echo\"\nplatform:\n"
            "  address: \""
         << Endpoint(store_, store_port)
         << "\"\n  deploymentMode: \"read\"\n  writesPerS: 400\n"
            "  readsPerS: 2000\n  retentionS: 20\n  valueBytes: 1048576\n"
            "  ttlMinMs: 1000\n";
    std::fputs(text.str().c_str(), file);
    std::fclose(file);
  }
}

void entry_fleet::Start(entry_node& one) {
  std::vector<std::string> words;
  std::istringstream split(command_);
  for (std::string word; split >> word;) {
    words.push_back(word);
  }
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  const pid_t pid = fork();
  if (pid == 0) {
    // Ends with this program, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(one.log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    setenv("ROSEMARYREACH_SETTINGS", one.settings.c_str(), 1);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  one.pid = pid;
  one.started = Now();
  one.misses = 2;
  Record("started " + one.name + " at " + Ip(one.address));
}

void entry_fleet::CheckReadiness() {
  for (const auto& held : instances) {
    entry_node* const one = held.get();
    if (one->pid <= 0) {
      continue;
    }
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    SetNonBlocking(fd);
    const sockaddr_in at = SocketAddress(one->address, ready_port);
    (void)connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at));
    const auto ended = std::make_shared<bool>(false);
    const auto finish = [this, one, fd, ended](bool ready) {
      if (*ended) {
        return;
      }
      *ended = true;
      loop_.Forget(fd);
      close(fd);
      const bool was = one->misses < 2;
      one->misses = ready ? 0 : one->misses + 1;
      if (was != (one->misses < 2)) {
        Record(one->name + (was ? " is out of rotation" : " is in rotation"));
      }
    };
    loop_.Watch(fd, POLLOUT, [this, fd, finish](short) {
      static constexpr char kAsk[] = "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n";
      if (send(fd, kAsk, sizeof(kAsk) - 1, MSG_NOSIGNAL) < 0) {
        finish(false);
        return;
      }
      loop_.Watch(fd, POLLIN, [fd, finish](short) {
        char buffer[512] = {};
        const ssize_t size = read(fd, buffer, sizeof(buffer) - 1);
        finish(size > 12 && std::string(buffer).substr(9, 3) == "200");
      });
    });
    loop_.After(450, [finish] { finish(false); });
  }
  loop_.After(500, [this] { CheckReadiness(); });
}

std::size_t entry_fleet::InRotation() const {
  return static_cast<std::size_t>(
      std::count_if(instances.begin(), instances.end(),
                    [](const auto& one) { return one->misses < 2; }));
}

bool entry_fleet::AnyEnded() {
  bool ended = false;
  for (const auto& one : instances) {
    int status = 0;
    if (one->pid > 0 && waitpid(one->pid, &status, WNOHANG) == one->pid) {
      Record(one->name + " ended by itself, status " + std::to_string(status));
      one->pid = 0;
      ended = true;
    }
  }
  return ended;
}

uint32_t entry_fleet::Route(const std::string& zone, uint64_t hash) const {
  for (const bool local : {true, false}) {
    const entry_node* best = nullptr;
    uint64_t best_score = 0;
    for (const auto& one : instances) {
      const uint64_t score = Mix(hash, one->address);
      if (one->misses < 2 && (one->zone == zone || !local) &&
          (best == nullptr || score > best_score)) {
        best = one.get();
        best_score = score;
      }
    }
    if (best != nullptr) {
      return best->address;
    }
  }
  return 0;
}

requester_pool::requester_pool(poll_loop& loop,
                               const entry_fleet& fleet,
                               uint32_t address)
    : loop_(loop), fleet_(fleet), address_(address) {
  fd_ = BindUdp(address, fleet.packet_port);
  if (fd_ < 0) {
    CannotRun("the requesters' address is in use");
  }
  loop_.Watch(fd_, POLLIN, [this](short) { OnDatagrams(); });
}

void requester_pool::Open(const flow_plan& plan) {
  auto one = std::make_unique<flow>();
  one->plan = plan;
  one->report.name = plan.name;
  do {
    next_port_ = next_port_ >= 60'000 ? 10'000 : next_port_ + 1;
  } while (flows_.contains(next_port_));
  one->port = next_port_;
  one->sequence = 0x11220000U + next_port_;
  one->report.port = next_port_;
  one->report.syn_at = Now();
  flow& opened = *one;
  flows_[next_port_] = std::move(one);
  Record("sent: opening packet of " + plan.name + " to " +
         Endpoint(plan.to, plan.to_port) +
         (plan.via != 0 ? " through " + Ip(plan.via) : " from " + plan.zone));
  SendSyn(opened);
}

double requester_pool::SentAt(uint16_t port) const {
  const auto found = flows_.find(port);
  return found == flows_.end() ? 0 : found->second->report.syn_at;
}

void requester_pool::Timer(flow& one,
                           double ms,
                           void (requester_pool::*then)(flow&)) {
  const uint64_t number = ++timers_;
  one.timer = number;
  const uint16_t port = one.port;
  loop_.After(ms, [this, port, number, then] {
    const auto found = flows_.find(port);
    if (found != flows_.end() && found->second->timer == number) {
      (this->*then)(*found->second);
    }
  });
}

void requester_pool::SendSyn(flow& one) {
  if (one.syns == 3) {
    Finish(one, flow_outcome::kSilent);
    return;
  }
  Send(one, kSyn, one.syns, "");
  static constexpr double kWaits[] = {200, 400, 800};
  Timer(one, kWaits[one.syns++], &requester_pool::SendSyn);
}

void requester_pool::NextRequest(flow& one) {
  one.request = one.plan.name + "." + std::to_string(++requests_);
  Record("sent: request " + one.request);
  one.waiting = true;
  one.sends = 0;
  one.deadline = Now() + one.plan.budget_ms;
  SendRequest(one);
}

void requester_pool::SendRequest(flow& one) {
  if (Now() >= one.deadline) {
    Finish(one, flow_outcome::kSilent);
    return;
  }
  Send(one, kAck, one.expected,
       "GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + one.request +
           "\r\n\r\n");
  Timer(one, std::min(1'600.0, 200.0 * (1 << std::min(one.sends++, 3))),
        &requester_pool::SendRequest);
}

void requester_pool::OnDatagrams() {
  for (;;) {
    char bytes[2048];
    const ssize_t size = recv(fd_, bytes, sizeof(bytes), 0);
    if (size < 0) {
      return;
    }
    const std::string text(bytes, static_cast<std::size_t>(size));
    if (text.size() < kHead) {
      continue;
    }
    const auto found = flows_.find(Decode(text).dport);
    if (found != flows_.end()) {
      OnPacket(*found->second, text);
    }
  }
}

void requester_pool::OnPacket(flow& one, const std::string& bytes) {
  const wire_packet packet = Decode(bytes);
  const std::string data = bytes.substr(kHead);
  const bool system = packet.sum == 0 && packet.flags == kRst;
  if (packet.src != one.plan.to || packet.sport != one.plan.to_port ||
      packet.dst != address_ || (!system && packet.sum != Sum(packet))) {
    Record("requester got a packet that its sender did not write");
    return;
  }
  if ((packet.flags & kRst) != 0) {
    if (one.report.opened && system) {
      const int32_t away = static_cast<int32_t>(packet.seq - one.expected);
      if (away > 76'800 || away < -76'800) {
        return;
      }
    }
    Finish(one, !one.report.opened ? flow_outcome::kRefused
                : system           ? flow_outcome::kResetBySystem
                                   : flow_outcome::kResetByHost);
    return;
  }
  if ((packet.flags & kSyn) != 0) {
    if (!one.report.opened) {
      one.report.opened = true;
      one.cookie = packet.echo;
      one.expected = packet.seq + 1;
      ++one.sequence;
      Send(one, kAck, one.expected, "");
      NextRequest(one);
    }
    return;
  }
  if (data.empty() || packet.seq != one.expected || !one.waiting) {
    return;
  }
  one.cookie = packet.echo;
  one.expected += static_cast<uint32_t>(data.size());
  one.sequence += static_cast<uint32_t>(
      std::string("GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: ").size() +
      one.request.size() + 4);
  one.waiting = false;
  if (data.find("\r\n\r\n" + one.request + " at ") == std::string::npos) {
    Record("request " + one.request + " got a foreign answer");
  }
  Record("answered: request " + one.request);
  if (++one.report.answered == one.plan.requests) {
    Send(one, kAck | kFin, one.expected, "");
    Finish(one, flow_outcome::kServed);
    return;
  }
  Send(one, kAck, one.expected, "");
  Timer(one, one.plan.pause_ms, &requester_pool::NextRequest);
}

void requester_pool::Send(flow& one,
                          uint8_t flags,
                          uint32_t ack,
                          const std::string& data) {
  wire_packet packet;
  packet.flags = flags;
  packet.src = address_;
  packet.sport = one.port;
  packet.dst = one.plan.to;
  packet.dport = one.plan.to_port;
  packet.echo = one.cookie;
  packet.seq = one.sequence;
  packet.ack = ack;
  const uint64_t hash =
      Mix(static_cast<uint64_t>(address_) << 16 | one.port,
          static_cast<uint64_t>(one.plan.to) << 16 | one.plan.to_port);
  const uint32_t node =
      one.plan.via != 0 ? one.plan.via : fleet_.Route(one.plan.zone, hash);
  const std::string bytes = Encode(packet, data);
  const sockaddr_in at = SocketAddress(node, fleet_.packet_port);
  if (node != 0) {
    sendto(fd_, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&at), sizeof(at));
  }
}

void requester_pool::Finish(flow& one, flow_outcome outcome) {
  one.report.outcome = outcome;
  static constexpr const char* kEnds[] = {
      "served", "refused", "reset by the system", "reset by the host",
      "given up without an answer"};
  Record("ended: " + one.plan.name + ", " +
         kEnds[static_cast<std::size_t>(outcome)]);
  const std::unique_ptr<flow> ended = std::move(flows_[one.port]);
  flows_.erase(ended->port);
  if (ended->plan.report) {
    ended->plan.report(ended->report);
  }
}

std::string ConfigJson(uint64_t version,
                       const std::vector<route_plan>& routes,
                       const std::vector<std::string>& services,
                       double cold_start_s,
                       double cold_per_s) {
  std::ostringstream text;
  text << "{\"version\":" << version << ",\"routes\":[";
  for (std::size_t i = 0; i < routes.size(); ++i) {
    const route_plan& one = routes[i];
    text << (i == 0 ? "" : ",") << "{\"name\":\"" << one.name
         << "\",\"host\":\"" << Ip(one.host) << "\",\"prefix\":\"/" << one.port
         << "/\",\"type\":\"" << one.type
         << "\",\"timeoutMs\":3000,\"sloMs\":500,\"priority\":2,\"service\":\""
         << one.service << "\",\"maxAttempts\":2}";
  }
  text << "],\"services\":[";
  for (std::size_t i = 0; i < services.size(); ++i) {
    text << (i == 0 ? "" : ",") << "{\"name\":\"" << services[i]
         << "\",\"healthPath\":\"/healthz\",\"maxConns\":2000,"
            "\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":"
         << cold_start_s << ",\"coldPerS\":" << cold_per_s << "}";
  }
  text << "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
          "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
  return text.str();
}

}  // namespace review
