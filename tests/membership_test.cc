#include "rosemaryreach/membership.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace rosemaryreach {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instance_info MakeInfo(const std::string& name, const char* data_centre = "d") {
  instance_info info;
  info.name = name;
  info.id = MakeInstanceId(name);
  info.data_centre = data_centre;
  info.region = "r";
  info.address = ParseIp("10.0.0.1").value();
  info.address.bytes[15] = static_cast<std::uint8_t>(name.back());
  info.control_port = 1;
  info.grpc_port = 2;
  info.incarnation = 100;
  info.state = instance_state::kActive;
  return info;
}

member_record MakeRecord(const std::string& name,
                         const char* data_centre = "d") {
  return {MakeInfo(name, data_centre), 1, liveness::kAlive, false};
}

// One member; the test simulates its peers.
class fixture {
 public:
  fixture() : self({}, MakeInfo("self"), {}, 1) { self.Tick(now); }

  // Receives gossip and a sync reply of `peers`, after which the view is
  // trusted.
  void Join(const std::vector<std::string>& peers) {
    control_message reply = From(peers[0], sync_reply{true});
    for (const std::string& name : peers) {
      reply.members.push_back(MakeRecord(name));
    }
    Receive(From(peers[0], gossip{}, {MakeRecord(peers[0])}));
    Receive(reply);
    REQUIRE(self.trusted());
  }

  static control_message From(const std::string& name,
                              control_body body,
                              std::vector<member_record> members = {}) {
    control_message message;
    message.from = MakeInstanceId(name);
    message.incarnation = 100;
    message.live_count = 3;
    message.body = std::move(body);
    message.members = std::move(members);
    return message;
  }

  membership_actions Receive(const control_message& message) {
    return self.OnMessage(now, {}, message);
  }

  // Ticks for `span`; peers in `answering` answer pings. Returns what was sent.
  std::vector<outgoing_message> Run(
      duration span,
      const std::vector<std::string>& answering = {}) {
    std::vector<outgoing_message> sent;
    const time_point end = now + span;
    while (now < end) {
      now += milliseconds(50);
      for (const outgoing_message& one : self.Tick(now).send) {
        sent.push_back(one);
        const ping* asked = std::get_if<ping>(&one.message.body);
        for (const std::string& name : answering) {
          if (asked != nullptr && MakeInstanceId(name) == one.to) {
            Receive(From(name, ack{asked->sequence, one.to}));
          }
        }
      }
    }
    return sent;
  }

  bool InView(const std::string& name) const {
    return FindInstance(self.view(), MakeInstanceId(name)) != nullptr;
  }

  member_record SelfRecord(std::uint32_t revision, liveness health) const {
    member_record claim{MakeInfo("self"), revision, health, false};
    claim.info.incarnation = self.incarnation();
    return claim;
  }

