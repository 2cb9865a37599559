// The targets, routes and evacuations that an entry instance knows, and the
// cookies that name targets in the packets of open flows.
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

// Index of a target; stays valid until the target is forgotten.
using target_index = std::uint32_t;
inline constexpr target_index kNoTarget = ~target_index{0};

// Returns the number that names a target's incarnation in packets, the same
// on every instance; never 0.
std::uint32_t MakeCookie(std::string_view id, std::uint64_t incarnation);

// Returns what item_cache compares.
std::uint64_t FingerprintOf(const decoded_item& decoded);

// How the store speaks of a target.
enum class target_listing : std::uint8_t {
  kListed,
  kMissing,  // its entry went without notice; it may come back
  kGone,     // it left, or its entry did not come back
};

struct known_target {
  target_record record;
  std::uint32_t cookie = 0;
  target_listing listing = target_listing::kListed;
  time_point listing_changed{};
  time_point draining_since{};  // when this instance learned it
  time_point cold_until{};
  // An older target has the same cookie, so no flow may be opened here.
  bool cookie_conflict = false;
  // Another target was listed at this address later.
  bool address_reused = false;
};

// One change of what is believed, for the log.
struct directory_change {
  std::string subject;
  std::string outcome;
  std::string detail;
};

class target_directory {
 public:
  using report = std::function<void(const directory_change&)>;

  // Called when an index becomes free for another target.
  using removed_hook = std::function<void(target_index)>;

  // Targets that are gone keep their cookies for `forget_after`, since their
  // flows may go on.
  target_directory(duration retention,
                   report report_change,
                   removed_hook on_removed);

  void Apply(const store_item& item,
             const decoded_item& decoded,
             time_point now);

  // Lets missing entries count as gone once their time is over. While
  // `store_away`, and for kEntryReturnGrace after it, entries may be missing
  // though their targets live.
  void Tick(bool store_unavailable, time_point now);

  const known_target* Find(target_index index) const;
  target_index FindCookie(std::uint32_t cookie) const;
  const entry_route* FindRoute(const ipv4_endpoint& address) const;
  const entry_service* FindService(const std::string& name) const;
  // Targets of a service that are not gone, in the order of their ids.
  std::span<const target_index> TargetsOf(const std::string& service) const;
  bool evacuated(const std::string& data_centre) const {
    return evacuated_.contains(data_centre);
  }
  // Whether a configuration and at least one target are known.
  bool complete() const { return config_.version > 0 && !by_cookie_.empty(); }
  const entry_config& config() const { return config_; }
  // All targets, gone ones too; unused indices are empty.
  std::span<const std::optional<known_target>> targets() const {
    return targets_;
  }

 private:
  void ApplyConfig(const entry_config& config);
  void ApplyTarget(const target_record& record, time_point now);
  void ApplyRemoval(const std::string& id, const char* reason, time_point now);
  void ApplyEvacuation(const evacuation_item& item);
  target_index Add(const target_record& record, time_point now);
  void Update(known_target& target,
              const target_record& record,
              time_point now);
  void SetListing(known_target& target,
                  target_listing listing,
                  const char* reason,
                  time_point now);
  void ReassignAddress(target_index newer);
  void Remove(target_index index);
  void IndexServices() const;

  duration retention_;
  report report_;
  removed_hook on_removed_;
  entry_config config_;
  std::map<ipv4_endpoint, std::size_t> routes_;
  std::set<std::string> evacuated_;
  std::vector<std::optional<known_target>> targets_;
  std::map<std::string, target_index> by_id_;  // newest incarnation
  std::map<std::uint32_t, target_index> by_cookie_;
  std::map<ipv4_endpoint, target_index> by_address_;  // listed last
  std::vector<target_index> free_;
  // Made anew when it is asked for after a change, since changes come in
  // batches of up to all targets.
  mutable std::map<std::string, std::vector<target_index>> by_service_;
  mutable bool services_indexed_ = false;
  bool store_unavailable_ = false;
  time_point store_returned_{};
};

// Entries that lapsed while the store was away return within 2 s; the rest is
// for reading them.
inline constexpr duration kEntryReturnGrace = std::chrono::milliseconds(2'600);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TARGET_DIRECTORY_H_
