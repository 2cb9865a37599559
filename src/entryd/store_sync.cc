#include "entryd/store_sync.h"

#include <algorithm>
#include <array>
#include <utility>

#include "adapters/deflate.h"
#include "rosemaryreach/view_codec.h"

namespace rosemaryreach {
namespace {

// A peer answers from memory; several times a round trip between regions.
constexpr duration kPeerDeadline = std::chrono::milliseconds(400);
constexpr int kPeerSocketBytes = 262'144;
// Beacons are skipped when news went to everyone this recently.
constexpr duration kNewsCountsAsBeacon = std::chrono::milliseconds(900);
// Peers named in one line; the rest is counted.
constexpr std::size_t kPeersInLine = 8;
// A first view of 12,000 targets, 400 KB, over a link of 10 Mbit/s, twice.
constexpr duration kFirstPullDeadline = std::chrono::milliseconds(800);
// Deleted items are kept this long at least, for peers that were cut off.
constexpr duration kDeletionMemory = std::chrono::minutes(10);
// Pause before another peer is asked.
constexpr duration kPullPause = std::chrono::milliseconds(30);
// Then the next beacon says whom to ask.
constexpr std::size_t kPullTries = 5;
// Until a peer is known, seeds are asked this often: instances that start
// together do so within 0.3 s.
constexpr duration kSeedPeriod = std::chrono::milliseconds(40);

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

std::string_view AsText(std::span<const std::uint8_t> bytes) {
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

}  // namespace

store_sync::store_sync(event_loop& loop,
                       const entry_settings& settings,
                       item_decoder decode,
                       changed_hook on_changed,
                       entry_log& log,
                       entry_metrics& metrics,
                       std::uint64_t seed,
                       duration clock_offset)
    : loop_(loop),
      settings_(settings),
      on_changed_(std::move(on_changed)),
      log_(log),
      metrics_(metrics),
      cache_(std::move(decode)),
      follower_(BootTimeNow(), settings.link_mbps, seed),
      peers_(SelfSummary(settings, clock_offset),
             SeedAddresses(settings),
             seed,
             [this](std::uint32_t address, const char* outcome) {
               OnPeerChange(address, outcome);
             }),
      store_(std::make_unique<store_client>(loop, settings.store_endpoint)),
      budget_(settings.link_mbps),
      read_timer_(loop, [this] { Read(); }),
      page_timer_(loop, [this] { ReadPage(); }),
      pull_timer_(loop, [this] { PullElsewhere(); }),
      beacon_timer_(loop, [this] { OnBeaconTime(); }) {}

result<void> store_sync::Start() {
  endpoint local = settings_.control_endpoint;
  local.port = settings_.peer_port;
  BOOST_OUTCOME_TRY(bound, udp_socket::Bind(local, port_sharing::kExclusive,
                                            kPeerSocketBytes));
  socket_ = std::move(bound);
  watch_ = std::make_unique<descriptor_watch>(
      loop_, socket_->fd(), watch_for::kRead, [this] { OnDatagrams(); });
  OnBeaconTime();
  Arm();
  return success();
}

void store_sync::Reload(const entry_settings& settings) {
  peers_.SetSeeds(SeedAddresses(settings));
  if (settings.store_endpoint != settings_.store_endpoint) {
    reading_ = false;
    page_timer_.Stop();
    store_ = std::make_unique<store_client>(loop_, settings.store_endpoint);
  }
  settings_ = settings;
  Arm();
}

void store_sync::Refresh() {
  follower_.ExpediteNextRead();
  Arm();
}

void store_sync::Leave() {
  peers_.SetLeaving();
  SendNews();
}

void store_sync::Tick() {
  const time_point now = BootTimeNow();
  peers_.Tick(now);
  ForgetDeleted(now);
  const bool lost = follower_.listed() && store_away();
  if (lost != std::exchange(store_lost_, lost)) {
    LogStore(lost ? "store_lost" : "store_regained",
             "the view is " + std::to_string(ToMillis(age())) + " ms old");
  }
}

void store_sync::ForgetDeleted(time_point now) {
  if (now - marked_ >= kDeletionMemory) {
    cache_.PurgeTombstones(std::exchange(mark_, cache_.revision()));
    marked_ = now;
  }
}

std::optional<std::string> store_sync::ItemsAfter(std::uint64_t revision) {
  if (cache_.changed_revision() == 0) {
    return std::nullopt;  // A peer would take nothing for the whole view.
  }
  const bool same = revision == served_after_ &&
                    cache_.changed_revision() == served_changed_ &&
                    !served_.empty();
  if (!same) {
    served_ = Deflate(EncodeView(cache_.ChangedAfter(revision)));
    served_after_ = revision;
    served_changed_ = cache_.changed_revision();
  }
  return budget_.TrySpend(served_.size(), BootTimeNow())
             ? std::optional<std::string>(served_)
             : std::nullopt;
}

void store_sync::Arm() {
  if (reading_ || (Pulling() && !follower_.listed())) {
    return;
  }
  const time_point now = BootTimeNow();
  const time_point due = follower_.NextRead(peers_.Rank());
  read_timer_.Start(std::max(due - now, duration(0)));
}

void store_sync::Read() {
  const time_point now = BootTimeNow();
  if (reading_) {
    return;
  }
  if (follower_.NextRead(peers_.Rank()) > now) {
    Arm();
    return;
  }
  reading_ = true;
  asked_ = now;
  if (follower_.NextReadKind(now) == read_kind::kList) {
    pages_.clear();
    page_count_ = 0;
    listing_is_first_ = !follower_.listed();
    listing_revision_ = 0;
    ReadPage();
    return;
  }
  store_->Watch(
      cache_.revision(), kWatchWait, kReadDeadline,
      [this](const result<store_answer>& answer) { OnWatch(answer); });
}

void store_sync::ReadPage() {
  if (listing_is_first_ && (Pulling() || follower_.listed())) {
    // A peer's view is on its way or here, at a fraction of the bytes.
    reading_ = false;
    Arm();
    return;
  }
  const std::string after = pages_.empty() ? "" : pages_.back().key;
  store_->List(after, kReadDeadline,
               [this](const result<store_answer>& answer) { OnPage(answer); });
}

void store_sync::OnPage(const result<store_answer>& answer) {
  if (!answer) {
    Fail(answer.error());
    return;
  }
  const store_answer& page = answer.value();
  pages_.insert(pages_.end(), page.items.begin(), page.items.end());
  if (listing_revision_ == 0) {
    listing_revision_ = page.revision;
  }
  if (page.has_more && !page.items.empty()) {
    page_timer_.Start(follower_.PageDelay(++page_count_));
    return;
  }
  const std::vector<changed_item> changed =
      cache_.MergeListing(pages_, listing_revision_);
  pages_.clear();
  Succeed(read_kind::kList);
  Deliver(changed);
  SendNews();
  TellOfView();
}

void store_sync::OnWatch(const result<store_answer>& answer) {
  if (!answer) {
    Fail(answer.error());
    return;
  }
  const std::vector<changed_item> changed =
      cache_.MergeChanges(answer.value().items, answer.value().revision);
  Succeed(read_kind::kWatch);
  Deliver(changed);
  SendNews();
}

void store_sync::Fail(const error& error) {
  reading_ = false;
  metrics_.StoreCalls(ErrcName(error.code)).Add();
  LogStore("read_failed", FormatError(error));
  follower_.OnReadFailure(error.code == errc::kStale, BootTimeNow());
  Arm();
}

void store_sync::Succeed(read_kind kind) {
  reading_ = false;
  metrics_.StoreCalls(kind == read_kind::kList ? "listed" : "watched").Add();
  follower_.OnReadSuccess(kind, asked_, BootTimeNow());
  Arm();
}

void store_sync::Deliver(const std::vector<changed_item>& changed) {
  if (!changed.empty()) {
    on_changed_(changed);
  }
}

void store_sync::OnDatagrams() {
  for (const datagram& one : received_.Receive(socket_->fd())) {
    metrics_.peer_datagrams_received.Add();
    const std::optional<beacon> heard = DecodeBeacon(AsText(one.bytes));
    if (!heard) {
      metrics_.peer_datagrams_malformed.Add();
      continue;
    }
    OnBeacon(*heard);
  }
}

void store_sync::OnBeacon(const beacon& heard) {
  const time_point now = BootTimeNow();
  peers_.ApplyBeacon(heard, now);
  if (heard.wants_answer) {
    const std::array<std::uint32_t, 1> to = {heard.from.address};
    SendBeacon(to, false);
  }
  const peer_view view{heard.from.changed_revision, now - heard.age};
  if (view.changed > cache_.changed_revision()) {
    wanted_ = view;
    pull_failures_ = 0;
    PullFrom(heard.from.address);
  } else if (view.changed > 0 && heard.revision >= cache_.changed_revision()) {
    cache_.AdvanceRevision(heard.revision);
    follower_.OnPeerSync(view.known_at);
    Arm();
  }
}

bool store_sync::Pulling() const {
  return peer_ != nullptr && peer_->busy();
}

void store_sync::PullFrom(std::uint32_t sender) {
  if (Pulling()) {
    return;
  }
  // Many want their first view at once, and small changes are known to few.
  const bool first = cache_.changed_revision() == 0;
  Pull(first ? peers_.ViewSource(0, failed_source_) : sender);
}

void store_sync::Pull(std::uint32_t source) {
  const endpoint address =
      ToEndpoint({source, settings_.control_endpoint.port});
  const bool first = cache_.changed_revision() == 0;
  peer_ = std::make_unique<store_client>(loop_, address);
  peer_->AskPeer(cache_.changed_revision(),
                 first ? kFirstPullDeadline : kPeerDeadline,
                 [this, source](const result<store_answer>& answer) {
                   OnPulled(answer, source);
                 });
}

void store_sync::PullElsewhere() {
  const std::uint32_t source =
      peers_.ViewSource(cache_.changed_revision(), failed_source_);
  if (!Pulling() && source != 0) {
    Pull(source);
  }
}

void store_sync::OnPulled(const result<store_answer>& answer,
                          std::uint32_t source) {
  if (!answer) {
    LogStore("peer_pull_failed", FormatError(answer.error()));
    failed_source_ = source;
    if (++pull_failures_ < kPullTries) {
      pull_timer_.Start(kPullPause);
    }
    Arm();
    return;
  }
  failed_source_ = 0;
  const bool first = cache_.changed_revision() == 0;
  const std::vector<changed_item> changed =
      cache_.MergePeerAnswer(answer.value());
  // Another peer than the one that told may know less than it.
  const bool whole = cache_.changed_revision() >= wanted_.changed;
  follower_.OnPeerSync(whole ? wanted_.known_at : follower_.synced_at());
  Arm();
  Deliver(changed);
  SendBeacon(peers_.RelayRecipients(), false);
  if (first) {
    TellOfView();
  }
}

void store_sync::TellOfView() {
  SendBeacon(peers_.PeersWithoutView(), false);
}

void store_sync::SendBeacon(std::span<const std::uint32_t> to,
                            bool wants_answer) {
  if (to.empty() || !socket_) {
    return;
  }
  beacon made = peers_.MakeBeacon(cache_.changed_revision());
  made.wants_answer = wants_answer;
  made.revision = cache_.revision();
  made.age = std::max(age(), duration(0));
  const std::string bytes = EncodeBeacon(made);
  const std::span<const std::uint8_t> body(
      reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  send_batch sending(socket_->fd());
  for (const std::uint32_t address : to) {
    sending.Add(0, body, ToEndpoint({address, settings_.peer_port}));
    metrics_.peer_datagrams_sent.Add();
  }
  sending.Flush();
}

void store_sync::SendNews() {
  last_news_ = BootTimeNow();
  SendBeacon(peers_.UpdateRecipients(), false);
}

void store_sync::OnBeaconTime() {
  const bool alone = peers_.size() == 0;
  if (alone || BootTimeNow() - last_news_ >= kNewsCountsAsBeacon) {
    SendBeacon(peers_.Recipients(), alone);
  }
  beacon_timer_.Start(alone ? kSeedPeriod : kBeaconPeriod);
}

void store_sync::OnPeerChange(std::uint32_t address, const char* outcome) {
  if (++peer_change_count_ <= kPeersInLine) {
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
  const std::array<log_field, 4> fields = {
      log_field{"outcome", outcome}, log_field{"detail", detail},
      log_field{"revision", static_cast<std::int64_t>(cache_.revision())},
      log_field{"age_ms", ToMillis(age())}};
  log_.LogStateChange("store", fields);
}

}  // namespace rosemaryreach
