// Holds the targets, routes and evacuated data centres, and maps the cookies in
// packets of open flows to targets.
#ifndef ROSEMARYREACH_TARGET_DIRECTORY_H_
#define ROSEMARYREACH_TARGET_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "rosemaryreach/entry_types.h"

namespace rosemaryreach {

// Index of a target; valid until the target is removed.
using target_index = std::uint32_t;
inline constexpr target_index kNoTarget = ~target_index{0};

// Entries that expired while the store was unavailable return within 2 s; the
// rest of the time is for reading them.
inline constexpr duration kEntryReturnGrace = std::chrono::milliseconds(2'600);

// Returns the number that identifies an incarnation of a target in packets. It
// is the same on every instance and never 0.
std::uint32_t MakeCookie(std::string_view id, std::uint64_t incarnation);

// Returns a hash of the content of an item, by which item_cache finds changes.
std::uint64_t FingerprintOf(const decoded_item& decoded);

// Whether the store lists a target.
enum class target_listing : std::uint8_t {
  kListed,
  kMissing,  // its entry disappeared without draining; it may return
  kGone,     // it drained and left, or its entry did not return
};

struct known_target {
  target_record record;
  std::uint32_t cookie = 0;
  target_listing listing = target_listing::kListed;
  time_point listing_changed{};
  // Its entry vanished in circumstances that say nothing about the target.
  bool lapse_excused = false;
  time_point draining_since{};  // when this instance learned of it
  time_point cold_until{};
  // Another target has the same cookie, so neither gets new flows.
  bool shares_cookie = false;
  time_point added{};  // the same for all targets of one batch of changes
  // It left before this instance knew it.
  bool departed = false;
};

// Outcome of the change that adds an active target.
inline constexpr const char* kTargetAdded = "target_added";

// One change of the directory, for the log.
struct directory_change {
  std::string subject;
  std::string outcome;
  std::string detail;
};

class target_directory {
 public:
  using report = std::function<void(const directory_change&)>;

  // Called when a target is removed and its index may be reused.
  using removed_hook = std::function<void(target_index)>;

  // Targets that are gone keep their cookies for `retention`, since their flows
  // may continue.
  target_directory(duration retention,
                   report report_change,
                   removed_hook on_removed);

  // Applies the changes of one answer. Those of a new era, which come from a
  // copy of the store that is older than what is known, make no target usable
  // that was not, and no data centre: they are held until kEntryReturnGrace has
  // passed, by when their writers have written them again.
  void ApplyBatch(const view_change& change, time_point now);

  void Apply(const store_item& item,
             const decoded_item& decoded,
             time_point now);

  // Adds a target that left `age` ago, before this instance knew it. It gets no
  // new flows; packets of its flows go to it as to any target that is gone.
  // Ignored if it is known or listed.
  void ApplyDeparted(const target_record& record, duration age, time_point now);

  // Marks missing targets as gone after kEntryReturnGrace and removes gone ones
  // after the retention time. While `store_unavailable`, and for
  // kEntryReturnGrace after it, entries of live targets may be missing.
  void Tick(bool store_unavailable, time_point now);

  const known_target* Find(target_index index) const;
  // Returns the target with this cookie; kNoTarget if there is none, or more
  // than one, as nothing else in a packet tells them apart.
  target_index FindCookie(std::uint32_t cookie) const;
  bool IsSharedCookie(std::uint32_t cookie) const {
    return by_cookie_.count(cookie) > 1;
  }
  const entry_route* FindRoute(const ipv4_endpoint& address) const;
  const entry_service* FindService(const std::string& name) const;
  // Returns the targets of a service that are not gone, ordered by id.
  std::span<const target_index> TargetsOf(const std::string& service) const;
  bool evacuated(const std::string& data_centre) const {
    return evacuated_.contains(data_centre);
  }
  // The items of a new era that are held, and for how long.
  std::size_t held_items() const { return held_.size(); }
  duration HeldFor(time_point now) const {
    return held_.empty() ? duration(0) : now - era_began_;
  }
  // Returns whether there is a configuration and at least one target that is or
  // was listed to this instance.
  bool complete() const {
    return config_.version > 0 && by_cookie_.size() > departed_;
  }
  // Targets that left before this instance knew them.
  std::size_t departed() const { return departed_; }
  // Whether entries of live targets may be missing, since the store was
  // unavailable or restored until recently.
  bool EntriesMayBeMissing(time_point now) const {
    return store_unavailable_ || now < entries_due_;
  }
  const entry_config& config() const { return config_; }
  // Returns all targets, including gone ones; unused indices are empty.
  std::span<const std::optional<known_target>> targets() const {
    return targets_;
  }

 private:
  void ApplyConfig(const entry_config& config);
  void ApplyTarget(const target_record& record, time_point now);
  void ApplyRemoval(const std::string& id, const char* reason, time_point now);
  void ApplyEvacuation(const evacuation_item& item);
  target_index Add(const target_record& record, time_point now);
  // Returns the index of this incarnation of the target, or kNoTarget.
  target_index FindIncarnation(const target_record& record) const;
  void Update(known_target& target,
              const target_record& record,
              time_point now);
  void SetListing(known_target& target,
                  target_listing listing,
                  const char* reason,
                  time_point now);
  // Excuses the targets of services that lost many entries at `now`.
  void ExcuseLapses(time_point now);
  // The restored store lacks a target: it may have started since the copy.
  void ApplyRestoredWithout(const std::string& id, time_point now);
  // Whether an item of a restored store would make a target or a data centre
  // usable that is known not to be.
  bool ContradictsKnown(const decoded_item& decoded) const;
  void Hold(const changed_item& changed, time_point now);
  void ApplyHeld(time_point now);
  void Remove(target_index index);
  // Finds out whether the targets with this cookie share it.
  void UpdateSharing(std::uint32_t cookie);
  void IndexServices() const;

  duration retention_;
  report report_;
  removed_hook on_removed_;
  entry_config config_;
  std::map<ipv4_endpoint, std::size_t> routes_;
  std::set<std::string> evacuated_;
  std::vector<std::optional<known_target>> targets_;
  std::map<std::string, target_index> by_id_;  // latest start
  std::multimap<std::uint32_t, target_index> by_cookie_;
  std::vector<target_index> free_;
  std::size_t departed_ = 0;  // targets that are `departed`
  // Rebuilt lazily after changes, since a batch may change all targets.
  mutable std::map<std::string, std::vector<target_index>> by_service_;
  mutable bool services_indexed_ = false;
  std::map<std::string, changed_item> held_;  // by key
  bool store_unavailable_ = false;
  time_point entries_due_{};  // when entries of live targets are back
  time_point era_began_{};
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TARGET_DIRECTORY_H_
