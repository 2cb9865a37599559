#include "rosemaryreach/peer_auth.h"

#include <catch2/catch.hpp>

namespace rosemaryreach {
namespace {

const std::string kOldKey(32, 'o');
const std::string kNewKey(32, 'n');
const instance_id kA = MakeInstanceId("a");
const instance_id kB = MakeInstanceId("b");
const instance_id kC = MakeInstanceId("c");

endpoint ParseAddress(const char* text) {
  return ParseEndpoint(text).value();
}

peer_auth MakeAuth(instance_id self, const char* address, peer_keys keys) {
  return {self, std::move(keys), 1'000'000, ParseAddress(address)};
}

errc OpenError(peer_auth& auth, std::string_view datagram) {
  const result<opened_datagram> opened = auth.Open(datagram);
  REQUIRE_FALSE(opened);
  return opened.error().code;
}

TEST_CASE("Open returns the sender and payload of a sealed datagram") {
  peer_auth a = MakeAuth(kA, "10.0.0.1:1", {kNewKey});
  peer_auth b = MakeAuth(kB, "10.0.0.2:1", {kNewKey});
  const std::string sealed = a.Seal(kB, "payload");
  CHECK(sealed.size() == 7 + kSealOverheadBytes);
  const result<opened_datagram> opened = b.Open(sealed);
  REQUIRE(opened);
  CHECK(opened.value().from == kA);
  CHECK(opened.value().bound_to_id);
  CHECK(opened.value().payload == "payload");
}

TEST_CASE("a datagram with any bit changed is rejected") {
  peer_auth a = MakeAuth(kA, "10.0.0.1:1", {kNewKey});
  peer_auth b = MakeAuth(kB, "10.0.0.2:1", {kNewKey});
  const std::string sealed = a.Seal(kB, "payload");
  for (std::size_t bit = 0; bit < sealed.size() * 8; ++bit) {
    std::string forged = sealed;
    forged[bit / 8] ^= static_cast<char>(1U << (bit % 8));
    CHECK(OpenError(b, forged) == errc::kUnauthenticated);
  }
  CHECK(b.Open(sealed));
}

TEST_CASE("a truncated datagram is rejected") {
  peer_auth a = MakeAuth(kA, "10.0.0.1:1", {kNewKey});
  peer_auth b = MakeAuth(kB, "10.0.0.2:1", {kNewKey});
  const std::string sealed = a.Seal(kB, "payload");
  for (std::size_t size = 0; size < sealed.size(); ++size) {
    CHECK_FALSE(b.Open(std::string_view(sealed).substr(0, size)));
  }
  CHECK(b.stats().accepted == 0);
}

TEST_CASE("a datagram is rejected by its sender and by other receivers") {
  peer_auth a = MakeAuth(kA, "10.0.0.1:1", {kNewKey});
  peer_auth c = MakeAuth(kC, "10.0.0.3:1", {kNewKey});
  const std::string bound_to_id = a.Seal(kB, "x");
  const std::string by_address =
      a.SealByAddress(ParseAddress("10.0.0.2:1"), "x");
  for (peer_auth* other : {&a, &c}) {
    CHECK(OpenError(*other, bound_to_id) == errc::kUnauthenticated);
    CHECK(OpenError(*other, by_address) == errc::kUnauthenticated);
  }
  peer_auth b = MakeAuth(kB, "10.0.0.2:1", {kNewKey});
  const result<opened_datagram> opened = b.Open(by_address);
  REQUIRE(opened);
  CHECK_FALSE(opened.value().bound_to_id);
}

TEST_CASE("reordered datagrams are accepted once each") {
  peer_auth a = MakeAuth(kA, "10.0.0.1:1", {kNewKey});
  peer_auth b = MakeAuth(kB, "10.0.0.2:1", {kNewKey});
  const std::string first = a.Seal(kB, "1");
  const std::string second = a.Seal(kB, "2");
  CHECK(b.Open(second));
  CHECK(b.Open(first));
  CHECK(OpenError(b, first) == errc::kStale);
  CHECK(OpenError(b, second) == errc::kStale);
  CHECK(b.stats().replayed == 2);
  CHECK_FALSE(b.TakeRegressedSender());
}

TEST_CASE("a sender whose sequence went back is accepted after raising it") {
  peer_auth b = MakeAuth(kB, "10.0.0.2:1", {kNewKey});
  peer_auth before(kA, {kNewKey}, 9'000'000);
  CHECK(b.Open(before.Seal(kB, "x")));
  peer_auth restarted = MakeAuth(kA, "10.0.0.1:1", {kNewKey});
  CHECK(OpenError(b, restarted.Seal(kB, "x")) == errc::kStale);
  CHECK(b.TakeRegressedSender() == kA);
  CHECK_FALSE(b.TakeRegressedSender());
  restarted.RaiseSequence(b.HighestSequenceFrom(kA));
  CHECK(b.Open(restarted.Seal(kB, "x")));
}

TEST_CASE("no datagram is rejected during a key rotation") {
  // Accept the new key on all instances, then sign with it, then remove the
  // old one.
  const std::vector<peer_keys> steps = {
      {kOldKey}, {kOldKey, kNewKey}, {kNewKey, kOldKey}, {kNewKey}};
  for (std::size_t step = 0; step + 1 < steps.size(); ++step) {
    peer_auth ahead = MakeAuth(kA, "10.0.0.1:1", steps[step + 1]);
    peer_auth behind = MakeAuth(kB, "10.0.0.2:1", steps[step]);
    CHECK(behind.Open(ahead.Seal(kB, "x")));
    CHECK(ahead.Open(behind.Seal(kA, "x")));
    CHECK(ahead.Verify("text", behind.Sign("text")));
  }
  peer_auth old = MakeAuth(kA, "10.0.0.1:1", {kOldKey});
  peer_auth fresh = MakeAuth(kB, "10.0.0.2:1", {kNewKey});
  CHECK(OpenError(fresh, old.Seal(kB, "x")) == errc::kUnauthenticated);
}

TEST_CASE("Verify accepts only the signature of the same text and key") {
  const peer_auth a = MakeAuth(kA, "10.0.0.1:1", {kNewKey});
  const peer_auth b = MakeAuth(kB, "10.0.0.2:1", {kNewKey});
  const std::string signature = a.Sign("text");
  CHECK(b.Verify("text", signature));
  CHECK_FALSE(b.Verify("texT", signature));
  CHECK_FALSE(b.Verify("text", signature.substr(1)));
  CHECK_FALSE(b.Verify("text", ""));
  CHECK_FALSE(MakeAuth(kB, "10.0.0.2:1", {kOldKey}).Verify("text", signature));
}

}  // namespace
}  // namespace rosemaryreach
