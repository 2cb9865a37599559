#include "config/json_text.h"

#include <array>
#include <cstdio>
#include <unordered_set>
#include <vector>

namespace rosemaryreach {
namespace {

using json = nlohmann::json;

constexpr std::size_t kMaxDescribedBytes = 60;

// Parser callback that rejects duplicate members and excessive nesting.
class parse_validator {
 public:
  bool Accept(int depth, json::parse_event_t event, const json& parsed) {
    if (depth > kMaxJsonDepth) {
      error_ =
          "nested deeper than " + std::to_string(kMaxJsonDepth) + " levels";
    }
    if (event == json::parse_event_t::object_start) {
      members_.emplace_back();
    }
    if (event == json::parse_event_t::object_end) {
      members_.pop_back();
    }
    if (event == json::parse_event_t::key) {
      CheckMember(parsed.get_ref<const std::string&>());
    }
    return error_.empty();
  }

  const std::string& error() const { return error_; }

 private:
  void CheckMember(const std::string& name) {
    const bool first = members_.back().insert(name).second;
    if (!first) {
      error_ = "member " + DumpJson(name) + " occurs twice in an object";
    }
  }

  std::vector<std::unordered_set<std::string>> members_;
  std::string error_;
};

}  // namespace

result<json> ParseJson(std::string_view text) {
  parse_validator validator;
  const json::parser_callback_t callback =
      [&validator](int depth, json::parse_event_t event, json& parsed) {
        return validator.error().empty() &&
               validator.Accept(depth, event, parsed);
      };
  json value = json::parse(text, callback, false);
  if (!validator.error().empty()) {
    return Fail(errc::kInvalidJson, validator.error());
  }
  if (value.is_discarded()) {
    return Fail(errc::kInvalidJson, "expected one JSON value in UTF-8");
  }
  return value;
}

std::string DescribeValue(const json& value) {
  if (value.is_object()) {
    return "an object";
  }
  if (value.is_array()) {
    return "an array";
  }
  std::string text = DumpJson(value);
  if (text.size() > kMaxDescribedBytes) {
    text.resize(kMaxDescribedBytes);
    text += "...";
  }
  return text;
}

std::string DumpJson(const json& value) {
  return value.dump(-1, ' ', true, json::error_handler_t::replace);
}

std::string FormatHex(std::uint64_t value) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(value));
  return text.data();
}

}  // namespace rosemaryreach
