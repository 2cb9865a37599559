// Throughput and latency of request_task over loopback, beside a bare nghttp2
// forwarding loop. Figures are of this machine; only the counts have bounds.
#include <time.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "../tests/standins/h2_client.h"
#include "../tests/standins/target_server.h"
#include "adapters/request_task.h"
#include "bench_http_bare.h"
#include "fakes/bench_main.h"

namespace rosemaryreach {
namespace {

using fakes::bench_report;
using standins::h2_call;
using standins::h2_client;
using standins::target_server;

constexpr std::size_t kConnections = 4;
constexpr std::size_t kStreamsEach = 16;
constexpr std::size_t kWarmUpRequests = 2'000;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr std::size_t kAnswerBytes = 1'024;

endpoint Loopback() {
  return ParseEndpoint("127.0.0.1:0").value();
}

duration ThreadTime() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return std::chrono::duration_cast<duration>(
      std::chrono::seconds(used.tv_sec) +
      std::chrono::nanoseconds(used.tv_nsec));
}

// A loop on a thread of its own. What `make` builds lives on that thread.
class loop_thread {
 public:
  explicit loop_thread(std::function<std::shared_ptr<void>(event_loop&)> make)
      : thread_([this, make = std::move(make)] {
          std::shared_ptr<void> made = make(loop_);
          ready_ = true;
          ready_.notify_all();
          loop_.Run();
          used_ = ThreadTime();
          made.reset();
        }) {
    ready_.wait(false);
  }
  ~loop_thread() { Stop(); }
  loop_thread(const loop_thread&) = delete;
  loop_thread& operator=(const loop_thread&) = delete;

  // Returns the processor time that the thread has used.
  duration Stop() {
    if (thread_.joinable()) {
      loop_.Stop();
      thread_.join();
    }
    return used_;
  }

  // Returns the processor time used so far.
  duration Used() {
    std::atomic<duration::rep> used = 0;
    loop_.Post([&] {
      used = ThreadTime().count();
      used.notify_all();
    });
    used.wait(0);
    return duration(used.load());
  }

 private:
  event_loop loop_;
  std::atomic<bool> ready_ = false;
  duration used_{};
  std::thread thread_;
};

struct plane {
  plane(event_loop& loop, const endpoint& target, endpoint& local)
      : task(loop, MakeInstanceId("a"), Settings(), {}, log),
        confirm(loop, [this] { task.ConfirmView(); }) {
    if (!task.Start()) {
      return;
    }
    local = task.caller_endpoints().front();
    configuration config;
    config.number = 1;
    config.data_centres = {{"dc", "region", data_centre_state::kIn}};
    service_config service;
    service.name = "pots";
    service.plane = service_plane::kRequests;
    service.addresses = {local};
    target_config declared;
    declared.name = "target";
    declared.address = target;
    declared.data_centre = "dc";
    declared.slots = 4 * kConnections * kStreamsEach;
    declared.cold_rate_per_s = 1'000'000;
    declared.warmup_ms = 1;
    service.targets = {declared};
    config.services = {service};
    task.ApplyConfiguration(std::make_shared<configuration>(config));
    instance_info self;
    self.id = MakeInstanceId("a");
    self.data_centre = "dc";
    self.region = "region";
    self.state = instance_state::kActive;
    fleet_view view;
    view.self = self.id;
    view.instances = {self};
    view.version = 1;
    task.ApplyView(view);
    task.ConfirmView();
    confirm.StartEvery(std::chrono::milliseconds(100));
  }

  static request_task_settings Settings() {
    request_task_settings settings;
    settings.callers = {Loopback()};
    settings.peers = Loopback();
    return settings;
  }

  null_log_sink log;
  request_task task;
  loop_timer confirm;
};

struct load_result {
  std::size_t answered = 0;
  std::size_t wrong = 0;
  duration elapsed{};
  std::vector<duration> latencies;
};

// Keeps kStreamsEach requests open on each connection until `count` are over.
class load {
 public:
  load(const endpoint& remote, std::size_t count) : left_(count) {
    for (std::size_t i = 0; i < kConnections; ++i) {
      clients_.push_back(std::make_unique<h2_client>(loop_, remote));
    }
    running_.resize(kConnections * kStreamsEach);
    outstanding_ = count;
  }

