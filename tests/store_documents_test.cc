#include "store_documents.h"

#include <absl/strings/escaping.h>
#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace rosemaryreach {
namespace {

store_item Item(const std::string& key, const std::string& value) {
  return {key, value, 4, false};
}

constexpr const char* kTarget =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"almaty-a",)"
    R"("version":"v1","maxConcurrency":2,"state":"ready","coldLeftMs":150,)"
    R"("sequence":4,"born":1773400000123})";

constexpr const char* kConfig =
    R"({"version":7,"routes":[{"name":"r-1","host":"198.18.0.1",)"
    R"("prefix":"/8443/","type":"idempotent","timeoutMs":800,)"
    R"("backends":[{"service":"a","weight":90},{"service":"b","weight":10}]},)"
    R"({"name":"r-2","host":"198.18.0.2","prefix":"/8080/",)"
    R"("type":"download","service":"b"},{"name":"r-3","host":"198.18.0.2",)"
    R"("prefix":"/443/","type":"non_idempotent","service":"a"}],"services":)"
    R"([{"name":"a","healthPath":"/h","coldPerS":2.5},{"name":"b"}],)"
    R"("limits":{"idleTimeoutMs":15000}})";

TEST_CASE("A target is decoded") {
  const decoded_item meaning = DecodeItem(Item("servers/i-7f3a91c2", kTarget));
  const target_item* target = std::get_if<target_item>(&meaning);
  REQUIRE(target != nullptr);
  const target_record& record = target->record;
  CHECK(record.id == "i-7f3a91c2");
  CHECK(record.wire_id == 0x7f3a91c2);
  CHECK(record.incarnation == 1'773'400'000'123);
  CHECK(record.service == "huvo11a");
  CHECK(FormatIpv4Endpoint(record.address) == "10.128.0.9:8080");
  CHECK(record.data_centre == "almaty-a");
  CHECK(record.slots == 2);
  CHECK(record.state == target_state::kActive);
  CHECK(record.cold_left == std::chrono::milliseconds(150));
}

TEST_CASE("Invalid target entries are unreadable") {
  const std::string valid = kTarget;
  const std::vector<std::pair<std::string, std::string>> changes = {
      {R"("ready")", R"("asleep")"},
      {R"("ready")", "7"},
      {R"("10.128.0.9:8080")", R"("x")"},
      {R"("huvo11a")", "null"},
      {R"("maxConcurrency":2)", R"("maxConcurrency":"two")"},
      {R"("zone")", R"("z")"},
      {"}", ""}};
  for (const auto& [from, to] : changes) {
    std::string invalid = valid;
    invalid.replace(invalid.find(from), from.size(), to);
    const decoded_item meaning = DecodeItem(Item("servers/i-1", invalid));
    CHECK(std::holds_alternative<unreadable_item>(meaning));
  }
  const store_item raw{"servers/i-1", "%%%", 1, false};
  CHECK(std::holds_alternative<unreadable_item>(DecodeItem(raw)));
}

// Returns whether an entry of this id and text names no target.
bool Unreadable(const std::string& id, const std::string& entry) {
  return std::holds_alternative<unreadable_item>(
      DecodeItem(Item("servers/" + id, entry)));
}

// Returns the valid entry with a member of another value.
std::string TargetWith(const std::string& name, const std::string& value) {
  std::string entry = kTarget;
  const std::size_t begin = entry.find('"' + name + "\":") + name.size() + 3;
  return entry.replace(begin, entry.find_first_of(",}", begin) - begin, value);
}

// A packet to port 0 is never sent; the flows that it began were lost.
TEST_CASE("Addresses that no host has are unreadable") {
  REQUIRE_FALSE(Unreadable("i-1", TargetWith("address", R"("10.0.0.1:1")")));
  for (const std::string address :
       {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:1.5",
        "10.0.0.1", "10.0.0.1:", ":80", "0.0.0.0:80", "224.0.0.1:80",
        "255.255.255.255:80", "10.0.0.256:80", "[::1]:80", "10.0.0.1:80 ",
        ""}) {
    CAPTURE(address);
    CHECK(Unreadable("i-1", TargetWith("address", '"' + address + '"')));
  }
}

// Packets for the number 0 are taken by any host, also one of another service
// (review case 1).
TEST_CASE("An entry whose id has no number is unreadable") {
  REQUIRE_FALSE(Unreadable("i-1", kTarget));
  for (const std::string& id :
       {std::string(), std::string("i-"), std::string("xyz"),
        std::string("i-0000"), std::string("nil/how"), std::string("\xff\xfe"),
        std::string("i-\0", 3)}) {
    CAPTURE(id);
    CHECK(Unreadable(id, kTarget));
  }
  CHECK_FALSE(Unreadable(std::string(190, 'f'), kTarget));
}

