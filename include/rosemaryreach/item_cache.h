// What an instance knows of the store: the newest value of each item, merged
// by revision from the store's and from peers' answers.
#ifndef ROSEMARYREACH_ITEM_CACHE_H_
#define ROSEMARYREACH_ITEM_CACHE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "rosemaryreach/entry_types.h"

namespace rosemaryreach {

// Returns what an item means. Heartbeats change its revision and value, and
// not the fingerprint of its meaning.
using item_decoder = std::function<decoded_item(const store_item&)>;

class item_cache {
 public:
  explicit item_cache(item_decoder decode) : decode_(std::move(decode)) {}

  // Takes all changes up to `revision`; returns those that change a meaning.
  std::vector<changed_item> MergeChanges(std::span<const store_item> items,
                                         std::uint64_t revision);

  // Takes a listing of all items, begun at `revision`: what it lacks and isn't
  // newer is deleted. Returns the changes of meaning.
  std::vector<changed_item> MergeListing(std::span<const store_item> items,
                                         std::uint64_t revision);

  // Takes a peer's answer to ChangedAfter(); returns the changes of meaning.
  std::vector<changed_item> MergePeerAnswer(const store_answer& answer);

  // Notes that nothing changed in meaning up to `revision`.
  void AdvanceRevision(std::uint64_t revision);

  // Forgets the items that were deleted up to `revision`, since each start of
  // a target brings a new one.
  void PurgeTombstones(std::uint64_t revision);

  // Returns the items that changed in meaning after `revision`, with the
  // revision of that change; all items if deletions after it are forgotten.
  store_answer ChangedAfter(std::uint64_t revision) const;

  // The last revision at which a meaning changed; 0 before the first listing.
  std::uint64_t changed_revision() const { return changed_revision_; }
  // The store's revision up to which nothing is missing.
  std::uint64_t revision() const { return revision_; }

 private:
  struct cached_item {
    store_item item;
    std::uint64_t fingerprint = 0;
    std::uint64_t changed_revision = 0;
  };

  // Adds `item` to `changed` if its meaning changed.
  void Merge(const store_item& item, std::vector<changed_item>& changed);

  item_decoder decode_;
  std::map<std::string, cached_item> items_;
  std::uint64_t changed_revision_ = 0;
  std::uint64_t revision_ = 0;
  std::uint64_t purged_ = 0;  // the newest deletion that is forgotten
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ITEM_CACHE_H_
