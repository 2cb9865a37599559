// Where rosemaryreachctl takes a configuration from.
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

// Reads and checks a configuration; kIo if the file can't be read.
configuration_check ReadConfigFile(const std::string& file);

// Returns the configuration of --config, else that in force after the log in
// --log, else that of the first instance that answers.
result<configuration> LoadConfiguration(const ctl_options& options);

// Offers every entry of the log in `directory` to `log`, in order, until one
// has no final verdict; returns the outcomes.
result<std::vector<entry_outcome>> ReplayLog(const std::string& directory,
                                             patch_log& log);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CTL_CONFIG_SOURCE_H_
