#include "fleet/member_table.h"

#include <algorithm>
#include <tuple>

namespace rosemaryreach {
namespace {

std::uint64_t RecordDigest(const member_record& record) {
  if (!IsLive(record)) {
    return 0;
  }
  const std::uint64_t revision = (std::uint64_t{record.revision} << 8) |
                                 static_cast<std::uint64_t>(record.info.state);
  return HashPair(record.info.id.value,
                  HashPair(record.info.incarnation, revision));
}

std::uint64_t SummaryDigest(const data_centre_summary& summary) {
  return HashPair(HashBytes(summary.data_centre),
                  HashPair(summary.version, summary.members_digest));
}

// Applies `update` to `record`. A compact update leaves the fields that it
// doesn't carry; the configuration number never decreases in an incarnation.
void Apply(const member_record& update, member_record& record) {
  if (!update.compact) {
    const std::uint64_t number = record.info.configuration_number;
    const bool same = record.info.incarnation == update.info.incarnation;
    record = update;
    if (same) {
      record.info.configuration_number =
          std::max(number, update.info.configuration_number);
    }
    return;
  }
  record.info.state = update.info.state;
  record.info.configuration_number = std::max(record.info.configuration_number,
                                              update.info.configuration_number);
  record.revision = update.revision;
  record.health = update.health;
}

}  // namespace

bool IsNewer(const member_record& a, const member_record& b) {
  return std::tie(a.info.incarnation, a.revision, a.health) >
         std::tie(b.info.incarnation, b.revision, b.health);
}

merge_outcome member_table::Merge(time_point now, const member_record& record) {
  const auto found = members_.find(record.info.id.value);
  if (found == members_.end()) {
    if (record.compact) {
      return merge_outcome::kUnknownIncarnation;
    }
    members_.emplace(record.info.id.value,
                     member_entry{record, now, now, {}, {}, true});
    digests_[TableBucket(record.info.id)] += RecordDigest(record);
    return merge_outcome::kMerged;
  }
  member_entry& entry = found->second;
  if (!IsNewer(record, entry.record)) {
    return merge_outcome::kNotNewer;
  }
  if (record.compact &&
      record.info.incarnation != entry.record.info.incarnation) {
    return merge_outcome::kUnknownIncarnation;
  }
  std::uint64_t& digest = digests_[TableBucket(record.info.id)];
  digest -= RecordDigest(entry.record);
  Apply(record, entry.record);
  digest += RecordDigest(entry.record);
  entry.changed_at = now;
  return merge_outcome::kMerged;
}

bool member_table::Merge(const data_centre_summary& summary) {
  const auto found = centres_.find(summary.data_centre);
  if (found == centres_.end()) {
    centres_.emplace(summary.data_centre, summary);
    return true;
  }
  const data_centre_summary& known = found->second;
  const bool newer =
      std::tie(summary.version, summary.members_digest,
               summary.minimum_number) >
      std::tie(known.version, known.members_digest, known.minimum_number);
  if (newer) {
    found->second = summary;
  }
  return newer;
}

bool member_table::Merge(const link_vote& vote) {
  const auto inserted =
      votes_.emplace(std::pair(vote.data_centre, vote.voter.value), vote);
  link_vote& known = inserted.first->second;
  if (inserted.second || vote.version > known.version) {
    known = vote;
    return true;
  }
  return false;
}

void member_table::Erase(instance_id id) {
  const auto found = members_.find(id.value);
  if (found != members_.end()) {
    digests_[TableBucket(id)] -= RecordDigest(found->second.record);
    members_.erase(found);
  }
}

void member_table::ExpireTombstones(time_point now, duration age) {
  std::erase_if(members_, [&](const members_map::value_type& member) {
    const member_entry& entry = member.second;
    return !IsLive(entry.record) && now - entry.changed_at > age;
  });
}

void member_table::RetainVotesOf(const std::vector<instance_id>& voters) {
  std::erase_if(votes_, [&](const votes_map::value_type& vote) {
    return std::find(voters.begin(), voters.end(), vote.second.voter) ==
           voters.end();
  });
}

member_entry* member_table::Find(instance_id id) {
  const auto found = members_.find(id.value);
  return found == members_.end() ? nullptr : &found->second;
}

const member_entry* member_table::Find(instance_id id) const {
  const auto found = members_.find(id.value);
  return found == members_.end() ? nullptr : &found->second;
}

std::uint64_t member_table::digest() const {
  std::uint64_t sum = 0;
  for (const std::uint64_t bucket : digests_) {
    sum += bucket;
  }
  for (const auto& [name, summary] : centres_) {
    sum += SummaryDigest(summary);
  }
  return sum;
}

std::uint32_t member_table::votes_digest() const {
  std::uint64_t sum = 0;
  for (const auto& [key, vote] : votes_) {
    sum += HashPair(vote.voter.value,
                    HashPair(HashBytes(vote.data_centre),
                             2 * vote.version + (vote.up ? 1 : 0)));
  }
  return static_cast<std::uint32_t>(sum);
}

}  // namespace rosemaryreach
