// A seeded property of the directory and the director: packets of an open flow
// reach the target and the start that the flow was opened at, or none.
#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "entry_fixture.h"

namespace rosemaryreach {
namespace {

constexpr std::int64_t kRetentionMs = 75'000;
constexpr std::uint32_t kFirstNumber = 100;

// Returns two ids that have the same cookie with this start.
std::pair<std::string, std::string> IdsOfOneCookie(std::uint64_t born) {
  std::map<std::uint32_t, std::string> ids;
  for (std::uint32_t i = 0;; ++i) {
    const std::string id = "i-" + std::to_string(10'000'000 + i);
    const auto [known, added] = ids.emplace(MakeCookie(id, born), id);
    if (!added) {
      return {known->second, id};
    }
  }
}

// Returns two starts with which this id has the same cookie.
std::pair<std::uint64_t, std::uint64_t> StartsOfOneCookie(
    const std::string& id) {
  std::map<std::uint32_t, std::uint64_t> starts;
  for (std::uint64_t born = 2;; ++born) {
    const auto [known, added] = starts.emplace(MakeCookie(id, born), born);
    if (!added) {
      return {known->second, born};
    }
  }
}

struct target_start {
  std::string id;
  std::uint32_t number = 0;
  std::uint64_t born = 0;  // 0 if the entry states none
  bool undated = false;    // its id is one of two that share a cookie without
                           // a start time

  std::uint32_t cookie() const { return MakeCookie(id, born); }
  bool Is(const target_record& record) const {
    return record.id == id && record.incarnation == born;
  }
};

// Returns the starts that entries are drawn from; many share cookies.
const std::vector<target_start>& Starts() {
  static const std::vector<target_start> kStarts = [] {
    const auto [first, second] = IdsOfOneCookie(1);
    const auto [third, fourth] = IdsOfOneCookie(0);
    const std::string again = "i-20000000";
    const auto [earlier, later] = StartsOfOneCookie(again);
    std::vector<target_start> made;
    std::uint32_t number = kFirstNumber;
    for (const std::string& id : {first, second, third, fourth}) {
      for (const std::uint64_t born : {0, 1, 2}) {
        made.push_back({id, number, born, id == third || id == fourth});
      }
      ++number;
    }
    for (const std::uint64_t born : {std::uint64_t{0}, earlier, later}) {
      made.push_back({again, number, born, false});
    }
    return made;
  }();
  return kStarts;
}

enum class act : std::uint8_t {
  kList,
  kDrain,
  kRemove,
  kMove,  // to an address that another target may have
  kOtherService,
  kNoNumber,
  kUnreadable,
  kDeparted,      // told by a peer
  kRestoredWith,  // an era of the store that lists the target
  kRestoredWithout,
  kTick,
  kOutage,
  kOpenFlow,
};
constexpr int kActs = 13;
constexpr int kExtras = 4;

// What happens, to which of Starts(), and a detail.
using step = std::tuple<int, std::size_t, int>;

rc::Gen<std::vector<step>> Steps() {
  return rc::gen::container<std::vector<step>>(
      rc::gen::tuple(rc::gen::inRange(0, kActs),
                     rc::gen::inRange(std::size_t{0}, Starts().size()),
                     rc::gen::inRange(0, kExtras)));
}

class instance {
 public:
  // Time passes by up to `tick_ms` with each kTick.
  explicit instance(std::int64_t tick_ms) : tick_ms_(tick_ms) {}

