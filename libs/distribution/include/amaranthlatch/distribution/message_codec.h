// JSON encoding of the messages between distribution reducers.

#pragma once

#include <nlohmann/json.hpp>

#include "amaranthlatch/distribution/message.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::distribution {

// Encodes a message as an array [type, fields...]; snapshot data is a binary value.
nlohmann::json ToJson(const Message& message);

// Fails with kMessageMalformed if the structure, a type or a size does not match.
utils::Result<Message> MessageFromJson(const nlohmann::json& json);

}  // namespace amaranthlatch::distribution
