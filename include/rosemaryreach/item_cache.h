// A local copy of the store: the newest value of each item, merged by cursor
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

// All items of the cache are of one era of the store. A listing of a newer era
// replaces them; answers of an older one change nothing. In any era, a
// configuration is never replaced by one of a lower version.
class item_cache {
 public:
  explicit item_cache(item_decoder decode) : decode_(std::move(decode)) {}

  // Merges all changes up to `cursor`; returns the content changes. Changes of
  // another era are ignored: a newer one must be listed first.
  view_change MergeChanges(std::span<const store_item> items,
                           store_cursor cursor);

  // Merges a listing of all items, begun at `cursor`. Items that are missing
  // from it and not newer are deleted. Returns the content changes.
  view_change MergeListing(std::span<const store_item> items,
                           store_cursor cursor);

  // Merges a ChangedAfter() reply of a peer; returns the content changes.
  view_change MergePeerAnswer(const store_answer& answer);

  // Records that no content changed up to `cursor`, if it is of this era.
  void AdvanceCursor(store_cursor cursor);

  // Removes the tombstones of items deleted up to `cursor`; they would grow
  // without bound, since each start of a target creates a new item.
  void PurgeTombstones(store_cursor cursor);

  // Returns the items whose content changed after `cursor`, with the revision
  // of that change; a full snapshot if tombstones after `cursor` were purged or
  // `cursor` is of an older era.
  store_answer ChangedAfter(store_cursor cursor) const;

  // Whether there was a listing, by this instance or by a peer.
  bool has_view() const { return changed_ != store_cursor{}; }
  // The cursor of the last content change; {0, 0} before the first listing.
  store_cursor changed() const { return changed_; }
  // The cursor of the store up to which the cache is complete.
  store_cursor cursor() const { return cursor_; }

 private:
  struct cached_item {
    store_item item;
    std::uint64_t fingerprint = 0;
    std::uint64_t config_version = 0;  // 0 if it is no configuration
    std::uint64_t changed_revision = 0;
  };

  // Merges `item`; adds it to `changed` if its content changed.
  void Merge(const store_item& item, std::vector<changed_item>& changed);
  // Replaces all items by a listing of a newer era.
  view_change BeginEra(std::span<const store_item> items, store_cursor cursor);
  // Takes one item of a new era; `known` is the item before it, if any.
  void TakeRestored(const store_item& item,
                    const cached_item* known,
                    view_change& change);
  // Keeps or deletes an item that the first listing of a new era lacks.
  void TakeMissing(const cached_item& known, view_change& change);
  // Keeps a known configuration as if it was written at the start of this era,
  // so that peers prefer it to the one in the store.
  void KeepConfig(const cached_item& known, view_change& change);
  void Insert(cached_item inserted);
  // Returns the value of `known` if it is that of a target whose incarnation
  // `now` does not continue; empty otherwise.
  std::string DepartedValue(const store_item& known,
                            const decoded_item& now) const;

  item_decoder decode_;
  std::map<std::string, cached_item> items_;
  store_cursor changed_;
  store_cursor cursor_;
  std::uint64_t purged_ = 0;  // revision of the newest purged tombstone
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ITEM_CACHE_H_
