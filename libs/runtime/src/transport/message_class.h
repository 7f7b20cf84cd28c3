// How the transport treats the messages of register mode, and what the reducers, to which a message
// that waits is sent, have to be told of it.

#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/node/message.h"
#include "amaranthlatch/runtime/transport.h"

namespace amaranthlatch::runtime::details {

class MessageClasses {
 public:
  // Remembers the class of a received request for its reply. Drops the reply that waits for an
  // entry whose call has ended.
  void OnReceived(const membership::NodeId& from, const node::Message& message,
                  Transport& transport);

  // To be called before a message is sealed. Drops the waiting request of a call that has ended,
  // and corrects what is said of a waiting reply. False if the message must not be sent yet: its
  // sender repeats it.
  static bool Prepare(const membership::NodeId& to, node::Message& message, Transport& transport);

  // The message's properties, without bytes and report.
  OutgoingMessage Describe(const node::Message& message) const;

 private:
  using Classes = std::unordered_map<std::uint64_t, document::Priority>;

  // Classes by stream, in two generations, so that they need no removal.
  Classes current;
  Classes previous;
};

}  // namespace amaranthlatch::runtime::details
