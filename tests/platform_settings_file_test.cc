#include "platform_settings_file.h"

#include <catch2/catch.hpp>

namespace rosemaryreach {
namespace {

constexpr const char* kSettings = R"(nodeName: "front-a-1"
zone: "a"
bindIp: "10.1.0.10"
listen:
  packetAddr: "10.1.0.10:8172"
  ready: "10.1.0.10:8167"
  control: "10.1.0.10:8166"
portRange:
  - 7720
  - 7735
seedAddrs:
  - "10.1.0.10:8166"
  - "10.2.0.40:8166"
dataDir: null
somethingNew: [1, 2]
limits:
  cpuShare: 0.038
bounds:
  gracePeriodS: 6
  flowTtlS: 60
  coldOver: 1.5
platform:
  address: "10.200.1.7:8169"
)";

TEST_CASE("Settings of the platform are parsed") {
  const result<entry_settings> parsed = ParseEntrySettings(kSettings);
  REQUIRE(parsed);
  const entry_settings& settings = parsed.value();
  CHECK(settings.instance == "front-a-1");
  CHECK(settings.data_centre == "a");
  CHECK(settings.cpu_millicores == 38);
  CHECK(FormatEndpoint(settings.packet_endpoint) == "10.1.0.10:8172");
  CHECK(FormatEndpoint(settings.readiness_endpoint) == "10.1.0.10:8167");
  CHECK(FormatEndpoint(settings.control_endpoint) == "10.1.0.10:8166");
  CHECK(settings.peer_port == 7'720);
  CHECK(settings.seeds.size() == 2);
  CHECK(FormatEndpoint(settings.store_endpoint) == "10.200.1.7:8169");
  CHECK(settings.bounds.grace_period == std::chrono::seconds(6));
  CHECK(settings.bounds.cold_slack == 5);
  CHECK(settings.store_history == std::chrono::seconds(20));
}

TEST_CASE("The history of the store is as long as the settings state") {
  const result<entry_settings> parsed =
      ParseEntrySettings(std::string(kSettings) + "  retentionS: 7.5\n");
  REQUIRE(parsed);
  CHECK(parsed.value().store_history == std::chrono::milliseconds(7'500));
}

TEST_CASE("The error names the field") {
  const auto path_without = [](const std::string& line) {
    std::string text = kSettings;
    text.replace(text.find(line), line.size(), "");
    const result<entry_settings> parsed = ParseEntrySettings(text);
    return parsed ? std::string("no error") : parsed.error().path;
  };
  CHECK(path_without("nodeName: \"front-a-1\"\n") == "nodeName");
  CHECK(path_without("  ready: \"10.1.0.10:8167\"\n") == "ready");
  CHECK(path_without("platform:\n  address: \"10.200.1.7:8169\"\n") ==
        "platform");
}

TEST_CASE("Invalid values and malformed files are errors") {
  std::string text = kSettings;
  const std::string address = "10.1.0.10:8167";
  text.replace(text.find(address), address.size(), "nowhere");
  const result<entry_settings> parsed = ParseEntrySettings(text);
  REQUIRE_FALSE(parsed);
  CHECK(parsed.error().path == "ready");
  CHECK_FALSE(ParseEntrySettings("a: [1"));
  CHECK_FALSE(ParseEntrySettings(""));
  CHECK_FALSE(LoadEntrySettings("/nonexistent/settings.yaml"));
}

}  // namespace
}  // namespace rosemaryreach
