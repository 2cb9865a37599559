#include "rosemaryreach/admission_queue.h"

#include <catch2/catch.hpp>

namespace rosemaryreach {
namespace {

queued_request Queued(std::uint64_t id,
                      std::uint64_t caller,
                      request_class kind = request_class::kInteractive) {
  return {{id}, caller, kind, time_point(std::chrono::seconds(1))};
}

std::uint64_t PopId(admission_queue& queue) {
  return queue.Pop(true)->id.value;
}

TEST_CASE("callers are served round robin whatever their queue lengths") {
  admission_queue queue(100);
  for (std::uint64_t id = 1; id <= 5; ++id) {
    queue.Push(Queued(id, 1));
  }
  queue.Push(Queued(6, 2));
  CHECK(queue.CountAhead(request_class::kInteractive, 3) == 2);
  CHECK(PopId(queue) == 1);
  CHECK(PopId(queue) == 6);
  CHECK(PopId(queue) == 2);
}

TEST_CASE("a full queue evicts from the caller with the most requests") {
  admission_queue queue(3);
  queue.Push(Queued(1, 1));
  queue.Push(Queued(2, 1));
  queue.Push(Queued(3, 1));
  CHECK(queue.Push(Queued(4, 2)) == request_id{3});
  CHECK(queue.Push(Queued(5, 1)) == request_id{5});
  CHECK(queue.size() == 3);
}

TEST_CASE("a full queue evicts bulk requests first") {
  admission_queue queue(2);
  queue.Push(Queued(1, 1, request_class::kBulk));
  queue.Push(Queued(2, 2));
  CHECK(queue.Push(Queued(3, 2)) == request_id{1});
}

TEST_CASE("bulk gets one pop in five while interactive requests wait") {
  admission_queue queue(100);
  for (std::uint64_t id = 0; id < 20; ++id) {
    queue.Push(Queued(id, 1));
    queue.Push(Queued(100 + id, 2, request_class::kBulk));
  }
  int bulk = 0;
  for (int i = 0; i < 20; ++i) {
    bulk += PopId(queue) >= 100 ? 1 : 0;
  }
  CHECK(bulk == 4);
  CHECK(queue.Pop(false)->kind == request_class::kInteractive);
}

TEST_CASE("requests that can no longer start in time expire") {
  admission_queue queue(100);
  queue.Push(Queued(1, 1));
  queued_request late = Queued(2, 1);
  late.start_by += std::chrono::seconds(1);
  queue.Push(late);
  const time_point now(std::chrono::milliseconds(1'500));
  CHECK(queue.Expire(now) == std::vector<request_id>{{1}});
  CHECK(PopId(queue) == 2);
}

}  // namespace
}  // namespace rosemaryreach
