// Test server in place of a target of a request service; its paths are
// described in target_server.h. Prints its statistics and exits on SIGINT and
// SIGTERM, drains on SIGUSR1. Usage: request_target [options] ADDR:PORT
#include <popt.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "standins/target_server.h"

namespace rosemaryreach::standins {
namespace {

struct arguments {
  int slots = 0;
  int service_ms = 0;
  int cold_factor = 1;
  int warmup_ms = 0;
  int shed = 0;
  std::string address;
};

int OpenSignalDescriptor() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGINT, SIGTERM, SIGUSR1}) {
    sigaddset(&signals, signal);
  }
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  return signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
}

void PrintStats(const target_stats& stats) {
  const nlohmann::json line = {{"started", stats.started},
                               {"finished", stats.finished},
                               {"cancelled", stats.cancelled},
                               {"refused", stats.refused},
                               {"peak_running", stats.peak_running}};
  std::puts(line.dump().c_str());
  std::fflush(stdout);
}

int Serve(const arguments& given) {
  const result<endpoint> local = ParseEndpoint(given.address);
  if (!local) {
    std::fprintf(stderr, "%s\n", FormatError(local.error()).c_str());
    return 2;
  }
  target_options options;
  options.slots = static_cast<std::uint32_t>(given.slots);
  options.service_time = std::chrono::milliseconds(given.service_ms);
  options.cold_factor = static_cast<std::uint32_t>(given.cold_factor);
  options.warmup = std::chrono::milliseconds(given.warmup_ms);
  event_loop loop;
  target_server server(loop, local.value(), options);
  if (!server.listening()) {
    std::fprintf(stderr, "cannot listen on %s\n", given.address.c_str());
    return 1;
  }
  server.SetLoadShedding(given.shed != 0);
  std::puts(FormatEndpoint(server.local()).c_str());
  std::fflush(stdout);
  const int signals = OpenSignalDescriptor();
  descriptor_watch watch(loop, signals, io_event::kRead, [&] {
    signalfd_siginfo received{};
    if (read(signals, &received, sizeof(received)) != sizeof(received)) {
      return;
    }
    if (received.ssi_signo == SIGUSR1) {
      server.Drain();
      return;
    }
    PrintStats(server.stats());
    loop.Stop();
  });
  loop.Run();
  close(signals);
  return 0;
}

}  // namespace
}  // namespace rosemaryreach::standins

int main(int argc, const char** argv) {
  rosemaryreach::standins::arguments given;
  const poptOption options[] = {
      {"slots", 0, POPT_ARG_INT, &given.slots, 0,
       "concurrent requests; more are refused", "N"},
      {"service-ms", 0, POPT_ARG_INT, &given.service_ms, 0,
       "processing time of each request", "MS"},
      {"cold-factor", 0, POPT_ARG_INT, &given.cold_factor, 0,
       "factor of the processing time while cold", "N"},
      {"warmup-ms", 0, POPT_ARG_INT, &given.warmup_ms, 0,
       "duration of the warm-up", "MS"},
      {"shed", 0, POPT_ARG_NONE, &given.shed, 0, "refuse all requests",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("request_target", argc, argv, options, 0);
  const int parsed = poptGetNextOpt(context);
  const char* const address = poptGetArg(context);
  given.address = address == nullptr ? "" : address;
  poptFreeContext(context);
  if (parsed != -1 || given.address.empty()) {
    std::fputs("usage: request_target [options] ADDR:PORT\n", stderr);
    return 2;
  }
  return rosemaryreach::standins::Serve(given);
}
