#include "ctl/ctl_options.h"

#include <popt.h>

#include <memory>

#include "rosemaryreach/settings.h"

namespace rosemaryreach {
namespace {

constexpr int kDefaultTimeoutMs = 5'000;
constexpr const char* kDefaultAdmin = "127.0.0.1:7200";

// Option values as popt stores them; the strings are never freed.
struct raw_options {
  const char** admins = nullptr;
  const char* token_file = nullptr;
  int timeout_ms = kDefaultTimeoutMs;
  int json = 0;
  int help = 0;
  int version = 0;
  long long base = -1;
  long long number = -1;
  const char* config = nullptr;
  const char* log = nullptr;
  const char* author = nullptr;
  int weight = 100;
  int slots = 1;
  const char* probe = nullptr;
  const char* caller = nullptr;
  const char* key = nullptr;
};

std::vector<poptOption> OptionTable(raw_options& raw) {
  return {
      {"admin", 'a', POPT_ARG_ARGV, &raw.admins, 0, nullptr, nullptr},
      {"token-file", 0, POPT_ARG_STRING, &raw.token_file, 0, nullptr, nullptr},
      {"timeout", 't', POPT_ARG_INT, &raw.timeout_ms, 0, nullptr, nullptr},
      {"json", 'j', POPT_ARG_NONE, &raw.json, 0, nullptr, nullptr},
      {"help", 'h', POPT_ARG_NONE, &raw.help, 0, nullptr, nullptr},
      {"version", 'V', POPT_ARG_NONE, &raw.version, 0, nullptr, nullptr},
      {"base", 'b', POPT_ARG_LONGLONG, &raw.base, 0, nullptr, nullptr},
      {"number", 'n', POPT_ARG_LONGLONG, &raw.number, 0, nullptr, nullptr},
      {"config", 'c', POPT_ARG_STRING, &raw.config, 0, nullptr, nullptr},
      {"log", 'l', POPT_ARG_STRING, &raw.log, 0, nullptr, nullptr},
      {"author", 0, POPT_ARG_STRING, &raw.author, 0, nullptr, nullptr},
      {"weight", 0, POPT_ARG_INT, &raw.weight, 0, nullptr, nullptr},
      {"slots", 0, POPT_ARG_INT, &raw.slots, 0, nullptr, nullptr},
      {"probe", 0, POPT_ARG_STRING, &raw.probe, 0, nullptr, nullptr},
      {"caller", 0, POPT_ARG_STRING, &raw.caller, 0, nullptr, nullptr},
      {"key", 0, POPT_ARG_STRING, &raw.key, 0, nullptr, nullptr},
      POPT_TABLEEND};
}

std::string StringOrEmpty(const char* text) {
  return text == nullptr ? "" : text;
}

std::optional<std::uint64_t> NonNegativeNumber(long long value) {
  return value < 0
             ? std::nullopt
             : std::optional<std::uint64_t>(static_cast<std::uint64_t>(value));
}

result<void> AddAdmins(const raw_options& raw, ctl_options& options) {
  for (const char** item = raw.admins; item != nullptr && *item != nullptr;
       ++item) {
    BOOST_OUTCOME_TRY(address, ParseEndpoint(*item));
    options.admins.push_back(address);
  }
  if (options.admins.empty()) {
    options.admins.push_back(ParseEndpoint(kDefaultAdmin).value());
  }
  return success();
}

result<ctl_options> Convert(const raw_options& raw) {
  ctl_options options;
  BOOST_OUTCOME_TRYV(AddAdmins(raw, options));
  if (raw.token_file != nullptr) {
    BOOST_OUTCOME_TRY(token, ReadSecret(raw.token_file));
    options.token = std::move(token);
  }
  if (raw.timeout_ms < 0 || raw.weight < 0 || raw.slots < 0) {
    return Fail(errc::kUnsupported,
                "--timeout, --weight and --slots must not be negative");
  }
  options.timeout = std::chrono::milliseconds(raw.timeout_ms);
  options.json = raw.json != 0;
  options.help = raw.help != 0;
  options.version = raw.version != 0;
  options.base = NonNegativeNumber(raw.base);
  options.number = NonNegativeNumber(raw.number);
  options.config_file = StringOrEmpty(raw.config);
  options.log_directory = StringOrEmpty(raw.log);
  options.author = StringOrEmpty(raw.author);
  options.weight = static_cast<std::uint32_t>(raw.weight);
  options.slots = static_cast<std::uint32_t>(raw.slots);
  options.probe = StringOrEmpty(raw.probe);
  options.caller = StringOrEmpty(raw.caller);
  options.key = StringOrEmpty(raw.key);
  return options;
}

struct context_deleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};

}  // namespace

result<ctl_options> ParseCommandLine(int argc, const char** argv) {
  raw_options raw;
  const std::vector<poptOption> table = OptionTable(raw);
  const std::unique_ptr<poptContext_s, context_deleter> context(
      poptGetContext(argv[0], argc, argv, table.data(), 0));
  const int parsed = poptGetNextOpt(context.get());
  if (parsed < -1) {
    return Fail(errc::kUnsupported, poptStrerror(parsed),
                poptBadOption(context.get(), 0));
  }
  BOOST_OUTCOME_TRY(options, Convert(raw));
  const char* word = poptGetArg(context.get());
  while (word != nullptr) {
    options.positional.emplace_back(word);
    word = poptGetArg(context.get());
  }
  return std::move(options);
}

}  // namespace rosemaryreach
