// A local copy of the store: the newest value of each item, merged by revision
// from replies of the store and of peers.
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

// Decodes an item. Heartbeats change the revision and the value of an item but
// not the fingerprint of its decoded content.
using item_decoder = std::function<decoded_item(const store_item&)>;

class item_cache {
 public:
  explicit item_cache(item_decoder decode) : decode_(std::move(decode)) {}

  // Merges all changes up to `revision`; returns the content changes.
  std::vector<changed_item> MergeChanges(std::span<const store_item> items,
                                         std::uint64_t revision);

  // Merges a listing of all items, begun at `revision`. Items that are missing
  // from it and not newer are deleted. Returns the content changes.
  std::vector<changed_item> MergeListing(std::span<const store_item> items,
                                         std::uint64_t revision);

  // Merges a ChangedAfter() reply of a peer; returns the content changes.
  std::vector<changed_item> MergePeerAnswer(const store_answer& answer);

  // Records that no content changed up to `revision`.
  void AdvanceRevision(std::uint64_t revision);

  // Removes the tombstones of items deleted up to `revision`; they would grow
  // without bound, since each start of a target creates a new item.
  void PurgeTombstones(std::uint64_t revision);

  // Returns the items whose content changed after `revision`, with the revision
  // of that change; a full snapshot if tombstones after `revision` were purged.
  store_answer ChangedAfter(std::uint64_t revision) const;

  // The revision of the last content change; 0 before the first listing.
  std::uint64_t changed_revision() const { return changed_revision_; }
  // The revision of the store up to which the cache is complete.
  std::uint64_t revision() const { return revision_; }

 private:
  struct cached_item {
    store_item item;
    std::uint64_t fingerprint = 0;
    std::uint64_t changed_revision = 0;
  };

  // Merges `item`; adds it to `changed` if its content changed.
  void Merge(const store_item& item, std::vector<changed_item>& changed);

  item_decoder decode_;
  std::map<std::string, cached_item> items_;
  std::uint64_t changed_revision_ = 0;
  std::uint64_t revision_ = 0;
  std::uint64_t purged_ = 0;  // revision of the newest purged tombstone
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ITEM_CACHE_H_
