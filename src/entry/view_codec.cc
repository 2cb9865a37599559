// Encodes views as CBOR arrays. Values are byte strings, since targets may
// write any bytes; they deflate to a third of the size of base64 text. Members
// that later builds append are ignored, as in beacons.
#include "rosemaryreach/view_codec.h"

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

#include "entry/cbor_limits.h"
#include "entry/cursor_codec.h"

namespace rosemaryreach {
namespace {

using json = nlohmann::json;

constexpr int kFormat = 1;
constexpr std::size_t kViewMembers = 5;
constexpr std::size_t kItemMembers = 4;

json ToJson(const store_item& item) {
  std::vector<std::uint8_t> value(item.value.begin(), item.value.end());
  return json::array(
      {item.key, item.revision, item.deleted, json::binary(std::move(value))});
}

store_item ToItem(const json& array) {
  if (!array.is_array() || array.size() < kItemMembers) {
    throw std::invalid_argument("store item with too few members");
  }
  const json::binary_t& value = array.at(3).get_binary();
  return {
      array.at(0).get<std::string>(), std::string(value.begin(), value.end()),
      UnsignedFromJson<std::uint64_t>(array.at(1)), array.at(2).get<bool>()};
}

store_answer ToAnswer(const json& array) {
  if (!array.is_array() || array.size() < kViewMembers ||
      array.at(0) != kFormat) {
    throw std::invalid_argument("not a view of the supported format");
  }
  store_answer answer;
  answer.cursor = CursorFromJson(array.at(1));
  answer.changed = CursorFromJson(array.at(2));
  answer.full_snapshot = array.at(3).get<bool>();
  for (const json& item : array.at(4)) {
    answer.items.push_back(ToItem(item));
  }
  return answer;
}

constexpr int kDepartedFormat = 1;
constexpr std::size_t kDepartedMembers = 3;

duration AgeFromJson(const json& value) {
  // Bounds the number, so that times computed from it cannot overflow.
  constexpr std::uint64_t kMaxAgeMs = 86'400'000;
  return std::chrono::milliseconds(
      std::min(UnsignedFromJson<std::uint64_t>(value), kMaxAgeMs));
}

departed_item ToDepartedItem(const json& array) {
  if (!array.is_array() || array.size() < kDepartedMembers) {
    throw std::invalid_argument("departed target with a wrong form");
  }
  const json::binary_t& value = array.at(1).get_binary();
  return {array.at(0).get<std::string>(),
          std::string(value.begin(), value.end()), AgeFromJson(array.at(2))};
}

departed_answer ToDepartedAnswer(const json& array) {
  if (!array.is_array() || array.size() < kDepartedMembers ||
      array.at(0) != kDepartedFormat || !array.at(2).is_array()) {
    throw std::invalid_argument("not departed targets of the supported format");
  }
  departed_answer answer;
  answer.known_for = AgeFromJson(array.at(1));
  for (const json& item : array.at(2)) {
    answer.items.push_back(ToDepartedItem(item));
  }
  return answer;
}

}  // namespace

std::string EncodeDeparted(const departed_answer& answer) {
  json items = json::array();
  for (const departed_item& item : answer.items) {
    std::vector<std::uint8_t> value(item.value.begin(), item.value.end());
    items.push_back(
        json::array({item.key, json::binary(std::move(value)),
                     std::max<std::int64_t>(ToMillis(item.age), 0)}));
  }
  std::string bytes;
  json::to_cbor(
      json::array({kDepartedFormat,
                   std::max<std::int64_t>(ToMillis(answer.known_for), 0),
                   std::move(items)}),
      bytes);
  return bytes;
}

result<departed_answer> DecodeDeparted(std::string_view bytes) {
  if (!HasBoundedNesting(bytes)) {
    return Fail(errc::kUnsupported, "CBOR cut short or nested too deeply");
  }
  try {
    return ToDepartedAnswer(json::from_cbor(bytes));
  } catch (const std::exception& wrong) {
    return Fail(errc::kUnsupported, wrong.what());
  }
}

std::string EncodeView(const store_answer& answer) {
  json items = json::array();
  for (const store_item& item : answer.items) {
    items.push_back(ToJson(item));
  }
  const json array = json::array({kFormat, CursorToJson(answer.cursor),
                                  CursorToJson(answer.changed),
                                  answer.full_snapshot, std::move(items)});
  std::string bytes;
  json::to_cbor(array, bytes);
  return bytes;
}

result<store_answer> DecodeView(std::string_view bytes) {
  if (!HasBoundedNesting(bytes)) {
    return Fail(errc::kUnsupported, "CBOR cut short or nested too deeply");
  }
  try {
    return ToAnswer(json::from_cbor(bytes));
  } catch (const std::exception& wrong) {
    return Fail(errc::kUnsupported, wrong.what());
  }
}

}  // namespace rosemaryreach
