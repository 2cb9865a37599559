// Measures what load sharing costs: bytes, datagrams and processor time of the
// exchange in virtual time, and the processor time over loopback sockets. One
// JSON line a case. Figures are reported, not judged.
#include <sys/resource.h>
#include <time.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "adapters/event_loop.h"
#include "adapters/udp_socket.h"
#include "rosemaryreach/load_exchange.h"

namespace rosemaryreach {
namespace {

constexpr std::uint32_t kDataCentres = 3;
constexpr double kRequestsPerS = 20;  // of an instance in a calm fleet
constexpr double kFirstPacketsPerS = 16;
constexpr double kRequestTimeS = 0.07;

double CpuSeconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         1e-9 * static_cast<double>(now.tv_nsec);
}

// The load of one instance, drawn anew for each report.
class drawn_load {
 public:
  drawn_load(std::uint32_t centre,
             std::uint32_t targets,
             double factor,
             std::uint64_t seed)
      : centre_(centre), targets_(targets), factor_(factor), random_(seed) {}

  own_load Draw(time_point now) {
    const double seconds = std::chrono::duration<double>(now - last_).count();
    last_ = now;
    std::map<std::uint32_t, target_figures> by_cookie;
    const auto at = [this, &by_cookie]() -> target_figures& {
      const std::uint32_t cookie = CookieOfAny();
      target_figures& figures = by_cookie[cookie];
      figures.cookie = cookie;
      return figures;
    };
    // Answers come as fast as the targets work, at most thrice the normal rate.
    const int answers = Poisson(kRequestsPerS * std::min(factor_, 3.0) *
                                std::min(seconds, 1.0));
    for (int i = 0; i < answers; ++i) {
      target_figures& figures = at();
      ++figures.answers;
      figures.response_ms += 70;
    }
    const int running = Poisson(kRequestsPerS * kRequestTimeS * factor_);
    for (int i = 0; i < running; ++i) {
      target_figures& figures = at();
      ++figures.running;
      ++figures.open;
    }
    own_load load;
    for (const auto& [cookie, figures] : by_cookie) {
      load.targets.push_back(figures);
    }
    for (std::uint32_t service = 0; service < 3; ++service) {
      load.services.push_back({0x2000'0000 + service, 0,
                               static_cast<std::uint32_t>(Poisson(
                                   kFirstPacketsPerS * factor_ * seconds / 3)),
                               0, static_cast<std::uint32_t>(running) / 3});
    }
    return load;
  }

 private:
  int Poisson(double mean) {
    return mean <= 0 ? 0 : std::poisson_distribution<int>(mean)(random_);
  }
  // One request in twenty goes to another data centre.
  std::uint32_t CookieOfAny() {
    const std::uint32_t own = targets_ / kDataCentres;
    const std::uint32_t local =
        centre_ * own + static_cast<std::uint32_t>(random_() % own);
    const std::uint32_t target =
        random_() % 20 == 0 ? static_cast<std::uint32_t>(random_() % targets_)
                            : local;
    return static_cast<std::uint32_t>(HashPair(target, 1)) | 1;
  }

