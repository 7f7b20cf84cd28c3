// Streams and classes by kind of message.

#include "message_class.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "amaranthlatch/utils/hash.h"

namespace amaranthlatch::runtime::details {

namespace {

// Updates of the directory build on the ones before.
constexpr std::uint64_t kDirectoryStream = 1;
constexpr std::uint64_t kFirstAttemptStream = 2;
// More requests than a gate has open at once.
constexpr std::size_t kGeneration = 4096;

std::uint64_t StreamOf(const calls::AttemptId& id) {
  const std::uint64_t call = utils::CombineHash(utils::Hash64(id.entry, id.entry_boot_id), id.call);
  return std::max(utils::CombineHash(call, id.attempt), kFirstAttemptStream);
}

template <typename T>
const T* Find(const node::Message& message) {
  const auto* const call = std::get_if<calls::Message>(&message);
  return call == nullptr ? nullptr : std::get_if<T>(call);
}

}  // namespace

void MessageClasses::OnReceived(const node::Message& message) {
  const auto* const request = Find<calls::CallRequest>(message);
  if (request == nullptr || request->priority == OutgoingMessage().priority) {
    return;
  }
  if (this->current.size() >= kGeneration) {
    this->previous = std::exchange(this->current, {});
  }
  this->current[StreamOf(request->id)] = request->priority;
}

OutgoingMessage MessageClasses::Describe(const node::Message& message) const {
  OutgoingMessage outgoing;
  if (const auto* const request = Find<calls::CallRequest>(message)) {
    outgoing.answer_expected = true;
    outgoing.priority = request->priority;
    outgoing.stream = StreamOf(request->id);
  } else if (const auto* const reply = Find<calls::CallReply>(message)) {
    outgoing.stream = StreamOf(reply->id);
    for (const Classes* const classes : {&this->previous, &this->current}) {
      const auto found = classes->find(outgoing.stream);
      outgoing.priority = found == classes->end() ? outgoing.priority : found->second;
    }
  } else if (const auto* const cancel = Find<calls::CallCancel>(message)) {
    // Without `abort` it asks about the request, which the gate would refuse if it came later.
    outgoing.stream = cancel->abort ? 0 : StreamOf(cancel->id);
  } else if (const auto* const cancelled = Find<calls::CallCancelReply>(message)) {
    // An entry that is told that an attempt has ended takes a reply that follows for lost.
    outgoing.stream = StreamOf(cancelled->id);
  } else if (std::holds_alternative<directory::Message>(message)) {
    outgoing.priority = document::Priority::kInternal;
    outgoing.stream = kDirectoryStream;
  }
  return outgoing;
}

std::uint64_t MessageClasses::StreamEndedBy(const node::Message& message) {
  const auto* const cancel = Find<calls::CallCancel>(message);
  return cancel == nullptr || !cancel->abort ? 0 : StreamOf(cancel->id);
}

}  // namespace amaranthlatch::runtime::details