TEST_CASE("Numbers that are negative, too large or not whole are unreadable") {
  for (const char* name : {"maxConcurrency", "born"}) {
    for (const std::string number :
         {"-1", "1.5", "1e300", "1e999", "18446744073709551616", "\"1\"", "[]",
          "{}", "true", "null", "NaN"}) {
      CAPTURE(name, number);
      CHECK(Unreadable("i-1", TargetWith(name, number)));
    }
  }
  CHECK_FALSE(Unreadable("i-1", TargetWith("born", "1773400000123.0")));
}

TEST_CASE("A configuration is decoded") {
  const decoded_item meaning = DecodeItem(Item("op/config", kConfig));
  const entry_config* config = std::get_if<entry_config>(&meaning);
  REQUIRE(config != nullptr);
  CHECK(config->version == 7);
  REQUIRE(config->routes.size() == 3);
  CHECK(FormatIpv4Endpoint(config->routes[0].address) == "198.18.0.1:8443");
  CHECK(config->routes[0].services ==
        std::vector<weighted_service>{{"a", 90}, {"b", 10}});
  CHECK(config->routes[0].kind == request_kind::kIdempotent);
  CHECK(config->routes[1].kind == request_kind::kBulk);
  CHECK(config->routes[2].kind == request_kind::kNonIdempotent);
  CHECK(config->services == std::vector<entry_service>{{"a", 2.5}, {"b", 0}});
}

// Returns the configuration with these members of its one route.
entry_config ConfigWith(const std::string& members) {
  return std::get<entry_config>(DecodeItem(Item(
      "op/config", R"({"version":7,"routes":[{"name":"r","host":"198.18.0.1",)"
                   R"("prefix":"/8443/","type":"idempotent","service":"a",)" +
                       members +
                       R"(}],"services":[{"name":"a","maxConns":64}],)"
                       R"("limits":{"idleTimeoutMs":15000}})")));
}

TEST_CASE("Priorities, objectives and limits are decoded") {
  const entry_config config =
      ConfigWith(R"("priority":2,"sloMs":400,"timeoutMs":3000)");
  CHECK(config.routes.at(0).priority == 2U);
  CHECK(config.routes.at(0).latency_target == std::chrono::milliseconds(400));
  CHECK(config.routes.at(0).timeout == std::chrono::seconds(3));
  CHECK(config.services.at(0).max_flows == 64);
  CHECK(config.idle_timeout == std::chrono::seconds(15));
  CHECK(config.ignored.empty());
}

// A bad value must cost neither the configuration nor pass without a trace.
TEST_CASE("Invalid objectives count as not declared and are noted") {
  const std::vector<std::pair<std::string, std::string>> invalid = {
      {R"("sloMs":0)", "sloMs 0"},
      {R"("sloMs":-4)", "sloMs -4"},
      {R"("sloMs":"fast")", "sloMs (string)"},
      {R"("sloMs":18446744073709551615)", "sloMs 18446744073709551615"},
      {R"("sloMs":500,"timeoutMs":400)", "sloMs beyond timeoutMs"},
      {R"("priority":16)", "priority 16"},
      {R"("priority":-1)", "priority -1"},
      {R"("priority":1.5)", "priority 1.5"},
      {R"("timeoutMs":[])", "timeoutMs (array)"}};
  for (const auto& [members, note] : invalid) {
    const entry_config config = ConfigWith(members);
    CHECK(config.routes.at(0).latency_target == duration::zero());
    CHECK_FALSE(config.routes.at(0).priority);
    CHECK(config.ignored == "route r: " + note);
  }
  CHECK(ConfigWith(R"("healthPath":"/")").ignored.empty());
}

TEST_CASE("Evacuations are decoded from their keys") {
  store_item item = Item("op/evacuate/almaty-a", "{}");
  evacuation_item evacuation = std::get<evacuation_item>(DecodeItem(item));
  CHECK(evacuation.data_centre == "almaty-a");
  CHECK(evacuation.evacuated);
  item.deleted = true;
  evacuation = std::get<evacuation_item>(DecodeItem(item));
  CHECK_FALSE(evacuation.evacuated);
}

