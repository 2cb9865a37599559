// The words that documents use for the enumerations of config.h.
#ifndef ROSEMARYREACH_CONFIG_CONFIG_NAMES_H_
#define ROSEMARYREACH_CONFIG_CONFIG_NAMES_H_

#include <array>
#include <string_view>

#include "rosemaryreach/config.h"

namespace rosemaryreach {

// The words of an enumeration, in the order of its values.
template <typename Enum>
struct enum_words;

template <>
struct enum_words<transport_protocol> {
  static constexpr std::array<std::string_view, 2> kWords = {"tcp", "udp"};
};

template <>
struct enum_words<service_plane> {
  static constexpr std::array<std::string_view, 2> kWords = {"packets",
                                                             "requests"};
};

template <>
struct enum_words<target_state> {
  static constexpr std::array<std::string_view, 2> kWords = {"active",
                                                             "draining"};
};

template <>
struct enum_words<data_centre_state> {
  static constexpr std::array<std::string_view, 2> kWords = {"in", "out"};
};

// Returns the word for `value`.
template <typename Enum>
constexpr std::string_view WordOf(Enum value) {
  return enum_words<Enum>::kWords.at(static_cast<std::size_t>(value));
}

// Returns the value of `word`, or the first value if there is no such word.
template <typename Enum>
constexpr Enum ValueOf(std::string_view word) {
  for (std::size_t i = 0; i < enum_words<Enum>::kWords.size(); ++i) {
    if (enum_words<Enum>::kWords[i] == word) {
      return static_cast<Enum>(i);
    }
  }
  return Enum{};
}

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CONFIG_CONFIG_NAMES_H_
