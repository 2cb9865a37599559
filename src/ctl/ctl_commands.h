// The commands of rosemaryreachctl. Each returns the exit code.
#ifndef ROSEMARYREACH_CTL_CTL_COMMANDS_H_
#define ROSEMARYREACH_CTL_CTL_COMMANDS_H_

#include <span>
#include <string>

#include "ctl/ctl_options.h"

namespace rosemaryreach {

using ctl_arguments = std::span<const std::string>;

// Runs the command given by `options.positional`; returns kExitUsage if no
// command matches.
int RunCommand(const ctl_options& options);

// Configuration files and the published log.
int CheckConfigFile(const ctl_options& options, ctl_arguments arguments);
int ShowConfig(const ctl_options& options, ctl_arguments arguments);
int WriteSnapshot(const ctl_options& options, ctl_arguments arguments);
int CheckLog(const ctl_options& options, ctl_arguments arguments);

// Patches. The first argument of NewPatch() is the kind of change.
int NewPatch(const ctl_options& options, ctl_arguments arguments);
int CheckPatch(const ctl_options& options, ctl_arguments arguments);
int DiffConfigs(const ctl_options& options, ctl_arguments arguments);

// Running instances.
int ShowStatus(const ctl_options& options, ctl_arguments arguments);
int ShowVerdicts(const ctl_options& options, ctl_arguments arguments);
int ShowTargets(const ctl_options& options, ctl_arguments arguments);
int ExplainFlow(const ctl_options& options, ctl_arguments arguments);
int ExplainRequest(const ctl_options& options, ctl_arguments arguments);
int ShowMetrics(const ctl_options& options, ctl_arguments arguments);
int WaitForNumber(const ctl_options& options, ctl_arguments arguments);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CTL_CTL_COMMANDS_H_
