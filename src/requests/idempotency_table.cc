#include "rosemaryreach/idempotency_table.h"

#include <algorithm>

namespace rosemaryreach {

key_verdict idempotency_table::Reserve(time_point now,
                                       instance_id holder,
                                       const key_reserve& reserve) {
  const auto found = entries_.find(reserve.key);
  std::uint64_t version = 1;
  if (found != entries_.end()) {
    const entry& stored = found->second;
    const bool same_request =
        stored.holder == holder && stored.request == reserve.request;
    switch (StateAt(now, stored)) {
      case key_state::kReserved:
        return same_request ? key_verdict::kGranted : key_verdict::kInProgress;
      case key_state::kDone:
        return key_verdict::kDone;
      case key_state::kUnknown:
        return key_verdict::kUnknown;
      case key_state::kFree:
        if (same_request) {
          return key_verdict::kUnavailable;
        }
        break;
    }
    version = stored.version + 1;
  } else if (entries_.size() >= limit_) {
    return key_verdict::kUnavailable;
  }
  entries_[reserve.key] = {version,
                           holder,
                           reserve.request,
                           key_state::kReserved,
                           now + reserve.ends_in,
                           now + reserve.window};
  return key_verdict::kGranted;
}

bool idempotency_table::Finish(instance_id holder, const key_finish& finish) {
  const auto found = entries_.find(finish.key);
  if (found == entries_.end() || found->second.holder != holder ||
      found->second.request != finish.request ||
      found->second.state != key_state::kReserved) {
    return false;
  }
  entry& stored = found->second;
  ++stored.version;
  switch (finish.run) {
    case run_state::kNotRun:
      stored.state = key_state::kFree;
      break;
    case run_state::kRun:
      stored.state = key_state::kDone;
      break;
    case run_state::kUnknown:
      stored.state = key_state::kUnknown;
      break;
  }
  return true;
}

bool idempotency_table::MergeRecord(time_point now, const key_record& record) {
  const auto found = entries_.find(record.key);
  if (found != entries_.end() && found->second.version >= record.version) {
    const entry& stored = found->second;
    return stored.version == record.version && stored.holder == record.holder &&
           stored.request == record.request && stored.state == record.state;
  }
  entries_[record.key] = {record.version,       record.holder,
                          record.request,       record.state,
                          now + record.ends_in, now + record.window};
  return true;
}

std::optional<key_record> idempotency_table::Find(time_point now,
                                                  std::uint64_t key) const {
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  return ToRecord(now, key, found->second);
}

std::vector<key_record> idempotency_table::Select(
    time_point now,
    const std::function<bool(std::uint64_t key)>& wanted) const {
  std::vector<key_record> records;
  for (const auto& [key, stored] : entries_) {
    if (stored.expires_at > now && wanted(key)) {
      records.push_back(ToRecord(now, key, stored));
    }
  }
  std::sort(
      records.begin(), records.end(),
      [](const key_record& a, const key_record& b) { return a.key < b.key; });
  return records;
}

void idempotency_table::Expire(time_point now) {
  absl::erase_if(entries_, [now](const auto& item) {
    return item.second.expires_at <= now;
  });
}

key_state idempotency_table::StateAt(time_point now, const entry& entry) {
  const bool timed_out =
      entry.state == key_state::kReserved && entry.reserved_until <= now;
  return timed_out ? key_state::kUnknown : entry.state;
}

key_record idempotency_table::ToRecord(time_point now,
                                       std::uint64_t key,
                                       const entry& entry) {
  const duration ends_in =
      std::max(duration::zero(), entry.reserved_until - now);
  return {key,
          entry.version,
          entry.holder,
          entry.request,
          StateAt(now, entry),
          ends_in,
          entry.expires_at - now};
}

}  // namespace rosemaryreach
