// rosemaryreachctl: prepares patches and inspects running instances.
#include <cstdio>

#include "ctl/ctl_commands.h"
#include "ctl/ctl_options.h"
#include "ctl/ctl_output.h"

namespace rosemaryreach {
namespace {

using command_function = int (*)(const ctl_options&, ctl_arguments);

// A command name of one or two words and the number of arguments it accepts.
struct command {
  std::vector<std::string> name;
  std::size_t min_arguments = 0;
  std::size_t max_arguments = 0;
  command_function run = nullptr;
};

const std::vector<command>& Commands() {
  static const std::vector<command> kCommands = {
      {{"config", "check"}, 1, 1, CheckConfigFile},
      {{"config", "show"}, 0, 0, ShowConfig},
      {{"snapshot", "new"}, 3, 3, WriteSnapshot},
      {{"log", "check"}, 1, 1, CheckLog},
      {{"patch", "new"}, 2, 5, NewPatch},
      {{"patch", "check"}, 1, 1, CheckPatch},
      {{"patch", "diff"}, 2, 2, DiffConfigs},
      {{"status"}, 0, 0, ShowStatus},
      {{"verdicts"}, 0, 0, ShowVerdicts},
      {{"targets"}, 0, 0, ShowTargets},
      {{"flows", "explain"}, 2, 2, ExplainFlow},
      {{"flows", "explain"}, 4, 4, ExplainFlow},
      {{"requests", "explain"}, 3, 3, ExplainRequest},
      {{"metrics"}, 0, 0, ShowMetrics},
      {{"wait"}, 0, 0, WaitForNumber}};
  return kCommands;
}

bool Matches(const command& command,
             const std::vector<std::string>& arguments) {
  const std::size_t name_size = command.name.size();
  return arguments.size() >= name_size + command.min_arguments &&
         arguments.size() <= name_size + command.max_arguments &&
         std::equal(command.name.begin(), command.name.end(),
                    arguments.begin());
}

int Main(int argc, const char** argv) {
  const result<ctl_options> options = ParseCommandLine(argc, argv);
  if (!options) {
    return PrintError({}, options.error(), kExitUsage);
  }
  if (options.value().help) {
    PrintText(kHelpText);
    return kExitOk;
  }
  if (options.value().version) {
    PrintText("rosemaryreachctl " ROSEMARYREACH_VERSION "\n");
    return kExitOk;
  }
  return RunCommand(options.value());
}

}  // namespace

int RunCommand(const ctl_options& options) {
  const std::vector<std::string>& arguments = options.positional;
  for (const command& candidate : Commands()) {
    if (Matches(candidate, arguments)) {
      return candidate.run(options,
                           std::span(arguments).subspan(candidate.name.size()));
    }
  }
  const std::string given = arguments.empty() ? "" : arguments.front();
  return PrintError(options,
                    {errc::kUnsupported, given,
                     "no such command or wrong number of arguments; see "
                     "--help"},
                    kExitUsage);
}

}  // namespace rosemaryreach

int main(int argc, const char** argv) {
  return rosemaryreach::Main(argc, argv);
}
