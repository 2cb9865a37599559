// Callers of both services: sends requests at given rates, repeats bookings as
// a client would, and checks every end that it is told.
#ifndef ROSEMARYREACH_BENCH_REQUESTS_REQUEST_LOAD_H_
#define ROSEMARYREACH_BENCH_REQUESTS_REQUEST_LOAD_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "requests/request_world.h"

namespace rosemaryreach::bench {

inline constexpr char kInteractiveService[] = "pots";
inline constexpr char kBulkService[] = "statements";

struct load_rates {
  double interactive_per_s = 0;  // bookings and views
  double booking_share = 0.3;
  double bulk_share = 0.02;  // bulk requests among the interactive service's
  double watches_per_s = 0;
  double downloads_per_s = 0;
  duration timeout = std::chrono::seconds(2);
  int callers = 2'000;
  int max_repeats = 2;
};

enum class call_status : std::uint8_t {
  kOpen,
  kWhole,
  kNotRun,
  kUnknown,
  kKnownDone,
  kInProgress,  // another call with the key still ran
  kCut,
  kInstanceLost,
};

struct call_record {
  std::string_view service;
  request_class kind = request_class::kInteractive;
  bool booking = false;
  call_status status = call_status::kOpen;
  time_point sent_at;
  time_point ended_at;
  duration timeout{};
  duration service_time{};
  std::uint64_t key = 0;
  int repeats = 0;
  std::uint32_t runs = 0;
};

// Promises that were broken; all zero in a correct run.
struct broken_promises {
  std::uint64_t repeated_runs = 0;
  std::uint64_t false_not_run = 0;
  std::uint64_t wrong_caller = 0;
  std::uint64_t cut_as_whole = 0;
  std::uint64_t two_ends = 0;
  std::uint64_t lost_bookings = 0;
};

class request_load {
 public:
  request_load(fakes::event_queue& queue, std::uint64_t seed)
      : queue_(queue), random_(HashPair(seed, 77)) {}

  void Connect(request_world& world) {
    world_ = &world;
    world.on_run = [this](std::uint64_t uid, std::uint64_t key) {
      OnRun(uid, key);
    };
  }

  // Sends at `rates` from now on, in place of the earlier rates.
  void SetRates(const load_rates& rates) {
    rates_ = rates;
    ++generation_;
    Schedule(rates.interactive_per_s, [this] { SendInteractive(); });
    Schedule(rates.watches_per_s, [this] { SendWatch(); });
    Schedule(rates.downloads_per_s, [this] { SendDownload(); });
  }

  void OnEnd(const caller_request& request, const caller_end& end) {
    call_record& call = calls_[request.uid];
    if (call.status != call_status::kOpen) {
      ++broken_.two_ends;
      return;
    }
    call.ended_at = queue_.now();
    call.status = StatusOf(end);
    if (end.whole) {
      broken_.wrong_caller += end.body_uid != request.uid ? 1 : 0;
      broken_.cut_as_whole += call.runs == 0 ? 1 : 0;
    }
    broken_.false_not_run +=
        call.status == call_status::kNotRun && call.runs > 0 ? 1 : 0;
    const bool told_done = call.status == call_status::kWhole ||
                           call.status == call_status::kKnownDone;
    if (call.key != 0 && told_done) {
      broken_.lost_bookings += runs_of_key_[call.key] == 0 ? 1 : 0;
    }
    if (call.booking && !told_done) {
      Repeat(request, call, end);
    }
  }

  const std::vector<call_record>& calls() const { return calls_; }
  const broken_promises& broken() const { return broken_; }

  // Returns the requests that had no end `grace` after their deadline by now.
  std::uint64_t WithoutEnd(duration grace) const {
    return static_cast<std::uint64_t>(std::count_if(
        calls_.begin(), calls_.end(), [this, grace](const call_record& call) {
          const time_point due = call.sent_at + call.timeout + grace;
          const time_point ended =
              call.status == call_status::kOpen ? queue_.now() : call.ended_at;
          return call.kind != request_class::kWatch && ended > due;
        }));
  }

 private:
  static call_status StatusOf(const caller_end& end) {
    if (end.whole) {
      return call_status::kWhole;
    }
    if (end.instance_lost) {
      return call_status::kInstanceLost;
    }
    if (end.cut) {
      return call_status::kCut;
    }
    if (end.run == run_state::kRun) {
      return call_status::kKnownDone;
    }
    if (end.condition == local_reply_reason::kKeyInProgress) {
      return call_status::kInProgress;
    }
    return end.run == run_state::kNotRun ? call_status::kNotRun
                                         : call_status::kUnknown;
  }

  void OnRun(std::uint64_t uid, std::uint64_t key) {
    call_record& call = calls_[uid];
    ++call.runs;
    if (call.booking) {
      broken_.repeated_runs += call.runs > 1 ? 1 : 0;
      broken_.repeated_runs += key != 0 && ++runs_of_key_[key] > 1 ? 1 : 0;
    }
    broken_.false_not_run += call.status == call_status::kNotRun ? 1 : 0;
  }

  // Poisson arrivals until the rates change.
  void Schedule(double per_second, std::function<void()> send) {
    if (per_second <= 0) {
      return;
    }
    const double seconds =
        std::exponential_distribution<double>(per_second)(random_);
    const std::uint64_t generation = generation_;
    queue_.After(duration(static_cast<duration::rep>(seconds * 1e6)),
                 [this, per_second, generation, send = std::move(send)] {
                   if (generation == generation_) {
                     send();
                     Schedule(per_second, send);
                   }
                 });
  }

  // Returns half to one and a half times `mean`.
  duration Around(duration mean) {
    return duration(std::uniform_int_distribution<duration::rep>(
        mean.count() / 2, mean.count() * 3 / 2)(random_));
  }

  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }

