// Commands that query running instances.
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

// Path in a status document of the digest of the configuration in force.
const json::json_pointer kDigest("/configuration/digest");

// Prints the document at `path` of every instance; returns kExitFailure if none
// responds with one.
int PrintFromAllInstances(const ctl_options& options, const std::string& path) {
  json all = json::object();
  bool answered = false;
  for (const admin_reply& reply : QueryAllInstances(options, path)) {
    const result<json> document = ParseReply(reply.body);
    answered = answered || document;
    all[FormatEndpoint(reply.admin)] =
        document ? document.value()
                 : json{{"error", FormatError(document.error())}};
  }
  PrintDocument(options, all);
  return answered ? kExitOk : kExitFailure;
}

std::string BuildQueryString(
    const std::vector<std::pair<const char*, std::string>>& values) {
  std::string query;
  for (const auto& [name, value] : values) {
    query += query.empty() ? "?" : "&";
    query.append(name).append("=").append(EncodeQueryValue(value));
  }
  return query;
}

// Counts of the instances that were queried, responded, and have at least the
// configuration number waited for.
struct wait_progress {
  std::size_t reached = 0;
  std::size_t answering = 0;
  std::size_t asked = 0;
  // Configuration digests of the instances at exactly that number.
  std::set<std::string> digests;
};

wait_progress QueryProgress(const ctl_options& options, std::uint64_t number) {
  wait_progress state;
  for (const admin_reply& reply : QueryAllInstances(options, "/v1/status")) {
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
    ++state.reached;
    if (found == number) {
      state.digests.insert(DumpJson(status.value().value(kDigest, json())));
    }
  }
  return state;
}

void PrintProgress(const wait_progress& state, std::uint64_t number) {
  std::fprintf(stderr, "number %llu: %zu of %zu answering, %zu asked\n",
               static_cast<unsigned long long>(number), state.reached,
               state.answering, state.asked);
}

bool IsDone(const wait_progress& state) {
  return state.answering > 0 && state.reached == state.answering;
}

}  // namespace

int ShowStatus(const ctl_options& options, ctl_arguments /*arguments*/) {
  return PrintFromAllInstances(options, "/v1/status");
}

int ShowVerdicts(const ctl_options& options, ctl_arguments /*arguments*/) {
  return PrintFromAllInstances(options, "/v1/verdicts");
}

int ShowTargets(const ctl_options& options, ctl_arguments /*arguments*/) {
  return PrintFromAllInstances(options, "/v1/targets");
}

int ExplainFlow(const ctl_options& options, ctl_arguments arguments) {
  // Service and protocol are optional.
  const bool has_service_and_protocol = arguments.size() == 4;
  const ctl_arguments endpoints = arguments.last(2);
  return PrintFromAllInstances(
      options,
      "/v1/flows/explain" +
          BuildQueryString(
              {{"service", has_service_and_protocol ? arguments[0] : ""},
               {"protocol", has_service_and_protocol ? arguments[1] : "tcp"},
               {"source", endpoints[0]},
               {"destination", endpoints[1]}}));
}

int ExplainRequest(const ctl_options& options, ctl_arguments arguments) {
  return PrintFromAllInstances(
      options, "/v1/requests/explain" +
                   BuildQueryString({{"service", arguments[0]},
                                     {"method", arguments[1]},
                                     {"path", arguments[2]},
                                     {"caller", options.caller},
                                     {"idempotency_key", options.key}}));
}

int ShowMetrics(const ctl_options& options, ctl_arguments /*arguments*/) {
  int exit_code = kExitFailure;
  for (const admin_reply& reply : QueryAllInstances(options, "/metrics")) {
    if (!reply.body) {
      PrintError(options, reply.body.error(), kExitFailure);
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
    return PrintError(options, {errc::kUnsupported, "--number", "is required"},
                      kExitUsage);
  }
  const steady_clock::time_point deadline =
      steady_clock::now() + options.timeout;
  wait_progress state;
  std::optional<wait_progress> last;
  do {
    state = QueryProgress(options, *options.number);
    const bool changed = !last || state.reached != last->reached ||
                         state.answering != last->answering;
    if (changed) {
      PrintProgress(state, *options.number);
    }
    last = state;
    if (!IsDone(state)) {
      std::this_thread::sleep_for(kWaitInterval);
    }
  } while (!IsDone(state) && steady_clock::now() < deadline);
  const bool agree = state.digests.size() <= 1;
  if (options.json) {
    PrintDocument(options, {{"number", *options.number},
                            {"there", state.reached},
                            {"answering", state.answering},
                            {"asked", state.asked},
                            {"digests_agree", agree}});
  }
  if (!agree) {
    PrintError(
        options,
        {errc::kStale, "",
         "instances have different configuration digests at this number"},
        kExitFailure);
  }
  return IsDone(state) && agree ? kExitOk : kExitFailure;
}

}  // namespace rosemaryreach
