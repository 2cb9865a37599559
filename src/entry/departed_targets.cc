#include "rosemaryreach/departed_targets.h"

#include <algorithm>

namespace rosemaryreach {

departed_targets::departed_targets(item_decoder decode, duration retention)
    : decode_(std::move(decode)), retention_(retention) {}

void departed_targets::OnView(time_point now) {
  known_since_ = std::min(known_since_.value_or(now), now);
}

void departed_targets::Apply(const view_change& change, time_point now) {
  for (const changed_item& changed : change.items) {
    const std::string& key = changed.item.key;
    if (!changed.departed_value.empty()) {
      const decoded_item before =
          decode_({key, changed.departed_value, 0, false});
      const target_item* target = std::get_if<target_item>(&before);
      if (target != nullptr) {
        departed_[{key, target->record.incarnation}] = {changed.departed_value,
                                                        now};
      }
    }
    const target_item* listed = std::get_if<target_item>(&changed.decoded);
    if (listed != nullptr) {
      departed_.erase({key, listed->record.incarnation});
    }
  }
  Trim();
}

std::vector<departed_target> departed_targets::Merge(
    const departed_answer& answer,
    time_point now) {
  std::vector<departed_target> added;
  for (const departed_item& item : answer.items) {
    if (Holds(item)) {
      continue;
    }
    const decoded_item decoded = decode_({item.key, item.value, 0, false});
    const target_item* target = std::get_if<target_item>(&decoded);
    if (target == nullptr || item.age >= retention_) {
      continue;
    }
    const target_key key{item.key, target->record.incarnation};
    if (!departed_.contains(key)) {
      departed_[key] = {item.value, now - item.age};
      added.push_back({target->record, item.age});
    }
  }
  Trim();
  OnView(now - answer.known_for);
  return added;
}

bool departed_targets::Holds(const departed_item& item) const {
  for (auto one = departed_.lower_bound({item.key, 0});
       one != departed_.end() && one->first.first == item.key; ++one) {
    if (one->second.value == item.value) {
      return true;
    }
  }
  return false;
}

std::vector<departed_target> departed_targets::MergeHistory(
    std::span<const store_item> history,
    const item_cache& view,
    time_point now) {
  std::map<std::string, std::string> last;
  for (const store_item& item : history) {
    const bool departed = !item.deleted &&
                          item.revision <= view.cursor().revision &&
                          !view.Holds(item.key);
    if (departed && std::holds_alternative<target_item>(decode_(item))) {
      last[item.key] = item.value;
    }
  }
  departed_answer answer;
  for (const auto& [key, value] : last) {
    answer.items.push_back({key, value, duration(0)});
  }
  return Merge(answer, now);
}

departed_answer departed_targets::Recent(time_point now) const {
  departed_answer answer;
  answer.known_for = now - known_since_.value_or(now);
  for (const auto& [key, departed] : departed_) {
    const duration age = now - departed.left;
    if (age < retention_) {
      answer.items.push_back({key.first, departed.value, age});
    }
  }
  return answer;
}

void departed_targets::Tick(time_point now) {
  std::erase_if(departed_, [this, now](const auto& entry) {
    return now - entry.second.left >= retention_;
  });
}

void departed_targets::Trim() {
  if (departed_.size() <= kMaxDepartedTargets) {
    return;
  }
  std::vector<time_point> times;
  for (const auto& [key, departed] : departed_) {
    times.push_back(departed.left);
  }
  const auto earliest_kept = times.end() - kMaxDepartedTargets;
  std::nth_element(times.begin(), earliest_kept, times.end());
  std::size_t excess = departed_.size() - kMaxDepartedTargets;
  // Several may have left at the time of the earliest one that is kept.
  std::erase_if(departed_, [&](const auto& entry) {
    return entry.second.left < *earliest_kept && excess-- > 0;
  });
  std::erase_if(departed_, [&](const auto& entry) {
    return excess > 0 && entry.second.left == *earliest_kept && excess-- > 0;
  });
}

}  // namespace rosemaryreach
