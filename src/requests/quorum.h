// Remembers instances that vanished without leaving, so that the smaller part
// of a split fleet knows that it is one.
#ifndef ROSEMARYREACH_REQUESTS_QUORUM_H_
#define ROSEMARYREACH_REQUESTS_QUORUM_H_

#include <map>
#include <set>
#include <string>

#include "rosemaryreach/fleet_view.h"

namespace rosemaryreach {

class quorum {
 public:
  // Takes a new view. Instances that were last seen leaving are forgotten at
  // once when they vanish, others after kRetention.
  void Apply(time_point now, const fleet_view& view);

  // Forgets instances that vanished long ago; returns whether any was.
  bool Expire(time_point now);

  // Returns whether most of the remembered instances of this region are in
  // view.
  bool HasRegionMajority() const;

  // Returns whether most of the remembered instances of this data centre are.
  bool HasDataCentreMajority() const;

  // Returns the data centres whose instances all vanished and may still run,
  // cut off from this one.
  std::set<std::string> UnreachableDataCentres() const;

  static constexpr duration kRetention = std::chrono::minutes(10);

 private:
  struct member {
    instance_info info;
    bool in_view = false;
    time_point last_seen;
  };

  std::map<instance_id, member> members_;
  instance_info self_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_REQUESTS_QUORUM_H_
