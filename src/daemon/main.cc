// rosemaryreachd: the load balancer daemon; runs one instance.
#include <popt.h>

#include <cstdio>
#include <string>
#include <vector>

#include "daemon/instance.h"
#include "rosemaryreach/settings.h"

namespace rosemaryreach {
namespace {

constexpr const char* kVersion = "0.1.0";

enum exit_code : int { kOk = 0, kFailed = 1, kInvalidInput = 2 };

struct command_line {
  std::string settings_file;
  bool check_only = false;
  bool show_version = false;
};

// Parses the command line; returns errc::kUnsupported if it is invalid.
result<command_line> ParseCommandLine(int argc, const char** argv) {
  char* file = nullptr;
  int check = 0;
  int version = 0;
  const std::vector<poptOption> options = {
      {"settings", 's', POPT_ARG_STRING, &file, 0,
       "settings of this instance, in JSON", "FILE"},
      {"check-settings", 'c', POPT_ARG_NONE, &check, 0,
       "check the settings, print every error and exit", nullptr},
      {"version", 'v', POPT_ARG_NONE, &version, 0, "print the version",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("rosemaryreachd", argc, argv, options.data(), 0);
  const int parsed = poptGetNextOpt(context);
  const char* bad_option = poptBadOption(context, POPT_BADOPTION_NOALIAS);
  const std::string bad = bad_option == nullptr ? "" : bad_option;
  const char* extra = poptGetArg(context);
  const std::string argument = extra == nullptr ? "" : extra;
  poptFreeContext(context);
  if (parsed != -1) {
    return Fail(errc::kUnsupported, bad + ": " + poptStrerror(parsed));
  }
  if (!argument.empty()) {
    return Fail(errc::kUnsupported, argument + ": unexpected argument");
  }
  if (file == nullptr && version == 0) {
    return Fail(errc::kUnsupported, "--settings FILE is required; see --help");
  }
  return command_line{file == nullptr ? "" : file, check != 0, version != 0};
}

int RunInstance(const settings& settings) {
  const result<void> ended = RunUntilStopped(settings);
  if (!ended) {
    std::fprintf(stderr, "rosemaryreachd: %s\n",
                 FormatError(ended.error()).c_str());
    return kFailed;
  }
  return kOk;
}

int Main(int argc, const char** argv) {
  const result<command_line> parsed = ParseCommandLine(argc, argv);
  if (!parsed) {
    std::fprintf(stderr, "rosemaryreachd: %s\n", parsed.error().detail.c_str());
    return kInvalidInput;
  }
  if (parsed.value().show_version) {
    std::printf("rosemaryreachd %s\n", kVersion);
    return kOk;
  }
  const settings_check checked = LoadSettings(parsed.value().settings_file);
  for (const error& failure : checked.errors) {
    std::fprintf(stderr, "rosemaryreachd: %s\n", FormatError(failure).c_str());
  }
  if (!checked.ok()) {
    return kInvalidInput;
  }
  if (parsed.value().check_only) {
    std::printf("%s: ok\n", parsed.value().settings_file.c_str());
    return kOk;
  }
  return RunInstance(checked.value);
}

}  // namespace
}  // namespace rosemaryreach

int main(int argc, char** argv) {
  return rosemaryreach::Main(argc, const_cast<const char**>(argv));
}
