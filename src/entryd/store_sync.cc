#include "entryd/store_sync.h"

#include <algorithm>
#include <array>
#include <utility>

#include "adapters/deflate.h"
#include "rosemaryreach/view_codec.h"

namespace rosemaryreach {
namespace {

// Several round trips between regions; peers answer from memory.
constexpr duration kPullDeadline = std::chrono::milliseconds(400);
constexpr int kPeerSocketBytes = 262'144;
// A periodic beacon is skipped if an update beacon was sent this recently.
constexpr duration kUpdateReplacesBeacon = std::chrono::milliseconds(900);
// Peers listed in one log line; the rest are only counted.
constexpr std::size_t kMaxPeersPerLine = 8;
// Twice the time that a first view of 12,000 targets, 400 KB, takes on a link
// of 10 Mbit/s.
constexpr duration kFirstPullDeadline = std::chrono::milliseconds(800);
// Deleted items are kept at least this long, for peers behind a partition.
constexpr duration kTombstoneRetention = std::chrono::minutes(10);
// Delay before the pull is tried at another peer.
constexpr duration kPullRetryDelay = std::chrono::milliseconds(30);
// After this many failures the next beacon triggers a new pull.
constexpr std::size_t kMaxPullAttempts = 5;
// Period of beacons to the seeds until a peer is known, and to peers until one
// has a view. Instances that are started together start within 0.3 s of each
// other.
constexpr duration kSearchPeriod = std::chrono::milliseconds(40);
// Period in which one instance of the fleet, on average, tells silent seeds of
// its view.
constexpr duration kSeedBeaconPeriod = std::chrono::milliseconds(200);
// If nobody has a view for so long, periodic beacons tell when one has.
constexpr duration kMaxSearchTime = std::chrono::seconds(2);

std::vector<std::uint32_t> SeedAddresses(const entry_settings& settings) {
  std::vector<std::uint32_t> addresses;
  for (const endpoint& seed : settings.seeds) {
    addresses.push_back(ToIpv4Endpoint(seed).address);
  }
  return addresses;
}

peer_summary SelfSummary(const entry_settings& settings,
                         duration clock_offset) {
  peer_summary self;
  self.address = ToIpv4Endpoint(settings.control_endpoint).address;
  self.incarnation = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch() + clock_offset)
          .count());
  self.cpu_millicores = settings.cpu_millicores;
  self.data_centre =
      static_cast<std::uint32_t>(HashBytes(settings.data_centre));
  return self;
}

std::string_view ToStringView(std::span<const std::uint8_t> bytes) {
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

}  // namespace

store_sync::store_sync(event_loop& loop,
                       const entry_settings& settings,
                       item_decoder decode,
                       changed_hook on_changed,
                       duration departed_retention,
                       departed_sync::departed_hook on_departed,
                       entry_log& log,
                       entry_metrics& metrics,
                       std::uint64_t seed,
                       duration clock_offset)
    : loop_(loop),
      settings_(settings),
      on_changed_(std::move(on_changed)),
      log_(log),
      metrics_(metrics),
      cache_(decode),
      read_scheduler_(BootTimeNow(), settings.link_mbps, seed),
      peers_(SelfSummary(settings, clock_offset),
             SeedAddresses(settings),
             seed,
             [this](std::uint32_t address, const char* outcome) {
               OnPeerChange(address, outcome);
             }),
      departed_(loop,
                settings,
                peers_,
                cache_,
                std::move(decode),
                departed_retention,
                std::move(on_departed),
                log,
                metrics),
      store_client_(
          std::make_unique<store_client>(loop, settings.store_endpoint)),
      started_(BootTimeNow()),
      budget_(settings.link_mbps),
      read_timer_(loop, [this] { StartRead(); }),
      page_timer_(loop, [this] { ReadPage(); }),
      pull_timer_(loop, [this] { RetryPull(); }),
      beacon_timer_(loop, [this] { OnBeaconTimer(); }),
      seed_timer_(loop, [this] { OnSeedTimer(); }),
      random_(seed) {}

