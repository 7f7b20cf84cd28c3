// Authenticated encoding of the messages between nodes.
//
// An envelope is a MAC (crypto_auth) followed by the CBOR array `[format, module, sender id, sender
// boot id, counter, payload]`. The MAC also covers the receiver's id, so that a message captured on
// the way to one node is rejected by another. Replayed messages are detected by the counter. A
// receiver loses the counters when it restarts; messages whose replay would be harmful carry boot
// ids.

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

// Maximum size of an envelope: the largest call body that a document allows, plus headers.
inline constexpr std::size_t kMaxEnvelopeBytes = std::size_t{72} * 1024 * 1024;

inline constexpr std::size_t kKeyBytes = 32;
using Key = std::array<unsigned char, kKeyBytes>;

// Purposes of the keys that are derived from the shared secret.
enum class KeyPurpose : std::uint8_t { kEnvelope = 1, kPermit = 2 };
Key DeriveKey(std::string_view secret, KeyPurpose purpose);

// Whether keys can be derived from the shared secret. Fails with kSettingsOutOfRange.
utils::Result<void> CheckSecret(std::string_view secret);

// Detects repeated message counters of many senders in bounded memory.
class ReplayFilter {
 public:
  // Remembers at least `capacity` and at most twice as many senders.
  explicit ReplayFilter(std::size_t capacity) : capacity(capacity) {}

  // Returns false for a repeated counter and for one older than the window. Counters may arrive in
  // any order within the last kWindowSize values.
  bool Accept(const membership::NodeId& sender, std::uint64_t boot_id, std::uint64_t counter);

  static constexpr std::uint64_t kWindowSize = 2048;

 private:
  static constexpr std::uint64_t kWordBits = 64;
  struct Window {
    std::uint64_t highest = 0;
    // One bit per counter, at index counter % kWindowSize.
    std::array<std::uint64_t, kWindowSize / kWordBits> seen{};
  };
  using Windows = std::unordered_map<std::string, Window>;

  Window& FindOrInsert(const std::string& key);

  std::size_t capacity;
  // Two generations of senders. When the current one is full, it becomes the previous one, and the
  // senders of the former previous one are discarded.
  Windows current_windows;
  Windows previous_windows;
};

class Envelope {
 public:
  struct OpenedMessage {
    membership::NodeId sender;
    std::uint64_t boot_id = 0;
    Message message;
    bool operator==(const OpenedMessage&) const = default;
  };

  struct Counters {
    std::uint64_t sealed = 0;
    std::uint64_t opened = 0;
    std::uint64_t not_authentic = 0;
    std::uint64_t replayed = 0;
    std::uint64_t malformed = 0;
    bool operator==(const Counters&) const = default;
  };

  // Fails with kSettingsOutOfRange for an empty or too long id or an empty secret.
  static utils::Result<Envelope> Create(membership::NodeId self, std::uint64_t boot_id,
                                        std::string_view secret);

  // Fails with kMessageTooLarge.
  utils::Result<std::string> Seal(const membership::NodeId& to, const Message& message);

  // Fails with kMessageNotAuthentic, kMessageReplayed, kMessageUnknownFormat, kMessageTooLarge,
  // kMessageMalformed or the code of a module's decoder.
  utils::Result<OpenedMessage> Open(std::string_view bytes);

  const Counters& GetCounters() const { return this->counters; }

 private:
  Envelope(membership::NodeId self, std::uint64_t boot_id, Key key);

  utils::Result<OpenedMessage> Decode(std::string_view content);

  std::uint64_t NextCounter(const membership::NodeId& to);

  membership::NodeId self;
  std::uint64_t boot_id = 0;
  Key key{};
  // Last counter of each receiver. A receiver's window then covers messages to itself only, so that
  // a large message may be overtaken by thousands of small ones to other nodes.
  std::unordered_map<membership::NodeId, std::uint64_t> last_counters;
  // The highest of all, also of receivers that are no longer among `last_counters`.
  std::uint64_t highest_counter = 0;
  ReplayFilter replay_filter;
  Counters counters;
};

}  // namespace amaranthlatch::node
