// Bounded queue of the requests that wait for a slot of one service. Serves
// callers round robin and interactive requests before bulk ones.
#ifndef ROSEMARYREACH_ADMISSION_QUEUE_H_
#define ROSEMARYREACH_ADMISSION_QUEUE_H_

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "rosemaryreach/request_types.h"

namespace rosemaryreach {

struct queued_request {
  request_id id;
  std::uint64_t caller = 0;
  request_class kind = request_class::kInteractive;
  // Latest dispatch time that leaves the expected latency before the deadline.
  time_point start_by;
};

class admission_queue {
 public:
  explicit admission_queue(std::size_t limit) : limit_(limit) {}

  void Configure(std::size_t limit) { limit_ = limit; }

  // Adds `request`. If the queue is over its limit, evicts the newest request
  // of the caller with the most requests, of bulk if any is queued, and returns
  // it; it may be the one just added.
  std::optional<request_id> Push(const queued_request& request);

  // Removes and returns the next interactive or bulk request, if any. With
  // `bulk_allowed`, every fifth pop serves bulk while both classes wait;
  // without it, bulk requests stay queued.
  std::optional<queued_request> Pop(bool bulk_allowed);
  // Removes and returns the next watch, if any.
  std::optional<queued_request> PopWatch();

  // Removes the request; returns whether it was queued.
  bool Remove(request_id id, request_class kind, std::uint64_t caller);

  // Removes and returns the requests whose start_by has passed.
  std::vector<request_id> Expire(time_point now);

  // Removes and returns all requests.
  std::vector<request_id> Clear();

  // Returns how many queued requests of `kind` round robin would serve before a
  // new one of `caller`.
  std::size_t CountAhead(request_class kind, std::uint64_t caller) const;

  std::size_t size() const;
  std::size_t size(request_class kind) const { return QueueOf(kind).size; }

 private:
  using caller_queue = std::deque<queued_request>;

  // The requests of one class by caller, and the order of the callers.
  struct class_queue {
    absl::flat_hash_map<std::uint64_t, caller_queue> callers;
    std::deque<std::uint64_t> round_robin;
    std::size_t size = 0;
  };

  class_queue& QueueOf(request_class kind) {
    return class_queues_[static_cast<std::size_t>(kind)];
  }
  const class_queue& QueueOf(request_class kind) const {
    return class_queues_[static_cast<std::size_t>(kind)];
  }

  static std::optional<queued_request> PopNext(class_queue& queue);
  static void RemoveCallerIfEmpty(class_queue& queue, std::uint64_t caller);
  queued_request EvictFromLargest(request_class kind);

  static constexpr std::size_t kClassCount = 3;

  std::size_t limit_;
  std::array<class_queue, kClassCount> class_queues_;
  // Pops while both interactive and bulk requests waited.
  std::size_t contended_pops_ = 0;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADMISSION_QUEUE_H_
