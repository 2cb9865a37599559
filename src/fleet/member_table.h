// The replicated records of members, data centres and link votes. The newest
// version of each record wins, independent of the order of arrival.
#ifndef ROSEMARYREACH_FLEET_MEMBER_TABLE_H_
#define ROSEMARYREACH_FLEET_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "rosemaryreach/control_messages.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

struct member_entry {
  member_record record;
  // When the record changed, the member was last heard from, was last probed,
  // and was last notified that it is suspected.
  time_point changed_at{};
  time_point last_heard{};
  time_point last_probed{};
  time_point suspect_notified{};
  // Whether a sync_reply during the current join listed the member.
  bool listed_by_peer = false;
};

enum class merge_outcome : std::uint8_t {
  kNotNewer,            // the table has this or a newer version
  kUnknownIncarnation,  // a compact record, whose full record isn't known
  kMerged,              // the table was updated
};

// Returns whether the member is live: alive or suspect.
inline bool IsLive(const member_record& record) {
  return record.health == liveness::kAlive ||
         record.health == liveness::kSuspect;
}

// Returns the control endpoint of `info`.
inline endpoint ControlEndpoint(const instance_info& info) {
  return {info.address, info.control_port};
}

// Returns the bucket of the table that holds `id`.
inline std::size_t TableBucket(instance_id id) {
  return id.value % kTableBuckets;
}

// Returns whether `a` is a newer version of the same member than `b`.
bool IsNewer(const member_record& a, const member_record& b);

class member_table {
 public:
  using members_map = std::map<std::uint64_t, member_entry>;
  using data_centres_map =
      std::map<std::string, data_centre_summary, std::less<>>;
  using votes_map =
      std::map<std::pair<std::string, std::uint64_t>, link_vote, std::less<>>;

  merge_outcome Merge(time_point now, const member_record& record);
  bool Merge(const data_centre_summary& summary);
  bool Merge(const link_vote& vote);

  // Removes the member without leaving a tombstone.
  void Erase(instance_id id);

  // Removes dead and left members whose record is older than `age`.
  void ExpireTombstones(time_point now, duration age);

  // Removes the votes of members other than `voters`.
  void RetainVotesOf(const std::vector<instance_id>& voters);

  member_entry* Find(instance_id id);
  const member_entry* Find(instance_id id) const;

  members_map& members() { return members_; }
  const members_map& members() const { return members_; }
  const data_centres_map& centres() const { return centres_; }
  const votes_map& votes() const { return votes_; }

  // Digests of the live members by bucket; suspicion doesn't change them.
  const table_digests& digests() const { return digests_; }
  // Digest of the live members and the data centre summaries.
  std::uint64_t digest() const;
  std::uint32_t votes_digest() const;

 private:
  members_map members_;
  data_centres_map centres_;
  votes_map votes_;
  table_digests digests_{};
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_FLEET_MEMBER_TABLE_H_
