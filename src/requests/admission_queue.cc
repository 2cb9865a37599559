#include "rosemaryreach/admission_queue.h"

#include <algorithm>

namespace rosemaryreach {

namespace {

// While interactive requests wait, one pop in this many serves bulk.
constexpr std::size_t kBulkPopInterval = 5;

}  // namespace

std::optional<request_id> admission_queue::Push(const queued_request& request) {
  class_queue& queue = QueueOf(request.kind);
  caller_queue& requests = queue.callers[request.caller];
  if (requests.empty()) {
    queue.round_robin.push_back(request.caller);
  }
  requests.push_back(request);
  ++queue.size;
  if (size() <= limit_) {
    return std::nullopt;
  }
  const bool has_bulk = QueueOf(request_class::kBulk).size > 0;
  return EvictFromLargest(has_bulk ? request_class::kBulk : request.kind).id;
}

std::optional<queued_request> admission_queue::Pop(bool bulk_allowed) {
  class_queue& interactive = QueueOf(request_class::kInteractive);
  class_queue& bulk = QueueOf(request_class::kBulk);
  const bool bulk_waits = bulk_allowed && bulk.size > 0;
  if (interactive.size == 0) {
    return bulk_waits ? PopNext(bulk) : std::nullopt;
  }
  if (bulk_waits && ++contended_pops_ % kBulkPopInterval == 0) {
    return PopNext(bulk);
  }
  return PopNext(interactive);
}

std::optional<queued_request> admission_queue::PopWatch() {
  return PopNext(QueueOf(request_class::kWatch));
}

bool admission_queue::Remove(request_id id,
                             request_class kind,
                             std::uint64_t caller) {
  class_queue& queue = QueueOf(kind);
  const auto found = queue.callers.find(caller);
  if (found == queue.callers.end()) {
    return false;
  }
  caller_queue& requests = found->second;
  const auto end = std::remove_if(
      requests.begin(), requests.end(),
      [id](const queued_request& queued) { return queued.id == id; });
  const bool removed = end != requests.end();
  queue.size -= static_cast<std::size_t>(requests.end() - end);
  requests.erase(end, requests.end());
  RemoveCallerIfEmpty(queue, caller);
  return removed;
}

std::vector<request_id> admission_queue::Expire(time_point now) {
  std::vector<queued_request> expired;
  for (const class_queue& queue : class_queues_) {
    for (const auto& [caller, requests] : queue.callers) {
      std::copy_if(requests.begin(), requests.end(),
                   std::back_inserter(expired),
                   [now](const queued_request& queued) {
                     return queued.start_by < now;
                   });
    }
  }
  std::vector<request_id> ids;
  for (const queued_request& queued : expired) {
    Remove(queued.id, queued.kind, queued.caller);
    ids.push_back(queued.id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

std::vector<request_id> admission_queue::Clear() {
  std::vector<request_id> ids;
  for (class_queue& queue : class_queues_) {
    for (const auto& [caller, requests] : queue.callers) {
      for (const queued_request& queued : requests) {
        ids.push_back(queued.id);
      }
    }
    queue = class_queue();
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

std::size_t admission_queue::CountAhead(request_class kind,
                                        std::uint64_t caller) const {
  const class_queue& queue = QueueOf(kind);
  const auto found = queue.callers.find(caller);
  const std::size_t own =
      found == queue.callers.end() ? 0 : found->second.size();
  std::size_t ahead = own;
  for (const auto& [other, requests] : queue.callers) {
    if (other != caller) {
      ahead += std::min(requests.size(), own + 1);
    }
  }
  return ahead;
}

std::size_t admission_queue::size() const {
  std::size_t total = 0;
  for (const class_queue& queue : class_queues_) {
    total += queue.size;
  }
  return total;
}

std::optional<queued_request> admission_queue::PopNext(class_queue& queue) {
  if (queue.size == 0) {
    return std::nullopt;
  }
  const std::uint64_t caller = queue.round_robin.front();
  queue.round_robin.pop_front();
  caller_queue& requests = queue.callers[caller];
  const queued_request next = requests.front();
  requests.pop_front();
  --queue.size;
  if (requests.empty()) {
    queue.callers.erase(caller);
  } else {
    queue.round_robin.push_back(caller);
  }
  return next;
}

void admission_queue::RemoveCallerIfEmpty(class_queue& queue,
                                          std::uint64_t caller) {
  const auto found = queue.callers.find(caller);
  if (found != queue.callers.end() && found->second.empty()) {
    queue.callers.erase(found);
    std::erase(queue.round_robin, caller);
  }
}

queued_request admission_queue::EvictFromLargest(request_class kind) {
  class_queue& queue = QueueOf(kind);
  const auto largest =
      std::max_element(queue.callers.begin(), queue.callers.end(),
                       [](const auto& a, const auto& b) {
                         return std::pair(a.second.size(), a.first) <
                                std::pair(b.second.size(), b.first);
                       });
  const std::uint64_t caller = largest->first;
  const queued_request evicted = largest->second.back();
  largest->second.pop_back();
  --queue.size;
  RemoveCallerIfEmpty(queue, caller);
  return evicted;
}

}  // namespace rosemaryreach