result<void> store_sync::Start() {
  endpoint local = settings_.control_endpoint;
  local.port = settings_.peer_port;
  BOOST_OUTCOME_TRY(bound, udp_socket::Bind(local, port_sharing::kExclusive,
                                            kPeerSocketBytes));
  socket_ = std::move(bound);
  watch_ = std::make_unique<descriptor_watch>(
      loop_, socket_->fd(), io_event::kRead, [this] { OnDatagrams(); });
  OnBeaconTimer();
  seed_timer_.StartEvery(kSeedBeaconPeriod);
  ScheduleRead();
  return success();
}

void store_sync::Reload(const entry_settings& settings) {
  peers_.SetSeeds(SeedAddresses(settings));
  if (settings.store_endpoint != settings_.store_endpoint) {
    reading_ = false;
    page_timer_.Stop();
    store_client_ =
        std::make_unique<store_client>(loop_, settings.store_endpoint);
  }
  settings_ = settings;
  departed_.Reload(settings);
  ScheduleRead();
}

void store_sync::Refresh() {
  read_scheduler_.ExpediteNextRead();
  ScheduleRead();
}

void store_sync::AnnounceLeaving() {
  peers_.SetLeaving();
  SendUpdateBeacon();
}

void store_sync::Tick() {
  const time_point now = BootTimeNow();
  peers_.Tick(now);
  PurgeTombstones(now);
  if (reading_ && !store_client_->busy() && !page_timer_.running()) {
    OnReadFailed({errc::kIo, "", "an answer could not be handled"});
  }
  if (cache_.has_view()) {
    departed_.Tick(now);
  }
  const bool unavailable = read_scheduler_.listed() && store_unavailable();
  if (unavailable != std::exchange(store_was_unavailable_, unavailable)) {
    LogStore(unavailable ? "store_lost" : "store_regained",
             "the view is " + std::to_string(ToMillis(age())) + " ms old");
  }
}

void store_sync::PurgeTombstones(time_point now) {
  if (now - tombstone_mark_set_ >= kTombstoneRetention) {
    cache_.PurgeTombstones(std::exchange(tombstone_mark_, cache_.cursor()));
    tombstone_mark_set_ = now;
  }
}

std::optional<std::string> store_sync::ItemsAfter(store_cursor cursor) {
  if (!cache_.has_view()) {
    // The peer would accept an empty answer as a full view.
    return std::nullopt;
  }
  const bool cache_valid = cursor == cached_answer_after_ &&
                           cache_.changed() == cached_answer_changed_ &&
                           !cached_answer_.empty();
  if (!cache_valid) {
    cached_answer_ = Deflate(EncodeView(cache_.ChangedAfter(cursor)));
    cached_answer_after_ = cursor;
    cached_answer_changed_ = cache_.changed();
  }
  return budget_.TrySpend(cached_answer_.size(), BootTimeNow())
             ? std::optional<std::string>(cached_answer_)
             : std::nullopt;
}

std::optional<std::string> store_sync::DepartedTargets() {
  if (!cache_.has_view()) {
    return std::nullopt;
  }
  const time_point now = BootTimeNow();
  const std::string& answer = departed_.Answer(now);
  return budget_.TrySpend(answer.size(), now)
             ? std::optional<std::string>(answer)
             : std::nullopt;
}

void store_sync::ScheduleRead() {
  if (reading_ || (PullInProgress() && !read_scheduler_.listed())) {
    return;
  }
  const time_point now = BootTimeNow();
  const time_point due = read_scheduler_.NextRead(peers_.Rank());
  read_timer_.Start(std::max(due - now, duration(0)));
}

void store_sync::StartRead() {
  const time_point now = BootTimeNow();
  if (reading_) {
    return;
  }
  if (read_scheduler_.NextRead(peers_.Rank()) > now) {
    ScheduleRead();
    return;
  }
  reading_ = true;
  read_started_ = now;
  read_kind_ = read_scheduler_.NextReadKind(now);
  if (read_kind_ == read_kind::kList) {
    listed_items_.clear();
    page_count_ = 0;
    first_listing_ = !read_scheduler_.listed();
    listing_cursor_.reset();
    ReadPage();
    return;
  }
  watched_from_ = cache_.cursor();
  store_client_->Watch(
      watched_from_.revision, kWatchWait, kReadDeadline,
      [this](const result<store_answer>& answer) { OnWatchAnswer(answer); });
}

