// Platform source over HTTP: long polling by index, as described in
// docs/design/configuration.md.
#ifndef ROSEMARYREACH_ADAPTERS_PLATFORM_HTTP_H_
#define ROSEMARYREACH_ADAPTERS_PLATFORM_HTTP_H_

#include <cstdint>
#include <memory>
#include <string>

#include "adapters/event_loop.h"
#include "adapters/http_get.h"
#include "adapters/platform_budget.h"
#include "rosemaryreach/platform_source.h"
#include "rosemaryreach/retry_backoff.h"

namespace rosemaryreach {

struct platform_http_options {
  endpoint server;
  std::uint32_t reads_per_minute = 240;
  // Time allowed for a reply in addition to the requested wait.
  std::uint32_t answer_timeout_ms = 400;
  std::uint32_t backoff_min_ms = 50;
  std::uint32_t backoff_max_ms = 1'000;
};

class platform_http : public platform_source {
 public:
  // `seed` seeds the backoff jitter.
  platform_http(event_loop& loop,
                const platform_http_options& options,
                std::uint64_t seed);

  void WatchEntries(const log_position& after,
                    duration wait,
                    entries_callback done) override;
  void ReadInstanceList(instance_list_callback done) override;

 private:
  // Connection and backoff of one kind of read.
  struct channel {
    channel(event_loop& loop,
            const platform_http_options& options,
            std::uint64_t seed);

    http_get_client getter;
    retry_backoff backoff;
  };

  using body_callback = std::function<void(result<std::string>)>;

  void Read(channel& channel,
            const std::string& path,
            duration deadline,
            body_callback done);
  void PostLimitError(body_callback done, std::string detail);

  event_loop& loop_;
  platform_http_options options_;
  read_rate_limiter rate_limiter_;
  channel entries_;
  channel instances_;
  // Posted callbacks hold a weak_ptr to it, as they may outlive this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_PLATFORM_HTTP_H_
