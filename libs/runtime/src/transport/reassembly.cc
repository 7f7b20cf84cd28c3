// Bounds and order of the fragments.

#include "transport/reassembly.h"

#include <iterator>
#include <utility>

namespace amaranthlatch::runtime::details {

namespace {
// Frames of a connection can come after its end was reported; their senders are not kept for good.
constexpr std::size_t kMaxSenders = 1024;
}  // namespace

std::optional<std::string> Reassembly::Take(Connection connection, std::string_view frame,
                                            utils::Timestamp now) {
  const auto fragment = DecodeFragment(frame);
  if (!fragment) {
    return std::nullopt;
  }
  const FragmentHead& head = fragment->head;
  if (head.offset == 0) {
    this->DropOld(now);
  }
  Sender& sender = this->senders[connection];
  if (head.message > sender.newest && !this->Begin(sender, head, now)) {
    return std::nullopt;
  }
  const auto found = sender.partials.find(head.message);
  if (found == sender.partials.end()) {
    // The rest of a message that was dropped.
    return std::nullopt;
  }
  Partial& partial = found->second;
  if (head.offset != partial.content.size() || head.total != partial.total ||
      fragment->content.empty()) {
    this->Drop(sender, found);
    return std::nullopt;
  }
  partial.content.append(fragment->content);
  if (partial.content.size() < partial.total) {
    return std::nullopt;
  }
  std::string message = std::move(partial.content);
  this->Forget(sender, found);
  return message;
}

bool Reassembly::Begin(Sender& sender, const FragmentHead& head, utils::Timestamp now) {
  sender.newest = head.message;
  if (head.offset != 0 || head.total > this->options.max_message_bytes ||
      !this->Fits(sender, head.total)) {
    ++this->dropped;
    return false;
  }
  Partial& partial = sender.partials[head.message];
  partial.content.reserve(head.total);
  partial.total = head.total;
  partial.begun = now;
  this->bytes += head.total;
  ++this->messages;
  return true;
}

bool Reassembly::Fits(const Sender& sender, std::uint32_t total) const {
  if (this->messages == 0) {
    return true;
  }
  return this->messages < this->options.max_messages &&
         sender.partials.size() < this->options.max_messages_per_connection &&
         this->bytes + total <= this->options.max_bytes;
}

void Reassembly::Close(Connection connection) {
  const auto found = this->senders.find(connection);
  if (found == this->senders.end()) {
    return;
  }
  while (!found->second.partials.empty()) {
    this->Drop(found->second, found->second.partials.begin());
  }
  this->senders.erase(found);
}

void Reassembly::DropOld(utils::Timestamp now) {
  for (auto& [connection, sender] : this->senders) {
    for (auto partial = sender.partials.begin(); partial != sender.partials.end();) {
      const auto next = std::next(partial);
      if (now - partial->second.begun > this->options.max_age) {
        this->Drop(sender, partial);
      }
      partial = next;
    }
  }
  if (this->senders.size() > kMaxSenders) {
    std::erase_if(this->senders, [](const auto& entry) { return entry.second.partials.empty(); });
  }
}

void Reassembly::Drop(Sender& sender, std::map<std::uint64_t, Partial>::iterator partial) {
  ++this->dropped;
  this->Forget(sender, partial);
}

void Reassembly::Forget(Sender& sender, std::map<std::uint64_t, Partial>::iterator partial) {
  this->bytes -= partial->second.total;
  --this->messages;
  sender.partials.erase(partial);
}

}  // namespace amaranthlatch::runtime::details
