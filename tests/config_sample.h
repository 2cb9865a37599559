// A small sample configuration for tests.
#ifndef ROSEMARYREACH_TESTS_CONFIG_SAMPLE_H_
#define ROSEMARYREACH_TESTS_CONFIG_SAMPLE_H_

#include <string>

#include "rosemaryreach/config_json.h"

namespace rosemaryreach {

inline const std::string kSampleText = R"json({
  "number": 1,
  "data_centres": {
    "almaty-a": {"region": "almaty"},
    "almaty-b": {"region": "almaty"}
  },
  "services": {
    "ledger": {
      "addresses": ["10.1.0.1:80"],
      "buckets": 64,
      "legacy": {"next_hop": "10.9.0.1:7000", "share_percent": 10},
      "targets": {
        "l1": {"address": "10.2.0.1:6635", "data_centre": "almaty-a"},
        "l2": {"address": "10.2.0.2:6635", "data_centre": "almaty-b"}
      }
    },
    "statements": {
      "addresses": ["10.1.0.2:80", "[2001:db8::2]:80"],
      "plane": "requests",
      "buckets": 64,
      "requests": {"idempotent_methods": ["GET"]},
      "targets": {
        "s1": {"address": "10.3.0.1:80", "data_centre": "almaty-a", "slots": 2,
               "probe": "10.3.0.1:8080"}
      }
    }
  }
})json";

inline configuration SampleConfiguration() {
  return ParseConfiguration(kSampleText).value();
}

// Returns kSampleText with the first `from` replaced by `to`.
inline std::string SampleWith(const std::string& from, const std::string& to) {
  std::string text = kSampleText;
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TESTS_CONFIG_SAMPLE_H_
