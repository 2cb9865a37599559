#include "adapters/platform_http.h"

#include <utility>

#include "adapters/platform_documents.h"

namespace rosemaryreach {
namespace {

// JSON escaping may double the size of a page, and the last entry may exceed
// the page limit.
constexpr std::size_t kMaxReplyBytes = 2 * (kMaxPageBytes + 1'000'000);
constexpr int kHttpOk = 200;
constexpr int kHttpTooManyRequests = 429;

duration Milliseconds(std::uint32_t count) {
  return std::chrono::milliseconds(count);
}

std::string EntriesPath(const log_position& after, duration wait) {
  const std::chrono::milliseconds wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait);
  return "/v1/entries?index=" + std::to_string(after.sequence) +
         "&snapshot=" + std::to_string(after.snapshot_sequence) +
         "&parts=" + std::to_string(after.parts) +
         "&wait=" + std::to_string(wait_ms.count()) + "ms";
}

result<std::string> BodyOf(result<http_reply> reply) {
  if (!reply) {
    return boost::outcome_v2::failure(std::move(reply.error()));
  }
  const int status = reply.value().status;
  if (status != kHttpOk) {
    const errc code =
        status == kHttpTooManyRequests ? errc::kLimit : errc::kUnavailable;
    return Fail(code, "HTTP status " + std::to_string(status));
  }
  return std::move(reply.value().body);
}

}  // namespace

platform_http::channel::channel(event_loop& loop,
                                const platform_http_options& options,
                                std::uint64_t seed)
    : getter(loop, options.server, kMaxReplyBytes),
      backoff(Milliseconds(options.backoff_min_ms),
              Milliseconds(options.backoff_max_ms),
              seed) {}

platform_http::platform_http(event_loop& loop,
                             const platform_http_options& options,
                             std::uint64_t seed)
    : loop_(loop),
      options_(options),
      rate_limiter_(options.reads_per_minute),
      entries_(loop, options, seed),
      instances_(loop, options, seed + 1) {}

void platform_http::WatchEntries(const log_position& after,
                                 duration wait,
                                 entries_callback done) {
  Read(entries_, EntriesPath(after, wait),
       wait + Milliseconds(options_.answer_timeout_ms),
       [done = std::move(done)](const result<std::string>& body) {
         if (!body) {
           done(boost::outcome_v2::failure(body.error()));
           return;
         }
         done(ParsePage(body.value()));
       });
}

void platform_http::ReadInstanceList(instance_list_callback done) {
  Read(instances_, "/v1/instances", Milliseconds(options_.answer_timeout_ms),
       [done = std::move(done)](const result<std::string>& body) {
         if (!body) {
           done(boost::outcome_v2::failure(body.error()));
           return;
         }
         done(ParseInstanceList(body.value()));
       });
}

void platform_http::Read(channel& channel,
                         const std::string& path,
                         duration deadline,
                         body_callback done) {
  if (channel.getter.busy()) {
    PostLimitError(std::move(done), "a read is already in progress");
    return;
  }
  if (!channel.backoff.Ready(loop_.now())) {
    PostLimitError(std::move(done), "backing off after failed reads");
    return;
  }
  if (!rate_limiter_.TryAcquire(loop_.now())) {
    PostLimitError(std::move(done), "read rate limit reached");
    return;
  }
  channel.getter.Get(
      path, deadline,
      [this, &channel, done = std::move(done)](result<http_reply> reply) {
        result<std::string> body = BodyOf(std::move(reply));
        if (body) {
          channel.backoff.OnSuccess();
        } else {
          channel.backoff.OnFailure(loop_.now());
        }
        done(std::move(body));
      });
}

// Fails asynchronously, as callbacks always run from the loop.
void platform_http::PostLimitError(body_callback done, std::string detail) {
  loop_.Post([alive = std::weak_ptr<bool>(alive_), done = std::move(done),
              detail = std::move(detail)] {
    if (!alive.expired()) {
      done(Fail(errc::kLimit, detail));
    }
  });
}

}  // namespace rosemaryreach
