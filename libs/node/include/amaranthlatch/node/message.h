// Variant of all messages between nodes.

#pragma once

#include <variant>

#include "amaranthlatch/calls/message.h"
#include "amaranthlatch/directory/message.h"
#include "amaranthlatch/distribution/message.h"
#include "amaranthlatch/membership/message.h"
#include "amaranthlatch/quota/message.h"
#include "amaranthlatch/rollout/message.h"

namespace amaranthlatch::node {

using Message = std::variant<membership::Message, distribution::Message, calls::Message,
                             directory::Message, rollout::Message, quota::Message>;

}  // namespace amaranthlatch::node
