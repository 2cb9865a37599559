// Reads and writes the platform's documents: entry files in a directory, pages
// of entries and the list of instances as JSON.
#ifndef ROSEMARYREACH_ADAPTERS_PLATFORM_DOCUMENTS_H_
#define ROSEMARYREACH_ADAPTERS_PLATFORM_DOCUMENTS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "rosemaryreach/config_json.h"
#include "rosemaryreach/platform_source.h"

namespace rosemaryreach {

// Maximum bytes of entry text per page; a page has at least one entry.
inline constexpr std::size_t kMaxPageBytes = 4'000'000;

// Reads the entries after `after` from the files of DIRECTORY/entries, named
// SEQUENCE.json or SEQUENCE.PART-of-PARTS.json; other names are ignored.
// Returns kUnavailable if the directory can't be read.
result<platform_page> ReadDirectory(const std::string& directory,
                                    const log_position& after);

// Returns up to `max_bytes` bytes of a file, by default one more than the limit
// of a value; kIo if it can't be read.
result<std::string> ReadFileText(const std::string& path,
                                 std::size_t max_bytes = kValueLimitBytes + 1);

// Reads DIRECTORY/instances.json. A missing file is an empty list.
result<std::vector<listed_instance>> ReadInstanceFile(
    const std::string& directory);

// Returns the JSON body for a read of entries; kInvalidJson if an entry's text
// isn't valid UTF-8, as all readers must receive it unchanged.
result<std::string> FormatPage(const platform_page& page);

// Parses the output of FormatPage(). Errors: kInvalidJson, kSchemaViolation.
result<platform_page> ParsePage(std::string_view text);

// Parses the JSON list of instances. Errors: kInvalidJson, kSchemaViolation.
result<std::vector<listed_instance>> ParseInstanceList(std::string_view text);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_PLATFORM_DOCUMENTS_H_
