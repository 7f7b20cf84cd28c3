// Converts membership messages to and from JSON arrays `[type, fields...]`.

#pragma once

#include <nlohmann/json.hpp>

#include "amaranthlatch/membership/message.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::membership {

nlohmann::json ToJson(const Message& message);

// Fails with kMemberMalformed for an invalid member record, otherwise with kMessageMalformed.
utils::Result<Message> MessageFromJson(const nlohmann::json& json);

nlohmann::json ToJson(const Member& member);
// Fails with kMemberMalformed.
utils::Result<Member> MemberFromJson(const nlohmann::json& json);

}  // namespace amaranthlatch::membership
