#include "ctl/config_source.h"

#include "adapters/platform_documents.h"
#include "config/json_text.h"
#include "ctl/admin_client.h"

namespace rosemaryreach {
namespace {

constexpr std::size_t kMaxConfigBytes = 64'000'000;

result<configuration> LoadFromLog(const std::string& directory) {
  patch_log log(nullptr);
  BOOST_OUTCOME_TRYV(ReplayLog(directory, log));
  if (log.current() == nullptr) {
    return Fail(errc::kNotFound, "no configuration is in force", directory);
  }
  return *log.current();
}

// Returns whether the log moves on to the next entry after this verdict. After
// any other verdict the same entry may be applied again.
bool IsFinal(entry_verdict verdict) {
  return verdict == entry_verdict::kAccepted ||
         verdict == entry_verdict::kConfirmed ||
         verdict == entry_verdict::kRefused ||
         verdict == entry_verdict::kPartial;
}

}  // namespace

configuration_check ReadConfigFile(const std::string& file) {
  const result<std::string> text = ReadFileText(file, kMaxConfigBytes);
  if (!text) {
    return {{}, {text.error()}};
  }
  configuration_check check = CheckConfiguration(text.value());
  for (error& found : check.errors) {
    found.path = file + "#" + found.path;
  }
  return check;
}

result<configuration> LoadConfiguration(const ctl_options& options) {
  if (!options.config_file.empty()) {
    configuration_check check = ReadConfigFile(options.config_file);
    if (!check.ok()) {
      return boost::outcome_v2::failure(check.errors.front());
    }
    return std::move(check.value);
  }
  if (!options.log_directory.empty()) {
    return LoadFromLog(options.log_directory);
  }
  BOOST_OUTCOME_TRY(document, QueryAnyInstance(options, "/v1/configuration"));
  return ParseConfiguration(DumpJson(document));
}

result<std::vector<entry_outcome>> ReplayLog(const std::string& directory,
                                             patch_log& log) {
  std::vector<entry_outcome> outcomes;
  while (true) {
    BOOST_OUTCOME_TRY(page, ReadDirectory(directory, log.Position()));
    if (page.entries.empty()) {
      return outcomes;
    }
    for (const log_entry& entry : page.entries) {
      outcomes.push_back(log.ApplyEntry(entry));
      if (!IsFinal(outcomes.back().verdict)) {
        return outcomes;
      }
    }
  }
}

}  // namespace rosemaryreach
