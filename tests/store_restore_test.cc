// A seeded property of instances around a store that goes back to a copy: their
// views agree with the store in time, and nothing is undone meanwhile.
#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <set>

#include "entry_fixture.h"
#include "rosemaryreach/item_cache.h"

namespace rosemaryreach {
namespace {

constexpr std::int64_t kStepMs = 100;
constexpr std::int64_t kReadMs = 500;
constexpr std::int64_t kHeartbeatMs = 700;
constexpr std::int64_t kLeaseMs = 3 * kHeartbeatMs;
// Bounds hold for instances and a store undisturbed for this long.
constexpr std::int64_t kStableMs = 4'000;
constexpr std::int64_t kDrainBoundMs = 3'000;
constexpr std::int64_t kEvacuationBoundMs = 5'000;
constexpr std::int64_t kAddressReuseMs = 2'000;

// Values: "VERSION" of a configuration, "STATE BORN HOST" of a target.
decoded_item DecodeModel(const store_item& item) {
  const std::string name = item.key.substr(item.key.find('/') + 1);
  if (item.key.starts_with("out/")) {
    return evacuation_item{name, !item.deleted};
  }
  if (item.deleted) {
    return removed_target{name};
  }
  std::istringstream value(item.value);
  if (item.key == "config") {
    std::uint64_t version = 0;
    value >> version;
    return Config(version);
  }
  std::string state;
  std::uint64_t born = 0;
  std::uint32_t host = 0;
  value >> state >> born >> host;
  target_record record = Target(name, host, host % 2 == 0 ? "dc-a" : "dc-b");
  record.incarnation = born;
  record.state =
      state == "draining" ? target_state::kDraining : target_state::kActive;
  return target_item{record};
}

struct model_target {
  std::string id;
  std::int64_t born = 0;
  std::uint32_t host = 0;
  bool alive = true;
  std::optional<std::int64_t> draining_since;
  std::int64_t ended = 0;
};

// The store; `copies` holds its state at each step.
struct model_store {
  struct state {
    std::map<std::string, store_item> items;
    std::map<std::string, std::int64_t> written;
    std::uint64_t revision = 0;
  };

  void Write(const std::string& key, const std::string& value, bool deleted) {
    const store_item item{key, value, ++now.revision, deleted};
    history.push_back(item);
    if (deleted) {
      now.items.erase(key);
    } else {
      now.items[key] = item;
    }
  }

  // Goes back to the state of some steps ago, or to the oldest one kept.
  void Restore(std::size_t steps_back, std::int64_t at) {
    if (!copies.empty()) {
      now = copies[copies.size() - std::min(steps_back, copies.size())];
    }
    for (auto& [key, written] : now.written) {
      written = at;
    }
    copies.clear();
    history.clear();
    first_history = now.revision;
    ++era;
  }

  state now;
  std::deque<state> copies;
  std::vector<store_item> history;
  std::uint64_t first_history = 0;
  std::uint64_t era = 0;
};

struct model_instance {
  entry_fixture entry;
  item_cache cache{DecodeModel};
  std::uint64_t version = 0;
  std::set<std::string> seen_draining;
  std::map<std::string, std::int64_t> seen_out;  // since when, by data centre
  std::int64_t started = 0;
  std::int64_t synced = 0;     // as of when its view is
  std::int64_t disturbed = 0;  // last time without a way to the store
  bool reaches_store = true;
  bool reaches_peers = true;
};

class restore_model {
 public:
  restore_model() {
    for (std::uint32_t host = 1; host <= 4; ++host) {
      StartTarget(host);
    }
    WriteConfig();
    for (int i = 0; i < 3; ++i) {
      StartInstance();
    }
  }

  void Act(std::uint8_t draw) {
    const std::size_t which = draw / 16;
    model_instance& instance = *instances_[which % instances_.size()];
    switch (draw % 16) {
      case 0:
        store_.Restore(10 + which * 5, now_);
        store_disturbed_ = now_;
        rewrite_at_ = now_ + 500;
        break;
      case 1:
        instance.reaches_store = !instance.reaches_store;
        break;
      case 2:
        instance.reaches_peers = !instance.reaches_peers;
        break;
      case 3:
        StartInstance(which % instances_.size());
        break;
      case 4:
        Drain(which);
        break;
      case 5:
        Crash(which);
        break;
      case 6:
        StartSuccessor(which);
        break;
      case 7:
        Evacuate(which % 2 == 0 ? "dc-a" : "dc-b");
        break;
      case 8:
        WriteConfig();
        break;
      default:
        break;  // only time passes
    }
    for (int i = 0; i < 5; ++i) {
      Step();
    }
  }

  // Ends all disturbances and lets the views settle.
  void Settle() {
    for (const std::unique_ptr<model_instance>& instance : instances_) {
      instance->reaches_store = true;
      instance->reaches_peers = true;
    }
    for (int i = 0; i < 120; ++i) {
      Step();
    }
    for (const std::unique_ptr<model_instance>& instance : instances_) {
      RC_ASSERT(instance->cache.cursor().era == store_.era);
      RC_ASSERT(instance->entry.directory.config().version == config_);
      RC_ASSERT(ListedAt(*instance) == LiveTargets());
      for (const char* data_centre : {"dc-a", "dc-b"}) {
        RC_ASSERT(instance->entry.directory.evacuated(data_centre) ==
                  out_since_.contains(data_centre));
      }
    }
  }

