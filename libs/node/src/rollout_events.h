// Translation of events and effects of the other reducers to events of the rollout reducer.

#pragma once

#include <vector>

#include "amaranthlatch/calls/event.h"
#include "amaranthlatch/directory/effect.h"
#include "amaranthlatch/directory/event.h"
#include "amaranthlatch/rollout/event.h"

namespace amaranthlatch::node::details {

rollout::OrdersChanged ToOrdersChanged(const std::vector<directory::RolloutOrder>& orders);

rollout::BackendServerChanged ToServerChanged(const directory::BackendServerReady& server,
                                              bool available);

rollout::RunEnded ToRunEnded(const calls::BackendServerAnswered& answered);
rollout::RunEnded ToRunEnded(const calls::BackendServerFailed& failed);

}  // namespace amaranthlatch::node::details
