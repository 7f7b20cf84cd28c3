// JSON form of the calls messages: arrays [type, fields...] with binary bodies.

#pragma once

#include <nlohmann/json.hpp>

#include "amaranthlatch/calls/message.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::calls {

nlohmann::json ToJson(const Message& message);

// Fails with kMessageMalformed on a wrong shape and kMessageTooLarge above a limit.
utils::Result<Message> MessageFromJson(const nlohmann::json& json);

// Whether a message can carry it: receivers refuse messages above the limits of the codec.
bool FitsMessage(const HttpRequest& request);
bool FitsMessage(const HttpResponse& response);

}  // namespace amaranthlatch::calls
