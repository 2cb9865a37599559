// Commands for configuration files and the published log.
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "adapters/admin_documents.h"
#include "config/json_text.h"
#include "ctl/admin_client.h"
#include "ctl/config_source.h"
#include "ctl/ctl_commands.h"
#include "ctl/ctl_output.h"
#include "rosemaryreach/config_json.h"

namespace rosemaryreach {
namespace {

using json = nlohmann::json;
namespace fs = std::filesystem;

constexpr std::size_t kPartBytes = 500'000;

bool IsIoError(const std::vector<error>& errors) {
  return errors.front().code == errc::kIo;
}

std::size_t CountTargets(const configuration& config) {
  std::size_t count = 0;
  for (const service_config& service : config.services) {
    count += service.targets.size();
  }
  return count;
}

std::string EntryFileName(const log_entry& entry) {
  return std::to_string(entry.sequence) + "." + std::to_string(entry.part) +
         "-of-" + std::to_string(entry.parts) + ".json";
}

// Writes to a temporary file and renames it, so that a reader never sees a
// partial file.
result<void> WriteFileAtomically(const fs::path& path,
                                 const std::string& text) {
  const fs::path temporary =
      path.parent_path() / ("." + path.filename().string());
  std::ofstream file(temporary, std::ios::binary);
  file << text;
  file.close();
  std::error_code failure;
  if (file.fail()) {
    fs::remove(temporary, failure);
    return Fail(errc::kIo,
                "could not write " + std::to_string(text.size()) + " bytes",
                temporary.string());
  }
  fs::rename(temporary, path, failure);
  if (failure) {
    return Fail(errc::kIo, failure.message(), path.string());
  }
  return success();
}

result<void> WriteEntries(const fs::path& directory,
                          const std::vector<log_entry>& entries) {
  std::error_code failure;
  fs::create_directories(directory, failure);
  for (const log_entry& entry : entries) {
    const fs::path path = directory / EntryFileName(entry);
    if (fs::exists(path)) {
      return Fail(errc::kIo,
                  "file exists; published entries are never overwritten",
                  path.string());
    }
    BOOST_OUTCOME_TRYV(WriteFileAtomically(path, entry.text));
  }
  return success();
}

}  // namespace

int CheckConfigFile(const ctl_options& options, ctl_arguments arguments) {
  const configuration_check check = ReadConfigFile(arguments[0]);
  if (!check.ok()) {
    return PrintErrors(options, check.errors,
                       IsIoError(check.errors) ? kExitUsage : kExitFailure);
  }
  PrintDocument(options,
                {{"ok", true},
                 {"number", check.value.number},
                 {"data_centres", check.value.data_centres.size()},
                 {"services", check.value.services.size()},
                 {"targets", CountTargets(check.value)},
                 {"digest", FormatHex(ConfigurationDigest(check.value))}});
  return kExitOk;
}

int ShowConfig(const ctl_options& options, ctl_arguments /*arguments*/) {
  const result<configuration> config = LoadConfiguration(options);
  if (!config) {
    return PrintError(options, config.error(), kExitFailure);
  }
  PrintText(FormatConfiguration(config.value()));
  return kExitOk;
}

int WriteSnapshot(const ctl_options& options, ctl_arguments arguments) {
  const result<std::uint64_t> sequence = ParseUint64(arguments[1]);
  configuration_check check = ReadConfigFile(arguments[2]);
  if (!sequence || sequence.value() == 0) {
    check.errors.push_back(
        {errc::kUnsupported, arguments[1], "expected a sequence above 0"});
  }
  if (!check.ok()) {
    return PrintErrors(options, check.errors, kExitUsage);
  }
  if (check.value.number == 0) {
    check.value.number = 1;
  }
  const result<void> written =
      WriteEntries(fs::path(arguments[0]) / "entries",
                   MakeSnapshot(check.value, snapshot_kind::kPublished,
                                sequence.value(), kPartBytes));
  return written ? kExitOk : PrintError(options, written.error(), kExitUsage);
}

int CheckLog(const ctl_options& options, ctl_arguments arguments) {
  patch_log log(nullptr);
  const result<std::vector<entry_outcome>> outcomes =
      ReplayLog(arguments[0], log);
  if (!outcomes) {
    return PrintError(options, outcomes.error(), kExitUsage);
  }
  bool valid = log.current() != nullptr;
  for (const entry_outcome& outcome : outcomes.value()) {
    valid = valid && (outcome.verdict == entry_verdict::kAccepted ||
                      outcome.verdict == entry_verdict::kConfirmed ||
                      outcome.verdict == entry_verdict::kPartial);
  }
  PrintDocument(options, {{"number", log.Head().number},
                          {"digest", FormatHex(log.Head().digest)},
                          {"sequence", log.Head().sequence},
                          {"verdicts", VerdictsToJson(outcomes.value())}});
  return valid ? kExitOk : kExitFailure;
}

}  // namespace rosemaryreach
