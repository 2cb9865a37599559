// Runs a request plane on loopback for tests: instances, targets and callers on
// one event loop.
#ifndef ROSEMARYREACH_TESTS_REQUEST_PLANE_FIXTURE_H_
#define ROSEMARYREACH_TESTS_REQUEST_PLANE_FIXTURE_H_

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "adapters/request_task.h"
#include "adapters/request_task_headers.h"
#include "standins/h2_client.h"
#include "standins/target_server.h"

namespace rosemaryreach {

struct request_plane_options {
  std::size_t instances = 1;
  std::size_t targets = 1;
  std::uint32_t slots = 64;
  standins::target_options target{};
  request_task_settings task{};
  request_policy rules{};
};

inline endpoint Loopback() {
  return ParseEndpoint("127.0.0.1:0").value();
}

class request_plane_fixture {
 public:
  explicit request_plane_fixture(request_plane_options options = {})
      : options_(std::move(options)) {
    for (std::size_t i = 0; i < options_.targets; ++i) {
      targets.push_back(std::make_unique<standins::target_server>(
          loop, Loopback(), options_.target));
      REQUIRE(targets.back()->listening());
    }
    for (std::size_t i = 0; i < options_.instances; ++i) {
      AddInstance(i);
    }
    Configure();
    confirm_timer_.StartEvery(std::chrono::milliseconds(100));
    // An instance owns its targets only once no other instance may own them.
    RunFor(std::chrono::milliseconds(400));
  }

  // Runs the loop until `done`; fails the test after 60 s.
  void RunUntil(const std::function<bool()>& done) {
    const time_point limit = loop.now() + std::chrono::seconds(60);
    loop_timer wake(loop, [] {});
    wake.StartEvery(std::chrono::milliseconds(1));
    while (!done()) {
      REQUIRE(loop.now() < limit);
      loop.RunOnce();
    }
  }

  void RunFor(duration span) {
    const time_point end = loop.now() + span;
    RunUntil([&] { return loop.now() >= end; });
  }

  std::unique_ptr<standins::h2_client> MakeCaller(std::size_t instance = 0,
                                                  h2_limits limits = {}) {
    return std::make_unique<standins::h2_client>(
        loop, tasks[instance]->caller_endpoints().front(), limits);
  }

  // Sends one request and returns the call once its stream has closed.
  std::shared_ptr<standins::h2_call> Call(
      standins::h2_client& caller,
      const standins::call_options& options) {
    std::shared_ptr<standins::h2_call> call = caller.Start(options);
    RunUntil([&] { return call->close.has_value(); });
    return call;
  }

  // Sends `count` requests, which adds to the retry budget.
  void WarmUp(std::size_t count) {
    const std::unique_ptr<standins::h2_client> caller = MakeCaller();
    for (std::size_t i = 0; i < count; ++i) {
      REQUIRE(Call(*caller, {.path = "/bytes/1"})->Succeeded());
    }
  }

  // Announces the instance as leaving and starts its graceful stop.
  void Stop(std::size_t instance) {
    instances_[instance].state = instance_state::kLeaving;
    Configure();
    tasks[instance]->BeginStop();
  }

  void Configure() {
    config.number += 1;
    config.data_centres = {{"dc", "region", data_centre_state::kIn}};
    service_config service;
    service.name = "pots";
    service.plane = service_plane::kRequests;
    service.requests = options_.rules;
    service.requests.idempotent_methods = {"GET"};
    service.requests.watch_prefixes = {"/endless"};
    service.requests.bulk_prefixes = {"/bytes"};
    for (const std::unique_ptr<request_task>& task : tasks) {
      service.addresses.push_back(task->caller_endpoints().front());
    }
    for (std::size_t i = 0; i < targets.size(); ++i) {
      target_config target;
      target.name = "target-" + std::to_string(i);
      target.address = targets[i]->local();
      target.data_centre = "dc";
      target.slots = options_.slots;
      target.cold_rate_per_s = 100'000;
      target.warmup_ms = 1;
      service.targets.push_back(target);
    }
    config.services = {service};
    const std::shared_ptr<const configuration> shared =
        std::make_shared<configuration>(config);
    for (std::size_t i = 0; i < tasks.size(); ++i) {
      fleet_view view;
      view.self = instances_[i].id;
      view.instances = instances_;
      std::sort(view.instances.begin(), view.instances.end(),
                [](const instance_info& a, const instance_info& b) {
                  return a.id < b.id;
                });
      view.version = config.number;
      tasks[i]->ApplyConfiguration(shared);
      tasks[i]->ApplyView(view);
      tasks[i]->ConfirmView();
    }
  }

  event_loop loop;
  null_log_sink log;
  configuration config;
  std::vector<std::unique_ptr<standins::target_server>> targets;
  std::vector<std::unique_ptr<request_task>> tasks;
  std::size_t stopped = 0;

 private:
  void AddInstance(std::size_t index) {
    instance_info info;
    info.name = "instance-" + std::to_string(index);
    info.id = MakeInstanceId(info.name);
    info.data_centre = "dc";
    info.region = "region";
    info.state = instance_state::kActive;
    request_task_settings settings = options_.task;
    settings.callers = {Loopback()};
    settings.peers = Loopback();
    request_task_hooks hooks;
    hooks.sign = [](std::string_view text) {
      return std::to_string(HashBytes(text));
    };
    hooks.verify = [](std::string_view text, std::string_view signature) {
      return std::to_string(HashBytes(text)) == signature;
    };
    const instance_id from = info.id;
    hooks.send = [this, from](instance_id to, const request_message& message) {
      loop.Post([this, from, to, message] { Deliver(from, to, message); });
    };
    hooks.on_stopped = [this] { ++stopped; };
    tasks.push_back(std::make_unique<request_task>(loop, info.id, settings,
                                                   std::move(hooks), log));
    REQUIRE(tasks.back()->Start());
    info.address = tasks.back()->peer_endpoint().address;
    info.request_port = tasks.back()->peer_endpoint().port;
    instances_.push_back(info);
  }

  void Deliver(instance_id from,
               instance_id to,
               const request_message& message) {
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      if (instances_[i].id == to) {
        tasks[i]->OnMessage(from, message);
      }
    }
  }

  request_plane_options options_;
  std::vector<instance_info> instances_;
  loop_timer confirm_timer_{
      loop, [this] {
        for (const std::unique_ptr<request_task>& task : tasks) {
          task->ConfirmView();
        }
      }};
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TESTS_REQUEST_PLANE_FIXTURE_H_
