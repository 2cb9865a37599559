// Output of rosemaryreachctl: JSON documents or human-readable lines.
#ifndef ROSEMARYREACH_CTL_CTL_OUTPUT_H_
#define ROSEMARYREACH_CTL_CTL_OUTPUT_H_

#include <nlohmann/json.hpp>
#include <span>
#include <string_view>

#include "ctl/ctl_options.h"
#include "rosemaryreach/patch_log.h"
#include "rosemaryreach/result.h"

namespace rosemaryreach {

// Prints `document` as JSON with --json, else as indented "name: value" lines.
void PrintDocument(const ctl_options& options, const nlohmann::json& document);

// Writes `text` unchanged to standard output.
void PrintText(std::string_view text);

// Prints errors, to standard output with --json, else to standard error;
// returns `exit_code`.
int PrintErrors(const ctl_options& options,
                std::span<const error> errors,
                int exit_code);
int PrintError(const ctl_options& options, const error& error, int exit_code);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CTL_CTL_OUTPUT_H_
