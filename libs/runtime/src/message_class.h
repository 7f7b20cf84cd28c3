// How the transport treats the messages of register mode: their class, their order, and which of
// those that wait have become needless.

#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "amaranthlatch/node/message.h"
#include "amaranthlatch/runtime/transport.h"

namespace amaranthlatch::runtime::details {

class MessageClasses {
 public:
  // Remembers the class of a received request for its reply.
  void OnReceived(const node::Message& message);

  // The message's properties, without bytes and report.
  OutgoingMessage Describe(const node::Message& message) const;

  // The message ends an attempt: of this stream, neither the request nor the reply is needed any
  // more. 0 for none.
  static std::uint64_t StreamEndedBy(const node::Message& message);

 private:
  using Classes = std::unordered_map<std::uint64_t, document::Priority>;

  // Classes by stream, in two generations, so that they need no removal.
  Classes current;
  Classes previous;
};

}  // namespace amaranthlatch::runtime::details
