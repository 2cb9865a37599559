#include "ctl/ctl_output.h"

#include <cstdio>

#include "config/json_text.h"

namespace rosemaryreach {
namespace {

using json = nlohmann::json;

constexpr std::size_t kIndentSpaces = 2;

std::string FormatScalar(const json& value) {
  return value.is_string() ? value.get<std::string>() : DumpJson(value);
}

// Returns "name: value" lines; members of objects and arrays are indented.
std::string FormatLines(const json& value, std::size_t indent) {
  const std::string margin(indent, ' ');
  std::string text;
  for (const auto& item : value.items()) {
    const json& member = item.value();
    const std::string name = value.is_array() ? "-" : item.key() + ":";
    text.append(margin).append(name);
    if (member.is_structured()) {
      text.append(member.empty() ? " none\n" : "\n");
      text.append(FormatLines(member, indent + kIndentSpaces));
    } else {
      text.append(" ").append(FormatScalar(member)).append("\n");
    }
  }
  return text;
}

}  // namespace

void PrintDocument(const ctl_options& options, const json& document) {
  PrintText(options.json ? DumpJson(document) + "\n"
                         : FormatLines(document, 0));
}

void PrintText(std::string_view text) {
  std::fwrite(text.data(), 1, text.size(), stdout);
}

int PrintErrors(const ctl_options& options,
                std::span<const error> errors,
                int exit_code) {
  json list = json::array();
  for (const error& item : errors) {
    list.push_back({{"error", ErrcName(item.code)},
                    {"path", item.path},
                    {"detail", item.detail}});
    if (!options.json) {
      std::fprintf(stderr, "%s\n", FormatError(item).c_str());
    }
  }
  if (options.json) {
    PrintText(DumpJson({{"errors", list}}) + "\n");
  }
  return exit_code;
}

int PrintError(const ctl_options& options, const error& error, int exit_code) {
  return PrintErrors(options, std::span(&error, 1), exit_code);
}

}  // namespace rosemaryreach
