// Entries as another writer may leave them among those of the targets; none
// names a target.
#ifndef ROSEMARYREACH_TESTS_ODD_ENTRIES_H_
#define ROSEMARYREACH_TESTS_ODD_ENTRIES_H_

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace rosemaryreach {

struct odd_entry {
  std::string key;
  std::string value;
};

// Returns a valid entry of a target, or one with `member` of the given JSON
// text in place of the valid one.
inline std::string TargetEntry(const std::string& member = "",
                               const std::string& text = "") {
  const std::vector<std::pair<std::string, std::string>> valid = {
      {"service", R"("ledger")"}, {"address", R"("10.0.0.9:80")"},
      {"zone", R"("dc-a")"},      {"maxConcurrency", "2"},
      {"state", R"("ready")"},    {"coldLeftMs", "0"},
      {"born", "1700000000000"}};
  std::string entry;
  for (const auto& [name, value] : valid) {
    entry += (entry.empty() ? "{\"" : ",\"") + name +
             "\":" + (name == member ? text : value);
  }
  return entry + "}";
}

inline std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + "1" + std::string(depth, ']');
}

// Returns one entry of each kind; `number` makes their keys distinct.
inline std::vector<odd_entry> OddEntries(std::size_t number = 0) {
  const std::string megabyte(1'000'000, 'x');
  const std::vector<std::string> values = {
      "",
      "null",
      "[]",
      "{}",
      "\xff\xfe",
      std::string("{}\0{}", 5),
      Nested(500'000),
      megabyte,
      TargetEntry("service", Nested(500'000)),
      TargetEntry("service", "7"),
      TargetEntry("service", '"' + megabyte + '"'),
      TargetEntry("state", '"' + std::string(4'000, 's') + '"'),
      TargetEntry("state", R"("lost")"),
      TargetEntry("zone", "null"),
      TargetEntry("address", R"("10.0.0.9:0")"),
      TargetEntry("address", R"("10.0.0.9:70000")"),
      TargetEntry("address", R"("10.0.0.9:-1")"),
      TargetEntry("address", R"("255.255.255.255:80")"),
      TargetEntry("maxConcurrency", "-1"),
      TargetEntry("maxConcurrency", "1.5"),
      TargetEntry("maxConcurrency", "1e300"),
      TargetEntry("maxConcurrency", "1e999"),
      TargetEntry("maxConcurrency", std::string(4'000, '9')),
      TargetEntry("coldLeftMs", "\"soon\""),
      TargetEntry("born", "-1"),
      TargetEntry("born", "1.5"),
      TargetEntry("born", "18446744073709551616")};
  std::vector<odd_entry> entries;
  entries.reserve(values.size());
  for (const std::string& value : values) {
    entries.push_back({"servers/i-f" + std::to_string(number) + "-" +
                           std::to_string(entries.size()),
                       value});
  }
  // Ids without a number, and keys of no kind that is known.
  const std::string suffix(number, '-');
  for (const std::string& key :
       {"servers/" + suffix, "servers/nil" + suffix, "servers/0" + suffix,
        "servers" + suffix, "servers/\xc3\xa9" + suffix,
        "servers/i-\n" + suffix, "other/i-1" + suffix}) {
    entries.push_back({key, TargetEntry()});
  }
  return entries;
}

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TESTS_ODD_ENTRIES_H_