void store_sync::ReadPage() {
  if (first_listing_ && (PullInProgress() || read_scheduler_.listed())) {
    // A pull from a peer, which costs a fraction of the bytes, is in progress
    // or has delivered a first view.
    reading_ = false;
    ScheduleRead();
    return;
  }
  const std::string after =
      listed_items_.empty() ? "" : listed_items_.back().key;
  store_client_->List(
      after, kReadDeadline,
      [this](const result<store_answer>& answer) { OnListingPage(answer); });
}

void store_sync::OnListingPage(const result<store_answer>& answer) {
  if (!answer) {
    OnReadFailed(answer.error());
    return;
  }
  const store_answer& page = answer.value();
  const result<void> usable = CheckEra(page.cursor.era);
  if (!usable) {
    OnReadFailed(usable.error());
    return;
  }
  if (listing_cursor_.value_or(page.cursor).era != page.cursor.era) {
    OnReadFailed({errc::kUnavailable, "", "the store was restored meanwhile"});
    return;
  }
  if (page.has_more && page.items.empty()) {
    // There is no key to continue after, and what follows is not known to be
    // absent.
    OnReadFailed({errc::kTruncated, "", "a page that others follow is empty"});
    return;
  }
  listed_items_.insert(listed_items_.end(), page.items.begin(),
                       page.items.end());
  listing_cursor_ = listing_cursor_.value_or(page.cursor);
  if (page.has_more) {
    page_timer_.Start(
        read_scheduler_.PageDelay(++page_count_, peers_.size() > 0));
    return;
  }
  const bool first = !cache_.has_view();
  const view_change change =
      history_lost_ ? cache_.MergeListing(listed_items_, *listing_cursor_)
                    : cache_.RepairFromListing(listed_items_, *listing_cursor_);
  history_lost_ = false;
  needs_peer_view_ = needs_peer_view_ || (first && listing_cursor_->era > 0);
  listed_items_.clear();
  if (change.missed > 0) {
    metrics_.missed_changes.Add(change.missed);
    LogStore("changes_missed", std::to_string(change.missed) +
                                   " items had changed without notice");
  }
  OnReadSucceeded(read_kind::kList);
  NotifyChanged(change);
  SendUpdateBeacon();
  AnnounceView();
  if (cache_.has_unannounced()) {
    // Peers learn of these changes only after the ones before them were read.
    Refresh();
  }
}

void store_sync::OnWatchAnswer(const result<store_answer>& answer) {
  if (!answer) {
    OnReadFailed(answer.error());
    return;
  }
  const store_cursor cursor = answer.value().cursor;
  const result<void> usable = CheckEra(cursor.era);
  if (!usable) {
    OnReadFailed(usable.error());
    return;
  }
  if (cursor.era != watched_from_.era) {
    // Of this era, the changes up to watched_from_.revision are not included.
    OnReadFailed({errc::kStale, "", "the store was restored from a copy"});
    return;
  }
  const view_change change = cache_.MergeChanges(answer.value().items, cursor);
  OnReadSucceeded(read_kind::kWatch);
  NotifyChanged(change);
  SendUpdateBeacon();
}

result<void> store_sync::CheckEra(std::uint64_t era) const {
  if (era >= cache_.cursor().era) {
    return success();
  }
  return Fail(errc::kUnavailable, "answer of era " + std::to_string(era) +
                                      ", known is era " +
                                      std::to_string(cache_.cursor().era));
}

void store_sync::OnReadFailed(const error& error) {
  reading_ = false;
  metrics_.StoreCalls(ErrcName(error.code)).Add();
  LogStore("read_failed", FormatError(error));
  if (store_client_->newest_era() > cache_.cursor().era) {
    read_scheduler_.RequireListing(BootTimeNow());
  }
  // A watch whose answer is too large would fail again; pages are limited.
  const bool needs_listing =
      error.code == errc::kStale ||
      (error.code == errc::kTooLarge && read_kind_ == read_kind::kWatch);
  history_lost_ = history_lost_ || needs_listing;
  read_scheduler_.OnReadFailure(needs_listing, BootTimeNow());
  ScheduleRead();
}

