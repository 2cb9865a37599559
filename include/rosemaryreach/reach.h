// Tells whether an instance is cut off from targets that others may reach.
#ifndef ROSEMARYREACH_REACH_H_
#define ROSEMARYREACH_REACH_H_

#include <string>

#include "rosemaryreach/flow_ledger.h"
#include "rosemaryreach/target_directory.h"

namespace rosemaryreach {

// Returns whether the instance should leave its callers to other instances: it
// reaches no target of any other data centre, and none for one of the
// services. A service that failed everywhere is no reason to leave.
bool CutOff(const target_directory& directory,
            const flow_ledger& ledger,
            const std::string& data_centre);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_REACH_H_
