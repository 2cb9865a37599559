// Loads configurations from a file, a log directory or a running instance.
#ifndef ROSEMARYREACH_CTL_CONFIG_SOURCE_H_
#define ROSEMARYREACH_CTL_CONFIG_SOURCE_H_

#include <string>
#include <vector>

#include "ctl/ctl_options.h"
#include "rosemaryreach/config.h"
#include "rosemaryreach/config_json.h"
#include "rosemaryreach/patch_log.h"
#include "rosemaryreach/result.h"

namespace rosemaryreach {

// Reads and validates a configuration; kIo if the file can't be read.
configuration_check ReadConfigFile(const std::string& file);

// Loads the configuration from --config if given, else by replaying the log in
// --log if given, else from the first instance that responds.
result<configuration> LoadConfiguration(const ctl_options& options);

// Applies the entries of the log in `directory` to `log` in order, up to and
// including the first without a final verdict; returns the outcomes.
result<std::vector<entry_outcome>> ReplayLog(const std::string& directory,
                                             patch_log& log);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CTL_CONFIG_SOURCE_H_
