// The command line of rosemaryreachctl.
#ifndef ROSEMARYREACH_CTL_CTL_OPTIONS_H_
#define ROSEMARYREACH_CTL_CTL_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rosemaryreach/result.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

// Exit codes, documented in kHelpText.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;

struct ctl_options {
  std::vector<endpoint> admins;
  std::string token;
  duration timeout{};
  bool json = false;
  bool help = false;
  bool version = false;
  std::optional<std::uint64_t> base;
  std::optional<std::uint64_t> number;
  std::string config_file;
  std::string log_directory;
  std::string author;
  // Fields of a target to add.
  std::uint32_t weight = 100;
  std::uint32_t slots = 1;
  std::string probe;
  // Fields of a request to explain.
  std::string caller;
  std::string key;
  // The command and its arguments.
  std::vector<std::string> positional;
};

// Parses the command line; the error detail is meant for the terminal.
result<ctl_options> ParseCommandLine(int argc, const char** argv);

// The text of --help.
extern const char* const kHelpText;

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CTL_CTL_OPTIONS_H_
