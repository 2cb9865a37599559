#include "adapters/platform_directory.h"

#include <utility>

#include "adapters/platform_documents.h"

namespace rosemaryreach {

platform_directory::platform_directory(event_loop& loop,
                                       std::string directory,
                                       duration poll)
    : loop_(loop),
      directory_(std::move(directory)),
      poll_(poll),
      timer_(loop, [this] { PollDirectory(); }) {}

void platform_directory::WatchEntries(const log_position& after,
                                      duration wait,
                                      entries_callback done) {
  if (done_) {
    loop_.Post([alive = std::weak_ptr<bool>(alive_), done = std::move(done)] {
      if (!alive.expired()) {
        done(Fail(errc::kLimit, "a watch is already pending"));
      }
    });
    return;
  }
  after_ = after;
  deadline_ = loop_.now() + wait;
  done_ = std::move(done);
  timer_.Start(duration::zero());
}

void platform_directory::PollDirectory() {
  result<platform_page> page = ReadDirectory(directory_, after_);
  const bool keep_waiting =
      page && page.value().entries.empty() && loop_.now() < deadline_;
  if (keep_waiting) {
    timer_.Start(std::min(poll_, deadline_ - loop_.now()));
    return;
  }
  const entries_callback done = std::exchange(done_, nullptr);
  done(std::move(page));
}

void platform_directory::ReadInstanceList(instance_list_callback done) {
  loop_.Post(
      [this, alive = std::weak_ptr<bool>(alive_), done = std::move(done)] {
        if (!alive.expired()) {
          done(ReadInstanceFile(directory_));
        }
      });
}

}  // namespace rosemaryreach
