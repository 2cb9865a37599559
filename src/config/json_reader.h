// Reads members of documents already checked against their schema, and collects
// semantic errors with their JSON pointers.
#ifndef ROSEMARYREACH_CONFIG_JSON_READER_H_
#define ROSEMARYREACH_CONFIG_JSON_READER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/json_text.h"
#include "rosemaryreach/result.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

// Reads one object of a document. A missing member leaves `out` unchanged.
class json_reader {
 public:
  json_reader(const nlohmann::json& object,
              std::string pointer,
              std::vector<error>& errors)
      : object_(object), pointer_(std::move(pointer)), errors_(errors) {}

  // Returns a reader of the member `name`, which must be an object.
  json_reader Member(const std::string& name) const {
    return {object_.at(name), pointer_ + "/" + name, errors_};
  }

  bool Has(const char* name) const { return object_.contains(name); }

  template <typename Value>
  void Read(const char* name, Value& out) const {
    const auto found = object_.find(name);
    if (found != object_.end()) {
      out = found->template get<Value>();
    }
  }

  void ReadAddress(const char* name, ip_address& out) const {
    const auto found = object_.find(name);
    if (found != object_.end()) {
      Store(ParseIp(found->get_ref<const std::string&>()), name, *found, out);
    }
  }

  void ReadEndpoint(const char* name, endpoint& out) const {
    const auto found = object_.find(name);
    if (found != object_.end()) {
      StoreEndpoint(*found, name, out);
    }
  }

  void ReadEndpoints(const char* name, std::vector<endpoint>& out) const {
    const auto found = object_.find(name);
    for (std::size_t i = 0; found != object_.end() && i < found->size(); ++i) {
      endpoint item;
      StoreEndpoint(found->at(i), std::string(name) + "/" + std::to_string(i),
                    item);
      out.push_back(item);
    }
  }

  void AddError(const std::string& name, std::string detail) const {
    errors_.push_back(
        {errc::kRuleViolation, pointer_ + "/" + name, std::move(detail)});
  }

  const nlohmann::json& object() const { return object_; }

 private:
  void StoreEndpoint(const nlohmann::json& value,
                     const std::string& name,
                     endpoint& out) const {
    Store(ParseEndpoint(value.get_ref<const std::string&>()), name, value, out);
  }

  template <typename Value>
  void Store(const result<Value>& parsed,
             const std::string& name,
             const nlohmann::json& text,
             Value& out) const {
    const bool without_zero_octet =
        text.get_ref<const std::string&>().find('\0') == std::string::npos;
    if (parsed && without_zero_octet) {
      out = parsed.value();
      return;
    }
    errors_.push_back(
        {errc::kInvalidAddress, pointer_ + "/" + name,
         parsed ? "got an address with a zero octet" : parsed.error().detail});
  }

  const nlohmann::json& object_;
  std::string pointer_;
  std::vector<error>& errors_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CONFIG_JSON_READER_H_
