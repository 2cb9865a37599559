// Stand-ins for the platform around entry instances, in one process and one
// thread: store, hosts, routers and requesters on loopback addresses, and the
// instances themselves as child processes.
#ifndef REVIEW_STANDINS_WORLD_H_
#define REVIEW_STANDINS_WORLD_H_

#include <netinet/in.h>
#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace review {

using std::uint16_t;
using std::uint32_t;
using std::uint64_t;
using std::uint8_t;

// Milliseconds since the start of the program.
double Now();
// Unix time in milliseconds.
uint64_t UnixMillis();

[[noreturn]] void CannotRun(const std::string& why);

// Appends a line with the time to the record.
void Record(const std::string& line);
void OpenRecord(const std::string& path);

class poll_loop {
 public:
  void Watch(int fd, short events, std::function<void(short)> handler);
  void Forget(int fd);
  void After(double ms, std::function<void()> run);
  void RunUntil(double at_ms);
  // Runs until `done` or the time; returns whether `done` was reached.
  bool RunUntil(double at_ms, const std::function<bool()>& done);

 private:
  void Step(double until);
  struct watch {
    short events;
    std::function<void(short)> handler;
  };
  std::map<int, std::shared_ptr<watch>> watches_;
  std::multimap<double, std::function<void()>> timers_;
};

std::string Ip(uint32_t address);
// Loopback addresses that no other run uses at the same time, one after the
// other.
uint32_t NextAddress();

// Returns what is to be added to these ports so that all of them are free.
uint16_t FreePortOffset(uint32_t address,
                        std::initializer_list<uint16_t> tcp,
                        std::initializer_list<uint16_t> udp);

// The platform's store: ranges in pages, watches, revisions, history.
class platform_store {
 public:
  platform_store(poll_loop& loop, uint32_t address, uint16_t port);

  uint64_t Put(const std::string& key, const std::string& value);
  uint64_t Delete(const std::string& key);
  bool Has(const std::string& key) const { return items_.contains(key); }

  double answer_ms = 4;          // "4 ms an answer"
  std::size_t page_items = 500;  // "at most about 500 items or 1 MB"
  std::size_t page_bytes = 1'000'000;
  double retention_ms = 20'000;  // retentionS
  // Called after a page was answered: key after which it began, whether more
  // follow.
  std::function<void(const std::string& after, bool more)> on_page;
  std::size_t largest_watch_answer = 0;
  uint64_t reads = 0;

 private:
  struct item {
    std::string value;
    uint64_t revision = 0;
    uint64_t created = 0;
  };
  struct event {
    double at = 0;
    uint64_t revision = 0;
    std::string json;
  };
  struct connection;
  void Accept();
  void OnRequest(const std::shared_ptr<connection>& from,
                 const std::string& target);
  void AnswerRange(const std::shared_ptr<connection>& to,
                   const std::string& prefix,
                   const std::string& after);
  void AnswerWatch(const std::shared_ptr<connection>& to,
                   const std::string& prefix,
                   uint64_t after,
                   double until);
  void Reply(const std::shared_ptr<connection>& to,
             int status,
             const std::string& body);
  static std::string ItemJson(const std::string& key, const item& one);

  poll_loop& loop_;
  int listener_ = -1;
  std::map<std::string, item> items_;
  std::vector<event> events_;
  uint64_t revision_ = 1;
  uint64_t dropped_ = 0;  // newest revision that left the history
};

// One host. All hosts share a port and differ by address.
struct target_host {
  std::string id;
  uint32_t address = 0;
  std::string service;
  std::string zone;
  std::string state = "ready";
  uint64_t born = 0;
  double cold_until = 0;
  uint32_t slots = 2;
  double work_ms = 5;
  bool up = true;         // has started and not ended
  bool registers = true;  // has an entry in the store

  struct flow {
    uint32_t sequence = 0;
    uint32_t cookie = 0;
    uint32_t expected = 0;
    bool open = false;
    std::string last_answer;
    uint32_t last_answered = 0;
  };
  std::map<std::pair<uint32_t, uint16_t>, flow> flows;
};

struct host_events {
  // A host took the opening packet of a flow.
  std::function<void(const target_host&, uint32_t caller, uint16_t port)> taken;
  std::function<void(const target_host&, const std::string& request)> run;
};

class host_pool {
 public:
  host_pool(poll_loop& loop, platform_store& store, uint16_t caller_port);

  target_host& Add(const std::string& service, const std::string& zone);
  // Writes the entry of a host, as it does when more than `sequence` changes.
  void Register(const target_host& host);
  void Remove(target_host& host);
  uint16_t port() const { return port_; }
  std::vector<std::unique_ptr<target_host>>& all() { return hosts_; }
  std::string Entry(const target_host& host) const;
  // The live host at which a flow is open; nullptr if there is none.
  const target_host* HolderOf(uint32_t caller, uint16_t port) const;

