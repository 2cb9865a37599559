// Malformed input to the decoders of rosemaryreach-entry. No input may end the
// process or be accepted with a value that later arithmetic can't hold.
#include <absl/strings/escaping.h>

#include <catch2/catch.hpp>
#include <limits>

#include "adapters/deflate.h"
#include "fuzz_input.h"
#include "packet_header.h"
#include "platform_settings_file.h"
#include "rosemaryreach/peer_group.h"
#include "rosemaryreach/view_codec.h"
#include "store_documents.h"

namespace rosemaryreach {
namespace {

// Deep enough to exhaust a stack of 8 MB if each level takes a call.
constexpr std::size_t kDeepNesting = 1'000'000;

const std::string kTarget =
    R"({"service":"pay","address":"10.1.2.3:80","zone":"a","state":"ready",)"
    R"("maxConcurrency":2,"coldLeftMs":5000,"born":1700000000000})";
const std::string kConfig =
    R"({"version":3,"routes":[{"name":"r","host":"10.0.0.1","prefix":"/80/",)"
    R"("backends":[{"service":"pay","weight":3}],"type":"idempotent",)"
    R"("timeoutMs":3000,"priority":1,"sloMs":400}],)"
    R"("services":[{"name":"pay","coldPerS":4.5,"maxConns":70}],)"
    R"("limits":{"idleTimeoutMs":60000}})";
const std::string kListing =
    R"({"items":[{"key":"servers/i-1","value":"eA==","revision":4}],)"
    R"("storeRevision":9,"hasMore":true})";
const std::string kSettings =
    "nodeName: e-1\nzone: a\nlisten:\n  packetAddr: 10.0.0.1:70\n"
    "  ready: 10.0.0.1:71\n  control: 10.0.0.1:72\nportRange: [80, 81]\n"
    "seedAddrs: [\"10.0.0.2:72\"]\nplatform:\n  address: 10.0.0.9:73\n"
    "limits:\n  cpuShare: 0.5\n  linkMbps: 100\n"
    "bounds:\n  gracePeriodS: 6\n  flowTtlS: 60\n";

beacon SampleBeacon() {
  beacon sample;
  sample.from = {1, 2, 3, 4, 5, false, {1, 9}};
  sample.cursor = {1, 9};
  sample.age = std::chrono::seconds(1);
  sample.others = {{6, 7, 8, 4, 5, true, {0, 8}}};
  return sample;
}

store_answer SampleView() {
  store_answer view;
  view.items = {{"servers/i-1", kTarget, 4, false},
                {"servers/i-2", "", 5, true}};
  view.cursor = {1, 9};
  view.changed = {1, 5};
  return view;
}

store_item Item(const std::string& key, const std::string& value) {
  return {key, value, 1, false};
}

std::string Repeat(const std::string& part, std::size_t count) {
  std::string text;
  for (std::size_t i = 0; i < count; ++i) {
    text += part;
  }
  return text;
}

TEST_CASE("Malformed beacons and views are refused") {
  FuzzDecoder(EncodeBeacon(SampleBeacon()), [](const std::string& bytes) {
    const std::optional<beacon> read = DecodeBeacon(bytes);
    CHECK((!read || read->age >= duration(0)));
  });
  FuzzDecoder(EncodeView(SampleView()),
              [](const std::string& bytes) { (void)DecodeView(bytes); });
}

// Decoding by recursion exhausted the stack.
TEST_CASE("Deeply nested beacons and views are refused") {
  for (const char* part : {"\x81", "\x9f", "\x7f", "\x5f", "\xbf\x60"}) {
    const std::string nested = Repeat(part, kDeepNesting);
    CHECK_FALSE(DecodeView(nested));
    CHECK_FALSE(DecodeBeacon(nested));
    CHECK_FALSE(DecodeBeacon("\x86\x03" + nested));
  }
}

// They are decoded like views, but were not checked before.
TEST_CASE("Malformed answers on departed targets are refused") {
  const departed_answer sample{
      {{"servers/i-1", kTarget, std::chrono::seconds(4)}},
      std::chrono::seconds(9)};
  FuzzDecoder(EncodeDeparted(sample), [](const std::string& bytes) {
    const result<departed_answer> read = DecodeDeparted(bytes);
    CHECK((!read || read.value().known_for >= duration(0)));
  });
  for (const char* part : {"\x81", "\x9f", "\x7f", "\x5f", "\xbf\x60"}) {
    CHECK_FALSE(DecodeDeparted(Repeat(part, kDeepNesting)));
  }
  // Ages of -1, 1.5 and 1e300; no items.
  for (const std::string& age :
       {std::string("\x20"), std::string("\xf9\x3e\x00", 3),
        std::string("\xfb\x7e\x37\xe4\x3c\x88\x00\x75\x9c", 9)}) {
    CHECK_FALSE(DecodeDeparted("\x83\x01" + age + "\x80"));
  }
}

TEST_CASE("A negative or unbounded age in a beacon is refused") {
  beacon sample = SampleBeacon();
  sample.age = duration(-1);
  CHECK_FALSE(DecodeBeacon(EncodeBeacon(sample)));
  sample.age = duration::max();
  CHECK_FALSE(DecodeBeacon(EncodeBeacon(sample)));
}

TEST_CASE("Malformed deflate streams are refused, cut ones at each byte") {
  const std::string whole = Deflate(EncodeView(SampleView()));
  for (std::size_t bytes = 0; bytes < whole.size(); ++bytes) {
    CHECK_FALSE(Inflate(whole.substr(0, bytes), 1'000'000));
  }
  FuzzDecoder(whole, [](const std::string& bytes) {
    const result<std::string> read = Inflate(bytes, 1'000);
    CHECK((!read || read.value().size() <= 1'000));
  });
  CHECK_FALSE(
      Inflate(Deflate(Repeat(std::string(1'000, 'x'), 50'000)), 16'000'000));
}

TEST_CASE("Malformed answers and items of the store are refused") {
  FuzzDecoder(kListing,
              [](const std::string& text) { (void)DecodeAnswer(text); });
  for (const char* key : {"op/config", "servers/i-1"}) {
    const std::string valid = key[0] == 'o' ? kConfig : kTarget;
    FuzzDecoder(valid, [key](const std::string& text) {
      const decoded_item read = DecodeItem(Item(key, text));
      const target_item* target = std::get_if<target_item>(&read);
      CHECK((target == nullptr || target->record.slots >= 1));
      CHECK((target == nullptr || target->record.cold_left >= duration(0)));
    });
  }
}

// Copies of parsed values recurse; deep nesting exhausted the stack.
TEST_CASE("Deeply nested documents of the store are refused") {
  const std::string nested =
      Repeat("[", kDeepNesting) + "1" + Repeat("]", kDeepNesting);
  std::string config = kConfig;
  const std::string backends = R"([{"service":"pay","weight":3}])";
  config.replace(config.find(backends), backends.size(), nested);
  CHECK(std::holds_alternative<unreadable_item>(
      DecodeItem(Item("op/config", config))));
  CHECK_FALSE(
      DecodeAnswer(R"({"items":[],"storeRevision":1,"x":)" + nested + "}"));
  CHECK_FALSE(DecodeAnswer(Repeat(R"({"a":)", kDeepNesting)));
}

std::string With(std::string text,
                 const std::string& from,
                 const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

// Such numbers wrapped, so that a target had 4 billion slots.
TEST_CASE("Counts out of range make an item unreadable") {
  for (const std::string number :
       {"-1", "4294967296", "1e300", "18446744073709551616"}) {
    CAPTURE(number);
    const std::string target =
        With(kTarget, "\"maxConcurrency\":2", "\"maxConcurrency\":" + number);
    CHECK(std::holds_alternative<unreadable_item>(
        DecodeItem(Item("servers/i-1", target))));
    const std::string config =
        With(kConfig, "\"weight\":3", "\"weight\":" + number);
    CHECK(std::holds_alternative<unreadable_item>(
        DecodeItem(Item("op/config", config))));
  }
}

// Such times wrapped in the conversion to microseconds. Those of a route count
// as not declared.
TEST_CASE("Times out of range don't wrap") {
  for (const std::string number :
       {"9223372036854775807", "1e300", "-1", "-1e300"}) {
    CAPTURE(number);
    const decoded_item target =
        DecodeItem(Item("servers/i-1", With(kTarget, "\"coldLeftMs\":5000",
                                            "\"coldLeftMs\":" + number)));
    const duration expected =
        number[0] == '-' ? duration(0) : std::chrono::hours(24);
    CHECK(std::get<target_item>(target).record.cold_left == expected);
    const decoded_item config =
        DecodeItem(Item("op/config", With(kConfig, "\"timeoutMs\":3000",
                                          "\"timeoutMs\":" + number)));
    CHECK(std::get<entry_config>(config).routes.at(0).timeout == duration(0));
    CHECK_FALSE(std::get<entry_config>(config).ignored.empty());
  }
}

// A listing that is taken for an empty one makes every target missing.
TEST_CASE("An answer whose items are no array is refused") {
  for (const char* items : {"null", "{}", "\"\"", "0"}) {
    CHECK_FALSE(DecodeAnswer(std::string(R"({"storeRevision":1,"items":)") +
                             items + "}"));
  }
}

TEST_CASE("Malformed packets are refused") {
  std::string packet(kPacketHeaderBytes + 3, '\0');
  packet[18] = 3;
  FuzzDecoder(packet, [](const std::string& bytes) {
    const result<flow_packet> read = ParseFlowPacket(AsBytes(bytes));
    CHECK((!read ||
           bytes.size() == kPacketHeaderBytes + read.value().data_bytes));
  });
}

TEST_CASE("Malformed settings are refused") {
  REQUIRE(ParseEntrySettings(kSettings));
  FuzzDecoder(kSettings,
              [](const std::string& text) { (void)ParseEntrySettings(text); });
  CHECK_FALSE(ParseEntrySettings(Repeat("[", kDeepNesting)));
}

}  // namespace
}  // namespace rosemaryreach
