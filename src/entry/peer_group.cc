#include "rosemaryreach/peer_group.h"

#include <algorithm>
#include <utility>

namespace rosemaryreach {
namespace {

// Recipients of a periodic beacon in a small fleet.
constexpr std::size_t kBeaconFanOut = 8;
// In a large fleet, traffic between data centres is expensive: a beacon or a
// change goes to several peers of this data centre and one or two of each
// other.
constexpr std::size_t kLocalBeacons = 5;
constexpr std::size_t kRemoteBeacons = 1;
constexpr std::size_t kLocalUpdates = 6;
constexpr std::size_t kRemoteUpdates = 2;
constexpr std::size_t kLocalRelays = 6;
// Peers next in rank to read the store, which must learn that it was read.
constexpr std::size_t kNextReaders = 6;
// Summaries in a beacon of a large fleet; about 6 beacons a second update about
// 50 peers.
constexpr std::size_t kLargeFleetSummaries = 8;
// Peers without a view that get a beacon when this instance obtains one. When
// all instances start at once, everyone asks the seeds, and views spread from
// there.
constexpr std::size_t kMaxViewNotices = 10;
// Peers that timed out get beacons for this long.
constexpr duration kLostPeerRetention = std::chrono::seconds(90);

// Longer than between two beacons that reach an instance of a small fleet.
constexpr duration kSilentSeedTime = std::chrono::milliseconds(1'500);

// Returns whether `a` is a newer state of the same instance than `b`.
bool IsNewer(const peer_summary& a, const peer_summary& b) {
  return a.incarnation != b.incarnation ? a.incarnation > b.incarnation
                                        : a.heartbeat_count > b.heartbeat_count;
}

// Returns whether `a` precedes `b` as reader of the store: larger instances
// first, since decoding a large configuration takes a small one tenths of a
// second.
bool ReadsBefore(const peer_summary& a, const peer_summary& b) {
  return a.cpu_millicores != b.cpu_millicores
             ? a.cpu_millicores > b.cpu_millicores
             : HashPair(a.address, 0) < HashPair(b.address, 0);
}

bool Contains(std::span<const std::uint32_t> addresses, std::uint32_t one) {
  return std::find(addresses.begin(), addresses.end(), one) != addresses.end();
}

}  // namespace

peer_group::peer_group(const peer_summary& self,
                       std::vector<std::uint32_t> seeds,
                       std::uint64_t seed,
                       report report_change)
    : self_(self), random_(seed), report_(std::move(report_change)) {
  SetSeeds(std::move(seeds));
}

void peer_group::SetSeeds(std::vector<std::uint32_t> seeds) {
  seeds_ = std::move(seeds);
  std::erase(seeds_, self_.address);
}

void peer_group::ApplyBeacon(const beacon& received, time_point now) {
  // A restart after the clock was set back may have a lower incarnation.
  const auto known = peers_.find(received.from.address);
  if (known != peers_.end() &&
      known->second.summary.incarnation != received.from.incarnation) {
    peers_.erase(known);
  }
  timed_out_.erase(received.from.address);
  MergeSummary(received.from, now);
  const auto sender = peers_.find(received.from.address);
  if (sender != peers_.end()) {
    sender->second.direct = true;
  }
  for (const peer_summary& other : received.others) {
    MergeSummary(other, now);
  }
}

void peer_group::MergeSummary(const peer_summary& summary, time_point now) {
  if (summary.address == self_.address) {
    // A previous incarnation from a clock that was ahead would override this
    // one at other instances, including its leaving state and its timeout.
    if (summary.incarnation > self_.incarnation) {
      self_.incarnation = summary.incarnation + 1;
    }
    return;
  }
  if (summary.address == 0) {
    return;
  }
  const auto timed_out = timed_out_.find(summary.address);
  if (timed_out != timed_out_.end()) {
    if (!IsNewer(summary, timed_out->second.summary)) {
      return;
    }
    timed_out_.erase(timed_out);
  }
  const bool is_new = !peers_.contains(summary.address);
  peer& known = peers_[summary.address];
  if (!is_new && !IsNewer(summary, known.summary)) {
    return;
  }
  const bool now_leaving = summary.leaving && !known.summary.leaving;
  const bool same_incarnation =
      known.summary.incarnation == summary.incarnation;
  known = {summary, now, known.direct && same_incarnation};
  if (is_new || now_leaving) {
    report_(summary.address, summary.leaving ? "leaving" : "found");
  }
}

beacon peer_group::MakeBeacon(store_cursor changed) {
  ++self_.heartbeat_count;
  self_.changed = changed;
  beacon next;
  next.from = self_;
  address_list sample;
  AddSample(All(), small() ? kMaxBeaconPeers : kLargeFleetSummaries, sample);
  for (const std::uint32_t address : sample) {
    next.others.push_back(peers_.at(address).summary);
  }
  return next;
}

std::vector<std::uint32_t> peer_group::Recipients() {
  if (peers_.empty()) {
    return seeds_;
  }
  address_list to;
  if (small()) {
    AddSample(All(), kBeaconFanOut, to);
  } else {
    AddSpread(kLocalBeacons, kRemoteBeacons, to);
  }
  if (!timed_out_.empty()) {
    address_list timed_out;
    for (const auto& [address, peer] : timed_out_) {
      timed_out.push_back(address);
    }
    to.push_back(RandomOf(timed_out));
  } else if (!seeds_.empty()) {
    const std::uint32_t address = RandomOf(seeds_);
    if (!peers_.contains(address)) {
      to.push_back(address);
    }
  }
  return to;
}

std::vector<std::uint32_t> peer_group::SearchRecipients() {
  address_list local;
  address_list other;
  for (const auto& [address, peer] : peers_) {
    const bool is_local = peer.summary.data_centre == self_.data_centre;
    (is_local ? local : other).push_back(address);
  }
  if (peers_.empty()) {
    return seeds_;
  }
  address_list to;
  if (!seeds_.empty()) {
    to.push_back(RandomOf(seeds_));
  }
  for (const address_list& group : {local, other}) {
    const std::uint32_t address = RandomByCpu(group);
    if (address != 0 && std::find(to.begin(), to.end(), address) == to.end()) {
      to.push_back(address);
    }
  }
  return to;
}

std::vector<std::uint32_t> peer_group::UpdateRecipients() {
  if (peers_.empty()) {
    return seeds_;
  }
  if (small()) {
    return All();
  }
  address_list to;
  AddSpread(kLocalUpdates, kRemoteUpdates, to);
  AddNextReaders(to);
  return to;
}

std::vector<std::uint32_t> peer_group::RelayRecipients() {
  address_list to;
  if (!small()) {
    AddSpread(kLocalRelays, 0, to);
  }
  return to;
}

std::vector<std::uint32_t> peer_group::SilentSeeds(time_point now) const {
  address_list silent;
  for (const std::uint32_t address : seeds_) {
    const auto known = peers_.find(address);
    if (known == peers_.end() ||
        now - known->second.last_heard >= kSilentSeedTime) {
      silent.push_back(address);
    }
  }
  return silent;
}

std::vector<std::uint32_t> peer_group::PeersWithoutView() {
  address_list without_view;
  for (const auto& [address, peer] : peers_) {
    if (peer.summary.changed == store_cursor{}) {
      without_view.push_back(address);
    }
  }
  address_list sample;
  AddSample(without_view, kMaxViewNotices, sample);
  return sample;
}

std::uint32_t peer_group::ViewSource(store_cursor known, std::uint32_t failed) {
  // The second pass allows the failed source if it is the only one.
  for (const std::uint32_t excluded : {failed, std::uint32_t{0}}) {
    for (const bool local : {true, false}) {
      const std::uint32_t source = RandomSource(known, local, excluded);
      if (source != 0) {
        return source;
      }
    }
  }
  return 0;
}

std::uint32_t peer_group::RandomSource(store_cursor known,
                                       bool local,
                                       std::uint32_t excluded) {
  address_list sources;
  for (const auto& [address, peer] : peers_) {
    const peer_summary& summary = peer.summary;
    if (peer.direct && summary.changed > known && address != excluded &&
        (summary.data_centre == self_.data_centre) == local) {
      sources.push_back(address);
    }
  }
  return RandomByCpu(sources);
}

std::uint32_t peer_group::RandomByCpu(
    std::span<const std::uint32_t> addresses) {
  if (addresses.empty()) {
    return 0;
  }
  std::vector<double> weights;
  for (const std::uint32_t address : addresses) {
    weights.push_back(peers_.at(address).summary.cpu_millicores + 1.0);
  }
  std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
  return addresses[draw(random_)];
}

history_source peer_group::HistorySource(
    std::span<const std::uint32_t> excluded,
    duration retention) const {
  // What is known of others alone may be behind a cut by now.
  for (const bool direct : {true, false}) {
    const history_source older = OlderPeer(excluded, retention, direct);
    if (older.address != 0) {
      return older;
    }
  }
  return {ReaderToAsk(excluded), false, 0};
}

history_source peer_group::OlderPeer(std::span<const std::uint32_t> excluded,
                                     duration retention,
                                     bool direct) const {
  const auto started_before = [this](const peer_summary& one, duration time) {
    return one.incarnation + static_cast<std::uint64_t>(ToMillis(time)) <=
           self_.incarnation;
  };
  const peer_summary* oldest = nullptr;
  std::uint32_t settled = 0;
  std::uint64_t settled_score = 0;
  for (const auto& [address, peer] : peers_) {
    const peer_summary& one = peer.summary;
    if (one.leaving || peer.direct != direct || Contains(excluded, address) ||
        !started_before(one, kStartSpread)) {
      continue;
    }
    if (oldest == nullptr || one.incarnation < oldest->incarnation) {
      oldest = &one;
    }
    // Spreads the questions of instances that start together.
    const std::uint64_t score = HashPair(self_.address, address);
    if (started_before(one, retention + kStartSpread) &&
        (settled == 0 || score > settled_score)) {
      settled = address;
      settled_score = score;
    }
  }
  if (settled != 0) {
    return {settled, true, 0};
  }
  return oldest == nullptr
             ? history_source{}
             : history_source{oldest->address, true, oldest->incarnation};
}

std::uint32_t peer_group::ReaderToAsk(
    std::span<const std::uint32_t> excluded) const {
  const peer_summary* local = nullptr;
  const peer_summary* first = nullptr;
  std::uint32_t any = 0;
  std::uint64_t any_score = 0;
  for (const auto& [address, peer] : peers_) {
    const peer_summary& one = peer.summary;
    if (one.leaving || Contains(excluded, address)) {
      continue;
    }
    const bool is_local = one.data_centre == self_.data_centre;
    if (is_local && ReadsBefore(one, local == nullptr ? self_ : *local)) {
      local = &one;
    }
    if (ReadsBefore(one, first == nullptr ? self_ : *first)) {
      first = &one;
    }
    const std::uint64_t score = HashPair(self_.address, address);
    if (any == 0 || score > any_score) {
      any = address;
      any_score = score;
    }
  }
  const peer_summary* reader = local != nullptr ? local : first;
  return reader != nullptr ? reader->address : any;
}

void peer_group::Tick(time_point now) {
  const duration timeout =
      small() ? kPeerTimeout
              : kPeerTimeout +
                    kTimeoutPerPeer * static_cast<duration::rep>(peers_.size());
  for (auto one = peers_.begin(); one != peers_.end();) {
    if (now - one->second.last_heard < timeout) {
      ++one;
      continue;
    }
    report_(one->first, "silent");
    timed_out_[one->first] = {one->second.summary, now, false};
    one = peers_.erase(one);
  }
  std::erase_if(timed_out_, [now](const auto& one) {
    return now - one.second.last_heard >= kLostPeerRetention;
  });
}

std::uint32_t peer_group::Rank() const {
  std::uint32_t rank = 0;
  for (const auto& [address, peer] : peers_) {
    if (!peer.summary.leaving && ReadsBefore(peer.summary, self_)) {
      ++rank;
    }
  }
  return self_.leaving ? static_cast<std::uint32_t>(peers_.size()) : rank;
}

std::uint32_t peer_group::LocalInstances() const {
  const auto local =
      std::count_if(peers_.begin(), peers_.end(), [this](const auto& one) {
        return one.second.summary.data_centre == self_.data_centre &&
               !one.second.summary.leaving;
      });
  return static_cast<std::uint32_t>(local) + 1;
}

bool peer_group::Owns(std::uint64_t subject) const {
  const std::uint64_t mine = HashPair(self_.address, subject);
  return std::none_of(peers_.begin(), peers_.end(), [&](const auto& one) {
    return !one.second.summary.leaving && HashPair(one.first, subject) < mine;
  });
}

std::vector<peer_summary> peer_group::peers() const {
  std::vector<peer_summary> all;
  for (const auto& [address, peer] : peers_) {
    all.push_back(peer.summary);
  }
  return all;
}

const peer_summary* peer_group::Find(std::uint32_t address) const {
  const auto found = peers_.find(address);
  return found == peers_.end() ? nullptr : &found->second.summary;
}

void peer_group::ForEach(
    const std::function<void(const peer_summary&)>& visit) const {
  for (const auto& [address, peer] : peers_) {
    visit(peer.summary);
  }
}

std::array<std::uint32_t, 2> peer_group::Collectors(
    std::uint32_t data_centre,
    const std::function<bool(std::uint32_t address)>& excluded) const {
  std::array<const peer_summary*, 2> best{};
  const auto consider = [&](const peer_summary& one) {
    if (one.data_centre != data_centre || one.leaving ||
        excluded(one.address)) {
      return;
    }
    if (best[0] == nullptr || ReadsBefore(one, *best[0])) {
      best[1] = std::exchange(best[0], &one);
    } else if (best[1] == nullptr || ReadsBefore(one, *best[1])) {
      best[1] = &one;
    }
  };
  consider(self_);
  ForEach(consider);
  return {best[0] == nullptr ? 0 : best[0]->address,
          best[1] == nullptr ? 0 : best[1]->address};
}

std::vector<std::uint32_t> peer_group::All() const {
  address_list all;
  for (const auto& [address, peer] : peers_) {
    all.push_back(address);
  }
  return all;
}

std::map<std::uint32_t, std::vector<std::uint32_t>> peer_group::ByDataCentre()
    const {
  std::map<std::uint32_t, address_list> centres;
  for (const auto& [address, peer] : peers_) {
    centres[peer.summary.data_centre].push_back(address);
  }
  return centres;
}

void peer_group::AddSpread(std::size_t local,
                           std::size_t remote,
                           address_list& to) {
  for (const auto& [data_centre, addresses] : ByDataCentre()) {
    AddSample(addresses, data_centre == self_.data_centre ? local : remote, to);
  }
}

void peer_group::AddSample(const address_list& from,
                           std::size_t count,
                           address_list& to) {
  std::sample(from.begin(), from.end(), std::back_inserter(to), count, random_);
}

void peer_group::AddNextReaders(address_list& to) const {
  address_list readers = All();
  std::sort(readers.begin(), readers.end(),
            [this](std::uint32_t a, std::uint32_t b) {
              return ReadsBefore(peers_.at(a).summary, peers_.at(b).summary);
            });
  readers.resize(std::min(readers.size(), kNextReaders));
  for (const std::uint32_t address : readers) {
    if (std::find(to.begin(), to.end(), address) == to.end()) {
      to.push_back(address);
    }
  }
}

std::uint32_t peer_group::RandomOf(std::span<const std::uint32_t> addresses) {
  return addresses[random_() % addresses.size()];
}

}  // namespace rosemaryreach
