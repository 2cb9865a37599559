// The pins of one bucket: the flows whose target is stored.
#ifndef ROSEMARYREACH_PACKETS_PIN_TABLE_H_
#define ROSEMARYREACH_PACKETS_PIN_TABLE_H_

#include <absl/container/flat_hash_set.h>

#include <array>
#include <cstddef>
#include <cstdint>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

// Unit of a pin's 16-bit time, which wraps around after three days.
inline constexpr int kCoarseSeconds = 4;

// Returns `now` in units of kCoarseSeconds, modulo 2^16.
inline std::uint16_t CoarseTime(time_point now) {
  const std::chrono::seconds seconds =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch());
  return static_cast<std::uint16_t>(seconds.count() / kCoarseSeconds);
}

// Returns the time from `seen` to `now`.
inline std::chrono::seconds CoarseAge(std::uint16_t last_seen,
                                      std::uint16_t now) {
  return std::chrono::seconds(static_cast<std::uint16_t>(now - last_seen) *
                              kCoarseSeconds);
}

// One pin: 48 bits of the flow hash, the target, and when the flow was last
// seen.
struct pin {
  std::array<std::uint16_t, 3> key{};
  std::uint16_t target = 0;
  std::uint16_t last_seen = 0;

  std::uint64_t hash() const {
    return static_cast<std::uint64_t>(key[2]) << 32 |
           static_cast<std::uint64_t>(key[1]) << 16 | key[0];
  }
};

static_assert(sizeof(pin) == 10);

inline pin MakePin(std::uint64_t flow_hash,
                   std::uint16_t target,
                   std::uint16_t last_seen) {
  return {{static_cast<std::uint16_t>(flow_hash),
           static_cast<std::uint16_t>(flow_hash >> 16),
           static_cast<std::uint16_t>(flow_hash >> 32)},
          target,
          last_seen};
}

struct pin_hash {
  std::size_t operator()(const pin& value) const {
    return static_cast<std::size_t>(value.hash() * 0x9e3779b97f4a7c15U);
  }
};

struct pin_equal {
  bool operator()(const pin& a, const pin& b) const { return a.key == b.key; }
};

class pin_table {
 public:
  using pin_set = absl::flat_hash_set<pin, pin_hash, pin_equal>;

  // Returns the pin of the flow, or nullptr.
  const pin* Find(std::uint64_t flow_hash) const {
    const auto found = pins_.find(MakePin(flow_hash, 0, 0));
    return found == pins_.end() ? nullptr : &*found;
  }

  // Sets the time when the flow of `found` was last seen.
  static void Touch(const pin& found, std::uint16_t now) {
    // Safe in a set: the time is not part of the key.
    const_cast<pin&>(found).last_seen = now;
  }

  // Adds a pin, or changes its target. Returns whether it is new.
  bool Set(std::uint64_t flow_hash, std::uint16_t target, std::uint16_t now) {
    const auto added = pins_.insert(MakePin(flow_hash, target, now));
    if (!added.second) {
      const_cast<pin&>(*added.first).target = target;
      Touch(*added.first, now);
    }
    return added.second;
  }

  // Erases the pin of the flow. Returns whether there was one.
  bool Erase(std::uint64_t flow_hash) {
    return pins_.erase(MakePin(flow_hash, 0, 0)) > 0;
  }

  // Erases the pins that match `predicate`. Returns their number.
  template <typename Predicate>
  std::size_t EraseIf(Predicate predicate) {
    return absl::erase_if(pins_, predicate);
  }

  std::size_t size() const { return pins_.size(); }
  pin_set::const_iterator begin() const { return pins_.begin(); }
  pin_set::const_iterator end() const { return pins_.end(); }

 private:
  pin_set pins_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_PACKETS_PIN_TABLE_H_
