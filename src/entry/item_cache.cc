#include "rosemaryreach/item_cache.h"

#include <algorithm>
#include <set>
#include <utility>

#include "rosemaryreach/target_directory.h"

namespace rosemaryreach {

std::vector<changed_item> item_cache::MergeChanges(
    std::span<const store_item> items,
    std::uint64_t revision) {
  std::vector<changed_item> changed;
  for (const store_item& item : items) {
    Merge(item, changed);
  }
  AdvanceRevision(revision);
  return changed;
}

std::vector<changed_item> item_cache::MergeListing(
    std::span<const store_item> items,
    std::uint64_t revision) {
  std::set<std::string> listed;
  for (const store_item& item : items) {
    listed.insert(item.key);
  }
  std::vector<store_item> all(items.begin(), items.end());
  for (const auto& [key, cached] : items_) {
    if (!cached.item.deleted && !listed.contains(key) &&
        cached.item.revision <= revision) {
      all.push_back({key, "", revision, true});
    }
  }
  changed_revision_ = std::max<std::uint64_t>(changed_revision_, 1);
  return MergeChanges(all, revision);
}

std::vector<changed_item> item_cache::MergePeerAnswer(
    const store_answer& answer) {
  std::vector<changed_item> changed =
      answer.full_snapshot ? MergeListing(answer.items, answer.revision)
                           : MergeChanges(answer.items, answer.revision);
  changed_revision_ = std::max(changed_revision_, answer.changed_revision);
  return changed;
}

void item_cache::AdvanceRevision(std::uint64_t revision) {
  revision_ = std::max(revision_, revision);
}

void item_cache::PurgeTombstones(std::uint64_t revision) {
  std::erase_if(items_, [this, revision](const auto& entry) {
    const cached_item& cached = entry.second;
    if (!cached.item.deleted || cached.item.revision > revision) {
      return false;
    }
    purged_ = std::max(purged_, cached.changed_revision);
    return true;
  });
}

store_answer item_cache::ChangedAfter(std::uint64_t revision) const {
  store_answer answer;
  answer.revision = revision_;
  answer.changed_revision = changed_revision_;
  answer.full_snapshot = revision < purged_;
  for (const auto& [key, cached] : items_) {
    if (answer.full_snapshot ? !cached.item.deleted
                             : cached.changed_revision > revision) {
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
  const std::uint64_t fingerprint = FingerprintOf(decoded);
  const bool changes =
      cached.changed_revision == 0 || fingerprint != cached.fingerprint;
  cached.item = item;
  cached.fingerprint = fingerprint;
  if (changes) {
    cached.changed_revision = item.revision;
    changed_revision_ = std::max(changed_revision_, item.revision);
    changed.push_back({item, std::move(decoded)});
  }
}

}  // namespace rosemaryreach
