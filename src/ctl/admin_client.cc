#include "ctl/admin_client.h"

#include <memory>

#include "adapters/event_loop.h"
#include "adapters/http_get.h"
#include "config/json_text.h"

namespace rosemaryreach {
namespace {

using json = nlohmann::json;

constexpr std::size_t kMaxReplyBytes = 64'000'000;
constexpr int kHttpOk = 200;

result<std::string> ResponseBody(const endpoint& admin,
                                 const result<http_reply>& reply) {
  if (!reply) {
    return boost::outcome_v2::failure(reply.error());
  }
  if (reply.value().status != kHttpOk) {
    return Fail(errc::kUnavailable,
                "HTTP status " + std::to_string(reply.value().status) + ": " +
                    reply.value().body,
                FormatEndpoint(admin));
  }
  return reply.value().body;
}

}  // namespace

std::vector<admin_reply> QueryAllInstances(const ctl_options& options,
                                           const std::string& path) {
  event_loop loop;
  std::vector<admin_reply> replies;
  std::vector<std::unique_ptr<http_get_client>> getters;
  std::size_t pending = options.admins.size();
  for (const endpoint& admin : options.admins) {
    replies.push_back({admin, Fail(errc::kUnavailable, "no answer")});
    getters.push_back(std::make_unique<http_get_client>(
        loop, admin, kMaxReplyBytes, options.token));
  }
  for (std::size_t i = 0; i < getters.size(); ++i) {
    getters[i]->Get(path, options.timeout,
                    [&, i](const result<http_reply>& reply) {
                      replies[i].body = ResponseBody(replies[i].admin, reply);
                      --pending;
                      if (pending == 0) {
                        loop.Stop();
                      }
                    });
  }
  loop.Run();
  return replies;
}

result<json> QueryAnyInstance(const ctl_options& options,
                              const std::string& path) {
  result<json> answer = Fail(errc::kUnavailable, "no instance asked");
  for (const admin_reply& reply : QueryAllInstances(options, path)) {
    answer = ParseReply(reply.body);
    if (answer) {
      break;
    }
  }
  return answer;
}

result<json> ParseReply(const result<std::string>& body) {
  if (!body) {
    return boost::outcome_v2::failure(body.error());
  }
  return ParseJson(body.value());
}

}  // namespace rosemaryreach