void store_sync::OnReadSucceeded(read_kind kind) {
  reading_ = false;
  metrics_.StoreCalls(kind == read_kind::kList ? "listed" : "watched").Add();
  read_scheduler_.OnReadSuccess(kind, read_started_, BootTimeNow());
  ScheduleRead();
}

void store_sync::NotifyChanged(const view_change& change) {
  if (change.era) {
    LogEra(*change.era);
  }
  if (change.era || !change.items.empty()) {
    on_changed_(change);
    const time_point now = BootTimeNow();
    departed_.Apply(change, now);
    departed_.Tick(now);
  }
}

void store_sync::LogEra(const era_change& change) {
  const auto describe = [](const store_cursor& cursor) {
    return std::to_string(cursor.era) + "/" + std::to_string(cursor.revision);
  };
  const std::string before = describe(change.before);
  const std::string after = describe(change.after);
  const std::array<log_field, 7> fields = {
      log_field{"outcome", "new_era"},
      log_field{"before", before},
      log_field{"after", after},
      log_field{"same", static_cast<std::int64_t>(change.same)},
      log_field{"taken", static_cast<std::int64_t>(change.taken)},
      log_field{"missing", static_cast<std::int64_t>(change.missing)},
      log_field{"kept", static_cast<std::int64_t>(change.kept)}};
  log_.LogStateChange("store", fields);
}

void store_sync::OnDatagrams() {
  for (const datagram& incoming : received_.Receive(socket_->fd())) {
    metrics_.peer_datagrams_received.Add();
    const std::optional<beacon> received =
        DecodeBeacon(ToStringView(incoming.bytes));
    if (!received) {
      metrics_.peer_datagrams_malformed.Add();
      continue;
    }
    OnBeacon(*received);
  }
}

void store_sync::OnBeacon(const beacon& received) {
  const time_point now = BootTimeNow();
  peers_.ApplyBeacon(received, now);
  if (received.wants_answer) {
    const std::array<std::uint32_t, 1> to = {received.from.address};
    SendBeacon(to, false);
  }
  const store_cursor changed = received.from.changed;
  const time_point synced_at = now - received.age;
  const peer_view_relation relation = cache_.Compare(changed, received.cursor);
  const bool complements =
      needs_peer_view_ && changed.era == cache_.cursor().era;
  if (relation == peer_view_relation::kNewer || complements) {
    pull_goal_ = {std::min(changed, received.cursor), synced_at};
    pull_failures_ = 0;
    PullAfterBeacon(received.from.address);
  } else if (relation == peer_view_relation::kConfirms) {
    cache_.ConfirmView(changed, received.cursor);
    read_scheduler_.OnPeerSync(synced_at);
    ScheduleRead();
  }
}

bool store_sync::PullInProgress() const {
  return peer_client_ != nullptr && peer_client_->busy();
}

void store_sync::PullAfterBeacon(std::uint32_t sender) {
  if (PullInProgress()) {
    return;
  }
  // First views are spread over all peers that have one, since many instances
  // need them at once. A small change is known to few peers at first.
  const bool first = !cache_.has_view();
  Pull(first ? peers_.ViewSource({}, failed_pull_source_) : sender);
}

void store_sync::Pull(std::uint32_t source) {
  const endpoint address =
      ToEndpoint({source, settings_.control_endpoint.port});
  const bool first = !cache_.has_view();
  peer_client_ = std::make_unique<store_client>(loop_, address);
  peer_client_->PullFromPeer(
      needs_peer_view_ ? store_cursor{} : cache_.changed(),
      first ? kFirstPullDeadline : kPullDeadline,
      [this, source](const result<store_answer>& answer) {
        OnPulled(answer, source);
      });
}

void store_sync::RetryPull() {
  const std::uint32_t source =
      peers_.ViewSource(cache_.cursor(), failed_pull_source_);
  if (!PullInProgress() && source != 0) {
    Pull(source);
  }
}

