// JSON encoding of the calls messages: arrays [type, fields...] with binary bodies.

#pragma once

#include <nlohmann/json.hpp>

#include "amaranthlatch/calls/message.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::calls {

nlohmann::json ToJson(const Message& message);

// Fails with kMessageMalformed if the structure is invalid and kMessageTooLarge if a limit is
// exceeded.
utils::Result<Message> MessageFromJson(const nlohmann::json& json);

// Whether the value fits the limits of the codec; receivers reject larger messages.
bool FitsMessage(const HttpRequest& request);
bool FitsMessage(const HttpResponse& response);

}  // namespace amaranthlatch::calls
