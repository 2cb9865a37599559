// The only user of easylogging++: writes complete lines to standard output.
#include <easylogging++.h>

#include <mutex>

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
  // Setting the library up takes some 30 system calls, so it waits for the
  // first line.
  return [](const std::string& line) {
    static std::once_flag configured;
    std::call_once(configured, Configure);
    CLOG(INFO, kLoggerName) << line;
  };
}

}  // namespace rosemaryreach
