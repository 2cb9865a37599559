// Commands that build, check and compare patches.
#include <charconv>
#include <functional>

#include "adapters/admin_documents.h"
#include "adapters/platform_documents.h"
#include "config/json_text.h"
#include "ctl/config_source.h"
#include "ctl/ctl_commands.h"
#include "ctl/ctl_output.h"
#include "rosemaryreach/config_json.h"
#include "rosemaryreach/patch.h"

namespace rosemaryreach {
namespace {

using patch_builder = std::function<result<patch>(const configuration& config,
                                                  const ctl_options& options,
                                                  ctl_arguments arguments)>;

// A kind of change that `patch new` can build.
struct patch_kind {
  std::string name;
  std::size_t argument_count = 0;
  patch_builder build;
};

result<patch> BuildAddTarget(const configuration& config,
                             const ctl_options& options,
                             ctl_arguments arguments) {
  target_config target;
  target.name = arguments[1];
  BOOST_OUTCOME_TRY(address, ParseEndpoint(arguments[2]));
  target.address = address;
  target.data_centre = arguments[3];
  target.weight = options.weight;
  target.slots = options.slots;
  if (!options.probe.empty()) {
    BOOST_OUTCOME_TRY(probe, ParseEndpoint(options.probe));
    target.probe = probe;
  }
  return AddTarget(config, arguments[0], target);
}

result<patch> BuildShare(const configuration& config,
                         const ctl_options& /*options*/,
                         ctl_arguments arguments) {
  const std::string& text = arguments[1];
  std::uint32_t percent = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), percent);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return Fail(errc::kUnsupported, "expected a percentage from 0 to 100",
                text);
  }
  return SetServiceShare(config, arguments[0], percent);
}

patch_builder DataCentreStateBuilder(data_centre_state state) {
  return [state](const configuration& config, const ctl_options& /*options*/,
                 ctl_arguments arguments) {
    return SetDataCentreState(config, arguments[0], state);
  };
}

patch_builder TargetStateBuilder(target_state state) {
  return [state](const configuration& config, const ctl_options& /*options*/,
                 ctl_arguments arguments) {
    return SetTargetState(config, arguments[0], arguments[1], state);
  };
}

const std::vector<patch_kind>& PatchKinds() {
  static const std::vector<patch_kind> kKinds = {
      {"zone-out", 1, DataCentreStateBuilder(data_centre_state::kOut)},
      {"zone-in", 1, DataCentreStateBuilder(data_centre_state::kIn)},
      {"drain", 2, TargetStateBuilder(target_state::kDraining)},
      {"undrain", 2, TargetStateBuilder(target_state::kActive)},
      {"add-target", 4, BuildAddTarget},
      {"remove-target", 2,
       [](const configuration& config, const ctl_options& /*options*/,
          ctl_arguments arguments) {
         return RemoveTarget(config, arguments[0], arguments[1]);
       }},
      {"share", 2, BuildShare}};
  return kKinds;
}

const patch_kind* FindPatchKind(ctl_arguments arguments) {
  for (const patch_kind& kind : PatchKinds()) {
    if (kind.name == arguments[0] &&
        kind.argument_count + 1 == arguments.size()) {
      return &kind;
    }
  }
  return nullptr;
}

// Prints `new_patch` as a log entry if it can be applied to `config`.
int PrintPatch(const ctl_options& options,
               const configuration& config,
               const patch& new_patch) {
  const result<configuration> next = ApplyPatch(config, new_patch);
  if (!next) {
    return PrintError(options, next.error(), kExitFailure);
  }
  PrintText(FormatPatch(new_patch));
  return kExitOk;
}

// Returns the outcome of applying `text` to a log whose current configuration
// is `config`.
entry_outcome EvaluatePatchText(const configuration& config, std::string text) {
  patch_log log(nullptr);
  constexpr std::size_t kPartBytes = 500'000;
  for (const log_entry& entry :
       MakeSnapshot(config, snapshot_kind::kPublished, 1, kPartBytes)) {
    log.ApplyEntry(entry);
  }
  return log.ApplyEntry({2, 0, 0, std::move(text)});
}

}  // namespace

int NewPatch(const ctl_options& options, ctl_arguments arguments) {
  const patch_kind* kind = FindPatchKind(arguments);
  if (kind == nullptr) {
    return PrintError(options,
                      {errc::kUnsupported, arguments[0],
                       "no such patch or wrong number of arguments; see "
                       "--help"},
                      kExitUsage);
  }
  const result<configuration> config = LoadConfiguration(options);
  if (!config) {
    return PrintError(options, config.error(), kExitFailure);
  }
  result<patch> new_patch =
      kind->build(config.value(), options, arguments.subspan(1));
  if (!new_patch) {
    return PrintError(options, new_patch.error(), kExitFailure);
  }
  new_patch.value().author = options.author;
  return PrintPatch(options, config.value(), new_patch.value());
}

int CheckPatch(const ctl_options& options, ctl_arguments arguments) {
  result<std::string> text = ReadFileText(arguments[0]);
  if (!text) {
    return PrintError(options, text.error(), kExitUsage);
  }
  const result<configuration> config = LoadConfiguration(options);
  if (!config) {
    return PrintError(options, config.error(), kExitFailure);
  }
  if (options.base && *options.base != config.value().number) {
    return PrintError(
        options,
        {errc::kWrongBase, "--base",
         "expected base " + std::to_string(*options.base) + ", but number " +
             std::to_string(config.value().number) + " is in force"},
        kExitFailure);
  }
  const entry_outcome outcome =
      EvaluatePatchText(config.value(), std::move(text.value()));
  PrintDocument(options, VerdictToJson(outcome));
  return outcome.verdict == entry_verdict::kAccepted ? kExitOk : kExitFailure;
}

int DiffConfigs(const ctl_options& options, ctl_arguments arguments) {
  const configuration_check from = ReadConfigFile(arguments[0]);
  const configuration_check to = ReadConfigFile(arguments[1]);
  for (const configuration_check* check : {&from, &to}) {
    if (!check->ok()) {
      return PrintErrors(options, check->errors, kExitUsage);
    }
  }
  return PrintPatch(options, from.value,
                    DiffConfigurations(from.value, to.value, options.author));
}

}  // namespace rosemaryreach
