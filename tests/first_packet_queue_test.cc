#include "rosemaryreach/first_packet_queue.h"

#include <catch2/catch.hpp>

#include "entry_fixture.h"

namespace rosemaryreach {
namespace {

held_packet Held(std::uint16_t port,
                 std::uint32_t priority,
                 std::int64_t deadline_ms,
                 std::uint32_t caller = 1) {
  held_packet held;
  held.packet = FirstPacket(Flow(port));
  held.packet.flow.caller.address = caller;
  held.bytes = 100;
  held.priority = priority;
  held.deadline = At(deadline_ms);
  return held;
}

std::uint16_t PortOf(const std::optional<held_packet>& held) {
  return held ? held->packet.flow.caller.port : 0;
}

TEST_CASE("Within a priority the least time left goes first") {
  first_packet_queue queue(10, 10'000, 1);
  queue.Add(Held(1, 2, 300, 1));
  queue.Add(Held(2, 2, 200, 2));
  queue.Add(Held(3, 1, 900, 3));
  CHECK(queue.first_priority() == 1);
  CHECK(queue.last_priority() == 2);
  CHECK(PortOf(queue.TakeFirst(2)) == 2);
  CHECK(PortOf(queue.TakeFirst(2)) == 1);
  CHECK_FALSE(queue.TakeFirst(2));
  CHECK(queue.size() == 1);
}

// A caller with many packets must not have all turns before the others.
TEST_CASE("Caller addresses take turns") {
  first_packet_queue queue(100, 100'000, 1);
  for (std::uint16_t port = 1; port <= 50; ++port) {
    queue.Add(Held(port, 2, 200, 1));
  }
  queue.Add(Held(60, 2, 300, 2));
  queue.TakeFirst(2);
  CHECK(PortOf(queue.TakeFirst(2)) == 60);
}

TEST_CASE("Bounds in packets and bytes are reported") {
  first_packet_queue packets(1, 10'000, 1);
  packets.Add(Held(1, 2, 200));
  CHECK_FALSE(packets.over_full());
  packets.Add(Held(2, 2, 200));
  CHECK(packets.over_full());
  CHECK(PortOf(packets.TakeLast(2)) == 2);
  CHECK_FALSE(packets.over_full());
  first_packet_queue bytes(10, 150, 1);
  bytes.Add(Held(1, 2, 200));
  bytes.Join(Held(1, 2, 200).packet, 200, At(1));
  CHECK(bytes.over_full());
  bytes.TakeFirst(2);
  CHECK(bytes.bytes() == 0);
}

TEST_CASE("Expired packets leave whatever their order") {
  first_packet_queue queue(10, 10'000, 1);
  queue.Add(Held(1, 1, 300, 1));
  queue.Add(Held(2, 2, 100, 2));
  CHECK(queue.TakeExpired(At(100)).empty());
  CHECK(queue.TakeExpired(At(101)).size() == 1);
  CHECK(queue.Find(Held(1, 1, 300, 1).packet.flow) != nullptr);
}

}  // namespace
}  // namespace rosemaryreach
