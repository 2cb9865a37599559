#include "requests/idempotency_service.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>

#include "request_fixture.h"

namespace rosemaryreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kKey = 7;
const std::vector<std::string> kNames = {"i0", "i1", "i2", "i3"};

// The idempotency services of several instances and their messages.
class key_fleet {
 public:
  key_fleet() {
    for (const std::string& name : kNames) {
      const instance_id id = MakeInstanceId(name);
      services[id] = std::make_unique<idempotency_service>(
          id,
          idempotency_hooks{
              [this, id](instance_id to, const request_message& message) {
                sent.push_back({id, to, message});
              },
              [this, id](time_point, request_id request, key_verdict verdict) {
                verdicts[{id, request}] = verdict;
              },
              [](time_point) { return true; }, [this] { return majority; }});
    }
    Apply(kNames, kNames);
  }

  void Apply(const std::vector<std::string>& names,
             const std::vector<std::string>& in_view) {
    for (const std::string& name : names) {
      services[MakeInstanceId(name)]->ApplyView(now,
                                                MakeFleetView(name, in_view));
    }
    Deliver();
  }

  void Deliver() {
    while (!sent.empty()) {
      const queued_message next = sent.front();
      sent.pop_front();
      if (next.to != isolated && next.from != isolated) {
        std::visit([this, &next](const auto& body) { Handle(next, body); },
                   next.body);
      }
    }
  }

  // Reserves kKey for `request` at the instance; returns the verdict, if any.
  std::optional<key_verdict> Reserve(const std::string& at,
                                     std::uint64_t request) {
    const instance_id id = MakeInstanceId(at);
    services[id]->Reserve(now, {request}, kKey, now + seconds(5), seconds(600));
    Deliver();
    const auto found = verdicts.find({id, {request}});
    return found == verdicts.end() ? std::nullopt
                                   : std::optional(found->second);
  }

  void Advance(duration span) {
    now += span;
    for (auto& [id, service] : services) {
      service->Tick(now);
    }
    Deliver();
  }

  struct queued_message {
    instance_id from;
    instance_id to;
    request_message body;
  };

  time_point now{seconds(100)};
  std::map<instance_id, std::unique_ptr<idempotency_service>> services;
  std::map<std::pair<instance_id, request_id>, key_verdict> verdicts;
  std::deque<queued_message> sent;
  instance_id isolated;
  bool majority = true;

 private:
  idempotency_service& Receiver(const queued_message& message) {
    return *services[message.to];
  }

  void Handle(const queued_message& message, const key_reserve& body) {
    Receiver(message).OnReserve(now, message.from, body);
  }
  void Handle(const queued_message& message, const key_reply& body) {
    Receiver(message).OnReply(now, body);
  }
  void Handle(const queued_message& message, const key_finish& body) {
    Receiver(message).OnFinish(now, message.from, body);
  }
  void Handle(const queued_message& message, const key_copy& body) {
    Receiver(message).OnCopy(now, message.from, body);
  }
  void Handle(const queued_message& message, const key_copied& body) {
    Receiver(message).OnCopied(now, message.from, body);
  }
  void Handle(const queued_message& message, const key_pull& body) {
    Receiver(message).OnPull(now, message.from, body);
  }
  void Handle(const queued_message& message, const key_transfer& body) {
    Receiver(message).OnTransfer(now, message.from, body);
  }
  template <typename Other>
  void Handle(const queued_message&, const Other&) {}
};

std::vector<std::string> Without(const std::vector<std::string>& removed) {
  std::vector<std::string> names = kNames;
  for (const std::string& name : removed) {
    std::erase(names, name);
  }
  return names;
}

std::string NameOf(instance_id id) {
  for (const std::string& name : kNames) {
    if (MakeInstanceId(name) == id) {
      return name;
    }
  }
  return {};
}

owner_pair KeyOwners() {
  return owner_ranking(MakeFleetView("i0", kNames), "r").Owners(kKey);
}

