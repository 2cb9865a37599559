// Each case guards against a reset of a flow whose target is alive, unless it
// says otherwise.
#include "rosemaryreach/unknown_cookies.h"

#include <catch2/catch.hpp>

#include "entry_fixture.h"

namespace rosemaryreach {
namespace {

constexpr std::uint32_t kCookie = 77;

// A view that is confirmed every 100 ms, except where `change` makes it differ.
struct view_player {
  using state_change = std::function<void(view_state&, std::int64_t now_ms)>;

  // Plays to `end_ms`; returns when the cookie, seen all the while, was first
  // found to be dead, or -1.
  std::int64_t Play(std::int64_t end_ms, const state_change& change) {
    for (; now_ms <= end_ms; now_ms += 100) {
      view_state view;
      view.complete = true;
      view.settled = true;
      view.departed_known = true;
      view.confirmed_at = At(now_ms);
      change(view, now_ms);
      cookies.Update(view, At(now_ms));
      if (cookies.IsDead(kCookie, At(now_ms))) {
        return now_ms;
      }
    }
    return -1;
  }

  unknown_cookies cookies;
  std::int64_t now_ms = 0;
};

// Without this rule, callers wait for their timeouts after all have restarted.
TEST_CASE("A cookie is dead when the view had time to list all targets") {
  CHECK(view_player().Play(10'000, [](view_state&, std::int64_t) {}) == 3'400);
}

TEST_CASE("A view in doubt starts the wait anew") {
  const std::vector<std::function<void(view_state&)>> doubts = {
      [](view_state& view) { view.complete = false; },
      [](view_state& view) { view.store_unavailable = true; },
      [](view_state& view) { view.entries_may_be_missing = true; },
      [](view_state& view) { view.holds_items = true; },
      [](view_state& view) { view.cookies_conflict = true; },
      [](view_state& view) { view.settled = false; },
      [](view_state& view) { view.departed_known = false; }};
  for (const auto& doubt : doubts) {
    CHECK(view_player().Play(20'000, [&](view_state& view, std::int64_t now) {
      if (now == 3'300) {
        doubt(view);
      }
    }) == 6'800);
  }
}

TEST_CASE("A view that is not confirmed proves nothing, however old it is") {
  CHECK(view_player().Play(20'000, [](view_state& view, std::int64_t now) {
    view.confirmed_at = At(std::min<std::int64_t>(now, 3'300));
  }) == -1);
}

// A peer that is itself new may have read the store before targets were back.
TEST_CASE("A view that a peer read earlier gives no advance") {
  CHECK(view_player().Play(20'000, [](view_state& view, std::int64_t now) {
    view.confirmed_at = At(now - 1'000);
  }) == 4'400);
}

TEST_CASE("The target of a cookie seen late may be new to this instance") {
  view_player player;
  player.now_ms = 10'000;
  view_state trusted;
  trusted.complete = trusted.settled = trusted.departed_known = true;
  player.cookies.Update(trusted, At(0));
  CHECK(player.Play(20'000, [](view_state&, std::int64_t) {}) == 10'600);
}

// Invented cookies must not use up memory.
TEST_CASE("Remembered cookies are bounded and forgotten") {
  unknown_cookies cookies;
  for (std::uint32_t i = 0; i < 2 * kMaxUnknownCookies; ++i) {
    cookies.IsDead(i, At(0));
  }
  CHECK(cookies.size() == kMaxUnknownCookies);
  cookies.Tick(std::chrono::seconds(60), At(60'000));
  CHECK(cookies.size() == 0);
}

}  // namespace
}  // namespace rosemaryreach
