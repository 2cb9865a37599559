// Requests that wait for a slot of one service: bounded, fair between callers,
// interactive before bulk.
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
  // The latest moment at which a start still makes sense.
  time_point start_by;
};

class admission_queue {
 public:
  explicit admission_queue(std::size_t limit) : limit_(limit) {}

  void Configure(std::size_t limit) { limit_ = limit; }

  // Adds `request`. When full, the caller with most requests queued loses its
  // newest; returns the request that lost its place, possibly the one added.
  std::optional<request_id> Push(const queued_request& request);

  // Returns the next request for a slot, or nothing. With `bulk_allowed`, each
  // fifth turn goes to bulk first; without, only interactive ones come.
  std::optional<queued_request> Pop(bool bulk_allowed);
  std::optional<queued_request> PopWatch();

  // Returns whether the request was queued.
  bool Remove(request_id id, request_class kind, std::uint64_t caller);

  // Removes and returns the requests whose start_by has passed.
  std::vector<request_id> Expire(time_point now);

  // Removes and returns all requests.
  std::vector<request_id> Clear();

  // Returns how many requests of `kind` wait ahead of a new one of `caller`,
  // counting round-robin turns.
  std::size_t CountAhead(request_class kind, std::uint64_t caller) const;

  std::size_t size() const;
  std::size_t size(request_class kind) const { return QueueOf(kind).size; }

 private:
  using caller_queue = std::deque<queued_request>;

  // Round robin over the callers of one class.
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
  std::size_t contended_pops_ = 0;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADMISSION_QUEUE_H_
