// Selects the module codec by module number.

#include "amaranthlatch/node/message_codec.h"

#include <string>
#include <utility>
#include <variant>

#include "amaranthlatch/calls/message_codec.h"
#include "amaranthlatch/directory/message_codec.h"
#include "amaranthlatch/distribution/message_codec.h"
#include "amaranthlatch/document/json_guard.h"
#include "amaranthlatch/membership/message_codec.h"
#include "amaranthlatch/quota/message_codec.h"
#include "amaranthlatch/rollout/message_codec.h"

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

// Membership and distribution messages are rare, so they are encoded by way of a JSON tree.
template <typename T>
Result<Message> DecodeTree(std::string_view payload, Result<T> (*decode)(const json&)) {
  const auto value = document::ParseCbor(payload, ErrorCode::kMessageMalformed);
  if (!value) {
    return tl::unexpected<utils::Error>(value.error());
  }
  return ToMessage(decode(*value));
}

template <typename T>
std::string Encode(const T& message) {
  std::string payload;
  json::to_cbor(ToJson(message), payload);
  return payload;
}

std::string Encode(const calls::Message& message) { return calls::ToCbor(message); }

std::string Encode(const directory::Message& message) { return directory::ToCbor(message); }

std::string Encode(const rollout::Message& message) { return rollout::ToCbor(message); }

std::string Encode(const quota::Message& message) { return quota::ToCbor(message); }

}  // namespace

EncodedMessage EncodeMessage(const Message& message) {
  EncodedMessage encoded;
  encoded.module = static_cast<ModuleNumber>(message.index());
  encoded.payload = std::visit([](const auto& inner) { return Encode(inner); }, message);
  return encoded;
}

Result<Message> DecodeMessage(ModuleNumber module, std::string_view payload) {
  switch (module) {
    case 0:
      return DecodeTree<membership::Message>(payload, &membership::MessageFromJson);
    case 1:
      return DecodeTree<distribution::Message>(payload, &distribution::MessageFromJson);
    case 2:
      return ToMessage(calls::MessageFromCbor(payload));
    case 3:
      return ToMessage(directory::MessageFromCbor(payload));
    case 4:
      return ToMessage(rollout::MessageFromCbor(payload));
    case 5:
      return ToMessage(quota::MessageFromCbor(payload));
    default:
      return utils::Fail(ErrorCode::kMessageMalformed, "unknown module number");
  }
}

}  // namespace amaranthlatch::node