  void SendInteractive() {
    caller_request request;
    request.service = kInteractiveService;
    request.timeout = rates_.timeout;
    request.service_time = Around(kMeanInteractiveWork);
    if (Chance(rates_.bulk_share)) {
      request.method = "GET";
      request.path = "/statements/1";
      request.kind = request_class::kBulk;
      request.service_time = Around(kMeanBulkWork);
    } else if (Chance(rates_.booking_share)) {
      request.method = "POST";
      request.path = "/bookings";
      // Some callers give no key; their bookings may not repeat either.
      request.key = Chance(0.8) ? random_() | 1U : 0;
      if (request.key != 0 && Chance(kImpatientShare)) {
        SendAgainSoon(request);
      }
    } else {
      request.method = "GET";
      request.path = "/pots/1";
    }
    SendNew(request, 0);
  }

  // An impatient caller presses the button twice.
  void SendAgainSoon(const caller_request& request) {
    const duration pause = Around(std::chrono::milliseconds(100));
    queue_.After(pause,
                 [this, request] { SendNew(request, rates_.max_repeats); });
  }

  void SendWatch() {
    caller_request request;
    request.service = kInteractiveService;
    request.method = "GET";
    request.path = "/watch/1";
    request.kind = request_class::kWatch;
    request.service_time = Around(std::chrono::seconds(10));
    request.timeout = std::chrono::seconds(60);
    SendNew(request, 0);
  }

  void SendDownload() {
    caller_request request;
    request.service = kBulkService;
    request.method = "GET";
    request.path = "/statements/1";
    request.kind = request_class::kBulk;
    request.service_time = Around(kMeanBulkWork);
    request.timeout = rates_.timeout;
    SendNew(request, 0);
  }

  void SendNew(caller_request request, int repeats) {
    request.uid = calls_.size();
    if (request.caller == 0) {
      request.caller = 1 + random_() % static_cast<unsigned>(rates_.callers);
    }
    call_record call;
    call.service =
        request.service == kBulkService ? kBulkService : kInteractiveService;
    call.kind = request.kind;
    call.booking = request.method == "POST";
    call.sent_at = queue_.now();
    call.timeout = request.timeout;
    call.service_time = request.service_time;
    call.key = request.key;
    call.repeats = repeats;
    calls_.push_back(call);
    world_->Send(request);
  }

  // A client comes again with the same key; without one only if not run.
  void Repeat(const caller_request& request,
              const call_record& call,
              const caller_end& end) {
    const bool may = request.key != 0 || call.status == call_status::kNotRun;
    if (!may || call.repeats >= rates_.max_repeats) {
      return;
    }
    const duration pause =
        std::max<duration>(end.retry_after, std::chrono::milliseconds(200));
    const int repeats = call.repeats + 1;
    queue_.After(Around(pause),
                 [this, request, repeats] { SendNew(request, repeats); });
  }

  static constexpr double kImpatientShare = 0.05;

  fakes::event_queue& queue_;
  std::mt19937_64 random_;
  request_world* world_ = nullptr;
  load_rates rates_;
  std::uint64_t generation_ = 0;
  std::vector<call_record> calls_;
  std::unordered_map<std::uint64_t, std::uint64_t> runs_of_key_;
  broken_promises broken_;
};

// What became of the calls sent in a span of time.
struct call_summary {
  std::uint64_t sent = 0;
  std::uint64_t whole = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t cut = 0;
  std::uint64_t in_progress = 0;
  duration p99{};
  duration booking_p99{};
};

inline duration Quantile99(std::vector<duration>& latencies) {
  if (latencies.empty()) {
    return duration::zero();
  }
  const std::size_t rank = latencies.size() * 99 / 100;
  std::nth_element(latencies.begin(),
                   latencies.begin() + static_cast<long>(rank),
                   latencies.end());
  return latencies[rank];
}

// Returns the work of `service` whose whole answers came from `begin` to `end`.
inline duration UsefulWork(const std::vector<call_record>& calls,
                           std::string_view service,
                           time_point begin,
                           time_point end) {
  duration work{};
  for (const call_record& call : calls) {
    if (call.service == service && call.kind != request_class::kWatch &&
        call.status == call_status::kWhole && call.ended_at >= begin &&
        call.ended_at < end) {
      work += call.service_time;
    }
  }
  return work;
}

// Sums up the calls of `service` sent from `begin` to `end`, except watches.
inline call_summary Summarize(const std::vector<call_record>& calls,
                              std::string_view service,
                              time_point begin,
                              time_point end) {
  call_summary sum;
  std::vector<duration> latencies;
  std::vector<duration> bookings;
  for (const call_record& call : calls) {
    if (call.service != service || call.kind == request_class::kWatch ||
        call.sent_at < begin || call.sent_at >= end) {
      continue;
    }
    ++sum.sent;
    switch (call.status) {
      case call_status::kWhole:
        ++sum.whole;
        latencies.push_back(call.ended_at - call.sent_at);
        if (call.booking) {
          bookings.push_back(call.ended_at - call.sent_at);
        }
        break;
      case call_status::kKnownDone:
        ++sum.whole;
        break;
      case call_status::kInProgress:
        ++sum.in_progress;
        break;
      case call_status::kNotRun:
        ++sum.not_run;
        break;
      case call_status::kCut:
        ++sum.cut;
        break;
      case call_status::kOpen:
      case call_status::kUnknown:
      case call_status::kInstanceLost:
        ++sum.unknown;
        break;
    }
  }
  sum.p99 = Quantile99(latencies);
  sum.booking_p99 = Quantile99(bookings);
  return sum;
}

}  // namespace rosemaryreach::bench

#endif  // ROSEMARYREACH_BENCH_REQUESTS_REQUEST_LOAD_H_
