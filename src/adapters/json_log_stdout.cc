// The only user of easylogging++: writes complete lines to standard output.
#include <easylogging++.h>

#include "adapters/json_log.h"

INITIALIZE_EASYLOGGINGPP

namespace rosemaryreach {
namespace {

constexpr const char* kLoggerName = "rosemaryreach";

void Configure() {
  el::Configurations config;
  config.setToDefault();
  config.setGlobally(el::ConfigurationType::Format, "%msg");
  config.setGlobally(el::ConfigurationType::ToFile, "false");
  config.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::getLogger(kLoggerName);
  el::Loggers::reconfigureLogger(kLoggerName, config);
}

}  // namespace

line_writer MakeStdoutWriter() {
  Configure();
  return [](const std::string& line) { CLOG(INFO, kLoggerName) << line; };
}

}  // namespace rosemaryreach
