// The form of store_cursor in messages between instances: the revision alone in
// era 0, as builds that know no eras read and write it, else [era, revision].
#ifndef ROSEMARYREACH_ENTRY_CURSOR_CODEC_H_
#define ROSEMARYREACH_ENTRY_CURSOR_CODEC_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "entry/cbor_limits.h"
#include "rosemaryreach/entry_types.h"

namespace rosemaryreach {

inline nlohmann::json CursorToJson(const store_cursor& cursor) {
  return cursor.era == 0 ? nlohmann::json(cursor.revision)
                         : nlohmann::json::array({cursor.era, cursor.revision});
}

// Throws if `value` is not a cursor.
inline store_cursor CursorFromJson(const nlohmann::json& value) {
  if (!value.is_array()) {
    return {0, UnsignedFromJson<std::uint64_t>(value)};
  }
  if (value.size() != 2) {
    throw std::invalid_argument("store cursor with a wrong number of members");
  }
  return {UnsignedFromJson<std::uint64_t>(value.at(0)),
          UnsignedFromJson<std::uint64_t>(value.at(1))};
}

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ENTRY_CURSOR_CODEC_H_