  time_point now = time_point(seconds(1'000));
  membership self;
};

TEST_CASE(
    "a joining member trusts its view after a reply of a trusted member") {
  fixture test;
  CHECK_FALSE(test.self.trusted());
  test.Receive(fixture::From("a", gossip{}, {MakeRecord("a")}));
  test.Receive(fixture::From("a", sync_reply{false}));
  CHECK_FALSE(test.self.trusted());
  test.Receive(fixture::From("a", sync_reply{true}));
  CHECK(test.self.trusted());
  CHECK(test.InView("a"));
}

TEST_CASE("without peers the view is trusted after the isolation timeout") {
  fixture test;
  test.Run(milliseconds(membership_options{}.isolation_timeout_ms - 100));
  CHECK_FALSE(test.self.trusted());
  test.Run(milliseconds(100));
  CHECK(test.self.trusted());
  CHECK(test.self.view().instances.size() == 1);
}

TEST_CASE(
    "the view is not trusted while another data centre's state is unknown") {
  fixture test;
  test.Receive(fixture::From("a", gossip{}, {MakeRecord("a")}));
  control_message reply = fixture::From("a", sync_reply{true});
  reply.members = {MakeRecord("a"), MakeRecord("x", "other")};
  test.Receive(reply);
  CHECK_FALSE(test.self.trusted());
  SECTION("until a contact reports its link") {
    control_message report = fixture::From("a", gossip{});
    report.votes = {{MakeInstanceId("a"), "other", 1, true}};
    test.Receive(report);
    test.Run(milliseconds(50), {"a"});
    CHECK(test.self.trusted());
    CHECK(test.InView("x"));
  }
  SECTION("until the link times out") {
    test.Run(milliseconds(membership_options{}.link_timeout_ms + 600), {"a"});
    CHECK(test.self.trusted());
    CHECK_FALSE(test.InView("x"));
  }
}

TEST_CASE("the only member of a data centre trusts its view after a link ack") {
  fixture test;
  test.Receive(fixture::From("x", gossip{}, {MakeRecord("x", "other")}));
  test.Receive(fixture::From("x", sync_reply{true}));
  const std::vector<outgoing_message> sent = test.Run(milliseconds(50));
  bool linked = false;
  for (const outgoing_message& message : sent) {
    if (const auto* asked = std::get_if<link_ping>(&message.message.body)) {
      test.Receive(fixture::From("x", link_ack{asked->sequence}));
      linked = true;
    }
  }
  CHECK(linked);
  test.Run(milliseconds(50));
  CHECK(test.self.trusted());
  CHECK(test.InView("x"));
}

TEST_CASE("a silent member is suspected, notified and then declared dead") {
  fixture test;
  test.Join({"a", "b"});
  const std::vector<outgoing_message> sent = test.Run(seconds(2), {"b"});
  CHECK(test.self.counters().suspicions == 1);
  CHECK(test.InView("a"));
  std::size_t notified = 0;
  std::size_t indirect = 0;
  for (const outgoing_message& message : sent) {
    const auto& members = message.message.members;
    notified += message.to == MakeInstanceId("a") && !members.empty() &&
                        members[0].health == liveness::kSuspect
                    ? 1
                    : 0;
    indirect += std::holds_alternative<ping_request>(message.message.body);
  }
  CHECK(notified > 0);
  CHECK(indirect > 0);
  test.Run(milliseconds(1'500), {"b"});
  CHECK_FALSE(test.InView("a"));
  CHECK(test.InView("b"));
}

TEST_CASE("an indirect ack keeps a member alive") {
  fixture test;
  test.Join({"a", "b"});
  for (int tick = 0; tick < 200; ++tick) {
    test.now += milliseconds(50);
    for (const outgoing_message& sent : test.self.Tick(test.now).send) {
      const auto& body = sent.message.body;
      if (const ping* asked = std::get_if<ping>(&body);
          asked != nullptr && sent.to == MakeInstanceId("b")) {
        test.Receive(fixture::From("b", ack{asked->sequence, sent.to}));
      }
      if (const auto* indirect = std::get_if<ping_request>(&body)) {
        test.Receive(
            fixture::From("b", ack{indirect->sequence, indirect->subject}));
      }
    }
  }
  CHECK(test.InView("a"));
  CHECK(test.self.counters().suspicions == 0);
}

TEST_CASE("a member refutes its own suspicion with a higher revision") {
  fixture test;
  test.Join({"a", "b"});
  test.Receive(
      fixture::From("a", gossip{}, {test.SelfRecord(5, liveness::kSuspect)}));
  CHECK(test.self.counters().refutations == 1);
  CHECK(test.self.incarnation() == 100);
  bool refuted = false;
  for (const outgoing_message& sent : test.Run(milliseconds(200))) {
    for (const member_record& record : sent.message.members) {
      refuted = refuted || (record.info.id == MakeInstanceId("self") &&
                            record.revision == 6);
    }
  }
  CHECK(refuted);
}

TEST_CASE(
    "a member declared dead by a live peer rejoins with a new incarnation") {
  fixture test;
  test.Join({"a", "b"});
  test.Receive(
      fixture::From("a", gossip{}, {test.SelfRecord(5, liveness::kDead)}));
  CHECK(test.self.incarnation() == 101);
  CHECK(test.self.state() == instance_state::kJoining);
  CHECK_FALSE(test.self.trusted());
}

TEST_CASE("after a partition the smaller side rejoins") {
  for (const std::uint32_t others : {2, 9}) {
    fixture test;
    test.Join({"a", "b", "c"});
    test.Run(seconds(5), {"b", "c"});
    REQUIRE_FALSE(test.InView("a"));
    control_message claim =
        fixture::From("a", gossip{}, {test.SelfRecord(5, liveness::kDead)});
    claim.live_count = others;
    test.Receive(claim);
    const bool rejoined = test.self.incarnation() == 101;
    CHECK(rejoined == (others == 9));
    CHECK((test.self.state() == instance_state::kActive) == !rejoined);
  }
}

TEST_CASE("a much smaller side cannot declare members of the larger one dead") {
  fixture test;
  test.Join({"a", "b", "c", "e"});
  member_record dead = MakeRecord("b");
  dead.health = liveness::kDead;
  control_message claim = fixture::From("a", gossip{}, {dead});
  claim.live_count = 1;
  test.Receive(claim);
  CHECK(test.InView("b"));
  claim.live_count = 5;
  test.Receive(claim);
  CHECK_FALSE(test.InView("b"));
}

TEST_CASE("after a pause the view is not trusted until a peer has answered") {
  fixture test;
  test.Join({"a", "b"});
  test.now += seconds(60);
  SECTION("a message comes first") {
    test.Receive(fixture::From("a", ping{1}));
  }
  SECTION("a tick comes first") {
    test.self.Tick(test.now);
  }
  CHECK_FALSE(test.self.trusted());
  CHECK(test.self.state() == instance_state::kJoining);
  CHECK(test.self.incarnation() == 101);
  control_message reply = fixture::From("a", sync_reply{true});
  reply.members = {MakeRecord("a")};
  test.Receive(reply);
  CHECK(test.self.trusted());
  CHECK(test.InView("a"));
  CHECK_FALSE(test.InView("b"));
}

TEST_CASE("a short delay cancels probes but keeps the view") {
  fixture test;
  test.Join({"a", "b"});
  test.Run(milliseconds(100));
  test.now += milliseconds(900);
  test.self.Tick(test.now);
  CHECK(test.self.trusted());
  CHECK(test.self.counters().suspicions == 0);
}

TEST_CASE("an isolated member declares all others dead and trusts its view") {
  fixture test;
  test.Join({"a", "b", "c"});
  test.Run(milliseconds(membership_options{}.isolation_timeout_ms + 100));
  CHECK(test.self.view().instances.size() == 1);
  CHECK(test.self.trusted());
}

TEST_CASE(
    "a restart with a lower incarnation raises it above the previous one") {
  fixture test;
  member_record previous{MakeInfo("self"), 0, liveness::kDead, false};
  previous.info.incarnation = 5'000;
  test.Receive(fixture::From("a", gossip{}, {MakeRecord("a")}));
  test.Receive(fixture::From("a", gossip{}, {previous}));
  CHECK(test.self.incarnation() == 5'001);
}

TEST_CASE("a newer incarnation replaces the older and not vice versa") {
  fixture test;
  test.Join({"a"});
  member_record restarted = MakeRecord("a");
  restarted.info.incarnation = 200;
  restarted.info.state = instance_state::kJoining;
  test.Receive(fixture::From("a", gossip{}, {restarted}));
  test.Receive(fixture::From("a", gossip{}, {MakeRecord("a")}));
  const instance_info* seen =
      FindInstance(test.self.view(), MakeInstanceId("a"));
  REQUIRE(seen != nullptr);
  CHECK(seen->incarnation == 200);
  CHECK(seen->state == instance_state::kJoining);
}

TEST_CASE("a planned leave takes effect at once and is announced") {
  fixture test;
  test.Join({"a", "b"});
  member_record left = MakeRecord("a");
  ++left.revision;
  left.health = liveness::kLeft;
  test.Receive(fixture::From("a", gossip{}, {left}));
  CHECK_FALSE(test.InView("a"));
  const membership_actions actions = test.self.Leave();
  REQUIRE_FALSE(actions.send.empty());
  CHECK(actions.send[0].message.members.at(0).health == liveness::kLeft);
  CHECK(test.Run(seconds(5)).empty());
}

TEST_CASE("another data centre cannot declare members of this one dead") {
  fixture test;
  test.Join({"a", "b"});
  test.Receive(fixture::From("x", gossip{}, {MakeRecord("x", "other")}));
  member_record dead = MakeRecord("b");
  dead.health = liveness::kDead;
  test.Receive(fixture::From("x", gossip{}, {dead}));
  CHECK(test.InView("b"));
}

TEST_CASE("another data centre is in the view while a contact reaches it") {
  fixture test;
  test.Join({"a", "b"});
  test.Receive(fixture::From("x", gossip{}, {MakeRecord("x", "other")}));
  CHECK_FALSE(test.InView("x"));
  const auto vote = [&](bool up, std::uint64_t version) {
    control_message message = fixture::From("a", gossip{});
    message.votes = {{MakeInstanceId("a"), "other", version, up}};
    test.Receive(message);
    test.Run(milliseconds(50), {"a", "b"});
  };
  vote(true, 1);
  CHECK(test.InView("x"));
  vote(false, 2);
  CHECK_FALSE(test.InView("x"));
  vote(true, 1);
  CHECK_FALSE(test.InView("x"));
}

TEST_CASE("a summary applies only if its members digest matches") {
  fixture test;
  test.Join({"a", "b"});
  test.self.SetConfiguration(test.now, 7, 7);
  const auto number_of = [&](const char* name) {
    return FindInstance(test.self.view(), MakeInstanceId(name))
        ->configuration_number;
  };
  data_centre_summary summary;
  summary.data_centre = "d";
  summary.region = "r";
  summary.version = 1'000;
  summary.minimum_number = 7;
  summary.members_digest = 1;
  control_message message = fixture::From("a", gossip{});
  message.centres = {summary};
  test.Receive(message);
  CHECK(number_of("b") == 0);
  summary.version = 1'001;
  summary.members_digest = 0;
  for (const char* name : {"a", "b", "self"}) {
    summary.members_digest += HashPair(MakeInstanceId(name).value, 100);
  }
  message.centres = {summary};
  test.Receive(message);
  CHECK(number_of("b") == 7);
}

// Generates records that can be decoded, with and without known members.
rc::Gen<member_record> AnyRecord() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, 5), rc::gen::inRange(98, 103),
                     rc::gen::inRange(0, 4), rc::gen::inRange(0, 4),
                     rc::gen::inRange(0, 3), rc::gen::arbitrary<bool>()),
      [](const std::tuple<int, int, int, int, int, bool>& any) {
        const auto& [name, incarnation, revision, health, state, compact] = any;
        const std::vector<std::string> names = {"self", "a", "b", "c", "x"};
        member_record record =
            MakeRecord(names[name], name == 4 ? "other" : "d");
        record.info.incarnation = incarnation;
        record.info.state = instance_state(state);
        record.revision = revision;
        record.health = liveness(health);
        record.compact = compact;
        return record;
      });
}

TEST_CASE(
    "messages of authentic peers never remove or duplicate this instance") {
  CHECK(rc::check("random messages and delays", [] {
    fixture test;
    test.Join({"a", "b", "c"});
    std::uint64_t incarnation = test.self.incarnation();
    const std::vector<control_body> bodies = {
        ping{1},         ack{1, MakeInstanceId("a")},
        gossip{},        link_ping{1, 1},
        link_ack{1},     ping_request{1, MakeInstanceId("b")},
        sync_reply{true}};
    const int steps = *rc::gen::inRange(1, 40);
    for (int step = 0; step < steps; ++step) {
      const std::vector<std::string> senders = {"a", "b", "x", "z"};
      control_message message = fixture::From(
          senders[*rc::gen::inRange(0, 4)],
          bodies[*rc::gen::inRange<std::size_t>(0, bodies.size())]);
      message.members =
          *rc::gen::container<std::vector<member_record>>(AnyRecord());
      message.live_count = *rc::gen::inRange(0, 10);
      message.incarnation = *rc::gen::inRange(98, 103);
      test.Receive(message);
      test.now += milliseconds(*rc::gen::inRange(0, 3'000));
      test.self.Tick(test.now);
      const auto& instances = test.self.view().instances;
      RC_ASSERT(std::count_if(instances.begin(), instances.end(),
                              [](const instance_info& info) {
                                return info.name == "self";
                              }) == 1);
      RC_ASSERT(
          std::is_sorted(instances.begin(), instances.end(),
                         [](const instance_info& a, const instance_info& b) {
                           return a.id < b.id;
                         }));
      RC_ASSERT(test.self.incarnation() >= incarnation);
      incarnation = test.self.incarnation();
    }
  }));
}

}  // namespace
}  // namespace rosemaryreach
