// Keeps instances that disappeared without leaving, so that the minority side
// of a network partition can tell that it is the minority.
#ifndef ROSEMARYREACH_REQUESTS_QUORUM_H_
#define ROSEMARYREACH_REQUESTS_QUORUM_H_

#include <map>
#include <set>
#include <string>

#include "rosemaryreach/fleet_view.h"

namespace rosemaryreach {

class quorum {
 public:
  // Applies a new view. An instance that disappears is removed at once unless
  // it was last seen active, otherwise after kRetention.
  void Apply(time_point now, const fleet_view& view);

  // Removes instances that disappeared kRetention ago; returns whether there
  // were any.
  bool Expire(time_point now);

  // Returns whether a majority of the known instances of this region is in
  // view.
  bool HasRegionMajority() const;

  // Returns the same for this data centre.
  bool HasDataCentreMajority() const;

  // Returns the data centres with instances that disappeared and no active one
  // in view; the instances may still be running, cut off from this one.
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
