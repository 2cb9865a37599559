// Commands that ask running instances.
#include <cstdio>
#include <set>
#include <thread>

#include "adapters/http_get.h"
#include "config/json_text.h"
#include "ctl/admin_client.h"
#include "ctl/ctl_commands.h"
#include "ctl/ctl_output.h"

namespace rosemaryreach {
namespace {

using json = nlohmann::json;
using steady_clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kWaitInterval(100);

// Where a status holds the digest of the configuration in force.
const json::json_pointer kDigest("/configuration/digest");

// Prints the document of `path` of every instance; fails if none answers.
int ShowAll(const ctl_options& options, const std::string& path) {
  json all = json::object();
  bool answered = false;
  for (const admin_reply& reply : AskAll(options, path)) {
    const result<json> document = ParseReply(reply.body);
    answered = answered || document;
    all[FormatEndpoint(reply.admin)] =
        document ? document.value()
                 : json{{"error", FormatError(document.error())}};
  }
  PrintDocument(options, all);
  return answered ? kExitOk : kExitNo;
}

std::string QueryOf(
    const std::vector<std::pair<const char*, std::string>>& values) {
  std::string query;
  for (const auto& [name, value] : values) {
    query += query.empty() ? "?" : "&";
    query.append(name).append("=").append(EncodeQueryValue(value));
  }
  return query;
}

// How far the instances that answer have come.
struct progress {
  std::size_t there = 0;
  std::size_t answering = 0;
  std::size_t asked = 0;
  // Digests of the instances whose number is exactly the one waited for.
  std::set<std::string> digests;
};

progress AskProgress(const ctl_options& options, std::uint64_t number) {
  progress state;
  for (const admin_reply& reply : AskAll(options, "/v1/status")) {
    ++state.asked;
    const result<json> status = ParseReply(reply.body);
    if (!status || !status.value().is_object()) {
      continue;
    }
    ++state.answering;
    const json found = status.value().value("number", json());
    if (!found.is_number_unsigned() || found < number) {
      continue;
    }
    ++state.there;
    if (found == number) {
      state.digests.insert(DumpJson(status.value().value(kDigest, json())));
    }
  }
  return state;
}

void PrintProgress(const progress& state, std::uint64_t number) {
  std::fprintf(stderr, "number %llu: %zu of %zu answering, %zu asked\n",
               static_cast<unsigned long long>(number), state.there,
               state.answering, state.asked);
}

bool IsDone(const progress& state) {
  return state.answering > 0 && state.there == state.answering;
}

}  // namespace

int ShowStatus(const ctl_options& options, ctl_arguments /*arguments*/) {
  return ShowAll(options, "/v1/status");
}

int ShowVerdicts(const ctl_options& options, ctl_arguments /*arguments*/) {
  return ShowAll(options, "/v1/verdicts");
}

int ShowTargets(const ctl_options& options, ctl_arguments /*arguments*/) {
  return ShowAll(options, "/v1/targets");
}

int ExplainFlow(const ctl_options& options, ctl_arguments arguments) {
  // Service and protocol may be left out.
  const bool whole = arguments.size() == 4;
  const ctl_arguments ends = arguments.last(2);
  return ShowAll(
      options,
      "/v1/flows/explain" + QueryOf({{"service", whole ? arguments[0] : ""},
                                     {"protocol", whole ? arguments[1] : "tcp"},
                                     {"source", ends[0]},
                                     {"destination", ends[1]}}));
}

int ExplainRequest(const ctl_options& options, ctl_arguments arguments) {
  return ShowAll(options, "/v1/requests/explain" +
                              QueryOf({{"service", arguments[0]},
                                       {"method", arguments[1]},
                                       {"path", arguments[2]},
                                       {"caller", options.caller},
                                       {"idempotency_key", options.key}}));
}

int ShowMetrics(const ctl_options& options, ctl_arguments /*arguments*/) {
  int exit_code = kExitNo;
  for (const admin_reply& reply : AskAll(options, "/metrics")) {
    if (!reply.body) {
      PrintError(options, reply.body.error(), kExitNo);
      continue;
    }
    exit_code = kExitOk;
    PrintText("# instance at " + FormatEndpoint(reply.admin) + "\n" +
              reply.body.value());
  }
  return exit_code;
}

int WaitForNumber(const ctl_options& options, ctl_arguments /*arguments*/) {
  if (!options.number) {
    return PrintError(options, {errc::kUnsupported, "--number", "is needed"},
                      kExitUsage);
  }
  const steady_clock::time_point end = steady_clock::now() + options.timeout;
  progress state;
  std::optional<progress> last;
  do {
    state = AskProgress(options, *options.number);
    const bool news = !last || state.there != last->there ||
                      state.answering != last->answering;
    if (news) {
      PrintProgress(state, *options.number);
    }
    last = state;
    if (!IsDone(state)) {
      std::this_thread::sleep_for(kWaitInterval);
    }
  } while (!IsDone(state) && steady_clock::now() < end);
  const bool agree = state.digests.size() <= 1;
  if (options.json) {
    PrintDocument(options, {{"number", *options.number},
                            {"there", state.there},
                            {"answering", state.answering},
                            {"asked", state.asked},
                            {"digests_agree", agree}});
  }
  if (!agree) {
    PrintError(
        options,
        {errc::kStale, "", "instances hold different content at this number"},
        kExitNo);
  }
  return IsDone(state) && agree ? kExitOk : kExitNo;
}

}  // namespace rosemaryreach
