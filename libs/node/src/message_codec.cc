// Selects the module codec by module number.

#include "amaranthlatch/node/message_codec.h"

#include <variant>

#include "amaranthlatch/calls/message_codec.h"
#include "amaranthlatch/distribution/message_codec.h"
#include "amaranthlatch/document/json_guard.h"
#include "amaranthlatch/membership/message_codec.h"

namespace amaranthlatch::node {

namespace {

using nlohmann::json;
using utils::ErrorCode;
using utils::Result;

template <typename T>
Result<Message> ToMessage(Result<T> decoded) {
  if (!decoded) {
    return tl::unexpected<utils::Error>(decoded.error());
  }
  return Message(*std::move(decoded));
}

}  // namespace

EncodedMessage EncodeMessage(const Message& message) {
  EncodedMessage encoded;
  encoded.module = static_cast<ModuleNumber>(message.index());
  const json value = std::visit([](const auto& inner) { return ToJson(inner); }, message);
  json::to_cbor(value, encoded.payload);
  return encoded;
}

Result<Message> DecodeMessage(ModuleNumber module, std::string_view payload) {
  const auto value = document::ParseCbor(payload, ErrorCode::kMessageMalformed);
  if (!value) {
    return tl::unexpected<utils::Error>(value.error());
  }
  switch (module) {
    case 0:
      return ToMessage(membership::MessageFromJson(*value));
    case 1:
      return ToMessage(distribution::MessageFromJson(*value));
    case 2:
      return ToMessage(calls::MessageFromJson(*value));
    default:
      return utils::Fail(ErrorCode::kMessageMalformed, "unknown module number");
  }
}

}  // namespace amaranthlatch::node
