// Encoding of the messages between distribution reducers.

#pragma once

#include <nlohmann/json.hpp>

#include "amaranthlatch/distribution/message.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::distribution {

// An array [type, fields...]; snapshot data is a binary value.
nlohmann::json ToJson(const Message& message);

// Fails with kMessageMalformed for any other shape, type or size.
utils::Result<Message> MessageFromJson(const nlohmann::json& json);

}  // namespace amaranthlatch::distribution
