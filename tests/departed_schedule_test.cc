#include "rosemaryreach/departed_schedule.h"

#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "entry_fixture.h"
#include "rosemaryreach/departed_targets.h"

namespace rosemaryreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kRetention = seconds(75);
constexpr duration kHistory = seconds(20);

// An instance that started at 100 s, had its view at 0 by its own clock, and is
// asked for its next question every 100 ms.
struct schedule_fixture {
  schedule_fixture() { schedule.OnView(At(0)); }

  void Hear(std::uint32_t address, std::uint64_t started) {
    beacon heard;
    heard.from.address = address;
    heard.from.incarnation = started;
    heard.from.cpu_millicores = 1'000 - address;
    peers.ApplyBeacon(heard, At(0));
  }

  departed_question Next(std::int64_t ms) {
    return schedule.Next(peers, At(ms));
  }

  // Returns the times of the questions to peers up to `end_ms`. All answers
  // are empty, by peers that know the departures of `known_for`.
  std::vector<std::int64_t> AskUntil(std::int64_t end_ms, duration known_for) {
    std::vector<std::int64_t> times;
    for (; now_ms <= end_ms; now_ms += 100) {
      const departed_question question = Next(now_ms);
      if (question.source == departed_source::kPeer) {
        times.push_back(now_ms);
        schedule.OnAnswer(known_for, false, At(now_ms));
      } else if (question.source == departed_source::kHistory) {
        ++histories;
        schedule.OnHistoryFailed(At(now_ms));
      }
    }
    return times;
  }

  peer_group peers{[] {
                     peer_summary self;
                     self.address = 9;
                     self.incarnation = 100'000;
                     self.cpu_millicores = 991;
                     return self;
                   }(),
                   {},
                   1,
                   [](std::uint32_t, const char*) {}};
  departed_schedule schedule{kRetention, kHistory};
  std::int64_t now_ms = 0;
  int histories = 0;
};

