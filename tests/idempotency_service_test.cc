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

// Key services of several instances and the letters between them.
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

  void Apply(const std::vector<std::string>& at,
             const std::vector<std::string>& in_view) {
    for (const std::string& name : at) {
      services[MakeInstanceId(name)]->ApplyView(now,
                                                MakeFleetView(name, in_view));
    }
    Deliver();
  }

  void Deliver() {
    while (!sent.empty()) {
      const letter next = sent.front();
      sent.pop_front();
      if (next.to != silent && next.from != silent) {
        std::visit([this, &next](const auto& body) { Take(next, body); },
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

  void Pass(duration span) {
    now += span;
    for (auto& [id, service] : services) {
      service->Tick(now);
    }
    Deliver();
  }

  struct letter {
    instance_id from;
    instance_id to;
    request_message body;
  };

  time_point now{seconds(100)};
  std::map<instance_id, std::unique_ptr<idempotency_service>> services;
  std::map<std::pair<instance_id, request_id>, key_verdict> verdicts;
  std::deque<letter> sent;
  instance_id silent;
  bool majority = true;

 private:
  idempotency_service& At(const letter& one) { return *services[one.to]; }

  void Take(const letter& one, const key_reserve& body) {
    At(one).OnReserve(now, one.from, body);
  }
  void Take(const letter& one, const key_reply& body) {
    At(one).OnReply(now, body);
  }
  void Take(const letter& one, const key_finish& body) {
    At(one).OnFinish(now, one.from, body);
  }
  void Take(const letter& one, const key_copy& body) {
    At(one).OnCopy(now, one.from, body);
  }
  void Take(const letter& one, const key_copied& body) {
    At(one).OnCopied(now, one.from, body);
  }
  void Take(const letter& one, const key_pull& body) {
    At(one).OnPull(now, one.from, body);
  }
  void Take(const letter& one, const key_transfer& body) {
    At(one).OnTransfer(now, one.from, body);
  }
  template <typename Other>
  void Take(const letter&, const Other&) {}
};

std::vector<std::string> Without(const std::vector<std::string>& gone) {
  std::vector<std::string> names = kNames;
  for (const std::string& name : gone) {
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

TEST_CASE("the successor of a lost owner knows what it granted") {
  key_fleet fleet;
  const std::string owner = NameOf(KeyOwners().owner);
  const std::vector<std::string> rest = Without({owner});
  CHECK(fleet.Reserve(rest[0], 1) == key_verdict::kGranted);
  fleet.silent = MakeInstanceId(owner);
  fleet.Apply(rest, rest);
  fleet.Pass(seconds(2));
  CHECK(fleet.Reserve(rest[1], 1) == key_verdict::kInProgress);
}

TEST_CASE("an owner that others have given up grants nothing") {
  key_fleet fleet;
  const std::string owner = NameOf(KeyOwners().owner);
  const std::vector<std::string> rest = Without({owner});
  fleet.Apply(rest, rest);
  fleet.Pass(seconds(2));
  CHECK(fleet.Reserve(owner, 1) == std::nullopt);
  CHECK(fleet.Reserve(rest[0], 1) == key_verdict::kGranted);
}

TEST_CASE("an owner grants nothing until its successor has a copy") {
  key_fleet fleet;
  const owner_pair pair = KeyOwners();
  const std::vector<std::string> rest =
      Without({NameOf(pair.owner), NameOf(pair.successor)});
  fleet.silent = pair.successor;
  CHECK(fleet.Reserve(rest[0], 1) == std::nullopt);
  fleet.silent = {};
  fleet.Pass(milliseconds(100));
  CHECK(fleet.Reserve(rest[1], 1) == key_verdict::kInProgress);
}

TEST_CASE("a key whose owner and successor were lost is unknown") {
  key_fleet fleet;
  const owner_pair pair = KeyOwners();
  const std::vector<std::string> rest =
      Without({NameOf(pair.owner), NameOf(pair.successor)});
  CHECK(fleet.Reserve(rest[0], 1) == key_verdict::kGranted);
  fleet.Pass(seconds(3));
  fleet.Apply(rest, rest);
  CHECK(fleet.Reserve(rest[1], 2) == std::nullopt);
  fleet.Pass(seconds(2));
  CHECK(fleet.Reserve(rest[1], 1) == key_verdict::kUnknown);
}

TEST_CASE("what the smaller part of a split knew does not count after it") {
  key_fleet fleet;
  const owner_pair pair = KeyOwners();
  const std::vector<std::string> small = {NameOf(pair.owner),
                                          NameOf(pair.successor)};
  const std::vector<std::string> large = Without(small);
  fleet.majority = false;
  fleet.Apply(small, small);
  fleet.Pass(seconds(2));
  fleet.majority = true;
  fleet.silent = MakeInstanceId(large[0]);
  fleet.Apply(small, kNames);
  fleet.Apply(large, kNames);
  // One instance of the larger part has not told what it knows.
  CHECK(fleet.Reserve(small[0], 1) == std::nullopt);
}

TEST_CASE("a new owner takes the keys over before it decides") {
  key_fleet fleet;
  const std::string newcomer = NameOf(KeyOwners().owner);
  const std::vector<std::string> old = Without({newcomer});
  idempotency_service& service = *fleet.services[MakeInstanceId(newcomer)];
  service.OnPause();
  fleet.Apply(old, old);
  fleet.Pass(seconds(2));
  CHECK(fleet.Reserve(old[0], 1) == key_verdict::kGranted);
  fleet.Apply(kNames, kNames);
  service.OnResumed(fleet.now);
  fleet.Deliver();
  CHECK(fleet.Reserve(old[1], 1) == key_verdict::kInProgress);
}

}  // namespace
}  // namespace rosemaryreach
