#include "adapters/platform_documents.h"

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <optional>

#include "config/json_reader.h"
#include "config/json_text.h"
#include "config/schema_check.h"
#include "config/schemas.h"

namespace rosemaryreach {
namespace {

namespace fs = std::filesystem;
using json = nlohmann::json;

constexpr std::string_view kSuffix = ".json";
constexpr std::string_view kPartSeparator = "-of-";

// Parses a decimal number at the start of `text` and removes it.
template <typename Number>
bool ConsumeNumber(std::string_view& text, Number& out) {
  const char* end = text.data() + text.size();
  const std::from_chars_result parsed = std::from_chars(text.data(), end, out);
  const bool found = parsed.ec == std::errc() && parsed.ptr != text.data();
  text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()));
  return found;
}

bool ConsumePrefix(std::string_view& text, std::string_view expected) {
  const bool found = text.starts_with(expected);
  text.remove_prefix(found ? expected.size() : 0);
  return found;
}

// Parses sequence and part from a file name; the entry's text stays empty.
std::optional<log_entry> ParseFileName(std::string_view name) {
  log_entry entry;
  if (!ConsumeNumber(name, entry.sequence)) {
    return std::nullopt;
  }
  if (name != kSuffix) {
    const bool is_part =
        ConsumePrefix(name, ".") && ConsumeNumber(name, entry.part) &&
        ConsumePrefix(name, kPartSeparator) && ConsumeNumber(name, entry.parts);
    if (!is_part) {
      return std::nullopt;
    }
  }
  return name == kSuffix ? std::optional<log_entry>(entry) : std::nullopt;
}

// A file in the directory that contains an entry.
struct entry_file {
  log_entry entry;
  fs::path path;
};

bool PrecedesInLog(const entry_file& a, const entry_file& b) {
  return a.entry.sequence != b.entry.sequence
             ? a.entry.sequence < b.entry.sequence
             : a.entry.part < b.entry.part;
}

bool IsAfter(const log_entry& entry, const log_position& after) {
  const bool received =
      entry.sequence == after.snapshot_sequence && entry.part <= after.parts;
  return entry.sequence > after.sequence && !received;
}

json EntryToJson(const log_entry& entry) {
  return {{"sequence", entry.sequence},
          {"part", entry.part},
          {"parts", entry.parts},
          {"text", entry.text}};
}

listed_instance ParseInstance(const json_reader& reader) {
  listed_instance instance;
  std::string state = "live";
  reader.Read("name", instance.name);
  reader.Read("data_centre", instance.data_centre);
  reader.Read("region", instance.region);
  reader.ReadAddress("address", instance.address);
  reader.Read("control_port", instance.control_port);
  reader.Read("grpc_port", instance.grpc_port);
  reader.Read("state", state);
  instance.state = state == "leaving" ? listed_instance_state::kLeaving
                                      : listed_instance_state::kLive;
  return instance;
}

}  // namespace

result<platform_page> ReadDirectory(const std::string& directory,
                                    const log_position& after) {
  std::error_code failure;
  fs::directory_iterator iterator(fs::path(directory) / "entries", failure);
  platform_page page;
  std::vector<entry_file> files;
  while (!failure && iterator != fs::directory_iterator()) {
    const std::string name = iterator->path().filename().string();
    const std::optional<log_entry> entry = ParseFileName(name);
    if (entry) {
      page.head_sequence = std::max(page.head_sequence, entry->sequence);
    }
    if (entry && IsAfter(*entry, after)) {
      files.push_back({*entry, iterator->path()});
    }
    iterator.increment(failure);
  }
  if (failure) {
    return Fail(errc::kUnavailable, failure.message(), directory + "/entries");
  }
  std::sort(files.begin(), files.end(), PrecedesInLog);
  std::size_t bytes = 0;
  for (entry_file& file : files) {
    BOOST_OUTCOME_TRY(text, ReadFileText(file.path.string()));
    file.entry.text = std::move(text);
    bytes += file.entry.text.size();
    if (!page.entries.empty() && bytes > kMaxPageBytes) {
      break;
    }
    page.entries.push_back(std::move(file.entry));
  }
  return page;
}

result<std::string> ReadFileText(const std::string& path,
                                 std::size_t max_bytes) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) {
    return Fail(errc::kIo, "can't be read", path);
  }
  std::string text(max_bytes, '\0');
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(stream.gcount()));
  return text;
}

result<std::vector<listed_instance>> ReadInstanceFile(
    const std::string& directory) {
  const std::string path = directory + "/instances.json";
  std::error_code failure;
  if (!fs::exists(path, failure)) {
    return std::vector<listed_instance>();
  }
  BOOST_OUTCOME_TRY(text, ReadFileText(path));
  return ParseInstanceList(text);
}

result<std::string> FormatPage(const platform_page& page) {
  json entries = json::array();
  for (const log_entry& entry : page.entries) {
    entries.push_back(EntryToJson(entry));
  }
  try {
    return json{{"head", page.head_sequence}, {"entries", entries}}.dump();
  } catch (const json::type_error& failure) {
    return Fail(errc::kInvalidJson, failure.what());
  }
}

result<platform_page> ParsePage(std::string_view text) {
  static const json_schema kSchema(kPageSchema);
  BOOST_OUTCOME_TRY(document, ParseJson(text));
  const std::vector<error> errors = kSchema.Check(document);
  if (!errors.empty()) {
    return boost::outcome_v2::failure(errors.front());
  }
  platform_page page;
  page.head_sequence = document.at("head").get<std::uint64_t>();
  for (const json& item : document.at("entries")) {
    page.entries.push_back({item.at("sequence").get<std::uint64_t>(),
                            item.value("part", 0U), item.value("parts", 0U),
                            item.at("text").get<std::string>()});
  }
  return page;
}

result<std::vector<listed_instance>> ParseInstanceList(std::string_view text) {
  static const json_schema kSchema(kLiveListSchema);
  BOOST_OUTCOME_TRY(document, ParseJson(text));
  std::vector<error> errors = kSchema.Check(document);
  std::vector<listed_instance> instances;
  for (std::size_t i = 0; errors.empty() && i < document.at("instances").size();
       ++i) {
    const json_reader reader(document.at("instances").at(i),
                             "/instances/" + std::to_string(i), errors);
    instances.push_back(ParseInstance(reader));
  }
  if (!errors.empty()) {
    return boost::outcome_v2::failure(errors.front());
  }
  return instances;
}

}  // namespace rosemaryreach
