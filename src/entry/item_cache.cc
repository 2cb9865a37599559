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
  view_change change;
  if (cursor.era != cursor_.era) {
    return change;
  }
  for (const store_item& item : items) {
    Merge(item, change.items);
  }
  AdvanceCursor(cursor);
  return change;
}

view_change item_cache::MergeListing(std::span<const store_item> items,
                                     store_cursor cursor) {
  if (cursor.era < cursor_.era) {
    return {};
  }
  if (cursor.era > cursor_.era) {
    return BeginEra(items, cursor);
  }
  std::set<std::string> listed;
  for (const store_item& item : items) {
    listed.insert(item.key);
  }
  std::vector<store_item> all(items.begin(), items.end());
  for (const auto& [key, cached] : items_) {
    if (!cached.item.deleted && !listed.contains(key) &&
        cached.item.revision <= cursor.revision) {
      all.push_back({key, "", cursor.revision, true});
    }
  }
  changed_ = std::max(changed_, store_cursor{cursor.era, 1});
  return MergeChanges(all, cursor);
}

view_change item_cache::BeginEra(std::span<const store_item> items,
                                 store_cursor cursor) {
  view_change change;
  const bool first_view = !has_view();
  era_change era;
  era.before = cursor_;
  era.after = cursor;
  change.era = era;
  std::map<std::string, cached_item> before = std::exchange(items_, {});
  cursor_ = cursor;
  changed_ = {cursor.era, 1};
  // A peer that began this era with an earlier listing may hold items that were
  // deleted before this one, of which there is no tombstone here.
  purged_ = first_view ? 0 : cursor.revision;
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
  changed_.revision = std::max(changed_.revision, inserted.changed_revision);
  items_[inserted.item.key] = std::move(inserted);
}

view_change item_cache::MergePeerAnswer(const store_answer& answer) {
  if (answer.cursor.era > cursor_.era && !answer.full_snapshot) {
    return {};
  }
  view_change change = answer.full_snapshot
                           ? MergeListing(answer.items, answer.cursor)
                           : MergeChanges(answer.items, answer.cursor);
  if (answer.changed.era == cursor_.era) {
    changed_ = std::max(changed_, answer.changed);
  }
  return change;
}

void item_cache::AdvanceCursor(store_cursor cursor) {
  if (cursor.era == cursor_.era) {
    cursor_ = std::max(cursor_, cursor);
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
  for (const auto& [key, cached] : items_) {
    if (answer.full_snapshot ? !cached.item.deleted
                             : cached.changed_revision > cursor.revision) {
      answer.items.push_back(cached.item);
      answer.items.back().revision = cached.changed_revision;
    }
  }
  return answer;
}

void item_cache::Merge(const store_item& item,
                       std::vector<changed_item>& changed) {
  cached_item& cached = items_[item.key];
  if (item.revision <= cached.item.revision) {
    return;
  }
  decoded_item decoded = decode_(item);
  const std::uint64_t version = VersionOf(decoded);
  if (version > 0 && version < cached.config_version) {
    return;
  }
  const std::uint64_t fingerprint = FingerprintOf(decoded);
  const bool changes =
      cached.changed_revision == 0 || fingerprint != cached.fingerprint;
  std::string departed = changes ? DepartedValue(cached.item, decoded) : "";
  cached.item = item;
  cached.fingerprint = fingerprint;
  cached.config_version = version;
  if (changes) {
    cached.changed_revision = item.revision;
    changed_ = std::max(changed_, store_cursor{cursor_.era, item.revision});
    changed.push_back({item, std::move(decoded), std::move(departed)});
  }
}

}  // namespace rosemaryreach
