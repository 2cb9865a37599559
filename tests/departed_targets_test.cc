#include "rosemaryreach/departed_targets.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "entry_fixture.h"

namespace rosemaryreach {
namespace {

// The value of an item is the incarnation of a target.
decoded_item Decode(const store_item& item) {
  if (item.deleted) {
    return removed_target{item.key};
  }
  if (item.value == "?") {
    return unreadable_item{"test"};
  }
  target_record record = Target(item.key, 1);
  record.incarnation = std::stoull(item.value);
  return target_item{record};
}

struct departed_fixture {
  // Merges the values of target "a", "" for none, as read at these times.
  void Read(const std::string& value, std::int64_t now_ms) {
    std::vector<store_item> items;
    if (!value.empty()) {
      items.push_back({"a", value, ++revision, false});
    }
    departed.Apply(cache.MergeListing(items, {0, ++revision}), At(now_ms));
  }

  item_cache cache{Decode};
  departed_targets departed{Decode, std::chrono::seconds(75)};
  std::uint64_t revision = 0;
};

TEST_CASE("A target whose entry vanished is kept for its retention time") {
  departed_fixture fixture;
  fixture.Read("1", 0);
  fixture.Read("", 1'000);
  const std::vector<departed_item> expected = {
      {"a", "1", std::chrono::seconds(3)}};
  CHECK(fixture.departed.Recent(At(4'000)).items == expected);
  CHECK(fixture.departed.Recent(At(76'000)).items.empty());
  fixture.departed.Tick(At(76'000));
  CHECK(fixture.departed.size() == 0);
}

// A lapse is no departure: a newcomer would keep a live target as gone.
TEST_CASE("An entry that returns is not departed any more") {
  departed_fixture fixture;
  fixture.Read("1", 0);
  fixture.Read("", 1'000);
  fixture.Read("1", 2'000);
  CHECK(fixture.departed.size() == 0);
}

// Flows of the former incarnation carry another cookie.
TEST_CASE("The former incarnation of a restarted target has departed") {
  departed_fixture fixture;
  fixture.Read("1", 0);
  fixture.Read("2", 1'000);
  CHECK(fixture.departed.Recent(At(1'000)).items.at(0).value == "1");
  fixture.Read("", 2'000);
  CHECK(fixture.departed.size() == 2);
}

TEST_CASE("The last readable value of a corrupted entry is kept") {
  departed_fixture fixture;
  fixture.Read("1", 0);
  fixture.Read("?", 1'000);
  fixture.Read("", 2'000);
  CHECK(fixture.departed.Recent(At(2'000)).items.at(0).value == "1");
}

// Otherwise a second restart would lose what the first newcomer was told.
TEST_CASE("What a peer told is passed on with its age") {
  departed_targets departed(Decode, std::chrono::seconds(75));
  departed.OnView(At(100'000));
  departed_answer told;
  told.items = {{"a", "1", std::chrono::seconds(70)},
                {"b", "1", std::chrono::seconds(75)},
                {"c", "?", std::chrono::seconds(1)}};
  told.known_for = std::chrono::seconds(74);
  CHECK(departed.Merge(told, At(100'000)).size() == 1);
  CHECK(departed.Merge(told, At(100'000)).empty());
  CHECK(departed.Recent(At(100'000)).known_for == std::chrono::seconds(74));
  const departed_answer passed = departed.Recent(At(102'000));
  CHECK(passed.items.at(0).age == std::chrono::seconds(72));
  CHECK(passed.known_for == std::chrono::seconds(76));
}

// After a restart of all instances, no peer knows them.
TEST_CASE("Targets that the history names and the view lacks have departed") {
  item_cache view(Decode);
  view.MergeListing(std::vector<store_item>{{"listed", "1", 8, false}},
                    {0, 10});
  const std::vector<store_item> history = {
      {"left", "4", 2, false},     {"listed", "1", 3, false},
      {"lapsed", "1", 4, false},   {"left", "5", 5, false},
      {"left", "", 6, true},       {"odd", "?", 7, false},
      {"listed", "1", 8, false},   {"unknown", "", 9, true},
      {"too late", "1", 11, false}};
  departed_targets departed(Decode, std::chrono::seconds(75));
  const std::vector<departed_target> added =
      departed.MergeHistory(history, view, At(100'000));
  REQUIRE(added.size() == 2);
  CHECK(added[0].record.id == "lapsed");
  CHECK(added[1].record.id == "left");
  CHECK(added[1].record.incarnation == 5);
  CHECK(departed.MergeHistory(history, view, At(102'000)).empty());
}

TEST_CASE("The earliest departures are dropped when there are too many") {
  departed_targets departed(Decode, std::chrono::seconds(75));
  departed_answer told;
  for (std::size_t i = 0; i <= kMaxDepartedTargets; ++i) {
    told.items.push_back(
        {std::to_string(i), "1", std::chrono::milliseconds(i)});
  }
  departed.Merge(told, At(100'000));
  CHECK(departed.size() == kMaxDepartedTargets);
  CHECK(departed.Recent(At(100'000)).items.front().key == "0");
}

constexpr duration kRetention = std::chrono::seconds(75);

// Returns the keys and values that are kept.
std::set<std::pair<std::string, std::string>> KeptAt(
    const departed_targets& departed,
    time_point now) {
  std::set<std::pair<std::string, std::string>> kept;
  for (const departed_item& item : departed.Recent(now).items) {
    kept.emplace(item.key, item.value);
  }
  return kept;
}

// The i-th target left i steps ago, or together with its neighbours; the last
// ones too long ago.
constexpr std::size_t kTargets = 20'000;
constexpr duration kStep = std::chrono::milliseconds(4);

// Peers tell of them in any order, and again.
TEST_CASE("Of too many departures the latest are kept") {
  using block = std::pair<std::size_t, std::size_t>;  // first, count
  CHECK(rc::check([] {
    const std::size_t together = *rc::gen::element<std::size_t>(1, 7, 5'000);
    const std::vector<block> blocks = *rc::gen::container<std::vector<block>>(
        rc::gen::pair(rc::gen::inRange<std::size_t>(0, kTargets),
                      rc::gen::element<std::size_t>(1, 100, 3'000, 12'000)));
    const auto age_of = [together](std::size_t i) {
      return kStep * (i / together * together);
    };
    const time_point now = At(100'000);
    departed_targets departed(Decode, kRetention);
    std::vector<bool> told(kTargets);
    for (std::size_t b = 0; b < std::min<std::size_t>(blocks.size(), 4); ++b) {
      const auto [first, count] = blocks[b];
      departed_answer answer;
      for (std::size_t i = first; i < std::min(first + count, kTargets); ++i) {
        told[i] = told[i] || age_of(i) < kRetention;
        answer.items.push_back({std::to_string(i), "1", age_of(i)});
      }
      departed.Merge(answer, now);
      RC_ASSERT(departed.size() <= kMaxDepartedTargets);
    }
    const departed_answer kept = departed.Recent(now);
    const std::size_t all =
        static_cast<std::size_t>(std::count(told.begin(), told.end(), true));
    RC_ASSERT(kept.items.size() == std::min(all, kMaxDepartedTargets));
    duration oldest_kept{};
    std::vector<bool> dropped = told;
    for (const departed_item& item : kept.items) {
      const std::size_t i = std::stoull(item.key);
      RC_ASSERT(told[i]);
      RC_ASSERT(item.age == age_of(i));
      dropped[i] = false;
      oldest_kept = std::max(oldest_kept, item.age);
    }
    for (std::size_t i = 0; i < kTargets; ++i) {
      RC_ASSERT(!dropped[i] || age_of(i) >= oldest_kept);
    }
  }));
}

// Answers of peers and readings of the history, as one instance gets them, or
// another one in a different order.
class told_departures {
 public:
  told_departures() {
    // Some targets are listed, and the cursor is amid the history.
    std::vector<store_item> listed;
    for (int i = 0; i < kKeys; i += 3) {
      listed.push_back({Key(i), "1", 1, false});
    }
    view_.MergeListing(listed, {0, kCursor});
    const std::vector<std::tuple<int, int>> drawn =
        *rc::gen::container<std::vector<std::tuple<int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, kKeys), rc::gen::inRange(0, 5)));
    for (const auto& [key, value] : drawn) {
      const std::uint64_t revision = history_.size() + 1;
      if (value == 0) {
        history_.push_back({Key(key), "", revision, true});
      } else {
        history_.push_back({Key(key), value == 4 ? "?" : std::to_string(value),
                            revision, false});
      }
    }
  }

  // Returns a reading of a part of the history.
  std::vector<store_item> DrawReading() const {
    const std::size_t first =
        *rc::gen::inRange<std::size_t>(0, history_.size() + 1);
    const std::size_t last =
        *rc::gen::inRange<std::size_t>(first, history_.size() + 1);
    return {history_.begin() + static_cast<std::ptrdiff_t>(first),
            history_.begin() + static_cast<std::ptrdiff_t>(last)};
  }
  static departed_answer DrawAnswer() {
    departed_answer answer;
    const std::vector<std::tuple<int, int, int>> drawn =
        *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, kKeys), rc::gen::inRange(1, 5),
                           rc::gen::inRange(0, 100)));
    for (const auto& [key, value, age] : drawn) {
      answer.items.push_back({Key(key),
                              value == 4 ? "?" : std::to_string(value),
                              std::chrono::seconds(age)});
    }
    return answer;
  }

  // Returns the targets that left by a reading: their last readable values.
  std::set<std::pair<std::string, std::string>> Left(
      const std::vector<store_item>& reading) const {
    std::map<std::string, std::string> last;
    for (const store_item& item : reading) {
      const bool listed = std::stoi(item.key) % 3 == 0;
      if (!listed && !item.deleted && item.value != "?" &&
          item.revision <= kCursor) {
        last[item.key] = item.value;
      }
    }
    return {last.begin(), last.end()};
  }

  const item_cache& view() const { return view_; }

 private:
  static constexpr int kKeys = 12;
  static constexpr std::uint64_t kCursor = 30;

  static std::string Key(int i) { return std::to_string(i); }

  item_cache view_{Decode};
  std::vector<store_item> history_;
};

TEST_CASE("What is told of departures counts once, in any order") {
  CHECK(rc::check([] {
    const told_departures told;
    const time_point now = At(100'000);
    std::vector<departed_answer> answers;
    std::vector<std::vector<store_item>> readings;
    std::vector<std::pair<bool, std::size_t>> order;  // answer or reading
    std::set<std::pair<std::string, std::string>> expected;
    for (std::size_t i = 0; i < 3; ++i) {
      answers.push_back(told_departures::DrawAnswer());
      for (const departed_item& item : answers.back().items) {
        if (item.value != "?" && item.age < kRetention) {
          expected.emplace(item.key, item.value);
        }
      }
      readings.push_back(told.DrawReading());
      expected.merge(told.Left(readings.back()));
      order.emplace_back(true, i);
      order.emplace_back(false, i);
    }
    const int orders = *rc::gen::inRange(0, 720);
    for (int i = 0; i < orders; ++i) {
      std::next_permutation(order.begin(), order.end());
    }
    departed_targets departed(Decode, kRetention);
    const auto merge = [&](const auto& one) {
      return one.first ? departed.Merge(answers[one.second], now)
                       : departed.MergeHistory(readings[one.second],
                                               told.view(), now);
    };
    std::size_t added = 0;
    for (const auto& one : order) {
      added += merge(one).size();
      RC_ASSERT(merge(one).empty());
    }
    RC_ASSERT(KeptAt(departed, now) == expected);
    RC_ASSERT(added == expected.size());
    for (const auto& one : order) {
      RC_ASSERT(merge(one).empty());
    }
    RC_ASSERT(KeptAt(departed, now) == expected);
  }));
}

}  // namespace
}  // namespace rosemaryreach
