#include "rosemaryreach/item_cache.h"

#include <algorithm>
#include <set>
#include <utility>

#include "rosemaryreach/target_directory.h"

namespace rosemaryreach {
namespace {

// Returns the version of a configuration, or 0 if the item is none.
std::uint64_t VersionOf(const decoded_item& decoded) {
  const entry_config* config = std::get_if<entry_config>(&decoded);
  return config == nullptr ? 0 : config->version;
}

}  // namespace

view_change item_cache::MergeChanges(std::span<const store_item> items,
                                     store_cursor cursor) {
  return MergeChangesOf(answer_kind::kChanges, items, cursor);
}

view_change item_cache::MergeChangesOf(answer_kind kind,
                                       std::span<const store_item> items,
                                       store_cursor cursor) {
  if (cursor.era != cursor_.era) {
    return {};
  }
  merge_state merging;
  merging.kind = kind;
  merging.cursor = std::max(cursor_, cursor).revision;
  for (const store_item& item : items) {
    Merge(item, merging);
  }
  Finish(merging);
  return {std::move(merging.items)};
}

view_change item_cache::MergeListing(std::span<const store_item> items,
                                     store_cursor cursor) {
  return MergeSnapshot(items, cursor, cursor.revision);
}

view_change item_cache::RepairFromListing(std::span<const store_item> items,
                                          store_cursor cursor) {
  if (!has_view() || cursor.era != cursor_.era) {
    return MergeListing(items, cursor);
  }
  merge_state merging;
  merging.kind = answer_kind::kRepair;
  merging.cursor = cursor_.revision;
  merging.complete_at = cursor.revision;
  merging.announce_missed_at = std::max(cursor_, cursor).revision;
  MergeAll(items, cursor, merging);
  Finish(merging);
  return {std::move(merging.items), std::nullopt, merging.missed};
}

view_change item_cache::MergeSnapshot(std::span<const store_item> items,
                                      store_cursor cursor,
                                      std::uint64_t base) {
  if (cursor.era < cursor_.era) {
    return {};
  }
  if (cursor.era > cursor_.era) {
    return BeginEra(items, cursor, base);
  }
  merge_state merging;
  merging.kind = answer_kind::kView;
  merging.cursor = std::max(cursor_, cursor).revision;
  merging.complete_at = cursor.revision;
  const bool skips_changes = base > cursor_.revision;
  if (skips_changes) {
    merging.changed = base;
  }
  MergeAll(items, cursor, merging);
  if (skips_changes) {
    purged_ = std::max(purged_, base);
  }
  changed_ = std::max(changed_, store_cursor{cursor.era, 1});
  Finish(merging);
  return {std::move(merging.items)};
}

void item_cache::MergeAll(std::span<const store_item> items,
                          store_cursor cursor,
                          merge_state& merging) {
  std::set<std::string_view> listed;
  for (const store_item& item : items) {
    listed.insert(item.key);
  }
  std::vector<store_item> missing;
  for (const auto& [key, cached] : items_) {
    if (!cached.item.deleted && !listed.contains(key) &&
        cached.item.revision <= cursor.revision) {
      missing.push_back({key, "", cursor.revision, true});
    }
  }
  for (const store_item& item : items) {
    Merge(item, merging);
  }
  for (const store_item& item : missing) {
    Merge(item, merging);
  }
}

view_change item_cache::BeginEra(std::span<const store_item> items,
                                 store_cursor cursor,
                                 std::uint64_t base) {
  view_change change;
  const bool first_view = !has_view();
  era_change era;
  era.before = cursor_;
  era.after = cursor;
  change.era = era;
  std::map<std::string, cached_item> before = std::exchange(items_, {});
  cursor_ = cursor;
  unannounced_.clear();
  changed_ = {cursor.era, std::max<std::uint64_t>(base, 1)};
  purged_ = base;
  for (const store_item& item : items) {
    const auto known = before.find(item.key);
    TakeRestored(item, known == before.end() ? nullptr : &known->second,
                 change);
    before.erase(item.key);
  }
  for (const auto& [key, known] : before) {
    TakeMissing(known, change);
  }
  if (first_view) {
    change.era.reset();
  }
  return change;
}

void item_cache::TakeRestored(const store_item& item,
                              const cached_item* known,
                              view_change& change) {
  decoded_item decoded = decode_(item);
  const std::uint64_t version = VersionOf(decoded);
  if (known != nullptr && known->config_version > version) {
    KeepConfig(*known, change);
    return;
  }
  const std::uint64_t fingerprint = FingerprintOf(decoded);
  Insert({item, fingerprint, version, item.revision});
  if (known != nullptr && known->fingerprint == fingerprint) {
    ++change.era->same;
    return;
  }
  ++change.era->taken;
  std::string departed =
      known == nullptr ? "" : DepartedValue(known->item, decoded);
  change.items.push_back({item, std::move(decoded), std::move(departed)});
}

void item_cache::TakeMissing(const cached_item& known, view_change& change) {
  if (known.item.deleted) {
    return;
  }
  if (known.config_version > 0) {
    KeepConfig(known, change);
    return;
  }
  const store_item removed = {known.item.key, "", cursor_.revision, true};
  decoded_item decoded = decode_(removed);
  Insert({removed, FingerprintOf(decoded), 0, removed.revision});
  ++change.era->missing;
  std::string departed = DepartedValue(known.item, decoded);
  change.items.push_back({removed, std::move(decoded), std::move(departed)});
}

std::string item_cache::DepartedValue(const store_item& known,
                                      const decoded_item& now) const {
  if (known.key.empty() || known.deleted) {
    return "";
  }
  const decoded_item before = decode_(known);
  const target_item* target = std::get_if<target_item>(&before);
  const target_item* present = std::get_if<target_item>(&now);
  const bool continues = target == nullptr ||
                         (present != nullptr && present->record.incarnation ==
                                                    target->record.incarnation);
  return continues ? "" : known.value;
}

void item_cache::KeepConfig(const cached_item& known, view_change& change) {
  cached_item kept = known;
  kept.item.revision = cursor_.revision;
  kept.changed_revision = cursor_.revision;
  Insert(std::move(kept));
  ++change.era->kept;
}

void item_cache::Insert(cached_item inserted) {
  merge_state merging;
  merging.cursor = cursor_.revision;
  NoteChange(inserted, inserted.changed_revision, merging);
  items_[inserted.item.key] = std::move(inserted);
  Finish(merging);
}

view_change item_cache::MergePeerAnswer(const store_answer& answer) {
  // Builds that don't keep these apart state a change beyond their cursor.
  const store_cursor changed = std::min(answer.changed, answer.cursor);
  if (!answer.full_snapshot && answer.cursor.era != cursor_.era) {
    return {};
  }
  view_change change =
      answer.full_snapshot
          ? MergeSnapshot(answer.items, answer.cursor, changed.revision)
          : MergeChangesOf(answer_kind::kPeerChanges, answer.items,
                           answer.cursor);
  if (changed.era != cursor_.era) {
    return change;
  }
  changed_ = std::max(changed_, changed);
  for (const store_item& item : answer.items) {
    const auto held = items_.find(item.key);
    if (held != items_.end() && item.revision > cursor_.revision) {
      // The sender announced an earlier change of it, at most at `changed`.
      held->second.announced_revision =
          std::max(held->second.announced_revision, changed.revision);
    }
  }
  return change;
}

peer_view_relation item_cache::Compare(store_cursor changed,
                                       store_cursor cursor) const {
  if (std::min(changed, cursor) > cursor_) {
    return peer_view_relation::kNewer;
  }
  return has_view() && changed != store_cursor{} && cursor.era == cursor_.era &&
                 cursor >= changed_
             ? peer_view_relation::kConfirms
             : peer_view_relation::kOther;
}

void item_cache::ConfirmView(store_cursor changed, store_cursor cursor) {
  AdvanceCursor(cursor);
  changed_ = std::max(changed_, std::min(changed, cursor_));
}

void item_cache::AdvanceCursor(store_cursor cursor) {
  if (cursor.era == cursor_.era) {
    merge_state merging;
    merging.cursor = std::max(cursor_, cursor).revision;
    Finish(merging);
  }
}

void item_cache::PurgeTombstones(store_cursor cursor) {
  if (cursor.era != cursor_.era) {
    return;
  }
  std::erase_if(items_, [this, cursor](const auto& entry) {
    const cached_item& cached = entry.second;
    if (!cached.item.deleted || cached.item.revision > cursor.revision) {
      return false;
    }
    purged_ = std::max(purged_, cached.changed_revision);
    return true;
  });
}

store_answer item_cache::ChangedAfter(store_cursor cursor) const {
  store_answer answer;
  answer.cursor = cursor_;
  answer.changed = changed_;
  answer.full_snapshot = cursor.era < cursor_.era || cursor.revision < purged_;
  const bool first_view = cursor.revision == 0;
  for (const auto& [key, cached] : items_) {
    const std::uint64_t announced =
        cached.changed_revision <= cursor_.revision || first_view
            ? cached.changed_revision
            : cached.announced_revision;
    if (answer.full_snapshot ? !cached.item.deleted
                             : announced > cursor.revision) {
      answer.items.push_back(cached.item);
      // In a gap between listings, an item may have changed and changed back;
      // in a full snapshot it must count as newer than what peers saw there.
      answer.items.back().revision =
          answer.full_snapshot
              ? std::max(cached.changed_revision, cached.item.revision)
              : cached.changed_revision;
    }
  }
  return answer;
}

bool item_cache::Holds(const std::string& key) const {
  const auto found = items_.find(key);
  return found != items_.end() && !found->second.item.deleted;
}

void item_cache::Merge(const store_item& item, merge_state& merging) {
  const auto found = items_.find(item.key);
  cached_item* known = found == items_.end() ? nullptr : &found->second;
  const bool newer = known == nullptr || item.revision > known->item.revision;
  if (!newer) {
    NoteOvertaken(item, *known, merging);
  }
  // A restored store may give out the revision of a kept configuration again,
  // so versions decide between configurations.
  const bool compares_versions =
      known != nullptr && known->config_version > 0 && cursor_.era > 0;
  if (!newer && !compares_versions) {
    return;
  }
  decoded_item decoded = decode_(item);
  const std::uint64_t version = VersionOf(decoded);
  const bool older_config =
      version > 0 && known != nullptr && version < known->config_version;
  const bool newer_config = known != nullptr && version > known->config_version;
  if (older_config || (!newer && !newer_config) ||
      (version == 0 && WasDeleted(item, known, merging))) {
    return;
  }
  const std::uint64_t fingerprint = FingerprintOf(decoded);
  const bool changes = known == nullptr || fingerprint != known->fingerprint;
  if (!changes && item.revision > merging.cursor &&
      merging.kind == answer_kind::kRepair) {
    // It may have changed and changed back, as the watch will tell.
    return;
  }
  cached_item& cached = known == nullptr ? items_[item.key] : *known;
  std::string departed = changes ? DepartedValue(cached.item, decoded) : "";
  const bool before_cursor = item.revision <= cursor_.revision;
  if (changes || AnnouncesUnchanged(item, merging)) {
    NoteChange(cached,
               before_cursor
                   ? std::max(item.revision, merging.announce_missed_at)
                   : item.revision,
               merging);
  }
  const std::uint64_t revision = std::max(item.revision, cached.item.revision);
  cached.item = item;
  cached.item.revision = revision;
  cached.fingerprint = fingerprint;
  cached.config_version = version;
  if (changes) {
    const bool missed =
        merging.kind == answer_kind::kRepair && !item.deleted && before_cursor;
    merging.missed += missed ? 1 : 0;
    merging.items.push_back({item, std::move(decoded), std::move(departed)});
  }
}

void item_cache::NoteOvertaken(const store_item& item,
                               cached_item& known,
                               merge_state& merging) {
  if (item.revision > cursor_.revision && item.revision <= merging.cursor) {
    known.announced_revision =
        std::max(known.announced_revision, item.revision);
    merging.changed = std::max(merging.changed, item.revision);
  }
}

bool item_cache::WasDeleted(const store_item& item,
                            const cached_item* known,
                            const merge_state& merging) const {
  const bool absent = known == nullptr || known->item.deleted;
  return absent && item.revision <= purged_ && merging.complete_at < purged_;
}

bool item_cache::AnnouncesUnchanged(const store_item& item,
                                    const merge_state& merging) {
  // A listing that lacks an item does not say when it was deleted.
  return item.deleted || merging.kind == answer_kind::kPeerChanges ||
         (merging.kind == answer_kind::kView && item.revision > merging.cursor);
}

void item_cache::NoteChange(cached_item& cached,
                            std::uint64_t revision,
                            merge_state& merging) {
  if (cached.changed_revision <= cursor_.revision) {
    cached.announced_revision = cached.changed_revision;
  }
  cached.changed_revision = revision;
  if (revision <= merging.cursor) {
    merging.changed = std::max(merging.changed, revision);
  } else {
    unannounced_.insert(revision);
  }
}

void item_cache::Finish(const merge_state& merging) {
  std::uint64_t changed = merging.changed;
  cursor_.revision = merging.cursor;
  while (!unannounced_.empty() && *unannounced_.begin() <= cursor_.revision) {
    changed = std::max(changed, *unannounced_.begin());
    unannounced_.erase(unannounced_.begin());
  }
  changed_ = std::max(changed_, store_cursor{cursor_.era, changed});
}

}  // namespace rosemaryreach
