// Keeps the last values of the items of targets that are no longer listed, for
// instances that start while flows to these targets may be alive.
#ifndef ROSEMARYREACH_DEPARTED_TARGETS_H_
#define ROSEMARYREACH_DEPARTED_TARGETS_H_

#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "rosemaryreach/entry_types.h"
#include "rosemaryreach/item_cache.h"

namespace rosemaryreach {

// Several times the targets of a large service; the earliest departures are
// dropped first. Decoding so many takes a small instance half a second.
inline constexpr std::size_t kMaxDepartedTargets = 4'096;

// A target that left, and for how long it is gone.
struct departed_target {
  target_record record;
  duration age{};
};

class departed_targets {
 public:
  // Targets are kept for `retention` after they left.
  departed_targets(item_decoder decode, duration retention);

  // Records that this instance has a view, so that it learns of departures.
  void OnView(time_point now);

  // Records the targets that a change of the view ends, and removes those that
  // are listed again.
  void Apply(const view_change& change, time_point now);

  // Merges the answer of a peer; returns the targets that were not known and
  // left less than the retention time ago.
  std::vector<departed_target> Merge(const departed_answer& answer,
                                     time_point now);

  // Merges `history`, writes and deletions of the store in their order. Targets
  // that were written up to the cursor of `view` and are not listed there have
  // left; when is not known, so they count as leaving now. Returns the targets
  // that were not known.
  std::vector<departed_target> MergeHistory(std::span<const store_item> history,
                                            const item_cache& view,
                                            time_point now);

  // Returns what a peer that starts should know.
  departed_answer Recent(time_point now) const;

  // Removes targets that left longer ago than the retention time.
  void Tick(time_point now);

  std::size_t size() const { return departed_.size(); }

 private:
  struct departed_value {
    std::string value;
    time_point left{};
  };
  // The key of the item and the incarnation.
  using target_key = std::pair<std::string, std::uint64_t>;

  // Whether this very value is held, so that it need not be decoded.
  bool Holds(const departed_item& item) const;
  // Drops the earliest departures above kMaxDepartedTargets.
  void Trim();

  item_decoder decode_;
  duration retention_;
  std::map<target_key, departed_value> departed_;
  std::optional<time_point> known_since_;  // departures after it are known
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_DEPARTED_TARGETS_H_
