// The request plane of one instance, for scripts: a request_task that balances
// requests over the given targets. Shuts down gracefully on SIGTERM.
// Usage: request_instance --listen ADDR:PORT TARGET_ADDR:PORT...
#include <popt.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "adapters/json_log.h"
#include "adapters/request_task.h"

namespace rosemaryreach::standins {
namespace {

constexpr std::uint32_t kSlots = 64;
constexpr duration kConfirmPeriod = std::chrono::milliseconds(200);
constexpr duration kStopTimeout = std::chrono::seconds(10);

std::shared_ptr<configuration> MakeConfiguration(
    const endpoint& local,
    const std::vector<endpoint>& targets) {
  std::shared_ptr<configuration> config = std::make_shared<configuration>();
  config->number = 1;
  config->data_centres = {{"dc", "region", data_centre_state::kIn}};
  service_config service;
  service.name = "requests";
  service.plane = service_plane::kRequests;
  service.addresses = {local};
  service.requests.idempotent_methods = {"GET", "HEAD"};
  service.requests.bulk_prefixes = {"/bytes"};
  for (const endpoint& address : targets) {
    target_config target;
    target.name = FormatEndpoint(address);
    target.address = address;
    target.data_centre = "dc";
    target.slots = kSlots;
    target.cold_rate_per_s = 1'000;
    target.warmup_ms = 1;
    service.targets.push_back(target);
  }
  config->services = {service};
  return config;
}

fleet_view MakeView(instance_id self) {
  instance_info info;
  info.id = self;
  info.name = "instance";
  info.data_centre = "dc";
  info.region = "region";
  info.state = instance_state::kActive;
  fleet_view view;
  view.self = self;
  view.instances = {info};
  view.version = 1;
  return view;
}

int Serve(const endpoint& local, const std::vector<endpoint>& targets) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  const int stop = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
  event_loop loop;
  json_log log({}, "instance", [](const std::string& line) {
    std::fprintf(stderr, "%s\n", line.c_str());
  });
  const instance_id self = MakeInstanceId("instance");
  request_task_settings settings;
  settings.callers = {local};
  settings.peers = {local.address, 0};
  settings.router.stop_timeout = kStopTimeout;
  request_task_hooks hooks;
  hooks.on_stopped = [&loop] { loop.Stop(); };
  request_task task(loop, self, settings, hooks, log);
  const result<void> started = task.Start();
  if (!started) {
    std::fprintf(stderr, "%s\n", FormatError(started.error()).c_str());
    return 1;
  }
  task.ApplyConfiguration(
      MakeConfiguration(task.caller_endpoints().front(), targets));
  task.ApplyView(MakeView(self));
  task.ConfirmView();
  loop_timer confirm(loop, [&task] { task.ConfirmView(); });
  confirm.StartEvery(kConfirmPeriod);
  descriptor_watch watch(loop, stop, io_event::kRead, [&] {
    signalfd_siginfo received{};
    if (read(stop, &received, sizeof(received)) == sizeof(received)) {
      task.BeginStop();
    }
  });
  std::puts(FormatEndpoint(task.caller_endpoints().front()).c_str());
  std::fflush(stdout);
  loop.Run();
  close(stop);
  return 0;
}

}  // namespace
}  // namespace rosemaryreach::standins

int main(int argc, const char** argv) {
  char* listen = nullptr;
  const poptOption options[] = {
      {"listen", 'l', POPT_ARG_STRING, &listen, 0,
       "address on which callers connect", "ADDR:PORT"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("request_instance", argc, argv, options, 0);
  const int parsed = poptGetNextOpt(context);
  const rosemaryreach::result<rosemaryreach::endpoint> local =
      rosemaryreach::ParseEndpoint(listen == nullptr ? "" : listen);
  std::vector<rosemaryreach::endpoint> targets;
  bool valid = parsed == -1 && local;
  for (const char* text = poptGetArg(context); text != nullptr;
       text = poptGetArg(context)) {
    const rosemaryreach::result<rosemaryreach::endpoint> target =
        rosemaryreach::ParseEndpoint(text);
    valid = valid && target;
    if (target) {
      targets.push_back(target.value());
    }
  }
  poptFreeContext(context);
  if (!valid) {
    std::fputs("usage: request_instance --listen ADDR:PORT TARGET...\n",
               stderr);
    return 2;
  }
  return rosemaryreach::standins::Serve(local.value(), targets);
}
