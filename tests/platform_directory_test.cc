#include "adapters/platform_directory.h"

#include <catch2/catch.hpp>
#include <optional>

#include "temporary_directory.h"

namespace rosemaryreach {
namespace {

constexpr duration kPoll = std::chrono::milliseconds(5);
constexpr duration kLongWait = std::chrono::seconds(60);

TEST_CASE("A pending watch returns a file added to the directory") {
  const temporary_directory directory;
  event_loop loop;
  platform_directory platform(loop, directory.path(), kPoll);
  std::optional<result<platform_page>> answer;
  platform.WatchEntries({}, kLongWait, [&](result<platform_page> page) {
    answer = std::move(page);
    loop.Stop();
  });
  std::optional<errc> second;
  platform.WatchEntries({}, kLongWait, [&](const result<platform_page>& page) {
    second = page.error().code;
    directory.Write("entries/1.json", "one");
  });
  loop.Run();
  CHECK(second == errc::kLimit);
  REQUIRE(answer->has_value());
  CHECK(answer->value().entries.at(0).text == "one");
}

TEST_CASE(
    "A watch without new entries times out empty, a missing directory fails") {
  const temporary_directory directory;
  for (const bool exists : {true, false}) {
    event_loop loop;
    platform_directory platform(
        loop, exists ? directory.path() : "/nonexistent", kPoll);
    std::optional<result<platform_page>> answer;
    platform.WatchEntries({}, kPoll, [&](result<platform_page> page) {
      answer = std::move(page);
      loop.Stop();
    });
    loop.Run();
    CHECK(answer->has_value() == exists);
  }
}

}  // namespace
}  // namespace rosemaryreach
