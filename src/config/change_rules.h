// Rules for a change from one configuration to the next. They keep open
// connections at their targets.
#ifndef ROSEMARYREACH_CONFIG_CHANGE_RULES_H_
#define ROSEMARYREACH_CONFIG_CHANGE_RULES_H_

#include <vector>

#include "rosemaryreach/config.h"
#include "rosemaryreach/result.h"

namespace rosemaryreach {

// Returns all rule violations of the change from `before` to `after`.
std::vector<error> CheckChange(const configuration& before,
                               const configuration& after);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CONFIG_CHANGE_RULES_H_
