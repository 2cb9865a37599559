// The rules for a change from one configuration to the next, which keep open
// connections where they are.
#ifndef ROSEMARYREACH_CONFIG_CHANGE_RULES_H_
#define ROSEMARYREACH_CONFIG_CHANGE_RULES_H_

#include <vector>

#include "rosemaryreach/config.h"
#include "rosemaryreach/result.h"

namespace rosemaryreach {

// Returns every rule that the change from `before` to `after` breaks.
std::vector<error> CheckChange(const configuration& before,
                               const configuration& after);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_CONFIG_CHANGE_RULES_H_