  std::uint32_t centre_;
  std::uint32_t targets_;
  double factor_;
  std::mt19937_64 random_;
  time_point last_{};
};

struct instance {
  std::unique_ptr<peer_group> peers;
  std::unique_ptr<drawn_load> load;
  std::unique_ptr<load_exchange> exchange;
  double cpu_s = 0;
  double drawn_cpu_s = 0;  // of the bench itself, within cpu_s
  std::optional<udp_socket> socket;
};

peer_summary SummaryOf(std::uint32_t i) {
  peer_summary summary;
  summary.address = 0x7F40'0001 + i;
  summary.incarnation = 1;
  summary.heartbeat_count = 1;
  summary.data_centre = 1 + i % kDataCentres;
  summary.cpu_millicores = 5'000 - i;
  return summary;
}

using send_function = std::function<
    void(std::uint32_t, std::span<const std::uint32_t>, const std::string&)>;

std::vector<instance> MakeFleet(std::uint32_t size,
                                std::uint32_t targets,
                                double factor,
                                const send_function& send,
                                time_point now) {
  std::vector<instance> fleet(size);
  for (std::uint32_t i = 0; i < size; ++i) {
    instance& one = fleet[i];
    one.peers =
        std::make_unique<peer_group>(SummaryOf(i), std::vector<std::uint32_t>{},
                                     i, [](std::uint32_t, const char*) {});
    for (std::uint32_t other = 0; other < size; ++other) {
      one.peers->ApplyBeacon({SummaryOf(other), false, {}, {}, {}}, now);
    }
    one.load =
        std::make_unique<drawn_load>(i % kDataCentres, targets, factor, i);
    load_exchange_hooks hooks;
    hooks.collect = [&one](time_point at) {
      const double before = CpuSeconds();
      own_load load = one.load->Draw(at);
      one.drawn_cpu_s += CpuSeconds() - before;
      return load;
    };
    hooks.send = [&send, i](std::span<const std::uint32_t> to,
                            const std::string& bytes) { send(i, to, bytes); };
    hooks.changed = [](const char*, std::uint32_t) {};
    one.exchange = std::make_unique<load_exchange>(*one.peers, 1'000,
                                                   std::move(hooks), now);
  }
  return fleet;
}

struct totals {
  double sent = 0;
  double received = 0;
  double bytes_sent = 0;
  double bytes_received = 0;
  double cpu_s = 0;
};

totals TotalsOf(const instance& one) {
  const load_counts& counts = one.exchange->counts();
  totals sum;
  for (std::size_t kind = 0; kind < 3; ++kind) {
    sum.sent += static_cast<double>(counts.sent[kind]);
    sum.received += static_cast<double>(counts.received[kind]);
  }
  sum.bytes_sent = static_cast<double>(counts.bytes_sent);
  sum.bytes_received = static_cast<double>(counts.bytes_received);
  sum.cpu_s = one.cpu_s - one.drawn_cpu_s;
  return sum;
}

void Print(const std::string& name,
           const totals& before,
           const totals& after,
           double seconds) {
  std::printf(
      "\"%s\":{\"sent_per_s\":%.1f,\"received_per_s\":%.1f,"
      "\"sent_bytes_per_s\":%.0f,\"received_bytes_per_s\":%.0f,"
      "\"cores\":%.6f}",
      name.c_str(), (after.sent - before.sent) / seconds,
      (after.received - before.received) / seconds,
      (after.bytes_sent - before.bytes_sent) / seconds,
      (after.bytes_received - before.bytes_received) / seconds,
      (after.cpu_s - before.cpu_s) / seconds);
}

struct packet {
  std::int64_t due = 0;
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  std::shared_ptr<const std::string> bytes;

