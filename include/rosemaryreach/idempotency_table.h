// States of the idempotency keys of which an instance is owner or successor.
#ifndef ROSEMARYREACH_IDEMPOTENCY_TABLE_H_
#define ROSEMARYREACH_IDEMPOTENCY_TABLE_H_

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "rosemaryreach/request_types.h"

namespace rosemaryreach {

class idempotency_table {
 public:
  explicit idempotency_table(std::size_t limit) : limit_(limit) {}

  // Reserves a key for `holder`'s request. A repeated call for the same request
  // is granted while the reservation lasts; a full table returns kUnavailable.
  key_verdict Reserve(time_point now,
                      instance_id holder,
                      const key_reserve& reserve);

  // Records how the key's request ended; kNotRun frees the key. Returns false
  // unless the key was reserved by `holder` for that request.
  bool Finish(instance_id holder, const key_finish& finish);

  // Stores a record of another instance if its version is newer than the entry.
  // Returns whether the entry now equals the record.
  bool MergeRecord(time_point now, const key_record& record);

  // Returns the record of `key` with times relative to `now`.
  std::optional<key_record> Find(time_point now, std::uint64_t key) const;

  // Returns the unexpired records whose keys `wanted` accepts, sorted by key.
  std::vector<key_record> Select(
      time_point now,
      const std::function<bool(std::uint64_t key)>& wanted) const;

  // Removes keys whose window has passed.
  void Expire(time_point now);

  std::size_t size() const { return entries_.size(); }

 private:
  struct entry {
    std::uint64_t version = 0;
    instance_id holder;
    request_id request;
    key_state state = key_state::kFree;
    time_point reserved_until;
    time_point expires_at;
  };

  // Returns the state at `now`. A reservation that was not finished becomes
  // unknown when the deadline of its request has passed.
  static key_state StateAt(time_point now, const entry& entry);
  static key_record ToRecord(time_point now,
                             std::uint64_t key,
                             const entry& entry);

  std::size_t limit_;
  absl::flat_hash_map<std::uint64_t, entry> entries_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_IDEMPOTENCY_TABLE_H_
