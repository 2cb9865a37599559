#include "rosemaryreach/admission_queue.h"

#include <algorithm>

namespace rosemaryreach {

namespace {

// One turn in this many goes to bulk while interactive requests wait.
constexpr std::size_t kBulkTurn = 5;

}  // namespace

std::optional<request_id> admission_queue::Push(const queued_request& request) {
  lane& to = LaneOf(request.kind);
  caller_queue& queue = to.callers[request.caller];
  if (queue.empty()) {
    to.turns.push_back(request.caller);
  }
  queue.push_back(request);
  ++to.size;
  if (size() <= limit_) {
    return std::nullopt;
  }
  const bool has_bulk = LaneOf(request_class::kBulk).size > 0;
  return EvictFromLargest(has_bulk ? request_class::kBulk : request.kind).id;
}

std::optional<queued_request> admission_queue::Pop(bool bulk_allowed) {
  lane& interactive = LaneOf(request_class::kInteractive);
  lane& bulk = LaneOf(request_class::kBulk);
  const bool bulk_waits = bulk_allowed && bulk.size > 0;
  if (interactive.size == 0) {
    return bulk_waits ? PopLane(bulk) : std::nullopt;
  }
  if (bulk_waits && ++turns_ % kBulkTurn == 0) {
    return PopLane(bulk);
  }
  return PopLane(interactive);
}

std::optional<queued_request> admission_queue::PopWatch() {
  return PopLane(LaneOf(request_class::kWatch));
}

bool admission_queue::Remove(request_id id,
                             request_class kind,
                             std::uint64_t caller) {
  lane& from = LaneOf(kind);
  const auto found = from.callers.find(caller);
  if (found == from.callers.end()) {
    return false;
  }
  caller_queue& queue = found->second;
  const auto end = std::remove_if(
      queue.begin(), queue.end(),
      [id](const queued_request& queued) { return queued.id == id; });
  const bool removed = end != queue.end();
  from.size -= static_cast<std::size_t>(queue.end() - end);
  queue.erase(end, queue.end());
  EndTurn(from, caller);
  return removed;
}

std::vector<request_id> admission_queue::Expire(time_point now) {
  std::vector<queued_request> expired;
  for (const lane& one : lanes_) {
    for (const auto& [caller, queue] : one.callers) {
      std::copy_if(queue.begin(), queue.end(), std::back_inserter(expired),
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
  for (lane& one : lanes_) {
    for (const auto& [caller, queue] : one.callers) {
      for (const queued_request& queued : queue) {
        ids.push_back(queued.id);
      }
    }
    one = lane();
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

std::size_t admission_queue::Ahead(request_class kind,
                                   std::uint64_t caller) const {
  const lane& in = LaneOf(kind);
  const auto found = in.callers.find(caller);
  const std::size_t own = found == in.callers.end() ? 0 : found->second.size();
  std::size_t ahead = own;
  for (const auto& [other, queue] : in.callers) {
    if (other != caller) {
      ahead += std::min(queue.size(), own + 1);
    }
  }
  return ahead;
}

std::size_t admission_queue::size() const {
  std::size_t total = 0;
  for (const lane& one : lanes_) {
    total += one.size;
  }
  return total;
}

std::optional<queued_request> admission_queue::PopLane(lane& from) {
  if (from.size == 0) {
    return std::nullopt;
  }
  const std::uint64_t caller = from.turns.front();
  from.turns.pop_front();
  caller_queue& queue = from.callers[caller];
  const queued_request next = queue.front();
  queue.pop_front();
  --from.size;
  if (queue.empty()) {
    from.callers.erase(caller);
  } else {
    from.turns.push_back(caller);
  }
  return next;
}

void admission_queue::EndTurn(lane& from, std::uint64_t caller) {
  const auto found = from.callers.find(caller);
  if (found != from.callers.end() && found->second.empty()) {
    from.callers.erase(found);
    std::erase(from.turns, caller);
  }
}

queued_request admission_queue::EvictFromLargest(request_class kind) {
  lane& from = LaneOf(kind);
  const auto largest =
      std::max_element(from.callers.begin(), from.callers.end(),
                       [](const auto& a, const auto& b) {
                         return std::pair(a.second.size(), a.first) <
                                std::pair(b.second.size(), b.first);
                       });
  const std::uint64_t caller = largest->first;
  const queued_request evicted = largest->second.back();
  largest->second.pop_back();
  --from.size;
  EndTurn(from, caller);
  return evicted;
}

}  // namespace rosemaryreach
