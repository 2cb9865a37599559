// Mutates valid messages with a seed, to feed decoders with invalid ones.
#ifndef ROSEMARYREACH_TESTS_FUZZ_INPUT_H_
#define ROSEMARYREACH_TESTS_FUZZ_INPUT_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryreach {

// Numbers and fragments that decoders often fail to bound.
inline const std::vector<std::string> kFuzzFragments = {
    "-1",
    "1e300",
    "-1e300",
    "9223372036854775807",
    "18446744073709551615",
    "18446744073709551616",
    "4294967296",
    "null",
    "{}",
    "[[[[",
    "\"\\ud800\"",
    std::string("\0", 1),
    "\xff",
    "\x7f\x7f\x7f",
    "\x9f\x9f\x9f",
    "\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01",
    "\x1b\xff\xff\xff\xff\xff\xff\xff\xff",
    "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff",
    "\x5b\x7f\xff\xff\xff\xff\xff\xff\xff",
    "\xfb\x7e\x37\xe4\x3c\x88\x01\x75\x9c"};

class fuzz_input {
 public:
  explicit fuzz_input(std::uint64_t seed) : random_(seed) {}

  // Returns `valid` after one to four changes.
  std::string Mutate(const std::string& valid) {
    std::string bytes = valid;
    for (std::size_t left = 1 + Below(4); left > 0; --left) {
      ChangeOnce(bytes);
    }
    return bytes;
  }

  std::string RandomBytes() {
    std::string bytes(Below(200), '\0');
    std::generate(bytes.begin(), bytes.end(),
                  [this] { return static_cast<char>(random_()); });
    return bytes;
  }

 private:
  std::size_t Below(std::size_t limit) {
    return limit == 0 ? 0 : random_() % limit;
  }

  void ChangeOnce(std::string& bytes) {
    const std::size_t at = Below(bytes.size());
    const std::size_t count = Below(bytes.size() - at + 1);
    switch (Below(6)) {
      case 0:
        if (!bytes.empty()) {
          bytes[at] = static_cast<char>(bytes[at] ^ (1 << Below(8)));
        }
        return;
      case 1:
        bytes.resize(at);
        return;
      case 2:
        bytes.insert(Below(bytes.size() + 1), bytes.substr(at, count));
        return;
      case 3:
        bytes.erase(at, count);
        return;
      case 4:
        ReplaceNumber(bytes, at);
        return;
      default:
        bytes.insert(at, Fragment());
    }
  }

  // Replaces the decimal number that follows `at`, if any.
  void ReplaceNumber(std::string& bytes, std::size_t at) {
    constexpr std::string_view kDigits = "0123456789";
    const std::size_t begin = bytes.find_first_of(kDigits, at);
    if (begin != std::string::npos) {
      const std::size_t end =
          std::min(bytes.find_first_not_of(kDigits, begin), bytes.size());
      bytes.replace(begin, end - begin, Fragment());
    }
  }

  const std::string& Fragment() {
    return kFuzzFragments[Below(kFuzzFragments.size())];
  }

  std::mt19937_64 random_;
};

inline std::span<const std::uint8_t> AsBytes(std::string_view text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

// Returns the number in the environment variable `name`, or `fallback`.
inline std::uint64_t FuzzSetting(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

// Passes every prefix of `valid`, mutations of it and random bytes to `decode`.
// FUZZ_SEED selects the mutations, FUZZ_ROUNDS how many there are.
inline void FuzzDecoder(const std::string& valid,
                        const std::function<void(const std::string&)>& decode) {
  constexpr std::uint64_t kRounds = 3'000;
  fuzz_input input(FuzzSetting("FUZZ_SEED", 1));
  for (std::size_t bytes = 0; bytes <= valid.size(); ++bytes) {
    decode(valid.substr(0, bytes));
  }
  const std::uint64_t rounds = FuzzSetting("FUZZ_ROUNDS", kRounds);
  for (std::uint64_t round = 0; round < rounds; ++round) {
    decode(input.Mutate(valid));
    decode(input.RandomBytes());
  }
}

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TESTS_FUZZ_INPUT_H_