  void Play(const step& drawn) {
    const auto& [action, which, extra] = drawn;
    const target_start& start = Starts()[which];
    target_record record = Target(start.id, start.number);
    record.incarnation = start.born;
    const std::string key = "servers/" + start.id;
    const time_point now = At(now_);
    target_directory& directory = entry_.directory;
    switch (static_cast<act>(action)) {
      case act::kList:
        Write(key, target_item{record}, extra);
        CheckKnown(start);
        break;
      case act::kDrain:
        record.state = target_state::kDraining;
        Write(key, target_item{record}, extra);
        CheckKnown(start);
        break;
      case act::kRemove:
        Write(key, removed_target{start.id}, extra);
        break;
      case act::kMove:
        record.address =
            Target("", kFirstNumber + static_cast<std::uint32_t>(extra))
                .address;
        Write(key, target_item{record}, 0);
        break;
      case act::kOtherService:
        record.service = "files";
        Write(key, target_item{record}, extra);
        break;
      case act::kNoNumber:
        record.wire_id = 0;
        if (extra == 0) {
          directory.ApplyDeparted(record, duration(0), now);
        } else {
          Write(key, target_item{record}, extra);
        }
        break;
      case act::kUnreadable:
        Write(key, unreadable_item{"test"}, extra);
        break;
      case act::kDeparted:
        directory.ApplyDeparted(record, std::chrono::seconds(12 * extra), now);
        break;
      case act::kRestoredWith:
        Restore(key, target_item{record});
        break;
      case act::kRestoredWithout:
        Restore(key, removed_target{start.id});
        break;
      case act::kTick:
        now_ += tick_ms_ * (extra + 1) / kExtras;
        directory.Tick(false, At(now_));
        break;
      case act::kOutage:
        now_ += tick_ms_ / kExtras;
        directory.Tick(true, At(now_));
        break;
      case act::kOpenFlow:
        OpenFlow();
        break;
    }
  }

  // Checks that packets of flows at each start reach that start or nothing.
  void Check() {
    std::uint16_t port = 1;
    for (const target_start& start : Starts()) {
      CheckPacket(start, Flow(port++));
    }
    for (const auto& [flow, start] : opened_) {
      CheckPacket(start, flow);
    }
  }