 private:
  void StartInstance(std::optional<std::size_t> replaced = std::nullopt) {
    std::unique_ptr<model_instance> started =
        std::make_unique<model_instance>();
    started->started = now_;
    started->disturbed = now_;
    if (replaced) {
      instances_[*replaced] = std::move(started);
    } else {
      instances_.push_back(std::move(started));
    }
  }

  void StartTarget(std::uint32_t host) {
    targets_.push_back(
        {"t" + std::to_string(targets_.size()), now_, host, true, {}, 0});
  }

  void Drain(std::size_t which) {
    model_target& target = targets_[which % targets_.size()];
    if (target.alive && !target.draining_since) {
      target.draining_since = now_;
      Heartbeat(target);
    }
  }

  void Crash(std::size_t which) {
    model_target& target = targets_[which % targets_.size()];
    if (target.alive) {
      target.alive = false;
      target.ended = now_;
    }
  }

  void StartSuccessor(std::size_t which) {
    const model_target& dead = targets_[which % targets_.size()];
    const bool in_use =
        std::any_of(targets_.begin(), targets_.end(), [&](const auto& other) {
          return other.host == dead.host &&
                 (other.alive || now_ - other.ended < kAddressReuseMs);
        });
    if (!in_use) {
      StartTarget(dead.host);
    }
  }

  void Evacuate(const std::string& data_centre) {
    const bool out = out_since_.erase(data_centre) == 0;
    if (out) {
      out_since_[data_centre] = now_;
    }
    store_.Write("out/" + data_centre, "", !out);
  }

  void WriteConfig() {
    config_ += 1 + config_ % 3;
    store_.Write("config", std::to_string(config_), false);
  }

  void Heartbeat(const model_target& target) {
    const std::string key = "targets/" + target.id;
    store_.Write(key,
                 (target.draining_since ? "draining " : "ready ") +
                     std::to_string(target.born + 1) + " " +
                     std::to_string(target.host),
                 false);
    store_.now.written[key] = now_;
  }

  // What targets and operators write, and the entries that run out.
  void StepWriters() {
    for (model_target& target : targets_) {
      const bool leaves = target.alive && target.draining_since &&
                          now_ - *target.draining_since >= 4'000;
      if (leaves) {
        target.alive = false;
        target.ended = now_;
        store_.Write("targets/" + target.id, "", true);
      } else if (target.alive && (now_ - target.born) % kHeartbeatMs == 0) {
        Heartbeat(target);
      }
    }
    std::vector<std::string> lapsed;
    for (const auto& [key, item] : store_.now.items) {
      if (key.starts_with("targets/") &&
          now_ - store_.now.written[key] >= kLeaseMs) {
        lapsed.push_back(key);
      }
    }
    for (const std::string& key : lapsed) {
      store_.Write(key, "", true);
    }
    if (rewrite_at_ == now_) {
      store_.Write("config", std::to_string(config_), false);
      for (const char* data_centre : {"dc-a", "dc-b"}) {
        store_.Write("out/" + std::string(data_centre), "",
                     !out_since_.contains(data_centre));
      }
    }
    store_.copies.push_back(store_.now);
  }

  void Step() {
    now_ += kStepMs;
    StepWriters();
    for (const std::unique_ptr<model_instance>& instance : instances_) {
      if (!instance->reaches_store) {
        instance->disturbed = now_;
      } else if (now_ % kReadMs == 0) {
        Read(*instance);
      }
      Pull(*instance);
      instance->entry.directory.Tick(now_ - instance->synced >= 1'800,
                                     At(now_));
      Check(*instance);
    }
  }

  void Apply(model_instance& instance, const view_change& change) {
    instance.entry.directory.ApplyBatch(change, At(now_));
  }

  void Read(model_instance& instance) {
    instance.synced = now_;
    const store_cursor at{store_.era, store_.now.revision};
    const store_cursor known = instance.cache.cursor();
    if (instance.cache.has_view() && known.era == at.era &&
        known.revision >= store_.first_history) {
      Apply(instance, instance.cache.MergeChanges(store_.history, at));
      return;
    }
    std::vector<store_item> all;
    for (const auto& [key, item] : store_.now.items) {
      all.push_back(item);
    }
    Apply(instance, instance.cache.MergeListing(all, at));
  }

  // Pulls from a peer with newer items, as after its beacon.
  void Pull(model_instance& instance) {
    for (const std::unique_ptr<model_instance>& peer : instances_) {
      const bool usable = peer.get() != &instance && peer->reaches_peers &&
                          instance.reaches_peers && peer->cache.has_view();
      const bool needed =
          peer->cache.changed() > instance.cache.changed() ||
          (now_ - instance.started == kReadMs && instance.cache.has_view() &&
           peer->cache.cursor().era == instance.cache.cursor().era);
      if (usable && needed) {
        const store_cursor after = now_ - instance.started <= kReadMs
                                       ? store_cursor{}
                                       : instance.cache.changed();
        instance.synced = std::max(instance.synced, peer->synced);
        Apply(instance,
              instance.cache.MergePeerAnswer(peer->cache.ChangedAfter(after)));
      }
    }
  }

