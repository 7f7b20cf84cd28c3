// Authentic messages between nodes.
//
// An envelope is a MAC (crypto_auth) followed by the CBOR array `[format, module, sender id, sender
// boot id, counter, payload]`. The MAC also covers the receiver's id, so that a message recorded on
// the way to one node is not accepted by another. Repeats are recognised by the counter. A receiver
// that restarts has forgotten the counters; the messages carry boot ids where a repeat would harm.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/node/message.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::node {

inline constexpr std::uint32_t kEnvelopeFormat = 1;

// The largest call body that a document may allow, and room for headers.
inline constexpr std::size_t kMaxEnvelopeBytes = std::size_t{72} * 1024 * 1024;

inline constexpr std::size_t kKeyBytes = 32;
using Key = std::array<unsigned char, kKeyBytes>;

// Keys for different purposes from one secret.
enum class KeyPurpose : std::uint8_t { kEnvelope = 1, kPermit = 2 };
Key DeriveKey(std::string_view secret, KeyPurpose purpose);

// Recognises repeated counters of many senders in bounded memory.
class ReplayFilter {
 public:
  // Senders that are remembered at least; twice as many at most.
  explicit ReplayFilter(std::size_t capacity) : capacity(capacity) {}

  // Returns false for a counter that was seen before or is too old to tell. Counters may come in
  // any order within the last kWindow ones.
  bool Accept(const membership::NodeId& sender, std::uint64_t boot_id, std::uint64_t counter);

  static constexpr std::uint64_t kWindow = 2048;

 private:
  static constexpr std::uint64_t kWordBits = 64;
  struct Window {
    std::uint64_t highest = 0;
    // One bit for each counter, at its remainder by kWindow.
    std::array<std::uint64_t, kWindow / kWordBits> seen{};
  };
  using Windows = std::unordered_map<std::string, Window>;

  Window& Find(const std::string& key);

  std::size_t capacity;
  // Senders heard lately, and those heard before; the older half is dropped when the younger fills.
  Windows current;
  Windows previous;
};

class Envelope {
 public:
  struct Opened {
    membership::NodeId sender;
    std::uint64_t boot_id = 0;
    Message message;
    bool operator==(const Opened&) const = default;
  };

  struct Counters {
    std::uint64_t sealed = 0;
    std::uint64_t opened = 0;
    std::uint64_t not_authentic = 0;
    std::uint64_t replayed = 0;
    std::uint64_t malformed = 0;
    bool operator==(const Counters&) const = default;
  };

  // Fails with kSettingsOutOfRange for an empty id or secret.
  static utils::Result<Envelope> Create(membership::NodeId self, std::uint64_t boot_id,
                                        std::string_view secret);

  // Fails with kMessageTooLarge.
  utils::Result<std::string> Seal(const membership::NodeId& to, const Message& message);

  // Fails with kMessageNotAuthentic, kMessageReplayed, kMessageUnknownFormat, kMessageTooLarge,
  // kMessageMalformed or the code of a module's decoder.
  utils::Result<Opened> Open(std::string_view bytes);

  const Counters& GetCounters() const { return this->counters; }

 private:
  Envelope(membership::NodeId self, std::uint64_t boot_id, Key key);

  utils::Result<Opened> Decode(std::string_view content);

  membership::NodeId self;
  std::uint64_t boot_id = 0;
  Key key{};
  std::uint64_t last_counter = 0;
  ReplayFilter replays;
  Counters counters;
};

}  // namespace amaranthlatch::node
