// A local copy of the store: the newest value of each item, merged by cursor
// from replies of the store and of peers.
//
// A cache claims, by cursor(), to hold every content change up to a revision,
// and announces, by changed(), the last of them. Peers compare the two with
// their own cursors, so neither may ever be ahead of what is held. The pages of
// a listing are no snapshot: items written between them are held before the
// changes of earlier pages are, and stay unannounced until the cursor, which a
// watch advances, has passed them.
#ifndef ROSEMARYREACH_ITEM_CACHE_H_
#define ROSEMARYREACH_ITEM_CACHE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "rosemaryreach/entry_types.h"

namespace rosemaryreach {

// Decodes an item. Heartbeats change the revision and the value of an item but
// not the fingerprint of its decoded content.
using item_decoder = std::function<decoded_item(const store_item&)>;

// How the view that a peer announces relates to the own one.
enum class peer_view_relation : std::uint8_t {
  kNewer,     // it has changes to pull
  kConfirms,  // it has no change that is missing here
  kOther,     // it says nothing: of an older era, or no view yet
};

// All items of the cache are of one era of the store. A listing of a newer era
// replaces them; answers of an older one change nothing. In any era, a
// configuration is never replaced by one of a lower version.
class item_cache {
 public:
  explicit item_cache(item_decoder decode) : decode_(std::move(decode)) {}

  // Merges all changes from at most cursor() up to `cursor`; returns the
  // content changes. Changes of another era are ignored: a newer one must be
  // listed first.
  view_change MergeChanges(std::span<const store_item> items,
                           store_cursor cursor);

  // Merges a listing of all items, whose first page was read at `cursor`, and
  // continues from there. Items that are missing from it and not newer are
  // deleted; peers that are behind get full snapshots, since deletions before
  // the listing may have left no trace here. Returns the content changes.
  view_change MergeListing(std::span<const store_item> items,
                           store_cursor cursor);

  // Merges a listing like MergeListing(), but continues from the present
  // cursor, so the changes after it must still be watched. Changes that earlier
  // watches missed are announced as new ones. Without a view of this era, the
  // same as MergeListing().
  view_change RepairFromListing(std::span<const store_item> items,
                                store_cursor cursor);

  // Merges a ChangedAfter() reply of a peer; returns the content changes.
  view_change MergePeerAnswer(const store_answer& answer);

  // Compares the changed() and cursor() of a peer with this cache.
  peer_view_relation Compare(store_cursor changed, store_cursor cursor) const;

  // Takes over the changed() and cursor() of a peer that kConfirms this view.
  void ConfirmView(store_cursor changed, store_cursor cursor);

  // Records that no content changed up to `cursor`, if it is of this era.
  void AdvanceCursor(store_cursor cursor);

  // Removes the tombstones of items deleted up to `cursor`; they would grow
  // without bound, since each start of a target creates a new item.
  void PurgeTombstones(store_cursor cursor);

  // Returns the items whose content changed after `cursor`, with the revision
  // of that change; a full snapshot if deletions after `cursor` may have left
  // no tombstone here or `cursor` is of an older era. Items newer than
  // cursor() are included only in full and first views, where they would be
  // missing, and if an announced change would be missing without them.
  store_answer ChangedAfter(store_cursor cursor) const;

  // Whether the store holds an item at `key`, as of this view.
  bool Holds(const std::string& key) const;

  // Whether there was a listing, by this instance or by a peer.
  bool has_view() const { return changed_ != store_cursor{}; }
  // The cursor of the last content change; {0, 0} before the first listing.
  store_cursor changed() const { return changed_; }
  // The cursor of the store up to which the cache is complete.
  store_cursor cursor() const { return cursor_; }
  // Whether items changed after the cursor, and so are not announced yet.
  bool has_unannounced() const { return !unannounced_.empty(); }

 private:
  struct cached_item {
    store_item item;
    std::uint64_t fingerprint = 0;
    std::uint64_t config_version = 0;  // 0 if it is no configuration
    std::uint64_t changed_revision = 0;
    // While `changed_revision` is beyond the cursor: the last change up to it.
    std::uint64_t announced_revision = 0;
  };

  enum class answer_kind : std::uint8_t {
    kChanges,      // all changes from the cursor on, by the store
    kPeerChanges,  // the same by a peer, each at the revision of its change
    kView,         // all items, from which the cache continues
    kRepair        // all items; the cache continues from its cursor
  };

  // How one answer is merged, and what it changed.
  struct merge_state {
    answer_kind kind = answer_kind::kChanges;
    std::uint64_t cursor = 0;   // of this cache after the answer
    std::uint64_t changed = 0;  // newest content change up to `cursor`
    // The view that is merged holds all items as of this revision or later; 0
    // if it holds changes alone.
    std::uint64_t complete_at = 0;
    // Changes up to the present cursor are announced at this revision at least.
    std::uint64_t announce_missed_at = 0;
    std::vector<changed_item> items;
    std::size_t missed = 0;  // see view_change
  };

  // Merges `item` if it is newer than what is known.
  void Merge(const store_item& item, merge_state& merging);
  // Announces, with the later state that a listing has shown already, a change
  // that an answer brings now.
  void NoteOvertaken(const store_item& item,
                     cached_item& known,
                     merge_state& merging);
  // Whether `item` was deleted without a tombstone that is still there.
  // Configurations are never deleted.
  bool WasDeleted(const store_item& item,
                  const cached_item* known,
                  const merge_state& merging) const;
  // Whether an item is announced although its content is known: it may have
  // changed and changed back, or a listing reported its deletion too early.
  static bool AnnouncesUnchanged(const store_item& item,
                                 const merge_state& merging);
  // Merges all items of a view, in which missing ones are deleted.
  void MergeAll(std::span<const store_item> items,
                store_cursor cursor,
                merge_state& merging);
  view_change MergeChangesOf(answer_kind kind,
                             std::span<const store_item> items,
                             store_cursor cursor);
  // Merges a complete view. Deletions up to `base` may be missing from it.
  view_change MergeSnapshot(std::span<const store_item> items,
                            store_cursor cursor,
                            std::uint64_t base);
  // Records the change of an item at `revision`.
  void NoteChange(cached_item& cached,
                  std::uint64_t revision,
                  merge_state& merging);
  // Advances the cursor and announces the changes up to it.
  void Finish(const merge_state& merging);
  // Replaces all items by a complete view of a newer era.
  view_change BeginEra(std::span<const store_item> items,
                       store_cursor cursor,
                       std::uint64_t base);
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
  std::set<std::uint64_t> unannounced_;  // revisions of changes after cursor_
  // Deletions up to this revision have no tombstones, or may have none.
  std::uint64_t purged_ = 0;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ITEM_CACHE_H_
