#include "rosemaryreach/load_exchange.h"

#include <catch2/catch.hpp>

#include "load_fleet.h"

namespace rosemaryreach {
namespace {

constexpr std::uint32_t kCookie = 77;
constexpr std::uint32_t kFirst = 1'001;
constexpr std::uint32_t kSecond = 1'002;
constexpr std::uint32_t kOther = 1'007;

std::uint64_t Dropped(const load_fleet::member& member, load_drop reason) {
  return member.exchange->counts().dropped.at(static_cast<std::size_t>(reason));
}

// Figures older than this make instances place new flows at busy targets.
TEST_CASE("A change is known to all instances within 250 ms") {
  for (std::int64_t offset = 0; offset < 200; offset += 7) {
    load_fleet fleet({12});
    fleet.LoadEveryone(kCookie);
    fleet.Run(3'000 + offset);
    REQUIRE(fleet.RunningRange(kCookie) == std::pair(11.0, 11.0));
    fleet.members.at(kOther).load.targets.front().running = 6;
    fleet.Run(250);
    for (const auto& [address, one] : fleet.members) {
      CHECK(fleet.Running(address, kCookie) == (address == kOther ? 11 : 16));
    }
  }
}

// What an idle fleet sends would be paid day and night.
TEST_CASE("An idle instance sends nothing") {
  load_fleet fleet({5, 5});
  fleet.Run(10'000);
  CHECK(fleet.datagrams == 0);
  fleet.LoadEveryone(kCookie);
  fleet.Run(2'000);
  for (auto& [address, one] : fleet.members) {
    one.load = {};
  }
  fleet.Run(3'000);
  const std::size_t sent = fleet.datagrams;
  fleet.Run(10'000);
  CHECK(fleet.datagrams == sent);
  CHECK(fleet.Running(kOther - 2, kCookie) == -1);
}

// A collector that is lost must not leave the others without figures, and a
// second one must not add to them.
TEST_CASE("A collector that is lost is replaced within 300 ms") {
  load_fleet fleet({12});
  fleet.LoadEveryone(kCookie);
  fleet.Run(3'000);
  for (int i = 0; i < 37; ++i) {  // to any point of the period
    fleet.Run(1);
  }
  REQUIRE(fleet.members.at(kOther).exchange->collector_in_use() == kFirst);
  bool cut = false;
  fleet.loses = [&cut](std::uint32_t from, std::uint32_t to) {
    return cut && (from == kFirst || to == kFirst);
  };
  const auto lose_first = [&](const std::string& how) {
    if (how == "killed") {
      fleet.members.at(kFirst).exchange.reset();
    } else if (how == "paused") {
      fleet.members.at(kFirst).paused = true;
    } else if (how == "partitioned") {
      cut = true;
    } else {
      fleet.members.at(kFirst).peers->SetLeaving();
      peer_summary leaving = load_fleet::SummaryOf(kFirst, 100);
      leaving.leaving = true;
      leaving.heartbeat_count = 2;
      fleet.Announce(leaving);
    }
  };
  const std::string how =
      GENERATE("killed", "paused", "partitioned", "leaving");
  INFO(how);
  lose_first(how);
  fleet.Run(300);
  for (const auto& [address, one] : fleet.members) {
    if (address != kFirst) {
      CHECK(one.exchange->collector_in_use() == kSecond);
    }
  }
  fleet.Run(20'000, [&fleet, &how] {
    for (const auto& [address, one] : fleet.members) {
      if (address != kFirst) {
        const double running = fleet.Running(address, kCookie);
        REQUIRE(running <= 11);
        REQUIRE(running >= 10);
      }
    }
  });
}

// A collector that resumes holds old reports, and its socket others: using
// them counts the load of instances that have moved on.
TEST_CASE("A collector that resumes does not use what is old") {
  const std::int64_t pause = GENERATE(400, 700, 2'500, 8'000);
  INFO(pause);
  load_fleet fleet({12});
  fleet.LoadEveryone(kCookie);
  fleet.Run(3'000);
  fleet.members.at(kFirst).paused = true;
  fleet.Run(100);
  fleet.members.at(kOther).load.targets.front().running = 30;
  fleet.Run(pause - 200);
  fleet.members.at(kOther).load.targets.front().running = 1;
  fleet.Run(1'000);
  fleet.Resume(kFirst);
  fleet.Run(3'000, [&fleet] {
    for (const auto& [address, one] : fleet.members) {
      if (address != kFirst) {
        REQUIRE(fleet.Running(address, kCookie) <= 11);
        REQUIRE(fleet.Running(address, kCookie) >= 10);
      }
    }
  });
  CHECK(fleet.RunningRange(kCookie) == std::pair(11.0, 11.0));
  CHECK(fleet.members.at(kOther).exchange->collector_in_use() == kFirst);
  CHECK(Dropped(fleet.members.at(kFirst), load_drop::kAfterPause) > 0);
}

// Both collectors are lost at once, as when a rack loses power.
TEST_CASE("The next instances collect when both collectors are gone") {
  load_fleet fleet({12});
  fleet.LoadEveryone(kCookie);
  fleet.Run(3'000);
  fleet.members.at(kFirst).exchange.reset();
  fleet.members.at(kSecond).exchange.reset();
  fleet.Run(1'600);
  CHECK(fleet.RunningRange(kCookie) == std::pair(9.0, 9.0));
  fleet.Run(5'000, [&fleet] {
    REQUIRE(fleet.RunningRange(kCookie) == std::pair(9.0, 9.0));
  });
}

// Instances that are counted on both sides would make the fleet look twice as
// busy as it is.
TEST_CASE("No instance is counted twice after a partition") {
  load_fleet fleet({12});
  fleet.LoadEveryone(kCookie);
  fleet.Run(3'000);
  bool cut = true;
  fleet.loses = [&cut](std::uint32_t from, std::uint32_t to) {
    return cut && (from % 2 != to % 2);
  };
  const auto check_bounds = [&fleet] {
    REQUIRE(fleet.RunningRange(kCookie).second <= 11);
  };
  fleet.Run(3'000, check_bounds);
  CHECK(fleet.RunningRange(kCookie) == std::pair(5.0, 5.0));
  cut = false;
  fleet.Run(15'000, check_bounds);
  CHECK(fleet.RunningRange(kCookie) == std::pair(11.0, 11.0));
}

// An instance that only the first collector does not reach still learns.
TEST_CASE("The second collector serves an instance that lacks sums") {
  load_fleet fleet({12});
  fleet.LoadEveryone(kCookie);
  fleet.Run(3'000);
  fleet.loses = [](std::uint32_t from, std::uint32_t to) {
    return from == kFirst && to == kOther;
  };
  fleet.Run(700);
  fleet.Run(20'000, [&fleet] {
    REQUIRE(fleet.Running(kOther, kCookie) >= 10);
    REQUIRE(fleet.Running(kOther, kCookie) <= 11);
  });
}

// Delays of more than a period, so that rounds overtake each other.
TEST_CASE("Duplicated and reordered datagrams add nothing") {
  load_fleet fleet({12});
  fleet.LoadEveryone(kCookie);
  fleet.duplicates = true;
  fleet.jitter = 300;
  fleet.Run(3'000);
  fleet.Run(10'000, [&fleet] {
    REQUIRE(fleet.RunningRange(kCookie).first >= 6);
    REQUIRE(fleet.RunningRange(kCookie).second <= 11);
  });
  fleet.jitter = 0;
  fleet.Run(1'000);
  CHECK(fleet.RunningRange(kCookie) == std::pair(11.0, 11.0));
  CHECK(Dropped(fleet.members.at(kOther), load_drop::kDuplicate) > 0);
  CHECK(Dropped(fleet.members.at(kFirst), load_drop::kDuplicate) > 0);
}

TEST_CASE("Lost datagrams do not end sharing") {
  load_fleet fleet({12});
  fleet.LoadEveryone(kCookie);
  fleet.loses = [&fleet](std::uint32_t, std::uint32_t) {
    return fleet.random() % 50 == 0;
  };
  fleet.Run(3'000);
  fleet.Run(20'000, [&fleet] {
    REQUIRE(fleet.RunningRange(kCookie).first >= 8);
    REQUIRE(fleet.RunningRange(kCookie).second <= 11);
  });
}

// Anyone who can send datagrams could otherwise steer new flows.
TEST_CASE("Foreign and malformed datagrams are counted and dropped") {
  load_fleet fleet({3, 3});
  load_fleet::member& first = fleet.members.at(kFirst);
  load_message report;
  report.address = kSecond;
  report.incarnation = 100;
  report.sequence = 1;
  report.targets = {{kCookie, 40}};
  const std::string bytes = EncodeLoadMessage(report);
  first.exchange->OnDatagram(5, bytes, At(fleet.now));      // unknown
  first.exchange->OnDatagram(1'003, bytes, At(fleet.now));  // not its own
  report.address = 2'001;                                   // elsewhere
  first.exchange->OnDatagram(2'001, EncodeLoadMessage(report), At(fleet.now));
  CHECK(Dropped(first, load_drop::kForeign) == 3);
  first.exchange->OnDatagram(kSecond, "x", At(fleet.now));
  first.exchange->OnDatagram(kSecond, std::string(1'201, '\0'), At(fleet.now));
  first.exchange->OnDatagram(kSecond, bytes.substr(0, 20), At(fleet.now));
  CHECK(Dropped(first, load_drop::kMalformed) == 3);
  report.kind = load_message_kind::kSums;  // from no collector
  report.address = 1'003;
  first.exchange->Tick(At(fleet.now));
  first.exchange->OnDatagram(1'003, EncodeLoadMessage(report), At(fleet.now));
  CHECK(Dropped(first, load_drop::kNotCollector) == 1);
  CHECK(fleet.Running(kFirst, kCookie) == -1);
}

// An older build is ranked as a collector but never sends.
TEST_CASE("Instances of an older build are passed over") {
  load_fleet fleet({12});
  fleet.members.at(kFirst).exchange.reset();
  fleet.members.at(kSecond).exchange.reset();
  fleet.LoadEveryone(kCookie);
  fleet.Run(4'000);
  fleet.Run(40'000, [&fleet] {
    REQUIRE(fleet.RunningRange(kCookie) == std::pair(9.0, 9.0));
  });
}

TEST_CASE("Without a newer build next to it an instance knows nothing") {
  load_fleet fleet({3});
  fleet.members.at(kFirst).exchange.reset();
  fleet.members.at(kSecond).exchange.reset();
  fleet.LoadEveryone(kCookie);
  fleet.Run(10'000);
  CHECK(fleet.Running(1'003, kCookie) <= 0);
}

// Its clock may have been set back; the old report must not stay for ever.
TEST_CASE("A restart with a lower incarnation replaces the old report") {
  load_fleet fleet({12});
  fleet.LoadEveryone(kCookie);
  fleet.members.at(kOther).load.targets.front().running = 9;
  fleet.Run(3'000);
  REQUIRE(fleet.Running(kSecond, kCookie) == 19);
  const peer_summary restarted = load_fleet::SummaryOf(kOther, 50);
  fleet.members.at(kOther).load.targets.front().running = 2;
  fleet.Start(restarted);
  fleet.Announce(restarted);
  fleet.Run(300);
  CHECK(fleet.Running(kSecond, kCookie) == 12);
  SECTION("also of the first collector") {
    const peer_summary first = load_fleet::SummaryOf(kFirst, 50);
    fleet.Start(first);
    fleet.Announce(first);
    fleet.Run(5'000, [&fleet] {
      REQUIRE(fleet.Running(kOther, kCookie) <= 11);
      REQUIRE(fleet.Running(kOther, kCookie) >= 10);
    });
    CHECK(fleet.members.at(kOther).exchange->collector_in_use() == kFirst);
  }
}

// Decisions must not change at once when figures stop.
TEST_CASE("Figures fade between 500 ms and 1 s") {
  load_fleet fleet({12});
  fleet.LoadEveryone(kCookie);
  fleet.Run(3'000);
  fleet.loses = [](std::uint32_t, std::uint32_t) { return true; };
  fleet.Run(1'200, [&fleet] {
    const load_exchange& exchange = *fleet.members.at(kOther).exchange;
    const double age_ms =
        static_cast<double>(exchange.age(At(fleet.now)).count()) / 1'000;
    const double expected = age_ms <= 500     ? 11
                            : age_ms >= 1'000 ? -1
                                              : 11 * (1'000 - age_ms) / 500;
    REQUIRE(fleet.Running(kOther, kCookie) == Approx(expected).margin(1e-6));
  });
  CHECK(fleet.Running(kOther, kCookie) == -1);
  CHECK(fleet.members.at(kOther).changes.back() == "sharing_lost");
}

TEST_CASE("Data centres share load and demand in coarse form") {
  load_fleet fleet({6, 4, 3});
  fleet.LoadEveryone(kCookie);
  for (auto& [address, one] : fleet.members) {
    service_figures service;
    service.service = ServiceHash("ledger");
    service.offered = 4;
    service.in_flight = 1;
    one.load.services = {service};
  }
  fleet.Run(3'000);
  fleet.Run(3'000, [&fleet] {
    REQUIRE(fleet.RunningRange(kCookie) == std::pair(12.0, 12.0));
    const std::optional<shared_service_load> service =
        fleet.members.at(1'005).exchange->ServiceLoad("ledger", At(fleet.now));
    REQUIRE(service);
    REQUIRE(service->in_flight == 12);
    REQUIRE(service->demand.size() == 3);
  });
  const std::optional<shared_service_load> service =
      fleet.members.at(2'003).exchange->ServiceLoad("ledger", At(fleet.now));
  REQUIRE(service);
  for (const data_centre_demand& demand : service->demand) {
    const std::size_t sizes[] = {0, 6, 4, 3};
    CHECK(demand.instances == sizes[demand.data_centre]);
    CHECK(demand.offered_per_s == Approx(20.0 * demand.instances).epsilon(0.1));
  }
  CHECK_FALSE(fleet.members.at(2'003).exchange->ServiceLoad(
      "ledger", At(fleet.now + 2'000)));
}

TEST_CASE("Coarse sums with the demand of a third data centre are dropped") {
  load_fleet fleet({3, 3, 3});
  load_message coarse;
  coarse.kind = load_message_kind::kCoarse;
  coarse.address = 2'001;
  coarse.incarnation = 100;
  coarse.sequence = 1;
  coarse.services = {{1, 3, 10, 1, 1}};
  load_fleet::member& first = fleet.members.at(kFirst);
  first.exchange->OnDatagram(2'001, EncodeLoadMessage(coarse), At(fleet.now));
  CHECK(Dropped(first, load_drop::kForeign) == 1);
}

TEST_CASE("Answers to other instances are told from this one's own") {
  load_fleet fleet({12});
  fleet.LoadEveryone(kCookie);
  target_figures& mine = fleet.members.at(kOther).load.targets.front();
  mine.answers = 2;
  mine.response_ms = 100;
  fleet.Run(3'000);
  const std::optional<shared_target_load> own =
      fleet.members.at(kOther).exchange->TargetLoad(kCookie, At(fleet.now));
  REQUIRE(own);
  CHECK(own->since_answer == duration::max());
  const std::optional<shared_target_load> others =
      fleet.members.at(kSecond).exchange->TargetLoad(kCookie, At(fleet.now));
  REQUIRE(others);
  CHECK(others->since_answer < std::chrono::milliseconds(300));
  CHECK(others->response_time == std::chrono::milliseconds(50));
}

// Evidence of a silent target must not wait for the next period.
TEST_CASE("A suspicion is reported at once, but not more than each 50 ms") {
  load_fleet fleet({12});
  fleet.LoadEveryone(kCookie);
  fleet.Run(3'000);
  load_fleet::member& other = fleet.members.at(kOther);
  const auto reports = [&other] { return other.exchange->counts().sent[0]; };
  const std::uint64_t before = reports();
  fleet.Run(1'000, [&] { other.exchange->ReportSoon(At(fleet.now)); });
  CHECK(reports() - before >= 2 * 15);
  CHECK(reports() - before <= 2 * 21);
}

// In a storm of suspicions, each report replaces one that no sums contain yet.
TEST_CASE("Counts of reports that follow each other soon are not lost") {
  load_fleet fleet({12});
  for (auto& [address, one] : fleet.members) {
    service_figures service;
    service.service = ServiceHash("ledger");
    service.offered = 4;
    one.load.services = {service};
  }
  fleet.Run(3'000);
  load_fleet::member& other = fleet.members.at(kOther);
  other.load.services.front().offered = 1;  // each 50 ms: the same rate
  fleet.Run(1'000, [&] { other.exchange->ReportSoon(At(fleet.now)); });
  const std::optional<shared_service_load> service =
      fleet.members.at(kSecond).exchange->ServiceLoad("ledger", At(fleet.now));
  REQUIRE(service);
  CHECK(service->demand.front().offered_per_s == Approx(240).epsilon(0.03));
}

// A link of 10 Mbit/s and 74 MB must do for the smallest instance.
TEST_CASE("Sums of a large data centre stay within their bounds") {
  load_fleet fleet({333});
  std::uint32_t cookie = 1;
  for (auto& [address, one] : fleet.members) {
    one.load.targets.clear();
    for (int i = 0; i < 15; ++i, ++cookie) {
      one.load.targets.push_back({0x1000'0000 + cookie, 1, 1, 1, 60});
    }
  }
  fleet.Run(2'500);
  const load_counts& counts = fleet.members.at(1'200).exchange->counts();
  const std::uint64_t before = counts.bytes_received;
  const std::uint64_t sent = counts.bytes_sent;
  fleet.Run(4'000);
  CHECK(counts.bytes_received - before <= 4 * 10'000);
  CHECK(counts.bytes_received - before >= 4 * 6'000);
  CHECK(counts.bytes_sent - sent <= 4 * 8'500);
}

}  // namespace
}  // namespace rosemaryreach
