// Names of the enumeration values of config.h in documents.
#ifndef ROSEMARYREACH_CONFIG_ENUM_NAMES_H_
#define ROSEMARYREACH_CONFIG_ENUM_NAMES_H_

#include <array>
#include <string_view>

#include "rosemaryreach/config.h"

namespace rosemaryreach {

// Names of an enumeration's values, in the order of the values.
template <typename Enum>
struct enum_names;

template <>
struct enum_names<transport_protocol> {
  static constexpr std::array<std::string_view, 2> kNames = {"tcp", "udp"};
};

template <>
struct enum_names<service_plane> {
  static constexpr std::array<std::string_view, 2> kNames = {"packets",
                                                             "requests"};
};

template <>
struct enum_names<target_state> {
  static constexpr std::array<std::string_view, 2> kNames = {"active",
                                                             "draining"};
};

template <>
struct enum_names<data_centre_state> {
  static constexpr std::array<std::string_view, 2> kNames = {"in", "out"};
};

// Returns the name of `value`.
template <typename Enum>
constexpr std::string_view EnumName(Enum value) {
  return enum_names<Enum>::kNames.at(static_cast<std::size_t>(value));
}

// Returns the value called `name`, or the first value if there is none.
template <typename Enum>
constexpr Enum EnumValue(std::string_view name) {
  for (std::size_t i = 0; i < enum_names<Enum>::kNames.size(); ++i) {
    if (enum_names<Enum>::kNames[i] == name) {
      return static_cast<Enum>(i);
    }
  }
  return Enum{};
}

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CONFIG_ENUM_NAMES_H_
