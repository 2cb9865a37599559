#include "rosemaryreach/target_directory.h"

#include <algorithm>
#include <array>
#include <utility>

namespace rosemaryreach {
namespace {

// Targets that crash lose their entries one by one, or some of them together;
// when this many and at least this share of a service's entries vanish at once,
// it is the listing that is at fault. Load balancers commonly panic at half.
constexpr std::size_t kMinLapses = 3;
constexpr double kLapsedShare = 0.5;

std::uint64_t HashText(std::uint64_t seed, std::string_view text) {
  return HashBytes(text, seed);
}

std::uint64_t FingerprintOfTarget(const target_record& record) {
  std::uint64_t hash = HashText(record.incarnation, record.id);
  hash = HashText(hash, record.service);
  hash = HashText(hash, FormatIpv4Endpoint(record.address));
  hash = HashText(hash, record.data_centre);
  hash = HashPair(hash, record.slots);
  hash = HashPair(hash, static_cast<std::uint64_t>(record.state));
  return HashPair(hash, record.cold_left > duration::zero() ? 1 : 0);
}

std::string DescribeTarget(const target_record& record) {
  return record.service + " at " + FormatIpv4Endpoint(record.address) + " in " +
         record.data_centre;
}

std::string DescribeColdRates(const entry_config& config) {
  std::string text;
  for (const entry_service& service : config.services) {
    if (service.cold_flows_per_s > 0) {
      text += ", cold rate of " + service.name + " " +
              std::to_string(service.cold_flows_per_s) + " flows a second";
    }
  }
  return text;
}

}  // namespace

std::uint32_t MakeCookie(std::string_view id, std::uint64_t incarnation) {
  const std::uint32_t cookie =
      static_cast<std::uint32_t>(HashBytes(id, incarnation));
  return cookie == 0 ? 1 : cookie;
}

std::uint64_t FingerprintOf(const decoded_item& decoded) {
  if (const target_item* target = std::get_if<target_item>(&decoded)) {
    return FingerprintOfTarget(target->record);
  }
  if (const entry_config* config = std::get_if<entry_config>(&decoded)) {
    return HashPair(decoded.index(), config->version);
  }
  if (const evacuation_item* zone = std::get_if<evacuation_item>(&decoded)) {
    return HashPair(decoded.index(), zone->evacuated ? 1 : 0);
  }
  return HashPair(decoded.index(), 0);
}

target_directory::target_directory(duration retention,
                                   report report_change,
                                   removed_hook on_removed)
    : retention_(retention),
      report_(std::move(report_change)),
      on_removed_(std::move(on_removed)) {}

void target_directory::Apply(const store_item& item,
                             const decoded_item& decoded,
                             time_point now) {
  if (const entry_config* config = std::get_if<entry_config>(&decoded)) {
    ApplyConfig(*config);
  } else if (const target_item* target = std::get_if<target_item>(&decoded)) {
    ApplyTarget(target->record, now);
  } else if (const removed_target* removed =
                 std::get_if<removed_target>(&decoded)) {
    ApplyRemoval(removed->id, "entry deleted", now);
  } else if (const evacuation_item* zone =
                 std::get_if<evacuation_item>(&decoded)) {
    ApplyEvacuation(*zone);
  } else if (const unreadable_item* bad =
                 std::get_if<unreadable_item>(&decoded)) {
    report_({item.key, "entry_unreadable", bad->reason});
    ApplyRemoval(item.key.substr(item.key.find('/') + 1), "entry unreadable",
                 now);
  }
}

void target_directory::ApplyBatch(const view_change& change, time_point now) {
  if (change.era) {
    era_began_ = now;
    entries_due_ = now + kEntryReturnGrace;
  }
  bool removals = false;
  for (const changed_item& changed : change.items) {
    held_.erase(changed.item.key);
    const removed_target* removed =
        std::get_if<removed_target>(&changed.decoded);
    removals = removals || removed != nullptr;
    if (change.era && removed != nullptr) {
      ApplyRestoredWithout(removed->id, now);
    } else if (change.era && ContradictsKnown(changed.decoded)) {
      Hold(changed, now);
    } else {
      Apply(changed.item, changed.decoded, now);
    }
  }
  if (removals) {
    ExcuseLapses(now);
  }
}

void target_directory::ApplyRestoredWithout(const std::string& id,
                                            time_point now) {
  const auto known = by_id_.find(id);
  if (known != by_id_.end() &&
      targets_[known->second]->listing == target_listing::kListed) {
    SetListing(*targets_[known->second], target_listing::kMissing,
               "not in the restored store", now);
  }
}

bool target_directory::ContradictsKnown(const decoded_item& decoded) const {
  if (const evacuation_item* zone = std::get_if<evacuation_item>(&decoded)) {
    return !zone->evacuated && evacuated(zone->data_centre);
  }
  const target_item* target = std::get_if<target_item>(&decoded);
  if (target == nullptr) {
    return false;
  }
  const auto known = by_id_.find(target->record.id);
  if (known == by_id_.end()) {
    return false;
  }
  const known_target& before = *targets_[known->second];
  const bool undrains = before.record.state == target_state::kDraining &&
                        target->record.state == target_state::kActive;
  return target->record.incarnation != before.record.incarnation || undrains ||
         before.listing != target_listing::kListed;
}

void target_directory::Hold(const changed_item& changed, time_point now) {
  held_[changed.item.key] = changed;
  report_({changed.item.key, "held", "the restored store contradicts it"});
  // Instances that know nothing but the restored store may open flows at it.
  const target_item* target = std::get_if<target_item>(&changed.decoded);
  if (target != nullptr) {
    ApplyDeparted(target->record, duration::zero(), now);
  }
}

void target_directory::ApplyHeld(time_point now) {
  for (const auto& [key, held] : std::exchange(held_, {})) {
    report_({key, "held_applied", "it was not written again"});
    Apply(held.item, held.decoded, now);
  }
}

void target_directory::ApplyConfig(const entry_config& config) {
  if (config.version <= config_.version) {
    report_({"configuration", "older_version_ignored",
             "version " + std::to_string(config.version) + ", in force " +
                 std::to_string(config_.version)});
    return;
  }
  routes_.clear();
  for (std::size_t i = 0; i < config.routes.size(); ++i) {
    routes_[config.routes[i].address] = i;
  }
  report_({"configuration", "version_in_force",
           "version " + std::to_string(config.version) + " after " +
               std::to_string(config_.version) + ", " +
               std::to_string(config.routes.size()) + " routes" +
               DescribeColdRates(config)});
  if (!config.ignored.empty()) {
    report_({"configuration", "values_ignored", config.ignored});
  }
  config_ = config;
}

void target_directory::ApplyTarget(const target_record& record,
                                   time_point now) {
  if (record.wire_id == 0) {
    report_({record.id, "entry_without_number_ignored", ""});
    return;
  }
  const auto known = by_id_.find(record.id);
  if (known != by_id_.end()) {
    known_target& target = *targets_[known->second];
    if (target.record.incarnation == record.incarnation) {
      if (record.service == target.record.service) {
        Update(target, record, now);
      } else {
        ApplyRemoval(record.id, "entry of another service", now);
      }
      return;
    }
    if (record.incarnation == 0) {
      report_({record.id, "entry_without_start_ignored", ""});
      // Other instances may know it, and have opened flows at it.
      ApplyDeparted(record, duration::zero(), now);
      return;
    }
    SetListing(target, target_listing::kGone, "started again", now);
  }
  const target_index same = FindIncarnation(record);
  if (same != kNoTarget) {
    by_id_[record.id] = same;
    Update(*targets_[same], record, now);
    return;
  }
  Add(record, now);
  report_({record.id,
           record.state == target_state::kActive ? kTargetAdded
                                                 : "target_added_draining",
           DescribeTarget(record)});
}

target_index target_directory::FindIncarnation(
    const target_record& record) const {
  const auto [first, last] =
      by_cookie_.equal_range(MakeCookie(record.id, record.incarnation));
  const auto found = std::find_if(first, last, [&](const auto& one) {
    const target_record& known = targets_[one.second]->record;
    return known.id == record.id && known.incarnation == record.incarnation;
  });
  return found == last ? kNoTarget : found->second;
}

void target_directory::ApplyDeparted(const target_record& record,
                                     duration age,
                                     time_point now) {
  if (record.wire_id == 0 || age >= retention_ ||
      FindIncarnation(record) != kNoTarget) {
    return;
  }
  const auto newest = by_id_.find(record.id);
  const bool has_newer =
      newest != by_id_.end() &&
      (targets_[newest->second]->listing != target_listing::kGone ||
       targets_[newest->second]->listing_changed > now - age);
  const target_index kept = has_newer ? newest->second : kNoTarget;
  const target_index added = Add(record, now);
  if (has_newer) {
    by_id_[record.id] = kept;
  }
  known_target& target = *targets_[added];
  target.listing = target_listing::kGone;
  target.listing_changed = now - age;
  target.departed = true;
  ++departed_;
  report_({record.id, "target_departed",
           DescribeTarget(record) + ", " + std::to_string(ToMillis(age)) +
               " ms ago"});
}

target_index target_directory::Add(const target_record& record,
                                   time_point now) {
  known_target target;
  target.record = record;
  target.cookie = MakeCookie(record.id, record.incarnation);
  target.listing_changed = now;
  target.added = now;
  target.cold_until = now + record.cold_left;
  if (record.state == target_state::kDraining) {
    target.draining_since = now;
  }
  if (free_.empty()) {
    free_.push_back(static_cast<target_index>(targets_.size()));
    targets_.emplace_back();
  }
  const target_index index = free_.back();
  free_.pop_back();
  targets_[index] = target;
  by_cookie_.emplace(target.cookie, index);
  UpdateSharing(target.cookie);
  by_id_[record.id] = index;
  services_indexed_ = false;
  return index;
}

void target_directory::Update(known_target& target,
                              const target_record& record,
                              time_point now) {
  const bool drains = target.record.state == target_state::kActive &&
                      record.state == target_state::kDraining;
  if (drains) {
    target.draining_since = now;
    report_({record.id, "target_draining", DescribeTarget(record)});
  }
  if (record.cold_left > duration::zero()) {
    target.cold_until = now + record.cold_left;
  }
  target.record = record;
  departed_ -= std::exchange(target.departed, false) ? 1 : 0;
  SetListing(target, target_listing::kListed, "entry is back", now);
  services_indexed_ = false;
}

void target_directory::ApplyRemoval(const std::string& id,
                                    const char* reason,
                                    time_point now) {
  const auto known = by_id_.find(id);
  if (known == by_id_.end()) {
    return;
  }
  known_target& target = *targets_[known->second];
  if (target.listing == target_listing::kGone) {
    return;
  }
  // A draining target removes its entry when it leaves.
  const bool left = target.record.state == target_state::kDraining;
  SetListing(target, left ? target_listing::kGone : target_listing::kMissing,
             reason, now);
}

void target_directory::ExcuseLapses(time_point now) {
  struct lapse_count {
    std::size_t before = 0;  // targets listed before this batch
    std::size_t lapsed = 0;  // of these, entries that vanished in it
    bool excused = false;
  };
  const auto lapsed_now = [now](const known_target& target) {
    return target.listing == target_listing::kMissing &&
           target.listing_changed == now;
  };
  std::map<std::string, lapse_count> services;
  for (const std::optional<known_target>& target : targets_) {
    if (!target || target->listing == target_listing::kGone) {
      continue;
    }
    lapse_count& count = services[target->record.service];
    const bool lapsed = lapsed_now(*target);
    const bool stays =
        target->listing == target_listing::kListed && target->added < now;
    count.before += lapsed || stays ? 1 : 0;
    count.lapsed += lapsed ? 1 : 0;
  }
  for (auto& [service, count] : services) {
    const bool many = count.lapsed >= kMinLapses &&
                      static_cast<double>(count.lapsed) >=
                          kLapsedShare * static_cast<double>(count.before);
    count.excused = count.lapsed > 0 && (many || EntriesMayBeMissing(now));
    if (count.excused) {
      report_({service, "lapses_excused",
               std::to_string(count.lapsed) + " of " +
                   std::to_string(count.before) + " entries vanished" +
                   (many ? " together"
                         : " soon after the store was away or restored")});
    }
  }
  for (std::optional<known_target>& target : targets_) {
    if (target && lapsed_now(*target)) {
      target->lapse_excused = services[target->record.service].excused;
    }
  }
}

void target_directory::ApplyEvacuation(const evacuation_item& item) {
  const bool changed = item.evacuated
                           ? evacuated_.insert(item.data_centre).second
                           : evacuated_.erase(item.data_centre) > 0;
  if (changed) {
    report_({item.data_centre,
             item.evacuated ? "data_centre_out" : "data_centre_back", ""});
  }
}

void target_directory::SetListing(known_target& target,
                                  target_listing listing,
                                  const char* reason,
                                  time_point now) {
  if (target.listing == listing) {
    return;
  }
  static constexpr std::array<const char*, 3> kOutcomes = {
      "target_listed", "target_missing", "target_gone"};
  target.listing = listing;
  target.listing_changed = now;
  target.lapse_excused = false;
  report_({target.record.id, kOutcomes.at(static_cast<std::size_t>(listing)),
           reason});
  services_indexed_ = false;
}

void target_directory::Tick(bool store_unavailable, time_point now) {
  if (store_unavailable_ && !store_unavailable) {
    entries_due_ = now + kEntryReturnGrace;
  }
  store_unavailable_ = store_unavailable;
  if (!EntriesMayBeMissing(now)) {
    ApplyHeld(now);
  }
  for (target_index i = 0; i < targets_.size(); ++i) {
    if (!targets_[i]) {
      continue;
    }
    known_target& target = *targets_[i];
    const time_point due =
        std::max(target.listing_changed + kEntryReturnGrace, entries_due_);
    if (target.listing == target_listing::kMissing && !store_unavailable &&
        now >= due) {
      SetListing(target, target_listing::kGone, "entry did not come back", now);
    } else if (target.listing == target_listing::kGone &&
               now - target.listing_changed >= retention_) {
      Remove(i);
    }
  }
}

void target_directory::Remove(target_index index) {
  const known_target& target = *targets_[index];
  const auto id = by_id_.find(target.record.id);
  if (id != by_id_.end() && id->second == index) {
    by_id_.erase(id);
  }
  const std::uint32_t cookie = target.cookie;
  departed_ -= target.departed ? 1 : 0;
  const auto [first, last] = by_cookie_.equal_range(cookie);
  by_cookie_.erase(std::find_if(
      first, last, [index](const auto& one) { return one.second == index; }));
  targets_[index].reset();
  UpdateSharing(cookie);
  free_.push_back(index);
  on_removed_(index);
  services_indexed_ = false;
}

void target_directory::UpdateSharing(std::uint32_t cookie) {
  const bool shared = IsSharedCookie(cookie);
  const auto [first, last] = by_cookie_.equal_range(cookie);
  for (auto one = first; one != last; ++one) {
    known_target& target = *targets_[one->second];
    if (shared != std::exchange(target.shares_cookie, shared)) {
      report_({target.record.id, shared ? "cookie_shared" : "cookie_unshared",
               "cookie " + std::to_string(cookie)});
    }
  }
}

void target_directory::IndexServices() const {
  services_indexed_ = true;
  by_service_.clear();
  for (const auto& [id, index] : by_id_) {
    const known_target& target = *targets_[index];
    if (target.listing != target_listing::kGone) {
      by_service_[target.record.service].push_back(index);
    }
  }
}

const known_target* target_directory::Find(target_index index) const {
  return index < targets_.size() && targets_[index] ? &*targets_[index]
                                                    : nullptr;
}

target_index target_directory::FindCookie(std::uint32_t cookie) const {
  const auto found = by_cookie_.find(cookie);
  return found == by_cookie_.end() || IsSharedCookie(cookie) ? kNoTarget
                                                             : found->second;
}

const entry_route* target_directory::FindRoute(
    const ipv4_endpoint& address) const {
  const auto found = routes_.find(address);
  return found == routes_.end() ? nullptr : &config_.routes[found->second];
}

const entry_service* target_directory::FindService(
    const std::string& name) const {
  const auto found = std::find_if(
      config_.services.begin(), config_.services.end(),
      [&name](const entry_service& service) { return service.name == name; });
  return found == config_.services.end() ? nullptr : &*found;
}

std::span<const target_index> target_directory::TargetsOf(
    const std::string& service) const {
  if (!services_indexed_) {
    IndexServices();
  }
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? std::span<const target_index>()
                                    : found->second;
}

}  // namespace rosemaryreach