  void Check(model_instance& instance) {
    const target_directory& directory = instance.entry.directory;
    RC_ASSERT(directory.config().version >= instance.version);
    instance.version = directory.config().version;
    const bool undisturbed = now_ - instance.started >= kStableMs &&
                             now_ - instance.disturbed >= kStableMs;
    const bool in_touch = undisturbed && now_ - store_disturbed_ >= kStableMs;
    CheckNothingUndone(instance, undisturbed);
    for (const model_target& target : targets_) {
      const target_index index = directory.FindCookie(
          MakeCookie(target.id, static_cast<std::uint64_t>(target.born + 1)));
      if (index == kNoTarget) {
        continue;
      }
      if (target.alive) {
        CheckForwarded(instance, index);
      }
      if (in_touch && Usable(instance, index)) {
        CheckUsable(instance, target, *directory.Find(index));
      }
    }
  }

  // Checks that a packet of an open flow reaches its target.
  void CheckForwarded(model_instance& instance, target_index index) {
    const known_target& known = *instance.entry.directory.Find(index);
    const packet_decision decided = instance.entry.Direct(
        LaterPacket(Flow(1), known.cookie, 1'001, 5'001, 0), At(now_));
    RC_ASSERT(decided.verdict == packet_verdict::kForward);
    RC_ASSERT(decided.target == index);
  }

  // Checks that a restore of the store does not undo what the instance has seen
  // and what still holds.
  void CheckNothingUndone(model_instance& instance, bool undisturbed) const {
    const target_directory& directory = instance.entry.directory;
    for (const auto& [data_centre, since] : out_since_) {
      const bool out = directory.evacuated(data_centre);
      if (out) {
        instance.seen_out[data_centre] = since;
      }
      RC_ASSERT(out || !undisturbed || instance.seen_out[data_centre] != since);
    }
    for (const model_target& target : targets_) {
      const target_index index = directory.FindCookie(
          MakeCookie(target.id, static_cast<std::uint64_t>(target.born + 1)));
      if (!target.alive || index == kNoTarget) {
        continue;
      }
      const bool draining =
          directory.Find(index)->record.state == target_state::kDraining;
      if (draining) {
        instance.seen_draining.insert(target.id);
      }
      RC_ASSERT(draining || !undisturbed ||
                !instance.seen_draining.contains(target.id));
    }
  }

  // Checks a target to which an instance in touch may open flows.
  void CheckUsable(const model_instance& instance,
                   const model_target& target,
                   const known_target& known) const {
    if (!target.alive) {
      // A restored store lists it until its lease runs out again.
      const std::int64_t since =
          std::max({target.ended, store_disturbed_, instance.disturbed});
      RC_ASSERT(now_ - since <=
                kLeaseMs + ToMillis(kEntryReturnGrace) + 2 * kReadMs);
      return;
    }
    RC_ASSERT(!target.draining_since ||
              now_ - *target.draining_since <= kDrainBoundMs);
    const auto out = out_since_.find(known.record.data_centre);
    RC_ASSERT(out == out_since_.end() ||
              now_ - out->second <= kEvacuationBoundMs);
  }

  bool Usable(const model_instance& instance, target_index index) const {
    const std::string rule = instance.entry.picker.RuleFor(index, At(now_));
    return instance.entry.directory.Find(index)->listing !=
               target_listing::kGone &&
           (rule == "least_load" || rule == "entry_missing");
  }

  std::set<std::string> LiveTargets() const {
    std::set<std::string> live;
    for (const model_target& target : targets_) {
      if (target.alive) {
        live.insert(target.id);
      }
    }
    return live;
  }

  static std::set<std::string> ListedAt(const model_instance& instance) {
    std::set<std::string> listed;
    for (const std::optional<known_target>& target :
         instance.entry.directory.targets()) {
      if (target && target->listing == target_listing::kListed) {
        listed.insert(target->record.id);
      }
    }
    return listed;
  }

  std::int64_t now_ = 60'000;
  model_store store_;
  std::vector<model_target> targets_;
  std::vector<std::unique_ptr<model_instance>> instances_;
  std::uint64_t config_ = 1;
  std::map<std::string, std::int64_t> out_since_;
  std::int64_t store_disturbed_ = 0;
  std::int64_t rewrite_at_ = 0;
};

TEST_CASE("Views recover from restores of the store and undo nothing") {
  CHECK(rc::check([] {
    const std::vector<std::uint8_t> actions =
        *rc::gen::container<std::vector<std::uint8_t>>(
            40, rc::gen::arbitrary<std::uint8_t>());
    restore_model model;
    for (const std::uint8_t draw : actions) {
      model.Act(draw);
    }
    model.Settle();
  }));
}

}  // namespace
}  // namespace rosemaryreach
