// What an instance knows of idempotency keys, as owner or as successor.
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

  // Reserves a key for `holder`'s request. Asked again by the same request, a
  // running reservation is granted again; a full table grants nothing.
  key_verdict Reserve(time_point now,
                      instance_id holder,
                      const key_reserve& reserve);

  // Records how the key's request ended; kNotRun frees the key. Returns
  // whether `holder` held it for that request.
  bool Finish(instance_id holder, const key_finish& finish);

  // Takes over what another instance knows, unless a newer state is known.
  // Returns whether the record is now the one held.
  bool MergeRecord(time_point now, const key_record& record);

  // Returns the record of `key` with times relative to `now`.
  std::optional<key_record> Find(time_point now, std::uint64_t key) const;

  // Returns the records that `wanted` picks, sorted by key.
  std::vector<key_record> Select(
      time_point now,
      const std::function<bool(std::uint64_t key)>& wanted) const;

  // Forgets keys whose window has passed.
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

  // Returns the state at `now`: a reservation that was never finished becomes
  // unknown once its request must have ended.
  static key_state StateAt(time_point now, const entry& entry);
  static key_record ToRecord(time_point now,
                             std::uint64_t key,
                             const entry& entry);

  std::size_t limit_;
  absl::flat_hash_map<std::uint64_t, entry> entries_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_IDEMPOTENCY_TABLE_H_
