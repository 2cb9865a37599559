#include "config/json_patch.h"

#include <algorithm>
#include <string>

#include "config/json_text.h"

namespace rosemaryreach {
namespace {

using json = nlohmann::json;

// Limit of values copied by all copy operations of a patch together.
constexpr std::size_t kMaxCopiedValues = 100'000;

struct json_size {
  std::size_t values = 1;
  std::size_t depth = 1;
};

json_size Measure(const json& value) {
  json_size whole;
  if (!value.is_structured()) {
    return whole;
  }
  for (const json& item : value) {
    const json_size part = Measure(item);
    whole.values += part.values;
    whole.depth = std::max(whole.depth, part.depth + 1);
  }
  return whole;
}

std::size_t TokenCount(const json::json_pointer& pointer) {
  const std::string text = pointer.to_string();
  return static_cast<std::size_t>(std::count(text.begin(), text.end(), '/'));
}

// Applies operations one by one. The library asserts if a parent is not a
// container and doesn't limit copies, so both are checked first.
class operation_runner {
 public:
  explicit operation_runner(json& document) : document_(document) {}

  result<void> Apply(const json& operation) {
    const std::string op = operation.at("op").get<std::string>();
    const json::json_pointer path(operation.at("path").get<std::string>());
    if (op == "move" || op == "copy") {
      return MoveOrCopy(op, operation, path);
    }
    const bool needs_value = op != "remove";
    if (needs_value && !operation.contains("value")) {
      return Fail(errc::kSchemaViolation, "expected a member \"value\"");
    }
    return Run(op, path, operation.value("value", json()));
  }

 private:
  result<void> MoveOrCopy(const std::string& op,
                          const json& operation,
                          const json::json_pointer& path) {
    if (!operation.contains("from")) {
      return Fail(errc::kSchemaViolation, "expected a member \"from\"");
    }
    const json::json_pointer from(operation.at("from").get<std::string>());
    const json value = document_.at(from);
    if (op == "move") {
      BOOST_OUTCOME_TRYV(Run("remove", from, json()));
    } else {
      copied_ += Measure(value).values;
    }
    if (copied_ > kMaxCopiedValues) {
      return Fail(errc::kTooLarge, "copied values exceed the limit");
    }
    return Run("add", path, value);
  }

  result<void> Run(const std::string& op,
                   const json::json_pointer& path,
                   const json& value) {
    const bool has_parent = !path.empty();
    const bool structural = op == "add" || op == "remove";
    if (structural && !has_parent && op == "remove") {
      return Fail(errc::kNotFound, "the whole document can't be removed");
    }
    if (structural && has_parent &&
        !document_.at(path.parent_pointer()).is_structured()) {
      return Fail(errc::kNotFound,
                  "expected an object or array around " + path.to_string());
    }
    if (TokenCount(path) + Measure(value).depth > kMaxJsonDepth) {
      return Fail(errc::kTooLarge, "nested too deeply");
    }
    json operation = {{"op", op}, {"path", path.to_string()}};
    if (op != "remove") {
      operation["value"] = value;
    }
    document_.patch_inplace(json::array({std::move(operation)}));
    return success();
  }

  json& document_;
  std::size_t copied_ = 0;
};

}  // namespace

result<void> ApplyOperations(const json& operations, json& document) {
  operation_runner runner(document);
  for (std::size_t i = 0; i < operations.size(); ++i) {
    const std::string operation_path = "/operations/" + std::to_string(i);
    try {
      result<void> applied = runner.Apply(operations.at(i));
      if (!applied) {
        return Fail(applied.error().code, applied.error().detail,
                    operation_path);
      }
    } catch (const json::exception& exception) {
      return Fail(errc::kNotFound, exception.what(), operation_path);
    }
  }
  return success();
}

}  // namespace rosemaryreach
