#include "rosemaryreach/first_packet_queue.h"

#include <algorithm>

namespace rosemaryreach {

first_packet_queue::first_packet_queue(std::size_t max_packets,
                                       std::size_t max_bytes,
                                       std::uint64_t seed)
    : max_packets_(max_packets), max_bytes_(max_bytes), seed_(seed) {}

std::size_t first_packet_queue::BucketOf(const flow_packet& packet) const {
  return HashPair(seed_, packet.flow.caller.address) % kBuckets;
}

void first_packet_queue::Add(const held_packet& held) {
  std::uint64_t& next = next_turn_.at(held.priority).at(BucketOf(held.packet));
  const std::uint64_t turn = std::max(next, turn_.at(held.priority));
  next = turn + 1;
  const position at{held.priority, turn, held.deadline, sequence_++};
  order_.emplace(at, held);
  positions_[held.packet.flow] = at;
  ++sizes_.at(held.priority);
  bytes_ += held.bytes;
}

bool first_packet_queue::Join(const flow_packet& copy,
                              std::size_t bytes,
                              time_point now) {
  const auto found = positions_.find(copy.flow);
  if (found == positions_.end()) {
    return false;
  }
  held_packet& held = order_.at(found->second);
  held.from_first = held.from_first &&
                    copy.retransmit_count <= held.packet.retransmit_count + 1;
  held.packet = copy;
  held.copied = now;
  bytes_ += bytes - held.bytes;
  held.bytes = bytes;
  return true;
}

const held_packet* first_packet_queue::Find(const flow_key& flow) const {
  const auto found = positions_.find(flow);
  return found == positions_.end() ? nullptr : &order_.at(found->second);
}

held_packet first_packet_queue::Take(order::iterator found) {
  held_packet held = found->second;
  std::uint64_t& next = next_turn_.at(held.priority).at(BucketOf(held.packet));
  // The turn of a packet that leaves last is free again.
  if (next == found->first.turn + 1) {
    --next;
  }
  order_.erase(found);
  positions_.erase(held.packet.flow);
  --sizes_.at(held.priority);
  bytes_ -= held.bytes;
  return held;
}

first_packet_queue::order::iterator first_packet_queue::FirstOf(
    std::uint32_t priority) {
  return order_.lower_bound({priority, 0, {}, 0});
}

first_packet_queue::order::iterator first_packet_queue::LastOf(
    std::uint32_t priority) {
  return std::prev(order_.lower_bound({priority + 1, 0, {}, 0}));
}

std::optional<held_packet> first_packet_queue::TakeFirst(
    std::uint32_t priority) {
  if (sizes_.at(priority) == 0) {
    return std::nullopt;
  }
  const order::iterator found = FirstOf(priority);
  const std::uint64_t turn = found->first.turn;
  held_packet held = Take(found);
  turn_.at(priority) = std::max(turn_.at(priority), turn);
  // A served packet keeps its turn: its bucket comes after the others'.
  std::uint64_t& next = next_turn_.at(priority).at(BucketOf(held.packet));
  next = std::max(next, turn + 1);
  return held;
}

std::optional<held_packet> first_packet_queue::TakeLast(
    std::uint32_t priority) {
  if (sizes_.at(priority) == 0) {
    return std::nullopt;
  }
  return Take(LastOf(priority));
}

const held_packet* first_packet_queue::Last(std::uint32_t priority) const {
  return sizes_.at(priority) == 0
             ? nullptr
             : &std::prev(order_.lower_bound({priority + 1, 0, {}, 0}))->second;
}

std::vector<held_packet> first_packet_queue::TakeExpired(time_point now) {
  std::vector<held_packet> expired;
  for (auto i = order_.begin(); i != order_.end();) {
    const auto current = i++;
    if (current->second.deadline < now) {
      expired.push_back(Take(current));
    }
  }
  return expired;
}

}  // namespace rosemaryreach
