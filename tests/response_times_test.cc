#include "rosemaryreach/response_times.h"

#include <catch2/catch.hpp>

#include "entry_fixture.h"

namespace rosemaryreach {
namespace {

constexpr std::uint32_t kUsual = 1;
constexpr std::uint32_t kOther = 2;

// Records `count` answers of both targets, 100 ms apart.
response_times Answers(int count,
                       std::int64_t usual_ms,
                       std::int64_t other_ms) {
  response_times times;
  for (int i = 0; i < count; ++i) {
    const auto record = [&](std::uint32_t cookie, std::int64_t ms) {
      times.OnAnswer("ledger", "watch", cookie, std::chrono::milliseconds(ms),
                     1, At(100 * i));
    };
    for (int n = 0; n < 3; ++n) {
      record(kUsual, usual_ms);
    }
    record(kOther, other_ms);
  }
  return times;
}

TEST_CASE("A slow target gets a lower speed, and the usual one with time") {
  const response_times times = Answers(30, 60, 360);
  CHECK(times.EvidenceOf(kOther, At(3'000)).Speed() < 0.5);
  CHECK(times.EvidenceOf(kUsual, At(3'000)).Speed() > 0.9);
  CHECK(times.EvidenceOf(kOther, At(90'000)).Speed() > 0.7);
}

TEST_CASE("Delayed acknowledgements do not make targets differ") {
  response_times times;
  for (int i = 0; i < 200; ++i) {
    times.OnAnswer("ledger", "watch", i % 2,
                   std::chrono::milliseconds(50 + i * 7 % 40), 1, At(10 * i));
  }
  CHECK(times.EvidenceOf(0, At(2'000)).Speed() == Approx(1).margin(0.1));
  CHECK(times.EvidenceOf(1, At(2'000)).Speed() == Approx(1).margin(0.1));
}

// A refusal looks like a short answer; it must attract no flows.
TEST_CASE("Fast failures do not count in favour of a target") {
  const speed_evidence failing = Answers(30, 60, 1).EvidenceOf(kOther, At(0));
  CHECK(failing.Speed() <= 1.1);
  CHECK(failing.fast_in_a_row >= 29);
}

TEST_CASE("One slow answer changes little") {
  response_times times = Answers(30, 60, 60);
  times.OnAnswer("ledger", "watch", 3, std::chrono::seconds(5), 1, At(0));
  CHECK(times.EvidenceOf(3, At(0)).Speed() > 0.4);
  CHECK(times.WorkTime("ledger") < std::chrono::milliseconds(100));
}

TEST_CASE("Kinds of requests are compared with their own") {
  response_times times;
  for (int i = 0; i < 100; ++i) {
    times.OnAnswer("ledger", "watch", kUsual, std::chrono::milliseconds(20), 1,
                   At(10 * i));
    times.OnAnswer("ledger", "book", kOther, std::chrono::milliseconds(90), 1,
                   At(10 * i));
  }
  CHECK(times.EvidenceOf(kOther, At(1'000)).Speed() == Approx(1).margin(0.01));
}

TEST_CASE("The delay of another data centre is learned from open times") {
  response_times times;
  CHECK(times.ExtraDelay("dc-a", "dc-a") == duration(0));
  times.OnOpened("dc-a", std::chrono::milliseconds(3));
  times.OnOpened("dc-b", std::chrono::milliseconds(30));
  times.OnOpened("dc-b", std::chrono::milliseconds(8));
  CHECK(times.ExtraDelay("dc-b", "dc-a") == std::chrono::milliseconds(10));
}

}  // namespace
}  // namespace rosemaryreach