  bool operator<(const packet& other) const { return due > other.due; }
};

// Runs a fleet in virtual time, with 1 ms between any two instances.
void RunVirtual(std::uint32_t size, std::uint32_t targets, double factor) {
  std::priority_queue<packet> in_transit;
  std::int64_t now_ms = 10'000;
  double between_centres = 0;
  const auto at = [&now_ms] {
    return time_point(std::chrono::milliseconds(now_ms));
  };
  const send_function send = [&](std::uint32_t from,
                                 std::span<const std::uint32_t> to,
                                 const std::string& bytes) {
    const auto shared = std::make_shared<const std::string>(bytes);
    for (const std::uint32_t address : to) {
      const std::uint32_t index = address - SummaryOf(0).address;
      in_transit.push({now_ms + 1, from, index, shared});
      if (index % kDataCentres != from % kDataCentres) {
        between_centres += static_cast<double>(bytes.size());
      }
    }
  };
  std::vector<instance> fleet = MakeFleet(size, targets, factor, send, at());
  const auto timed = [](instance& one, const std::function<void()>& run) {
    const double before = CpuSeconds();
    run();
    one.cpu_s += CpuSeconds() - before;
  };
  constexpr std::int64_t kWarmUpMs = 3'000;
  constexpr std::int64_t kRunMs = 10'000;
  std::vector<totals> before(size);
  double between_before = 0;
  double age_sum = 0;
  double age_max = 0;
  std::size_t ages = 0;
  for (std::int64_t ms = 0; ms < kWarmUpMs + kRunMs; ++ms, ++now_ms) {
    if (ms == kWarmUpMs) {
      for (std::uint32_t i = 0; i < size; ++i) {
        before[i] = TotalsOf(fleet[i]);
      }
      between_before = between_centres;
    }
    while (!in_transit.empty() && in_transit.top().due <= now_ms) {
      const packet arrived = in_transit.top();
      in_transit.pop();
      instance& to = fleet[arrived.to];
      timed(to, [&] {
        to.exchange->OnDatagram(SummaryOf(arrived.from).address, *arrived.bytes,
                                at());
      });
    }
    for (instance& one : fleet) {
      if (one.exchange->next_due() <= at()) {
        timed(one, [&] { one.exchange->Tick(at()); });
      }
    }
    if (ms >= kWarmUpMs && ms % 10 == 0) {
      const double age = std::chrono::duration<double, std::milli>(
                             fleet.back().exchange->age(at()))
                             .count();
      age_sum += age;
      age_max = std::max(age_max, age);
      ++ages;
    }
  }
  totals mean_before;
  totals mean;
  for (std::uint32_t i = 0; i < size; ++i) {
    const totals after = TotalsOf(fleet[i]);
    for (double totals::*const member :
         {&totals::sent, &totals::received, &totals::bytes_sent,
          &totals::bytes_received, &totals::cpu_s}) {
      mean_before.*member += before[i].*member / size;
      mean.*member += after.*member / size;
    }
  }
  const double seconds = kRunMs / 1e3;
  std::printf(
      "{\"case\":\"virtual\",\"instances\":%u,\"targets\":%u,"
      "\"load\":%.0f,",
      size, targets, factor);
  Print("mean", mean_before, mean, seconds);
  std::printf(",");
  Print("collector", before[0], TotalsOf(fleet[0]), seconds);
  std::printf(",");
  Print("last", before[size - 1], TotalsOf(fleet[size - 1]), seconds);
  std::printf(
      ",\"between_centres_bytes_per_s\":%.0f,"
      "\"age_mean_ms\":%.0f,\"age_max_ms\":%.0f}\n",
      (between_centres - between_before) / seconds,
      age_sum / static_cast<double>(ages), age_max);
  std::fflush(stdout);
}

// Runs a fleet over loopback sockets on one thread, and measures its processor
// time including that of the kernel.
void RunSockets(std::uint32_t size, std::uint32_t targets) {
  constexpr std::uint16_t kPort = 7'721;
  constexpr double kSeconds = 8;
  event_loop loop;
  std::vector<instance> fleet;
  const send_function send = [&fleet](std::uint32_t from,
                                      std::span<const std::uint32_t> to,
                                      const std::string& bytes) {
    send_batch batch(fleet[from].socket->fd());
    for (const std::uint32_t address : to) {
      batch.Add(
          0,
          {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()},
          ToEndpoint({address, kPort}));
    }
    batch.Flush();
  };
  fleet = MakeFleet(size, targets, 1, send, BootTimeNow());
  std::vector<std::unique_ptr<loop_timer>> timers;
  std::vector<std::unique_ptr<descriptor_watch>> watches;
  receive_batch received;
  for (std::uint32_t i = 0; i < size; ++i) {
    instance& one = fleet[i];
    one.socket = udp_socket::Bind(ToEndpoint({SummaryOf(i).address, kPort}),
                                  port_sharing::kExclusive, 524'288)
                     .value();
    const auto schedule = [&one, &timers, i] {
      timers[i]->Start(
          std::max(one.exchange->next_due() - BootTimeNow(), duration(0)));
    };
    const auto timed = [&one](const std::function<void()>& run) {
      const double before = CpuSeconds();
      run();
      one.cpu_s += CpuSeconds() - before;
    };
    timers.push_back(
        std::make_unique<loop_timer>(loop, [&one, schedule, timed] {
          timed([&one] { one.exchange->Tick(BootTimeNow()); });
          schedule();
        }));
    const auto receive = [&one, &received] {
      for (const datagram& incoming : received.Receive(one.socket->fd())) {
        one.exchange->OnDatagram(
            ToIpv4Endpoint(incoming.from).address,
            {reinterpret_cast<const char*>(incoming.bytes.data()),
             incoming.bytes.size()},
            BootTimeNow());
      }
    };
    watches.push_back(std::make_unique<descriptor_watch>(
        loop, one.socket->fd(), io_event::kRead, [receive, schedule, timed] {
          timed(receive);
          schedule();
        }));
    schedule();
  }
  const auto cpu = [&fleet] {
    double seconds = CpuSeconds();
    for (const instance& one : fleet) {
      seconds -= one.drawn_cpu_s;
    }
    return seconds;
  };
  double began = 0;
  totals first_began;
  totals last_began;
  loop_timer begin(loop, [&] {
    began = cpu();
    first_began = TotalsOf(fleet.front());
    last_began = TotalsOf(fleet.back());
  });
  begin.Start(std::chrono::seconds(2));
  loop_timer end(loop, [&loop] { loop.Stop(); });
  end.Start(std::chrono::seconds(2) +
            std::chrono::seconds(static_cast<int>(kSeconds)));
  loop.Run();
  const double cores = (cpu() - began) / kSeconds / size;
  std::printf(
      "{\"case\":\"sockets\",\"instances\":%u,\"targets\":%u,"
      "\"cores_per_instance\":%.6f,",
      size, targets, cores);
  Print("collector", first_began, TotalsOf(fleet.front()), kSeconds);
  std::printf(",");
  Print("last", last_began, TotalsOf(fleet.back()), kSeconds);
  std::printf("}\n");
}

}  // namespace
}  // namespace rosemaryreach

int main() {
  using rosemaryreach::RunVirtual;
  RunVirtual(79, 120, 1);
  RunVirtual(79, 120, 8);
  RunVirtual(295, 120, 1);
  RunVirtual(1'000, 120, 1);
  RunVirtual(1'000, 5'000, 1);
  RunVirtual(295, 5'000, 1);
  rosemaryreach::RunSockets(79, 120);
  return EXIT_SUCCESS;
}