TEST_CASE("Other keys are unrelated and deleted targets are removed") {
  CHECK(std::holds_alternative<unrelated_item>(DecodeItem(Item("my/x", "{}"))));
  store_item item = Item("servers/i-1", "");
  item.deleted = true;
  CHECK(std::get<removed_target>(DecodeItem(item)).id == "i-1");
}

TEST_CASE("Answers of a listing and of a watch are decoded") {
  const result<store_answer> listing = DecodeAnswer(
      R"({"items":[{"key":"a","value":"eA==","revision":4,"created":4,)"
      R"("lease":0}],"hasMore":true,"storeRevision":530})");
  REQUIRE(listing);
  CHECK(listing.value().has_more);
  CHECK(listing.value().cursor.revision == 530);
  CHECK(listing.value().items == std::vector<store_item>{{"a", "x", 4, false}});
  const result<store_answer> watch =
      DecodeAnswer(R"({"events":[{"key":"a","revision":413,"deleted":true}],)"
                   R"("storeRevision":413})");
  REQUIRE(watch);
  CHECK(watch.value().items == std::vector<store_item>{{"a", "", 413, true}});
}

TEST_CASE("Invalid base64 makes only its own item unreadable") {
  const result<store_answer> listing = DecodeAnswer(
      R"({"items":[{"key":"servers/i-1","value":"%%%","revision":4},)"
      R"({"key":"a","value":"eA==","revision":5}],"storeRevision":5})");
  REQUIRE(listing);
  CHECK(std::holds_alternative<unreadable_item>(
      DecodeItem(listing.value().items.at(0))));
  CHECK(listing.value().items.at(1).value == "x");
}

// Values of a megabyte, as many as another writer cares to put there, were kept
// and sent to peers, whose pulls then failed.
TEST_CASE("A value longer than an entry makes only its own item unreadable") {
  const auto listed = [](const std::string& key, std::size_t bytes) {
    return R"({"key":")" + key + R"(","value":")" +
           absl::Base64Escape(std::string(bytes, 'x')) + R"(","revision":4},)";
  };
  const result<store_answer> listing = DecodeAnswer(
      R"({"items":[)" + listed("op/config", 1'000'000) +
      listed("op/evacuate/a", 1'000'000) + listed("servers/i-1", 1'000'000) +
      listed("servers/i-2", 4'096) + listed("spare", 1'000'000) +
      R"({"key":"b","value":"eA==","revision":5}],"storeRevision":5})");
  REQUIRE(listing);
  const std::vector<store_item>& items = listing.value().items;
  CHECK(items.at(0).value.size() == 1'000'000);
  CHECK(std::get<evacuation_item>(DecodeItem(items.at(1))).evacuated);
  CHECK(items.at(2).value.empty());
  CHECK(std::get<unreadable_item>(DecodeItem(items.at(2))).reason ==
        "value is empty, not base64 or longer than 4096 bytes");
  CHECK(items.at(3).value.size() == 4'096);
  CHECK(items.at(4).value.empty());
  CHECK(items.at(5).value == "x");
}

TEST_CASE("Malformed answers are errors") {
  CHECK_FALSE(DecodeAnswer(""));
  CHECK_FALSE(DecodeAnswer("[]"));
  CHECK_FALSE(DecodeAnswer(R"({"items":[]})"));
  CHECK_FALSE(DecodeAnswer(R"({"items":[{}],"storeRevision":1})"));
  CHECK(rc::check(
      [](const std::string& body) { RC_ASSERT(!DecodeAnswer(body)); }));
}

TEST_CASE("Text after a null character makes an answer invalid") {
  std::string body = R"({"items":[],"storeRevision":1})";
  REQUIRE(DecodeAnswer(body));
  body += std::string(1, '\0') + "x";
  CHECK_FALSE(DecodeAnswer(body));
}

TEST_CASE("Text that is not UTF-8 makes an answer invalid") {
  CHECK_FALSE(
      DecodeAnswer("{\"items\":[],\"storeRevision\":1,\"x\":\"\xff\"}"));
}

TEST_CASE("The last of several members of one name counts") {
  const result<store_answer> answer =
      DecodeAnswer(R"({"items":[],"storeRevision":1,"storeRevision":2})");
  REQUIRE(answer);
  CHECK(answer.value().cursor.revision == 2);
}

TEST_CASE("No value makes DecodeItem throw") {
  CHECK(rc::check([](const std::string& value) {
    DecodeItem(Item("servers/i-1", value));
    DecodeItem(Item("op/config", value));
  }));
}

}  // namespace
}  // namespace rosemaryreach