  host_events events;

 private:
  void OnDatagrams();
  void OnPacket(target_host& host, const std::string& bytes);
  void Send(uint32_t to, uint16_t to_port, const std::string& packet);

  poll_loop& loop_;
  platform_store& store_;
  uint16_t caller_port_;
  uint16_t port_ = 0;
  int udp_ = -1;
  int tcp_ = -1;
  std::vector<std::unique_ptr<target_host>> hosts_;
  std::map<uint32_t, target_host*> by_address_;
  uint64_t next_id_ = 0;
  uint32_t next_sequence_ = 1'000;
};

struct entry_node {
  std::string name;
  std::string zone;
  uint32_t address = 0;
  std::string settings;
  std::string log;
  pid_t pid = 0;
  int misses = 2;  // readiness checks missed in a row
  double started = 0;
};

// Starts entry instances and checks their readiness twice per second.
class entry_fleet {
 public:
  entry_fleet(poll_loop& loop,
              std::string directory,
              std::string command,
              uint32_t store);
  ~entry_fleet();

  // `seeds` are indices of instances; with none, `seed_addresses` are used.
  void Add(const std::string& zone);
  void WriteSettings(const std::vector<uint32_t>& seed_addresses);
  void Start(entry_node& one);
  void CheckReadiness();
  std::size_t InRotation() const;
  bool AnyEnded();

  // The packet address for a flow: by a steady hash over the nodes in rotation
  // of a zone; of all zones if it has none.
  uint32_t Route(const std::string& zone, uint64_t hash) const;

  std::vector<std::unique_ptr<entry_node>> instances;
  uint16_t packet_port = 0;
  uint16_t ready_port = 0;
  uint16_t control_port = 0;
  uint16_t first_port = 0;
  uint16_t store_port = 0;
  std::string bounds;
  int cpu_hundredths = 25;

 private:
  poll_loop& loop_;
  std::string directory_;
  std::string command_;
  uint32_t store_;
};

enum class flow_outcome {
  kServed,
  kRefused,
  kResetBySystem,
  kResetByHost,
  kSilent
};

// What a requester saw of one flow.
struct flow_report {
  std::string name;
  flow_outcome outcome = flow_outcome::kSilent;
  uint16_t port = 0;  // of the requester
  double syn_at = 0;
  bool opened = false;
  std::size_t answered = 0;
};

// A requester's flow: opens, sends requests one after the other, closes.
struct flow_plan {
  std::string name;
  std::string zone;  // of the requester
  uint32_t to = 0;   // address and port of the route
  uint16_t to_port = 0;
  uint32_t via = 0;  // instance to send to directly; 0: by the routers
  std::size_t requests = 1;
  double pause_ms = 200;
  double budget_ms = 1'000;
  std::function<void(const flow_report&)> report;
};

class requester_pool {
 public:
  requester_pool(poll_loop& loop, const entry_fleet& fleet, uint32_t address);
  void Open(const flow_plan& plan);
  std::size_t open() const { return flows_.size(); }
  uint32_t address() const { return address_; }
  // When the first packet of an open flow was sent; 0 if there is none.
  double SentAt(uint16_t port) const;

 private:
  struct flow {
    flow_plan plan;
    flow_report report;
    uint16_t port = 0;
    uint32_t sequence = 0;
    uint32_t expected = 0;
    uint32_t cookie = 0;
    uint32_t syns = 0;
    int sends = 0;
    bool waiting = false;
    double deadline = 0;
    std::string request;
    uint64_t timer = 0;  // only the timer with this number counts
  };
  void OnDatagrams();
  void OnPacket(flow& one, const std::string& bytes);
  void Send(flow& one, uint8_t flags, uint32_t ack, const std::string& data);
  void SendSyn(flow& one);
  void SendRequest(flow& one);
  void NextRequest(flow& one);
  void Timer(flow& one, double ms, void (requester_pool::*then)(flow&));
  void Finish(flow& one, flow_outcome outcome);

  poll_loop& loop_;
  const entry_fleet& fleet_;
  uint32_t address_;
  int fd_ = -1;
  uint16_t next_port_ = 10'000;
  uint64_t timers_ = 0;
  uint64_t requests_ = 0;
  std::map<uint16_t, std::unique_ptr<flow>> flows_;
};

// The configuration of the operator.
struct route_plan {
  std::string name;
  uint32_t host = 0;
  uint16_t port = 0;
  std::string type;
  std::string service;
};
std::string ConfigJson(uint64_t version,
                       const std::vector<route_plan>& routes,
                       const std::vector<std::string>& services,
                       double cold_start_s,
                       double cold_per_s);

}  // namespace review

#endif  // REVIEW_STANDINS_WORLD_H_
