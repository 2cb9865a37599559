// Platform source that polls a directory of documents, for trials and for
// platforms that deliver configuration as files.
#ifndef ROSEMARYREACH_ADAPTERS_PLATFORM_DIRECTORY_H_
#define ROSEMARYREACH_ADAPTERS_PLATFORM_DIRECTORY_H_

#include <memory>
#include <string>

#include "adapters/event_loop.h"
#include "rosemaryreach/platform_source.h"

namespace rosemaryreach {

class platform_directory : public platform_source {
 public:
  // Checks for new files every `poll` while a watch is pending.
  platform_directory(event_loop& loop, std::string directory, duration poll);

  void WatchEntries(const log_position& after,
                    duration wait,
                    entries_callback done) override;
  void ReadInstanceList(instance_list_callback done) override;

 private:
  void PollDirectory();

  event_loop& loop_;
  std::string directory_;
  duration poll_;
  loop_timer timer_;
  log_position after_;
  time_point deadline_{};
  entries_callback done_;
  // Posted callbacks hold a weak_ptr to it, as they may outlive this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_PLATFORM_DIRECTORY_H_
