// rosemaryreach-entry: runs an entry instance on the platform.
#include <popt.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "adapters/json_log.h"
#include "adapters/random_seed.h"
#include "adapters/signal_descriptor.h"
#include "entryd/entry_instance.h"
#include "platform_settings_file.h"

namespace rosemaryreach {
namespace {

// Time limit for writing the last log lines at exit; a live reader needs a few
// milliseconds.
constexpr std::chrono::milliseconds kLogFlushTimeout(200);
// For the lines on packets that arrived meanwhile.
constexpr std::chrono::milliseconds kLastLinesTimeout(20);

enum exit_code : int { kOk = 0, kFailed = 1, kInvalidInput = 2 };

struct command_line {
  entry_options options;
  log_level level = log_level::kInfo;
  bool check_only = false;
  bool show_version = false;
};

std::string DefaultSettingsFile() {
  const char* named = std::getenv(kSettingsVariable);
  return named == nullptr ? "" : named;
}

result<log_level> ParseLevel(const std::string& name) {
  static constexpr std::array<const char*, 4> kNames = {"debug", "info",
                                                        "warning", "error"};
  const auto* const found = std::find(kNames.begin(), kNames.end(), name);
  if (found == kNames.end()) {
    return Fail(errc::kUnsupported, "--log-level " + name + ": unknown level");
  }
  return static_cast<log_level>(std::distance(kNames.begin(), found));
}

// Parses the command line; returns errc::kUnsupported if it is invalid.
result<command_line> ParseCommandLine(int argc, const char** argv) {
  command_line command;
  char* file = nullptr;
  char* level = nullptr;
  int metrics_port = 0;
  int clock_offset_ms = 0;
  int check = 0;
  int version = 0;
  const std::vector<poptOption> options = {
      {"settings", 's', POPT_ARG_STRING, &file, 0,
       "settings file of this instance, in YAML; default: the file named by "
       "the environment",
       "FILE"},
      {"metrics-port", 'm', POPT_ARG_INT, &metrics_port, 0,
       "additional port that serves /metrics", "PORT"},
      {"clock-offset", 0, POPT_ARG_INT, &clock_offset_ms, 0,
       "milliseconds added to the wall clock, for tests", "MS"},
      {"log-level", 'l', POPT_ARG_STRING, &level, 0,
       "debug, info, warning or error; default: info", "LEVEL"},
      {"check-settings", 'c', POPT_ARG_NONE, &check, 0,
       "check the settings and exit", nullptr},
      {"version", 'v', POPT_ARG_NONE, &version, 0, "print the version",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("rosemaryreach-entry", argc, argv, options.data(), 0);
  const int parsed = poptGetNextOpt(context);
  const char* bad = poptBadOption(context, POPT_BADOPTION_NOALIAS);
  const std::string bad_option = bad == nullptr ? "" : bad;
  const char* extra = poptGetArg(context);
  const std::string argument = extra == nullptr ? "" : extra;
  poptFreeContext(context);
  command.options.settings_file =
      file == nullptr ? DefaultSettingsFile() : file;
  const std::string level_name = level == nullptr ? "info" : level;
  std::free(file);
  std::free(level);
  if (parsed != -1) {
    return Fail(errc::kUnsupported, bad_option + ": " + poptStrerror(parsed));
  }
  if (!argument.empty()) {
    return Fail(errc::kUnsupported, argument + ": unexpected argument");
  }
  BOOST_OUTCOME_TRY(log_level, ParseLevel(level_name));
  command.level = log_level;
  if (metrics_port < 0 || metrics_port > UINT16_MAX) {
    return Fail(errc::kUnsupported, "--metrics-port: expected 0 to 65535");
  }
  if (command.options.settings_file.empty() && version == 0) {
    return Fail(errc::kUnsupported, std::string("--settings FILE or ") +
                                        kSettingsVariable + " is required");
  }
  command.options.build = ROSEMARYREACH_BUILD;
  command.options.metrics_port = static_cast<std::uint16_t>(metrics_port);
  command.options.clock_offset = std::chrono::milliseconds(clock_offset_ms);
  command.check_only = check != 0;
  command.show_version = version != 0;
  return command;
}

int Serve(const entry_settings& settings,
          const entry_options& options,
          log_level level) {
  // Created before the writer's thread, so that the thread inherits the signal
  // mask.
  signal_descriptor signals;
  // Writing starts after the first packets: on a small share of a core, the
  // lines of a start would take as long as the rest of it.
  background_writer writer(MakeStdoutWriter(),
                           background_writer::kDefaultCapacityLines,
                           writer_start::kDeferred);
  log_settings levels;
  levels.level = level;
  json_log log(levels, settings.instance,
               [&writer](std::string line) { writer.Write(std::move(line)); });
  entry_instance instance(settings, options, signals, log, RandomSeed(),
                          [&writer] { writer.Start(); });
  const result<void> started = instance.Start();
  if (!started) {
    std::fprintf(stderr, "rosemaryreach-entry: %s\n",
                 FormatError(started.error()).c_str());
    return kFailed;
  }
  instance.Run();
  // The event loop ends with packets unread, and more arrive while the log is
  // written. Their lines get no time of their own, so that the process ends
  // within its grace period.
  instance.HandleWaitingPackets();
  const bool flushed = writer.Flush(kLogFlushTimeout);
  instance.HandleWaitingPackets();
  if (!flushed || !writer.Flush(kLastLinesTimeout)) {
    // Nothing reads the output, so the destructor of the writer would block
    // forever.
    std::_Exit(kOk);
  }
  return kOk;
}

int Main(int argc, const char** argv) {
  const result<command_line> parsed = ParseCommandLine(argc, argv);
  if (!parsed) {
    std::fprintf(stderr, "rosemaryreach-entry: %s\n",
                 parsed.error().detail.c_str());
    return kInvalidInput;
  }
  if (parsed.value().show_version) {
    std::printf("rosemaryreach-entry %s\n", ROSEMARYREACH_BUILD);
    return kOk;
  }
  const std::string& file = parsed.value().options.settings_file;
  const result<entry_settings> settings = LoadEntrySettings(file);
  if (!settings) {
    std::fprintf(stderr, "rosemaryreach-entry: %s: %s\n", file.c_str(),
                 FormatError(settings.error()).c_str());
    return kInvalidInput;
  }
  if (parsed.value().check_only) {
    std::printf("%s: ok\n", file.c_str());
    return kOk;
  }
  return Serve(settings.value(), parsed.value().options, parsed.value().level);
}

}  // namespace
}  // namespace rosemaryreach

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  return rosemaryreach::Main(argc, const_cast<const char**>(argv));
}
