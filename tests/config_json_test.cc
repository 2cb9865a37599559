#include "rosemaryreach/config_json.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "config_sample.h"

namespace rosemaryreach {
namespace {

struct bad_text {
  const char* from;
  const char* to;
  errc code;
  const char* path;
  const char* detail;
};

const std::vector<bad_text> kBadTexts = {
    {"64", "65", errc::kRuleViolation, "/services/ledger/buckets",
     "power of two"},
    {"64", "8", errc::kSchemaViolation, "/services/ledger/buckets", "got 8"},
    {"10}", "101}", errc::kSchemaViolation,
     "/services/ledger/legacy/share_percent", "from 0 to 100"},
    {"10.3.0.1:80", "10.2.0.1:6635", errc::kRuleViolation,
     "/services/statements/targets/s1/address", "ledger"},
    {"10.2.0.2:6635", "10.1.0.2:80", errc::kRuleViolation,
     "/services/ledger/targets/l2/address", "own address"},
    {"10.1.0.2:80", "10.1.0.1:80", errc::kRuleViolation,
     "/services/statements/addresses/0", "ledger"},
    {"10.2.0.1:6635", "10.2.0.1:0", errc::kRuleViolation,
     "/services/ledger/targets/l1/address", "above 0"},
    {"10.2.0.1:6635", "host:1", errc::kInvalidAddress,
     "/services/ledger/targets/l1/address", "host"},
    {"\"data_centre\": \"almaty-b\"", "\"data_centre\": \"x\"",
     errc::kRuleViolation, "/services/ledger/targets/l2/data_centre", "\"x\""},
    {"\"slots\": 2", "\"slot\": 2", errc::kSchemaViolation,
     "/services/statements/targets/s1/slot", "unknown member"},
    {"\"addresses\": [\"10.1.0.1:80\"],", "", errc::kSchemaViolation,
     "/services/ledger/addresses", "got nothing"},
    {"\"plane\": \"requests\"", "\"plane\": 7", errc::kSchemaViolation,
     "/services/statements/plane", "got 7, expected one of"},
    {"\"l2\"", "\"L2\"", errc::kRuleViolation, "/services/ledger/targets/L2",
     "lower-case"},
    {"\"l2\"", "\"l1\"", errc::kInvalidJson, "", "occurs twice"},
    {"\"l2\"", "\"legacy\"", errc::kRuleViolation,
     "/services/ledger/targets/legacy", "kept"},
    {"\"buckets\": 64", "\"plane\": \"requests\"", errc::kRuleViolation,
     "/services/ledger/legacy", "request plane"},
    {"\"slots\": 2", "\"weight\": 0", errc::kRuleViolation,
     "/services/statements/targets", "sum of 0"},
    {"[\"GET\"]", "[\"GET\"], \"default_deadline_ms\": 60001",
     errc::kRuleViolation, "/services/statements/requests/default_deadline_ms",
     "60001"},
};

TEST_CASE("CheckConfiguration reports path, value and expectation") {
  for (const bad_text& bad : kBadTexts) {
    CAPTURE(bad.from, bad.to);
    const configuration_check check =
        CheckConfiguration(SampleWith(bad.from, bad.to));
    REQUIRE_FALSE(check.ok());
    CAPTURE(FormatError(check.errors.front()));
    CHECK(check.errors.front().code == bad.code);
    CHECK(check.errors.front().path == bad.path);
    CHECK(check.errors.front().detail.find(bad.detail) != std::string::npos);
  }
}

TEST_CASE("Only services of different protocols may share an address") {
  configuration config = SampleConfiguration();
  for (const char* name : {"u1", "u2"}) {
    CHECK(CheckRules(config).empty());
    service_config service;
    service.name = name;
    service.protocol = transport_protocol::kUdp;
    service.addresses = config.services[0].addresses;
    config.services.push_back(service);
  }
  REQUIRE(CheckRules(config).size() == 1);
  CHECK(CheckRules(config)[0].path == "/services/u2/addresses/0");
}

TEST_CASE("CheckConfiguration lists every error") {
  std::string text = SampleWith("\"slots\": 2", "\"slots\": 0");
  text.replace(text.find("6635"), 4, "0");
  text.replace(text.find("\"buckets\": 64"), 13, "\"buckets\": \"x\"");
  CHECK(CheckConfiguration(text).errors.size() == 2);
}

TEST_CASE("ParseConfiguration reads what FormatConfiguration writes") {
  const configuration config = SampleConfiguration();
  const std::string text = FormatConfiguration(config);
  const result<configuration> again = ParseConfiguration(text);
  REQUIRE(again);
  CHECK(again.value() == config);
  CHECK(FormatConfiguration(again.value()) == text);
}

TEST_CASE("ConfigurationDigest depends on the content, not the number") {
  configuration config = SampleConfiguration();
  const std::uint64_t digest = ConfigurationDigest(config);
  config.number = 9;
  CHECK(ConfigurationDigest(config) == digest);
  config.services[0].targets[0].weight = 1;
  CHECK(ConfigurationDigest(config) != digest);
}

TEST_CASE("Unbounded nesting is rejected") {
  const std::string text(900'000, '[');
  REQUIRE_FALSE(ParseConfiguration(text));
  CHECK(ParseConfiguration(text).error().code == errc::kInvalidJson);
}

TEST_CASE("Corrupted text gives an error or another valid configuration") {
  const bool holds = rc::check([] {
    std::string text = kSampleText;
    const int changes = *rc::gen::inRange(1, 4);
    for (int i = 0; i < changes; ++i) {
      const std::size_t place = *rc::gen::inRange<std::size_t>(0, text.size());
      text[place] = *rc::gen::arbitrary<char>();
    }
    const configuration_check check = CheckConfiguration(text);
    if (check.ok()) {
      RC_ASSERT(CheckRules(check.value).empty());
      RC_ASSERT(ParseConfiguration(FormatConfiguration(check.value)).value() ==
                check.value);
    }
  });
  CHECK(holds);
}

}  // namespace
}  // namespace rosemaryreach