  // Returns the target that packets with this cookie go to; nullptr if none.
  const target_record* Receiver(std::uint32_t cookie) {
    return Receiver(cookie, Flow(9'999));
  }

 private:
  void Write(const std::string& key, const decoded_item& decoded, int extra) {
    if (extra % 2 == 0) {
      entry_.directory.Apply({key, "", 0, false}, decoded, At(now_));
    } else {
      entry_.directory.ApplyBatch({{{{key, "", 0, false}, decoded}}}, At(now_));
    }
  }

  void Restore(const std::string& key, const decoded_item& decoded) {
    view_change change;
    change.items.push_back({{key, "", 0, false}, decoded});
    change.era = era_change{};
    entry_.directory.ApplyBatch(change, At(now_));
  }

  void OpenFlow() {
    const flow_key flow =
        Flow(static_cast<std::uint16_t>(20'000 + opened_.size()));
    const packet_decision decided = entry_.Direct(FirstPacket(flow), At(now_));
    if (decided.verdict != packet_verdict::kForward) {
      return;
    }
    const known_target& target = *entry_.directory.Find(decided.target);
    RC_ASSERT(decided.cookie == target.cookie);
    const auto start =
        std::find_if(Starts().begin(), Starts().end(),
                     [&](const auto& one) { return one.Is(target.record); });
    RC_ASSERT(start != Starts().end());
    opened_.emplace_back(flow, *start);
  }

  const target_record* Receiver(std::uint32_t cookie, const flow_key& flow) {
    const packet_decision decided =
        entry_.Direct(LaterPacket(flow, cookie, 1'001, 5'001, 100), At(now_));
    if (decided.verdict != packet_verdict::kForward) {
      RC_ASSERT(decided.verdict == packet_verdict::kDrop);
      return nullptr;
    }
    return &entry_.directory.Find(decided.target)->record;
  }

  void CheckPacket(const target_start& start, const flow_key& flow) {
    bool known = false;
    bool shared = false;
    for (const std::optional<known_target>& one : entry_.directory.targets()) {
      if (one && start.Is(one->record)) {
        RC_ASSERT(!known);  // otherwise it would share a cookie with itself
        known = true;
        if (one->listing == target_listing::kListed) {
          listed_[{start.id, start.born}] = now_;
        }
      } else if (one) {
        shared =
            shared || MakeCookie(one->record.id, one->record.incarnation) ==
                          start.cookie();
      }
    }
    const target_record* receiver = Receiver(start.cookie(), flow);
    if (receiver != nullptr && !known) {
      // Opened elsewhere, at a target that is not known here and shares its
      // cookie with one that is; no other packet may go astray.
      RC_ASSERT(MakeCookie(receiver->id, receiver->incarnation) ==
                start.cookie());
      RC_ASSERT(!ListedLately(start));
      return;
    }
    if (receiver != nullptr) {
      RC_ASSERT(start.Is(*receiver));
      RC_ASSERT(receiver->wire_id == start.number);
      RC_ASSERT(!shared);
    }
    RC_ASSERT(receiver != nullptr || shared || !ListedLately(start));
  }

  // Whether flows at this start may be open that this instance opened.
  bool ListedLately(const target_start& start) const {
    const auto listed = listed_.find({start.id, start.born});
    return listed != listed_.end() && now_ - listed->second < kRetentionMs;
  }

  void CheckKnown(const target_start& start) {
    const std::span<const std::optional<known_target>> targets =
        entry_.directory.targets();
    RC_ASSERT(start.born == 0 || std::any_of(targets.begin(), targets.end(),
                                             [&start](const auto& one) {
                                               return one &&
                                                      start.Is(one->record);
                                             }));
  }

  entry_fixture entry_;
  std::int64_t tick_ms_;
  std::int64_t now_ = 200'000;
  std::vector<std::pair<flow_key, target_start>> opened_;
  std::map<std::pair<std::string, std::uint64_t>, std::int64_t> listed_;
};

TEST_CASE("A packet of an open flow reaches its own target or none") {
  CHECK(rc::check([] {
    instance played(60'000);
    for (const step& drawn : *Steps()) {
      played.Play(drawn);
      played.Check();
    }
  }));
}

// Plays these steps at one instance, and in another order at a second one, so
// fast that no target is forgotten meanwhile; then checks where both send
// packets of open flows.
void CheckTwoInstances(const std::vector<step>& steps) {
  std::vector<std::pair<int, step>> reordered;
  reordered.reserve(steps.size());
  for (const step& drawn : steps) {
    reordered.emplace_back(*rc::gen::inRange(0, 1'000), drawn);
  }
  std::stable_sort(
      reordered.begin(), reordered.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  instance one(200);
  instance other(200);
  for (std::size_t i = 0; i < steps.size(); ++i) {
    one.Play(steps[i]);
    other.Play(reordered[i].second);
  }
  for (const target_start& start : Starts()) {
    const target_record* here = one.Receiver(start.cookie());
    const target_record* there = other.Receiver(start.cookie());
    if (here != nullptr && there != nullptr) {
      RC_ASSERT(here->id == there->id);
      RC_ASSERT(here->incarnation == there->incarnation);
    }
  }
}

// Callers' packets move between instances, which learn of entries at different
// times.
TEST_CASE("Instances that saw the same entries send no cookie to two targets") {
  CHECK(rc::check([] {
    std::vector<step> steps = *Steps();
    // Entries of an id state the start time always or never.
    std::erase_if(steps, [](const step& drawn) {
      const target_start& start = Starts()[std::get<1>(drawn)];
      return (start.born == 0) != start.undated;
    });
    CheckTwoInstances(steps);
  }));
}

// The first entry without a start time makes its target known, unless a start
// of its id is known.
TEST_CASE("So do instances that saw entries with and without a start time") {
  CHECK(rc::check([] { CheckTwoInstances(*Steps()); }));
}

}  // namespace
}  // namespace rosemaryreach