void store_sync::OnPulled(const result<store_answer>& answer,
                          std::uint32_t source) {
  if (!answer) {
    LogStore("peer_pull_failed", FormatError(answer.error()));
    failed_pull_source_ = source;
    if (++pull_failures_ < kMaxPullAttempts) {
      pull_timer_.Start(kPullRetryDelay);
    }
    ScheduleRead();
    return;
  }
  failed_pull_source_ = 0;
  const bool first = !cache_.has_view();
  const view_change change = cache_.MergePeerAnswer(answer.value());
  needs_peer_view_ =
      needs_peer_view_ && answer.value().cursor.era != cache_.cursor().era;
  // A retry may reach a peer with an older view than that of the announcement.
  const bool reaches_goal = cache_.cursor() >= pull_goal_.changed;
  if (first && !reaches_goal) {
    read_scheduler_.ExpediteNextRead();
  }
  read_scheduler_.OnPeerSync(reaches_goal || first
                                 ? pull_goal_.synced_at
                                 : read_scheduler_.synced_at());
  ScheduleRead();
  NotifyChanged(change);
  SendBeacon(peers_.RelayRecipients(), false);
  if (first) {
    AnnounceView();
  }
}

void store_sync::AnnounceView() {
  SendBeacon(peers_.PeersWithoutView(), false);
}

void store_sync::SendBeacon(std::span<const std::uint32_t> to,
                            bool wants_answer) {
  if (to.empty() || !socket_) {
    return;
  }
  beacon outgoing = peers_.MakeBeacon(cache_.changed());
  outgoing.wants_answer = wants_answer;
  outgoing.cursor = cache_.cursor();
  outgoing.age = std::max(age(), duration(0));
  const std::string bytes = EncodeBeacon(outgoing);
  const std::span<const std::uint8_t> body(
      reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  send_batch sending(socket_->fd());
  for (const std::uint32_t address : to) {
    sending.Add(0, body, ToEndpoint({address, settings_.peer_port}));
    metrics_.peer_datagrams_sent.Add();
  }
  sending.Flush();
}

void store_sync::SendUpdateBeacon() {
  last_update_beacon_ = BootTimeNow();
  SendBeacon(peers_.UpdateRecipients(), false);
}

void store_sync::OnBeaconTimer() {
  const time_point now = BootTimeNow();
  const bool searching =
      peers_.size() == 0 ||
      (!cache_.has_view() && now - started_ < kMaxSearchTime);
  if (searching) {
    SendBeacon(peers_.SearchRecipients(), true);
  } else if (now - last_update_beacon_ >= kUpdateReplacesBeacon) {
    SendBeacon(peers_.Recipients(), false);
  }
  beacon_timer_.Start(searching ? kSearchPeriod : kBeaconPeriod);
}

void store_sync::OnSeedTimer() {
  std::uniform_int_distribution<std::size_t> draw(0, peers_.size());
  if (cache_.has_view() && draw(random_) == 0) {
    SendBeacon(peers_.SilentSeeds(BootTimeNow()), false);
  }
}

void store_sync::OnPeerChange(std::uint32_t address, const char* outcome) {
  if (++peer_change_count_ <= kMaxPeersPerLine) {
    peer_changes_ += peer_changes_.empty() ? "" : ", ";
    peer_changes_ += FormatIp(ToEndpoint({address, 0}).address);
    peer_changes_ += std::string(" ") + outcome;
  }
}

void store_sync::LogPeers() {
  if (peer_change_count_ == 0) {
    return;
  }
  const std::array<log_field, 3> fields = {
      log_field{"outcome", peer_changes_},
      log_field{"changes", static_cast<std::int64_t>(peer_change_count_)},
      log_field{"peers", static_cast<std::int64_t>(peers_.size())}};
  log_.LogStateChange("peers", fields);
  peer_changes_.clear();
  peer_change_count_ = 0;
}

void store_sync::LogStore(const char* outcome, const std::string& detail) {
  const std::array<log_field, 5> fields = {
      log_field{"outcome", outcome}, log_field{"detail", detail},
      log_field{"era", static_cast<std::int64_t>(cache_.cursor().era)},
      log_field{"revision",
                static_cast<std::int64_t>(cache_.cursor().revision)},
      log_field{"age_ms", ToMillis(age())}};
  log_.LogStateChange("store", fields);
}

}  // namespace rosemaryreach