TEST_CASE("Two peers that knew departures before this instance are enough") {
  schedule_fixture fixture;
  fixture.Hear(1, 40'000);
  fixture.Hear(2, 50'000);
  fixture.Hear(3, 60'000);
  CHECK(fixture.AskUntil(60'000, seconds(70)).size() == 2);
  CHECK(fixture.histories == 0);
}

// Each of them knows nothing; together they would end the question.
TEST_CASE("Peers that started together are asked again, ever less often") {
  schedule_fixture fixture;
  for (std::uint32_t address = 1; address <= 8; ++address) {
    fixture.Hear(address, 99'900);
  }
  const std::vector<std::int64_t> asked =
      fixture.AskUntil(74'000, milliseconds(5));
  CHECK(asked.size() > 6);
  CHECK(asked.size() < 20);
  CHECK(asked[1] - asked[0] <= 400);
  CHECK(asked.back() - asked[asked.size() - 2] >= 12'000);
}

TEST_CASE("A peer that is older is asked as soon as it is heard") {
  schedule_fixture fixture;
  fixture.Hear(1, 99'900);
  fixture.AskUntil(30'000, milliseconds(5));
  fixture.Hear(2, 50'000);
  const departed_question question = fixture.Next(fixture.now_ms);
  CHECK(question.source == departed_source::kPeer);
  CHECK(question.peer == 2);
}

// Two peers that started a little earlier, and know nothing, answered first.
TEST_CASE("An older peer is asked though younger ones have answered") {
  const std::uint64_t started = GENERATE(96'000U, 99'900U);
  const bool history_read = GENERATE(false, true);
  schedule_fixture fixture;
  fixture.Hear(1, started);
  fixture.Hear(2, started + 50);
  if (history_read) {
    fixture.schedule.OnHistoryRead(true);
  }
  fixture.AskUntil(26'000, seconds(40));
  CHECK(fixture.Next(26'100).source == departed_source::kNone);
  fixture.Hear(3, 50'000);
  const departed_question question = fixture.Next(26'200);
  CHECK(question.source == departed_source::kPeer);
  CHECK(question.peer == 3);
}

TEST_CASE("A peer that does not answer is not asked twice in a row") {
  schedule_fixture fixture;
  fixture.Hear(1, 40'000);
  fixture.Hear(2, 50'000);
  std::vector<std::uint32_t> asked;
  for (std::int64_t ms = 0; asked.size() < 3; ms += 100) {
    const departed_question question = fixture.Next(ms);
    if (question.source == departed_source::kPeer) {
      asked.push_back(question.peer);
      fixture.schedule.OnNoAnswer(At(ms));
    }
  }
  CHECK(asked[0] == 1);
  CHECK(asked[1] == 2);
}

// A slow store would keep the instance from asking for seconds.
TEST_CASE("An older peer is asked before the history") {
  schedule_fixture fixture;
  CHECK(fixture.Next(300).source == departed_source::kHistory);
  fixture.Hear(1, 50'000);
  CHECK(fixture.Next(400).source == departed_source::kPeer);
}

TEST_CASE("A history that can't be read further back ends there") {
  schedule_fixture fixture;
  fixture.schedule.OnHistoryRead(false);
  fixture.schedule.OnHistoryFailed(At(2'400));
  CHECK(fixture.schedule.HistoryKnownFor() == duration(0));
  CHECK(fixture.Next(4'000).source == departed_source::kNone);
}

TEST_CASE("A dropped packet asks again once all is thought to be known") {
  schedule_fixture fixture;
  fixture.Hear(1, 40'000);
  fixture.Hear(2, 50'000);
  fixture.AskUntil(10'000, seconds(70));
  CHECK(fixture.Next(10'100).source == departed_source::kNone);
  fixture.schedule.OnUnknownCookie();
  std::size_t asked = 0;
  for (std::int64_t ms = 10'100; ms < 70'000; ms += 100) {
    fixture.schedule.OnUnknownCookie();
    if (fixture.Next(ms).source == departed_source::kPeer) {
      ++asked;
      fixture.schedule.OnAnswer(seconds(70), false, At(ms));
    }
  }
  CHECK(asked >= 5);
  CHECK(asked < 20);
}

TEST_CASE("The history is read once nobody else can tell") {
  schedule_fixture fixture;
  CHECK(fixture.Next(200).source == departed_source::kNone);
  CHECK(fixture.Next(300).source == departed_source::kHistory);
  fixture.schedule.OnHistoryRead(true);
  CHECK(fixture.Next(400).source == departed_source::kNone);
}

TEST_CASE("Of instances that start together the first reads the history") {
  schedule_fixture fixture;
  fixture.Hear(1, 99'900);
  fixture.Hear(2, 99'900);
  for (std::int64_t ms = 0; ms < 2'300; ms += 100) {
    const departed_question question = fixture.Next(ms);
    CHECK(question.source != departed_source::kHistory);
    if (question.source == departed_source::kPeer) {
      fixture.schedule.OnAnswer(milliseconds(5), false, At(ms));
    }
  }
  // The first ones did not.
  CHECK(fixture.Next(2'300).source == departed_source::kHistory);
}

TEST_CASE("What began after the history is not looked for there") {
  schedule_fixture fixture;
  CHECK(fixture.Next(20'000).source == departed_source::kNone);
}

// Returns the depths at which the history is read if the store keeps `kept`
// revisions of `written`.
std::vector<std::uint64_t> DepthsRead(schedule_fixture& fixture,
                                      std::uint64_t kept,
                                      std::uint64_t written) {
  std::vector<std::uint64_t> depths;
  for (std::int64_t ms = 300; ms < 20'000; ms += 100) {
    if (fixture.Next(ms).source == departed_source::kHistory) {
      const std::uint64_t depth = fixture.schedule.HistoryDepth();
      depths.push_back(depth);
      if (std::min(depth, written) > kept) {
        fixture.schedule.OnHistoryGone();
      } else {
        fixture.schedule.OnHistoryRead(depth >= written);
      }
    }
  }
  return depths;
}

TEST_CASE("The longest history that the store keeps is found in a few calls") {
  using depths = std::vector<std::uint64_t>;
  schedule_fixture young;
  CHECK(DepthsRead(young, 40, 40) == depths{64});
  CHECK(young.schedule.HistoryKnownFor() == kHistory);
  schedule_fixture large;
  CHECK(DepthsRead(large, 1'000, 10'000) == depths{64, 256, 1'024});
  CHECK(large.schedule.HistoryKnownFor() == duration(0));
  schedule_fixture small;
  CHECK(DepthsRead(small, 20, 10'000) == depths{64, 16});
  CHECK(small.schedule.HistoryKnownFor() == duration(0));
  schedule_fixture compacted;
  CHECK(DepthsRead(compacted, 0, 10'000) == depths{64, 16, 4, 1});
  CHECK(compacted.schedule.HistoryKnownFor() == duration(0));
  schedule_fixture endless;
  CHECK(DepthsRead(endless, ~0ULL, ~0ULL).size() == 8);
}

TEST_CASE("A store that fails is asked for its history a few times") {
  schedule_fixture fixture;
  fixture.AskUntil(20'000, {});
  CHECK(fixture.histories == 5);
}

// A fleet of which a share has just started. Instances hear all others after a
// while, and answer with what they know.
class model_fleet {
 public:
  model_fleet(std::uint32_t size, std::uint32_t newcomers)
      : size_(size), newcomers_(newcomers) {
    for (std::uint32_t i = 1; i <= size; ++i) {
      const bool is_new = i > size - newcomers;
      peer_summary self;
      self.address = i;
      self.data_centre = i % 30;
      self.cpu_millicores = 250;
      self.incarnation = is_new ? 200'000 + i % 300 : 1'000 + i;
      summaries_.push_back(self);
      instances_.push_back(std::make_unique<instance>(self));
      if (!is_new) {
        instances_.back()->known_since = At(-100'000);
        instances_.back()->knows = true;
      }
    }
  }

  // Lets newcomers hear the others from this time on.
  void HearNewcomers(std::int64_t ms) { hear_newcomers_ms_ = ms; }
  void HearOthers(std::int64_t ms) { hear_others_ms_ = ms; }

  // Plays until `end_ms`; returns when the last newcomer knew the target that
  // left before it started, or -1.
  std::int64_t Play(std::int64_t end_ms) {
    for (std::int64_t ms = 0; ms < end_ms; ms += 100) {
      Hear(ms);
      for (std::size_t i = size_ - newcomers_; i < size_; ++i) {
        Step(*instances_[i], ms);
      }
      const bool all = std::all_of(
          instances_.begin(), instances_.end(),
          [](const std::unique_ptr<instance>& one) { return one->knows; });
      if (all) {
        return ms;
      }
    }
    return -1;
  }

  int histories() const { return histories_; }
  std::size_t MostAsked() const {
    std::size_t most = 0;
    for (const std::unique_ptr<instance>& one : instances_) {
      most = std::max(most, one->asked_per_s);
    }
    return most;
  }

 private:
  struct instance {
    explicit instance(const peer_summary& self)
        : peers(self, {}, self.address, [](std::uint32_t, const char*) {}) {
      schedule.OnView(At(0));
    }

    peer_group peers;
    departed_schedule schedule{kRetention, kHistory};
    time_point known_since = At(0);
    bool knows = false;  // the target that left
    std::size_t asked = 0;
    std::size_t asked_per_s = 0;  // the most in any second
  };

  void Hear(std::int64_t ms) {
    for (std::size_t i = size_ - newcomers_; i < size_; ++i) {
      for (const peer_summary& other : summaries_) {
        const bool is_new = other.address > size_ - newcomers_;
        if (other.address != summaries_[i].address &&
            ms == (is_new ? hear_newcomers_ms_ : hear_others_ms_)) {
          beacon heard;
          heard.from = other;
          instances_[i]->peers.ApplyBeacon(heard, At(ms));
        }
      }
    }
    if (ms % 1'000 == 0) {
      for (std::unique_ptr<instance>& one : instances_) {
        one->asked_per_s = std::max(one->asked_per_s, one->asked);
        one->asked = 0;
      }
    }
  }

  void Step(instance& one, std::int64_t ms) {
    const departed_question question = one.schedule.Next(one.peers, At(ms));
    if (question.source == departed_source::kHistory) {
      ++histories_;
      one.knows = true;
      one.schedule.OnHistoryRead(true);
      one.known_since = At(ms) - one.schedule.HistoryKnownFor();
    } else if (question.source == departed_source::kPeer) {
      instance& peer = *instances_[question.peer - 1];
      ++peer.asked;
      const bool added = peer.knows && !one.knows;
      one.knows = one.knows || added;
      one.known_since = std::min(one.known_since, peer.known_since);
      one.schedule.OnAnswer(At(ms) - peer.known_since, added, At(ms));
    }
  }

  std::uint32_t size_;
  std::uint32_t newcomers_;
  std::vector<peer_summary> summaries_;
  std::vector<std::unique_ptr<instance>> instances_;
  std::int64_t hear_newcomers_ms_ = 0;
  std::int64_t hear_others_ms_ = 0;
  int histories_ = 0;
};

TEST_CASE("Newcomers learn of a departed target as soon as they hear others") {
  const std::uint32_t size = GENERATE(10U, 1'100U);
  const std::uint32_t newcomers = GENERATE(3U, 5U);
  CAPTURE(size, newcomers);
  model_fleet fleet(size, newcomers);
  fleet.HearOthers(4'000);
  const std::int64_t learned = fleet.Play(10'000);
  CHECK(learned >= 0);
  CHECK(learned <= 4'200);
}

// Each question costs the giver some 0.1 ms of processor time.
TEST_CASE("Half of a large fleet that starts at once spreads its questions") {
  model_fleet fleet(1'100, 550);
  const std::int64_t learned = fleet.Play(10'000);
  CHECK(learned >= 0);
  CHECK(learned <= 300);
  CHECK(fleet.MostAsked() < 50);
  CHECK(fleet.histories() == 0);
}

TEST_CASE(
    "A fleet that starts at once learns from one reading of the history") {
  const std::uint32_t size = GENERATE(1U, 7U, 1'100U);
  CAPTURE(size);
  model_fleet fleet(size, size);
  const std::int64_t learned = fleet.Play(20'000);
  CHECK(learned >= 0);
  CHECK(learned <= 4'000);
  CHECK(fleet.histories() <= 3);
  CHECK(fleet.MostAsked() < 300);
}

}  // namespace
}  // namespace rosemaryreach
