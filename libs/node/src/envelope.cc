// Sealing, opening and replay detection of messages.

#include "amaranthlatch/node/envelope.h"

#include <sodium.h>

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "amaranthlatch/node/message_codec.h"
#include "amaranthlatch/utils/cbor.h"

namespace amaranthlatch::node {

namespace {

using utils::ErrorCode;
using utils::Fail;
using utils::Result;

static_assert(crypto_auth_KEYBYTES == kKeyBytes);
static_assert(crypto_kdf_KEYBYTES == kKeyBytes);

constexpr std::size_t kMacBytes = crypto_auth_BYTES;
constexpr std::size_t kFieldCount = 6;
// Envelopes of later formats may have more fields.
constexpr std::size_t kMaxFieldCount = 64;
constexpr std::size_t kMaxIdBytes = 128;
// Upper limit of the size of an envelope without its payload.
constexpr std::size_t kMaxOverheadBytes = 256;
// Well above the node count of the target size, to cover all nodes and the earlier processes of
// restarted nodes.
constexpr std::size_t kReplaySenderCapacity = 32'768;
// Receivers whose counters are kept apart. Above it all begin again, above the highest counter.
constexpr std::size_t kCounterCapacity = 32'768;
// libsodium requires exactly crypto_kdf_CONTEXTBYTES characters.
constexpr std::array<char, crypto_kdf_CONTEXTBYTES> kKeyContext = {'a', 'm', 'r', 'l',
                                                                   'a', 't', 'c', 'h'};

const unsigned char* AsBytes(const char* data) {
  return reinterpret_cast<const unsigned char*>(data);
}

using Mac = std::array<unsigned char, kMacBytes>;

// Prefixes the content with the length and bytes of the receiver's id, so that no two pairs of id
// and content produce the same MAC input.
Mac ComputeMac(const Key& key, const membership::NodeId& receiver, std::string_view content) {
  crypto_auth_hmacsha512256_state state;
  crypto_auth_hmacsha512256_init(&state, key.data(), key.size());
  const auto length = static_cast<unsigned char>(receiver.size());
  crypto_auth_hmacsha512256_update(&state, &length, 1);
  crypto_auth_hmacsha512256_update(&state, AsBytes(receiver.data()), receiver.size());
  crypto_auth_hmacsha512256_update(&state, AsBytes(content.data()), content.size());
  Mac mac{};
  crypto_auth_hmacsha512256_final(&state, mac.data());
  return mac;
}

}  // namespace

Key DeriveKey(std::string_view secret, KeyPurpose purpose) {
  Key master{};
  crypto_generichash(master.data(), master.size(), AsBytes(secret.data()), secret.size(), nullptr,
                     0);
  Key key{};
  crypto_kdf_derive_from_key(key.data(), key.size(), static_cast<std::uint64_t>(purpose),
                             kKeyContext.data(), master.data());
  return key;
}

utils::Result<void> CheckSecret(std::string_view secret) {
  if (sodium_init() < 0) {
    return utils::Fail(utils::ErrorCode::kSettingsOutOfRange, "libsodium cannot be initialised");
  }
  if (secret.empty()) {
    return utils::Fail(utils::ErrorCode::kSettingsOutOfRange, "the shared secret is empty",
                       "/secret");
  }
  return {};
}

bool ReplayFilter::Accept(const membership::NodeId& sender, std::uint64_t boot_id,
                          std::uint64_t counter) {
  Window& window = this->FindOrInsert(sender + ' ' + std::to_string(boot_id));
  if (counter == 0 || counter + kWindowSize <= window.highest) {
    return false;
  }
  if (counter > window.highest) {
    if (counter - window.highest >= kWindowSize) {
      window.seen.fill(0);
    }
    for (std::uint64_t skipped = window.highest + 1;
         skipped < counter && counter - window.highest < kWindowSize; ++skipped) {
      window.seen[skipped % kWindowSize / kWordBits] &= ~(1ULL << (skipped % kWordBits));
    }
    window.seen[counter % kWindowSize / kWordBits] &= ~(1ULL << (counter % kWordBits));
    window.highest = counter;
  }
  std::uint64_t& word = window.seen[counter % kWindowSize / kWordBits];
  const std::uint64_t bit = 1ULL << (counter % kWordBits);
  const bool is_new = (word & bit) == 0;
  word |= bit;
  return is_new;
}

ReplayFilter::Window& ReplayFilter::FindOrInsert(const std::string& key) {
  const auto found = this->current_windows.find(key);
  if (found != this->current_windows.end()) {
    return found->second;
  }
  if (this->current_windows.size() >= this->capacity) {
    this->previous_windows = std::move(this->current_windows);
    this->current_windows = Windows();
  }
  Window window;
  if (const auto older = this->previous_windows.find(key); older != this->previous_windows.end()) {
    window = older->second;
    this->previous_windows.erase(older);
  }
  return this->current_windows.emplace(key, window).first->second;
}

Envelope::Envelope(membership::NodeId self, std::uint64_t boot_id, Key key)
    : self(std::move(self)), boot_id(boot_id), key(key), replay_filter(kReplaySenderCapacity) {}

Result<Envelope> Envelope::Create(membership::NodeId self, std::uint64_t boot_id,
                                  std::string_view secret) {
  if (self.empty() || self.size() > kMaxIdBytes) {
    return Fail(ErrorCode::kSettingsOutOfRange, "node id is empty or too long");
  }
  if (const auto usable = CheckSecret(secret); !usable) {
    return tl::unexpected(usable.error());
  }
  return Envelope(std::move(self), boot_id, DeriveKey(secret, KeyPurpose::kEnvelope));
}

Result<std::string> Envelope::Seal(const membership::NodeId& to, const Message& message) {
  const EncodedMessage encoded = EncodeMessage(message);
  if (encoded.payload.size() + kMaxOverheadBytes > kMaxEnvelopeBytes || to.size() > kMaxIdBytes) {
    return Fail(ErrorCode::kMessageTooLarge, "message or receiver id is too large");
  }
  std::string sealed;
  sealed.reserve(kMaxOverheadBytes + encoded.payload.size());
  sealed.assign(kMacBytes, '\0');
  utils::CborWriter fields(sealed);
  fields.Array(kFieldCount).Number(kEnvelopeFormat).Number(encoded.module);
  fields.Text(this->self).Number(this->boot_id).Number(this->NextCounter(to));
  fields.Bytes(encoded.payload);
  ++this->counters.sealed;
  const std::string_view whole = sealed;
  const Mac mac = ComputeMac(this->key, to, whole.substr(kMacBytes));
  std::copy(mac.begin(), mac.end(), sealed.begin());
  return sealed;
}

std::uint64_t Envelope::NextCounter(const membership::NodeId& to) {
  auto found = this->last_counters.find(to);
  if (found == this->last_counters.end()) {
    if (this->last_counters.size() >= kCounterCapacity) {
      this->last_counters.clear();
    }
    found = this->last_counters.emplace(to, this->highest_counter).first;
  }
  this->highest_counter = std::max(this->highest_counter, ++found->second);
  return found->second;
}

Result<Envelope::OpenedMessage> Envelope::Open(std::string_view bytes) {
  if (bytes.size() > kMaxEnvelopeBytes) {
    ++this->counters.malformed;
    return Fail(ErrorCode::kMessageTooLarge, "message is too large");
  }
  const std::string_view content = bytes.substr(std::min(bytes.size(), kMacBytes));
  const Mac mac = ComputeMac(this->key, this->self, content);
  if (bytes.size() < kMacBytes || sodium_memcmp(mac.data(), bytes.data(), mac.size()) != 0) {
    ++this->counters.not_authentic;
    return Fail(ErrorCode::kMessageNotAuthentic, "message authentication code does not match");
  }
  Result<OpenedMessage> opened = this->Decode(content);
  if (opened) {
    ++this->counters.opened;
  } else if (opened.error().code == ErrorCode::kMessageReplayed) {
    ++this->counters.replayed;
  } else {
    ++this->counters.malformed;
  }
  return opened;
}

Result<Envelope::OpenedMessage> Envelope::Decode(std::string_view content) {
  utils::CborReader fields(content);
  const std::size_t field_count = fields.ArraySize(kMaxFieldCount);
  const std::uint64_t format = fields.Number();
  if (fields.Error()) {
    return Fail(ErrorCode::kMessageMalformed,
                "envelope is not an array with a leading format number");
  }
  if (format != kEnvelopeFormat) {
    return Fail(ErrorCode::kMessageUnknownFormat, "unknown envelope format");
  }
  const std::uint64_t module = fields.Number();
  membership::NodeId sender(fields.Text(kMaxEnvelopeBytes));
  const std::uint64_t boot = fields.Number();
  const std::uint64_t counter = fields.Number();
  const std::string_view payload = fields.Bytes(kMaxEnvelopeBytes);
  if (fields.Error() || field_count != kFieldCount || !fields.AtEnd()) {
    return Fail(ErrorCode::kMessageMalformed, "envelope has a wrong number or type of fields");
  }
  if (sender.empty() || sender.size() > kMaxIdBytes || module >= std::variant_size_v<Message>) {
    return Fail(ErrorCode::kMessageMalformed, "envelope sender or module is out of range");
  }
  if (!this->replay_filter.Accept(sender, boot, counter)) {
    return Fail(ErrorCode::kMessageReplayed,
                "message was replayed or its counter is older than the replay window");
  }
  auto message = DecodeMessage(static_cast<ModuleNumber>(module), payload);
  if (!message) {
    return tl::unexpected<utils::Error>(message.error());
  }
  return OpenedMessage{std::move(sender), boot, *std::move(message)};
}

}  // namespace amaranthlatch::node
