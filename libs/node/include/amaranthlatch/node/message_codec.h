// CBOR encoding of the messages between nodes.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "amaranthlatch/node/message.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::node {

// Module that a message belongs to, as its index in the variant `Message`.
using ModuleNumber = std::uint32_t;

struct EncodedMessage {
  ModuleNumber module = 0;
  // Module-specific CBOR encoding of the message.
  std::string payload;
  bool operator==(const EncodedMessage&) const = default;
};

EncodedMessage EncodeMessage(const Message& message);

// Fails with kMessageMalformed, or with the code of the module's decoder.
utils::Result<Message> DecodeMessage(ModuleNumber module, std::string_view payload);

}  // namespace amaranthlatch::node