  load_result Run() {
    const time_point begin = loop_.now();
    loop_timer wake(loop_, [] {});
    wake.StartEvery(std::chrono::milliseconds(10));
    while (outstanding_ > 0) {
      for (std::size_t i = 0; i < running_.size(); ++i) {
        Step(i);
      }
      loop_.RunOnce();
    }
    result_.elapsed = loop_.now() - begin;
    return std::move(result_);
  }

 private:
  struct running_call {
    std::shared_ptr<h2_call> call;
    time_point started;
  };

  void Step(std::size_t slot) {
    running_call& running = running_[slot];
    if (running.call && running.call->close) {
      ++result_.answered;
      const bool right =
          running.call->Succeeded() && running.call->body_bytes == kAnswerBytes;
      result_.wrong += right ? 0 : 1;
      result_.latencies.push_back(loop_.now() - running.started);
      running.call.reset();
      --outstanding_;
    }
    if (!running.call && left_ > 0) {
      --left_;
      running.started = loop_.now();
      running.call = clients_[slot % kConnections]->Start(
          {.path = "/bytes/" + std::to_string(kAnswerBytes)});
    }
  }

  event_loop loop_;
  std::size_t left_;
  std::size_t outstanding_;
  std::vector<std::unique_ptr<h2_client>> clients_;
  std::vector<running_call> running_;
  load_result result_;
};

struct figures {
  double per_second = 0;
  double p99_us = 0;
  double cpu_us = 0;
};

figures Measure(bench_report& report,
                const std::string& name,
                loop_thread& forwarder,
                const endpoint& local,
                std::size_t requests) {
  load(local, kWarmUpRequests).Run();
  const duration before = forwarder.Used();
  load_result result = load(local, requests).Run();
  const duration used = forwarder.Used() - before;
  std::sort(result.latencies.begin(), result.latencies.end());
  figures measured;
  measured.per_second = static_cast<double>(requests) * kMicrosecondsPerSecond /
                        static_cast<double>(result.elapsed.count());
  measured.p99_us = static_cast<double>(
      result.latencies[result.latencies.size() * 99 / 100].count());
  measured.cpu_us =
      static_cast<double>(used.count()) / static_cast<double>(requests);
  report.AtMost(name + "_wrong_answers", static_cast<double>(result.wrong), 0);
  report.Show(name + "_requests_per_s", measured.per_second);
  report.Show(name + "_p99_us", measured.p99_us);
  report.Show(name + "_cpu_us_per_request", measured.cpu_us);
  return measured;
}

void Throughput(std::uint64_t /*seed*/, bench_report& report) {
  constexpr std::size_t kRequests = 100'000;
  endpoint target;
  loop_thread targets([&target](event_loop& loop) {
    std::shared_ptr<target_server> made = std::make_shared<target_server>(
        loop, Loopback(), standins::target_options{});
    target = made->local();
    return made;
  });
  endpoint local;
  loop_thread bare([&](event_loop& loop) {
    std::shared_ptr<bare::forwarder> made =
        std::make_shared<bare::forwarder>(loop, Loopback(), target);
    local = made->local();
    return made;
  });
  const figures reference = Measure(report, "bare", bare, local, kRequests);
  bare.Stop();
  loop_thread own([&](event_loop& loop) {
    return std::make_shared<plane>(loop, target, local);
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const figures measured =
      Measure(report, "request_task", own, local, kRequests);
  own.Stop();
  report.Show("share_of_bare_throughput",
              measured.per_second / reference.per_second);
  report.Show("share_of_bare_by_cpu", reference.cpu_us / measured.cpu_us);
}

}  // namespace
}  // namespace rosemaryreach

int main(int argc, const char** argv) {
  return rosemaryreach::fakes::BenchMain(
      argc, argv, {{"throughput", rosemaryreach::Throughput}});
}
