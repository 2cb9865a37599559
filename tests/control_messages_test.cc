#include "rosemaryreach/control_messages.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "peer.pb.h"

namespace rosemaryreach {
namespace {

const instance_id kFrom = MakeInstanceId("a");

member_record MakeRecord(const std::string& name) {
  member_record record;
  record.info.id = MakeInstanceId(name);
  record.info.name = name;
  record.info.data_centre = "d";
  record.info.region = "r";
  record.info.address = ParseIp("10.1.2.3").value();
  record.info.control_port = 65'535;
  record.info.incarnation = 7;
  record.info.state = instance_state::kLeaving;
  record.info.configuration_number = 9;
  record.revision = 3;
  record.health = liveness::kSuspect;
  return record;
}

std::vector<control_body> AllBodies() {
  return {ping{1},
          ack{2, kFrom},
          ping_request{3, kFrom},
          gossip{},
          sync_request{{1, 2, 3}, false},
          sync_reply{true},
          log_request{{4, 5, 6}},
          log_reply{{{1, 1, 2, "part"}, {2, 0, 0, "patch"}}},
          link_ping{4, 5},
          link_ack{5},
          configuration_digest{1, 2, 3, true},
          sequence_notice{6},
          flow_state{std::string("\0pins", 5)},
          request_state{"slots"}};
}

TEST_CASE("decoding an encoded message of any kind returns the same message") {
  const std::vector<control_body> bodies = AllBodies();
  REQUIRE(bodies.size() == std::variant_size_v<control_body>);
  for (const control_body& body : bodies) {
    control_message message;
    message.from = kFrom;
    message.incarnation = 1;
    message.configuration_number = 2;
    message.configuration_sequence = 3;
    message.table_digest = 4;
    message.votes_digest = 5;
    message.live_count = 6;
    message.body = body;
    message.members = {MakeRecord("b")};
    message.members[0].info.address = ParseIp("2001:db8::1").value();
    message.centres = {{"d", "r", 1, 2, 3, 4, {{kFrom, {}, 8}}}};
    message.votes = {{kFrom, "d", 5, true}};
    const std::string bytes = EncodeMessage(message);
    CHECK(bytes.size() == EncodedSize(message));
    const result<control_message> decoded = DecodeMessage(kFrom, bytes);
    REQUIRE(decoded);
    CHECK(EncodeMessage(decoded.value()) == bytes);
    CHECK(decoded.value().body.index() == body.index());
    CHECK(decoded.value().members == message.members);
    CHECK(decoded.value().centres == message.centres);
    CHECK(decoded.value().votes == message.votes);
  }
}

TEST_CASE("a compact record has the member's state but no name or location") {
  control_message message;
  message.body = gossip{};
  message.members = {MakeRecord("b")};
  message.members[0].compact = true;
  const result<control_message> decoded =
      DecodeMessage(kFrom, EncodeMessage(message));
  REQUIRE(decoded);
  const member_record& record = decoded.value().members.at(0);
  CHECK(record.compact);
  CHECK(record.info.name.empty());
  CHECK(record.revision == 3);
  CHECK(record.health == liveness::kSuspect);
}

TEST_CASE("records with invalid values are rejected") {
  wire::Datagram valid;
  valid.mutable_gossip();
  wire::Member& member = *valid.add_members();
  member.set_id(MakeInstanceId("b").value);
  member.set_name("b");
  member.set_data_centre("d");
  member.set_region("r");
  member.set_address("\1\2\3\4");
  REQUIRE(DecodeMessage(kFrom, valid.SerializeAsString()));

  const std::vector<std::function<void(wire::Member&)>> faults = {
      [](wire::Member& m) { m.set_id(1); },
      [](wire::Member& m) { m.set_state(3); },
      [](wire::Member& m) { m.set_health(4); },
      [](wire::Member& m) { m.set_control_port(65'536); },
      [](wire::Member& m) { m.set_address("\1\2\3"); },
      [](wire::Member& m) { m.set_data_centre(""); },
      [](wire::Member& m) { m.set_region(std::string(1'000, 'r')); }};
  for (const auto& fault : faults) {
    wire::Datagram invalid = valid;
    fault(*invalid.mutable_members(0));
    const result<control_message> decoded =
        DecodeMessage(kFrom, invalid.SerializeAsString());
    REQUIRE_FALSE(decoded);
    CHECK(decoded.error().code == errc::kUnsupported);
  }
}

TEST_CASE("a message without a known body is rejected") {
  wire::Datagram empty;
  CHECK_FALSE(DecodeMessage(kFrom, empty.SerializeAsString()));
  empty.mutable_sync_request()->add_digests(1);
  CHECK_FALSE(DecodeMessage(kFrom, empty.SerializeAsString()));
}

TEST_CASE(
    "random bytes never change the sender, truncated messages are rejected") {
  CHECK(rc::check("random bytes", [](const std::string& bytes) {
    const result<control_message> decoded = DecodeMessage(kFrom, bytes);
    const bool sender_kept = !decoded || decoded.value().from == kFrom;
    RC_ASSERT(sender_kept);
  }));
  control_message message;
  message.body = flow_state{"0123456789"};
  const std::string bytes = EncodeMessage(message);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    const result<control_message> decoded =
        DecodeMessage(kFrom, std::string_view(bytes).substr(0, size));
    CHECK_FALSE(decoded);
  }
}

}  // namespace
}  // namespace rosemaryreach
