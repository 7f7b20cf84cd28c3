// Puts the fragments of bulk messages together again.
//
// A connection delivers its frames in order and once. A message is therefore dropped when a
// fragment does not begin where the one before ended, and it is passed on once and whole or not at
// all.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "amaranthlatch/utils/time.h"
#include "transport/fragment.h"

namespace amaranthlatch::runtime::details {

struct ReassemblyOptions {
  // Of all incomplete messages, each counted with its whole size. A message above this is taken
  // only while no other one is incomplete.
  std::uint64_t max_bytes = 0;
  std::size_t max_message_bytes = 0;
  std::size_t max_messages = 256;
  // A sender has one incomplete message in each priority class at most.
  std::size_t max_messages_per_connection = 8;
  // From the first fragment on; no caller waits for longer.
  utils::Duration max_age = utils::Seconds(30);
};

class Reassembly {
 public:
  // Identifies the connection on which a frame came; not used again for another one.
  using Connection = std::uint32_t;

  explicit Reassembly(const ReassemblyOptions& options) : options(options) {}

  // Takes a frame. Returns the message of which it was the last fragment.
  std::optional<std::string> Take(Connection connection, std::string_view frame,
                                  utils::Timestamp now);

  // The connection is closed: what is incomplete will not be completed.
  void Close(Connection connection);

  // Incomplete messages that were dropped or not begun.
  std::uint64_t Dropped() const { return this->dropped; }
  std::uint64_t Bytes() const { return this->bytes; }
  std::size_t Messages() const { return this->messages; }

 private:
  struct Partial {
    std::string content;
    std::uint32_t total = 0;
    utils::Timestamp begun{};
  };
  struct Sender {
    // A number that is not above this one belongs to a message that was complete or dropped, or is
    // among `partials`.
    std::uint64_t newest = 0;
    std::map<std::uint64_t, Partial> partials;
  };

  bool Begin(Sender& sender, const FragmentHead& head, utils::Timestamp now);
  bool Fits(const Sender& sender, std::uint32_t total) const;
  void Drop(Sender& sender, std::map<std::uint64_t, Partial>::iterator partial);
  void DropOld(utils::Timestamp now);
  void Forget(Sender& sender, std::map<std::uint64_t, Partial>::iterator partial);

  const ReassemblyOptions options;
  std::map<Connection, Sender> senders;
  // Sums over all partials.
  std::uint64_t bytes = 0;
  std::size_t messages = 0;
  std::uint64_t dropped = 0;
};

}  // namespace amaranthlatch::runtime::details
