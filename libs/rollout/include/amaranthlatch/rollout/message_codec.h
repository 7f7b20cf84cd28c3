// CBOR encoding of the rollout messages: arrays [type, fields...].

#pragma once

#include <string>
#include <string_view>

#include "amaranthlatch/rollout/message.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::rollout {

std::string ToCbor(const Message& message);

// Fails with kMessageMalformed if the structure is invalid and kMessageTooLarge if a limit is
// exceeded.
utils::Result<Message> MessageFromCbor(std::string_view bytes);

}  // namespace amaranthlatch::rollout
