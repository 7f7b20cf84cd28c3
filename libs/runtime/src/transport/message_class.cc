// Streams and classes by kind of message.

#include "transport/message_class.h"

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

// The call message inside, if it is one of this type.
template <typename T, typename Outer>
auto* Find(Outer& message) {
  auto* const call = std::get_if<calls::Message>(&message);
  return call == nullptr ? nullptr : std::get_if<T>(call);
}

}  // namespace

void MessageClasses::OnReceived(const membership::NodeId& from, const node::Message& message,
                                Transport& transport) {
  if (const auto* const cancel = Find<calls::CallCancel>(message); cancel && cancel->abort) {
    transport.DropStream(from, StreamOf(cancel->id));
  }
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
  } else if (std::holds_alternative<directory::Message>(message)) {
    outgoing.priority = document::Priority::kInternal;
    outgoing.stream = kDirectoryStream;
  }
  return outgoing;
}

bool MessageClasses::Prepare(const membership::NodeId& to, node::Message& message,
                             Transport& transport) {
  if (const auto* const cancel = Find<calls::CallCancel>(message)) {
    const std::uint64_t stream = StreamOf(cancel->id);
    if (cancel->abort) {
      transport.DropStream(to, stream);
      return true;
    }
    // It asks whether the request arrived. The gate would refuse a request that it overtook.
    return !transport.HasStream(to, stream);
  }
  if (auto* const reply = Find<calls::CallCancelReply>(message); reply && reply->ran) {
    // An entry that is told that a run has ended takes a reply that comes later for lost.
    reply->running = reply->running || transport.HasStream(to, StreamOf(reply->id));
  }
  return true;
}

}  // namespace amaranthlatch::runtime::details
