// First packets that wait for room, in the order in which they get it: by
// priority, fairly between caller addresses, then by the time left.
#ifndef ROSEMARYREACH_FIRST_PACKET_QUEUE_H_
#define ROSEMARYREACH_FIRST_PACKET_QUEUE_H_

#include <absl/container/flat_hash_map.h>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <vector>

#include "rosemaryreach/entry_types.h"
#include "rosemaryreach/flow_packet.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

// Bounds of what one instance holds. A smaller bound for each service follows
// from what can be served in time.
inline constexpr std::size_t kMaxHeldPackets = 1'024;
inline constexpr std::size_t kMaxHeldBytes = 256 * 1'024;

struct held_packet {
  flow_packet packet;  // the latest copy
  std::size_t bytes = 0;
  std::uint32_t priority = 0;  // 0 to kLeastUrgent
  time_point arrived{};        // the first copy at this instance
  time_point copied{};         // the latest copy
  time_point first_arrival{};  // of the request, with earlier attempts
  time_point deadline{};       // forwarded later, its answer would be late
  bool returning = false;      // an earlier attempt was refused
  // All copies so far came here, so no other instance forwarded one.
  bool from_first = false;
};

class first_packet_queue {
 public:
  first_packet_queue(std::size_t max_packets,
                     std::size_t max_bytes,
                     std::uint64_t seed);

  // Adds a packet. While the queue is over_full(), its last one must be taken.
  void Add(const held_packet& held);

  bool over_full() const {
    return order_.size() > max_packets_ || bytes_ > max_bytes_;
  }

  // Records a retransmission; returns false if the flow has no packet here.
  bool Join(const flow_packet& copy, std::size_t bytes, time_point now);

  const held_packet* Find(const flow_key& flow) const;

  // Removes and returns the first or last packet of a priority.
  std::optional<held_packet> TakeFirst(std::uint32_t priority);
  std::optional<held_packet> TakeLast(std::uint32_t priority);
  // Returns the last packet of a priority; nullptr if there is none.
  const held_packet* Last(std::uint32_t priority) const;

  // Removes and returns the packets whose deadline has passed.
  std::vector<held_packet> TakeExpired(time_point now);

  std::size_t size() const { return order_.size(); }
  // Return the most and the least urgent priority held; the queue must not be
  // empty.
  std::uint32_t first_priority() const {
    return order_.begin()->first.priority;
  }
  std::uint32_t last_priority() const {
    return std::prev(order_.end())->first.priority;
  }
  std::size_t size(std::uint32_t priority) const { return sizes_.at(priority); }
  std::size_t bytes() const { return bytes_; }

 private:
  // Callers hash to this many buckets; each is served in turn.
  static constexpr std::size_t kBuckets = 256;

  struct position {
    std::uint32_t priority = 0;
    std::uint64_t turn = 0;  // start tag of fair queueing
    time_point deadline{};
    std::uint64_t sequence = 0;

    auto operator<=>(const position&) const = default;
  };
  using order = std::map<position, held_packet>;

  std::size_t BucketOf(const flow_packet& packet) const;
  held_packet Take(order::iterator found);
  order::iterator FirstOf(std::uint32_t priority);
  order::iterator LastOf(std::uint32_t priority);

  std::size_t max_packets_;
  std::size_t max_bytes_;
  std::uint64_t seed_;
  order order_;
  absl::flat_hash_map<flow_key, position> positions_;
  std::array<std::size_t, kLeastUrgent + 1> sizes_{};
  std::size_t bytes_ = 0;
  std::uint64_t sequence_ = 0;
  std::array<std::uint64_t, kLeastUrgent + 1> turn_{};  // served last
  // Next free turn of each bucket, by priority.
  std::array<std::array<std::uint64_t, kBuckets>, kLeastUrgent + 1>
      next_turn_{};
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_FIRST_PACKET_QUEUE_H_
