// CBOR encoding of the quota messages: arrays [type, fields...].

#pragma once

#include <string>
#include <string_view>

#include "amaranthlatch/quota/message.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::quota {

std::string ToCbor(const Message& message);

// Fails with kMessageMalformed if the structure is invalid and kMessageTooLarge if a limit is
// exceeded.
utils::Result<Message> MessageFromCbor(std::string_view bytes);

}  // namespace amaranthlatch::quota