TEST_CASE("a key is granted to one request of the whole fleet") {
  key_fleet fleet;
  CHECK(fleet.Reserve("i0", 1) == key_verdict::kGranted);
  CHECK(fleet.Reserve("i1", 1) == key_verdict::kInProgress);
  fleet.services[MakeInstanceId("i0")]->Finish(fleet.now, {1}, kKey,
                                               run_state::kRun);
  fleet.Deliver();
  CHECK(fleet.Reserve("i2", 1) == key_verdict::kDone);
}

TEST_CASE("the successor of a lost owner has its grants") {
  key_fleet fleet;
  const std::string owner = NameOf(KeyOwners().owner);
  const std::vector<std::string> rest = Without({owner});
  CHECK(fleet.Reserve(rest[0], 1) == key_verdict::kGranted);
  fleet.isolated = MakeInstanceId(owner);
  fleet.Apply(rest, rest);
  fleet.Advance(seconds(2));
  CHECK(fleet.Reserve(rest[1], 1) == key_verdict::kInProgress);
}

TEST_CASE("an owner that others consider lost grants nothing") {
  key_fleet fleet;
  const std::string owner = NameOf(KeyOwners().owner);
  const std::vector<std::string> rest = Without({owner});
  fleet.Apply(rest, rest);
  fleet.Advance(seconds(2));
  CHECK(fleet.Reserve(owner, 1) == std::nullopt);
  CHECK(fleet.Reserve(rest[0], 1) == key_verdict::kGranted);
}

TEST_CASE("an owner grants nothing until its successor has a copy") {
  key_fleet fleet;
  const owner_pair pair = KeyOwners();
  const std::vector<std::string> rest =
      Without({NameOf(pair.owner), NameOf(pair.successor)});
  fleet.isolated = pair.successor;
  CHECK(fleet.Reserve(rest[0], 1) == std::nullopt);
  fleet.isolated = {};
  fleet.Advance(milliseconds(100));
  CHECK(fleet.Reserve(rest[1], 1) == key_verdict::kInProgress);
}

TEST_CASE("a key whose owner and successor were lost is unknown") {
  key_fleet fleet;
  const owner_pair pair = KeyOwners();
  const std::vector<std::string> rest =
      Without({NameOf(pair.owner), NameOf(pair.successor)});
  CHECK(fleet.Reserve(rest[0], 1) == key_verdict::kGranted);
  fleet.Advance(seconds(3));
  fleet.Apply(rest, rest);
  CHECK(fleet.Reserve(rest[1], 2) == std::nullopt);
  fleet.Advance(seconds(2));
  CHECK(fleet.Reserve(rest[1], 1) == key_verdict::kUnknown);
}

TEST_CASE(
    "an owner from the minority side grants nothing before all pulls "
    "complete") {
  key_fleet fleet;
  const owner_pair pair = KeyOwners();
  const std::vector<std::string> small = {NameOf(pair.owner),
                                          NameOf(pair.successor)};
  const std::vector<std::string> large = Without(small);
  fleet.majority = false;
  fleet.Apply(small, small);
  fleet.Advance(seconds(2));
  fleet.majority = true;
  fleet.isolated = MakeInstanceId(large[0]);
  fleet.Apply(small, kNames);
  fleet.Apply(large, kNames);
  // One instance of the majority side has not answered the pull.
  CHECK(fleet.Reserve(small[0], 1) == std::nullopt);
}

TEST_CASE("a new owner pulls the keys before it decides") {
  key_fleet fleet;
  const std::string newcomer = NameOf(KeyOwners().owner);
  const std::vector<std::string> old = Without({newcomer});
  idempotency_service& service = *fleet.services[MakeInstanceId(newcomer)];
  service.OnPause();
  fleet.Apply(old, old);
  fleet.Advance(seconds(2));
  CHECK(fleet.Reserve(old[0], 1) == key_verdict::kGranted);
  fleet.Apply(kNames, kNames);
  service.OnResumed(fleet.now);
  fleet.Deliver();
  CHECK(fleet.Reserve(old[1], 1) == key_verdict::kInProgress);
}

}  // namespace
}  // namespace rosemaryreach
