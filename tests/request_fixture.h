// Test fixture: a single router with one service.
#ifndef ROSEMARYREACH_TESTS_REQUEST_FIXTURE_H_
#define ROSEMARYREACH_TESTS_REQUEST_FIXTURE_H_

#include <string>
#include <variant>
#include <vector>

#include "rosemaryreach/ownership.h"
#include "rosemaryreach/request_router.h"

namespace rosemaryreach {

inline configuration MakeRequestConfiguration(int targets,
                                              std::uint32_t slots) {
  configuration config;
  config.number = 1;
  config.data_centres = {{"a", "r", data_centre_state::kIn},
                         {"b", "r", data_centre_state::kIn}};
  service_config service;
  service.name = "pots";
  service.plane = service_plane::kRequests;
  service.requests.idempotent_methods = {"GET"};
  service.requests.bulk_prefixes = {"/statements/"};
  service.requests.watch_prefixes = {"/watch/"};
  service.requests.max_deadline_ms = 5'000;
  service.requests.queue_limit = 20;
  for (int i = 0; i < targets; ++i) {
    target_config target;
    target.name = "t" + std::to_string(i);
    target.data_centre = "a";
    target.slots = slots;
    target.warmup_ms = 0;
    service.targets.push_back(target);
  }
  config.services.push_back(service);
  return config;
}

inline instance_info MakeActiveInstance(const std::string& name) {
  instance_info info;
  info.name = name;
  info.id = MakeInstanceId(name);
  info.data_centre = "a";
  info.region = "r";
  info.incarnation = 1;
  info.state = instance_state::kActive;
  return info;
}

inline fleet_view MakeFleetView(const std::string& self,
                                const std::vector<std::string>& names) {
  fleet_view view;
  view.self = MakeInstanceId(self);
  for (const std::string& name : names) {
    view.instances.push_back(MakeActiveInstance(name));
  }
  return view;
}

// Returns the first action of type Action, or nullptr.
template <typename Action>
const Action* FindAction(request_router::actions actions) {
  for (const request_action& action : actions) {
    if (const Action* found = std::get_if<Action>(&action)) {
      return found;
    }
  }
  return nullptr;
}

// The only router of a fleet, which owns all targets; its targets are warm.
class single_router {
 public:
  explicit single_router(const configuration& config,
                         router_options options = {})
      : router(MakeInstanceId("i0"), options, log) {
    router.ApplyConfiguration(now, config);
    router.ApplyView(now, MakeFleetView("i0", {"i0"}));
    Advance(std::chrono::milliseconds(300));
  }

  // Advances the time by ticks with the view confirmed; returns all actions.
  std::vector<request_action> Advance(duration span) {
    std::vector<request_action> all;
    const time_point end = now + span;
    while (now < end) {
      now += request_router::kTickPeriod;
      router.ConfirmView(now);
      const request_router::actions actions = router.Tick(now);
      all.insert(all.end(), actions.begin(), actions.end());
    }
    return all;
  }

  request_router::actions SendRequest(std::uint64_t id,
                                      std::string_view method,
                                      std::string_view path = "/",
                                      std::uint64_t caller = 1) {
    request_info info;
    info.id = {id};
    info.service = "pots";
    info.method = method;
    info.path = path;
    info.caller = caller;
    return router.OnArrival(now, info);
  }

  // Ends the attempt with a complete response.
  request_router::actions Complete(attempt_id attempt) {
    router.OnAttemptHeaders(now, attempt, false);
    return router.OnAttemptEnd(now, attempt, attempt_outcome::kDone);
  }

  // Completes one request on each target, so that none is cold.
  void WarmUpTargets(int targets) {
    for (int i = 0; i < targets; ++i) {
      const std::uint64_t id = 1'000'000 + static_cast<std::uint64_t>(i);
      attempts_.push_back(
          FindAction<dispatch_action>(SendRequest(id, "GET"))->attempt);
    }
    for (const attempt_id attempt : attempts_) {
      Complete(attempt);
    }
  }

  null_log_sink log;
  time_point now{std::chrono::seconds(1)};
  request_router router;

 private:
  std::vector<attempt_id> attempts_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TESTS_REQUEST_FIXTURE_H_
