// Malformed input to the decoders of rosemaryreachd. No input may end the
// process or be accepted with a value that later arithmetic can't hold.
#include <catch2/catch.hpp>
#include <memory>

#include "adapters/platform_documents.h"
#include "config_sample.h"
#include "fuzz_input.h"
#include "rosemaryreach/control_messages.h"
#include "rosemaryreach/detour_frame.h"
#include "rosemaryreach/flow_messages.h"
#include "rosemaryreach/flow_router.h"
#include "rosemaryreach/packet.h"
#include "rosemaryreach/patch.h"
#include "rosemaryreach/peer_auth.h"
#include "rosemaryreach/request_messages.h"
#include "rosemaryreach/settings.h"

namespace rosemaryreach {
namespace {

const instance_id kFrom = MakeInstanceId("a");
const std::string kKey(kMinPeerKeyBytes, 'k');

member_record SampleMember() {
  member_record record;
  record.info.id = MakeInstanceId("b");
  record.info.name = "b";
  record.info.data_centre = "d";
  record.info.region = "r";
  record.info.address = ParseIp("10.1.2.3").value();
  return record;
}

std::vector<control_body> SampleBodies() {
  return {ack{2, kFrom},
          sync_request{{1, 2, 3}, false},
          log_request{{4, 5, 6}},
          log_reply{{{1, 1, 2, "part"}, {2, 0, 0, "patch"}}},
          configuration_digest{1, 2, 3, true},
          flow_state{"pins"},
          request_state{"slots"}};
}

flow_message SampleFlowMessage(flow_message_kind kind) {
  flow_message message;
  message.kind = kind;
  message.configuration_number = 1;
  message.service = HashBytes("ledger");
  message.parts = 2;
  message.buckets = {{7, 100, 2, true}, {65'535, 200, 0, false}};
  message.pins = {{0x123456789abc, 100}, {1, 200}};
  message.targets = {{100, 9, target_condition::kCold}};
  return message;
}

std::vector<request_message> SampleRequestMessages() {
  handover_grant grant;
  grant.target = {1};
  grant.ends_in = duration(5);
  grant.warm_percent = 7;
  const key_record record{
      1, 2, {3}, {4}, key_state::kReserved, duration(5), duration(6)};
  return {grant, key_reserve{1, {2}, duration(3), duration(4)},
          key_copy{record}, key_transfer{1, 2, 3, {record, record}}};
}

std::vector<std::uint8_t> ToBytes(const std::string& text) {
  return {text.begin(), text.end()};
}

// An IPv4 packet with a TCP segment, or with an ICMP error about one.
std::string SamplePacket(bool icmp) {
  std::string tcp(40, '\0');
  tcp[0] = 0x45;
  tcp[3] = 40;
  tcp[9] = 6;
  tcp[32] = 0x50;
  tcp[33] = 0x02;
  if (!icmp) {
    return tcp;
  }
  std::string error = tcp.substr(0, 20) + std::string("\x03\0\0\0\0\0\0\0", 8);
  error[3] = 68;
  error[9] = 1;
  return error + tcp;
}

TEST_CASE("Malformed control messages are refused") {
  for (const control_body& body : SampleBodies()) {
    control_message message;
    message.body = body;
    message.members = {SampleMember()};
    message.centres = {{"d", "r", 1, 2, 3, 4, {{kFrom, {}, 8}}}};
    message.votes = {{kFrom, "d", 5, true}};
    FuzzDecoder(EncodeMessage(message), [](const std::string& bytes) {
      (void)DecodeMessage(kFrom, bytes);
    });
  }
}

TEST_CASE("Altered sealed datagrams are refused") {
  peer_auth sender(kFrom, {kKey}, 1);
  peer_auth receiver(MakeInstanceId("b"), {kKey}, 1);
  const std::string sealed = sender.Seal(MakeInstanceId("b"), "payload");
  FuzzDecoder(sealed, [&](const std::string& bytes) {
    CHECK((bytes == sealed || !receiver.Open(bytes)));
  });
}

// A router with the sample configuration also handles what was decoded.
TEST_CASE("Malformed flow messages are refused or harmless") {
  null_log_sink log;
  flow_router router(flow_router_options(), log);
  const time_point now(std::chrono::seconds(1'000));
  router.ApplyConfiguration(
      std::make_shared<configuration>(SampleConfiguration()), now);
  for (int kind = 0;
       kind <= static_cast<int>(flow_message_kind::kTargetConditions); ++kind) {
    const flow_message sample =
        SampleFlowMessage(static_cast<flow_message_kind>(kind));
    FuzzDecoder(EncodeFlowMessage(sample), [&](const std::string& bytes) {
      const result<flow_message> read = DecodeFlowMessage(AsBytes(bytes));
      if (read) {
        router.OnMessage(kFrom, read.value(), now);
      }
    });
    router.Tick(now);
  }
}

TEST_CASE("Malformed request messages are refused") {
  for (const request_message& sample : SampleRequestMessages()) {
    FuzzDecoder(EncodeRequestMessage(sample), [](const std::string& bytes) {
      (void)DecodeRequestMessage(bytes);
    });
  }
}

// Sums with points in time would wrap, so that a key or slot never expires.
TEST_CASE("Times out of range in request messages are refused") {
  for (const duration wrong : {duration::max(), duration::min()}) {
    handover_grant grant;
    grant.ends_in = wrong;
    const key_record record{1, 2, {3}, {4}, key_state::kReserved, wrong, {}};
    for (const request_message& message : std::vector<request_message>{
             grant, key_reserve{1, {2}, wrong, duration(4)},
             key_reserve{1, {2}, duration(4), wrong}, key_copy{record},
             key_transfer{1, 0, 1, {record}}}) {
      CHECK_FALSE(DecodeRequestMessage(EncodeRequestMessage(message)));
    }
  }
}

TEST_CASE("Malformed packets and detour frames are classified") {
  for (const bool icmp : {false, true}) {
    FuzzDecoder(SamplePacket(icmp), [](const std::string& text) {
      const std::vector<std::uint8_t> bytes = ToBytes(text);
      std::vector<std::uint8_t> reset(kMaxResetBytes);
      ParsePacket(bytes);
      CHECK(BuildReset(bytes, reset) <= reset.size());
    });
  }
  std::vector<std::uint8_t> frame(kDetourHeaderBytes);
  REQUIRE(EncodeDetour({1, true, kFrom, 2, 3, 4}, frame));
  FuzzDecoder({frame.begin(), frame.end()}, [](const std::string& text) {
    const std::optional<detour_info> read = DecodeDetour(ToBytes(text));
    CHECK((!read || (read->hops > 0 && read->hops <= kMaxDetourHops)));
  });
}

TEST_CASE("Malformed configurations, patches and settings are refused") {
  FuzzDecoder(kSampleText,
              [](const std::string& text) { CheckConfiguration(text); });
  const configuration config = SampleConfiguration();
  patch valid{1, "a", nlohmann::json::parse(R"([
    {"op":"copy","from":"/services/ledger","path":"/services/z"},
    {"op":"replace","path":"/services/z/addresses/0","value":"10.8.0.1:1"},
    {"op":"move","from":"/services/z/targets","path":"/services/z/x"}])")};
  fuzz_input input(FuzzSetting("FUZZ_SEED", 1));
  const std::string operations = valid.operations.dump();
  for (int round = 0; round < 3'000; ++round) {
    valid.operations =
        nlohmann::json::parse(input.Mutate(operations), nullptr, false);
    if (!valid.operations.is_discarded()) {
      (void)ParsePatch(FormatPatch(valid));
      (void)ApplyPatch(config, valid);
    }
  }
  FuzzDecoder(R"({"instance":"a","data_centre":"d","region":"r",)"
              R"("address":"10.0.0.1","platform":{"directory":"/x"}})",
              [](const std::string& text) { CheckSettings(text, "f"); });
}

TEST_CASE("Malformed pages and instance lists of the platform are refused") {
  platform_page page;
  page.head_sequence = 2;
  page.entries = {{1, 1, 2, "x"}, {2, 0, 0, "y"}};
  const std::string whole = FormatPage(page).value();
  for (std::size_t bytes = 0; bytes < whole.size(); ++bytes) {
    CHECK_FALSE(ParsePage(whole.substr(0, bytes)));
  }
  FuzzDecoder(whole, [](const std::string& text) { (void)ParsePage(text); });
  FuzzDecoder(R"({"instances":[{"name":"a","data_centre":"d","region":"r",)"
              R"("address":"10.0.0.1","control_port":1,"grpc_port":2}]})",
              [](const std::string& text) { (void)ParseInstanceList(text); });
}

// Destroying and copying nested values recurses; the parser must stop early.
TEST_CASE("Deeply nested documents are refused") {
  const std::string nested(1'000'000, '[');
  CHECK_FALSE(ParsePage(nested));
  CHECK_FALSE(ParsePatch(nested));
  CHECK_FALSE(CheckConfiguration(nested).ok());
  CHECK_FALSE(CheckSettings(nested, "f").ok());
}

TEST_CASE("Altered entries of the published log never throw") {
  const configuration config = SampleConfiguration();
  const log_entry part =
      MakeSnapshot(config, snapshot_kind::kPublished, 1, 500'000).at(0);
  fuzz_input input(FuzzSetting("FUZZ_SEED", 1));
  for (int round = 0; round < 2'000; ++round) {
    patch_log log([](const accepted_change&) {});
    log_entry altered = part;
    altered.text = input.Mutate(part.text);
    altered.part += static_cast<std::uint32_t>(round % 3) - 1;
    log.ApplyEntry(altered);
  }
}

}  // namespace
}  // namespace rosemaryreach
