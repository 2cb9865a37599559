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
  SeeRevision(revision);
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
  for (const auto& [key, known] : items_) {
    if (!known.item.deleted && !listed.contains(key) &&
        known.item.revision <= revision) {
      all.push_back({key, "", revision, true});
    }
  }
  changed_ = std::max<std::uint64_t>(changed_, 1);
  return MergeChanges(all, revision);
}

std::vector<changed_item> item_cache::MergePeer(const store_answer& answer) {
  std::vector<changed_item> changed =
      answer.whole ? MergeListing(answer.items, answer.revision)
                   : MergeChanges(answer.items, answer.revision);
  changed_ = std::max(changed_, answer.changed);
  return changed;
}

void item_cache::SeeRevision(std::uint64_t revision) {
  revision_ = std::max(revision_, revision);
}

void item_cache::ForgetDeleted(std::uint64_t revision) {
  std::erase_if(items_, [this, revision](const auto& entry) {
    const known_item& known = entry.second;
    if (!known.item.deleted || known.item.revision > revision) {
      return false;
    }
    forgotten_ = std::max(forgotten_, known.changed);
    return true;
  });
}

store_answer item_cache::ChangedAfter(std::uint64_t revision) const {
  store_answer answer;
  answer.revision = revision_;
  answer.changed = changed_;
  answer.whole = revision < forgotten_;
  for (const auto& [key, known] : items_) {
    if (answer.whole ? !known.item.deleted : known.changed > revision) {
      answer.items.push_back(known.item);
      answer.items.back().revision = known.changed;
    }
  }
  return answer;
}

void item_cache::Merge(const store_item& item,
                       std::vector<changed_item>& changed) {
  known_item& known = items_[item.key];
  if (item.revision <= known.item.revision) {
    return;
  }
  item_meaning meaning = decode_(item);
  const std::uint64_t fingerprint = FingerprintOf(meaning);
  const bool changes = known.changed == 0 || fingerprint != known.fingerprint;
  known.item = item;
  known.fingerprint = fingerprint;
  if (changes) {
    known.changed = item.revision;
    changed_ = std::max(changed_, item.revision);
    changed.push_back({item, std::move(meaning)});
  }
}

}  // namespace rosemaryreach
