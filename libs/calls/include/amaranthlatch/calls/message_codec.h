// CBOR encoding of the calls messages: arrays [type, fields...] with bodies as byte strings.

#pragma once

#include <string>
#include <string_view>

#include "amaranthlatch/calls/message.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::calls {

std::string ToCbor(const Message& message);

// Fails with kMessageMalformed if the structure is invalid and kMessageTooLarge if a limit is
// exceeded.
utils::Result<Message> MessageFromCbor(std::string_view bytes);

// Whether the value fits the limits of the codec; receivers reject larger messages.
bool FitsMessage(const HttpRequest& request);
bool FitsMessage(const HttpResponse& response);

}  // namespace amaranthlatch::calls
