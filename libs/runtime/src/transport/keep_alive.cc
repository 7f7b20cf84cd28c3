// Encoding: kind (1 byte), nonce (8 bytes, little endian), node id, MAC (32 bytes).

#include "transport/keep_alive.h"

#include <sodium.h>

#include <cstring>

namespace amaranthlatch::runtime::details {

namespace {

constexpr std::size_t kNonceBytes = sizeof(std::uint64_t);
constexpr std::size_t kHeadBytes = 1 + kNonceBytes;
// Longest text of an IPv6 address with port.
constexpr std::size_t kMaxIdBytes = 64;
// Derives a key of its own, so that a MAC of another kind of message is never valid here.
constexpr std::string_view kKeyContext = "amaranthlatch keep-alive";

const unsigned char* Unsigned(const char* data) {
  return reinterpret_cast<const unsigned char*>(data);
}

unsigned char* Unsigned(char* data) { return reinterpret_cast<unsigned char*>(data); }

}  // namespace

std::string MessageFrame(std::string bytes) {
  bytes.insert(bytes.begin(), static_cast<char>(FrameKind::kMessage));
  return bytes;
}

KeepAliveCodec::KeepAliveCodec(std::string_view secret) : key(crypto_auth_KEYBYTES, '\0') {
  const std::string input = std::string(kKeyContext).append(secret);
  crypto_generichash(Unsigned(this->key.data()), this->key.size(), Unsigned(input.data()),
                     input.size(), nullptr, 0);
}

std::string KeepAliveCodec::Mac(std::string_view bytes) const {
  std::string mac(crypto_auth_BYTES, '\0');
  crypto_auth(Unsigned(mac.data()), Unsigned(bytes.data()), bytes.size(),
              Unsigned(this->key.data()));
  return mac;
}

std::string KeepAliveCodec::Encode(const KeepAlive& message) const {
  std::string frame(1, static_cast<char>(message.kind));
  for (std::size_t i = 0; i < kNonceBytes; ++i) {
    frame.push_back(static_cast<char>(message.nonce >> (8 * i)));
  }
  frame.append(message.from);
  return frame.append(this->Mac(frame));
}

std::optional<KeepAlive> KeepAliveCodec::Decode(std::string_view frame) const {
  const std::size_t fixed = kHeadBytes + crypto_auth_BYTES;
  if (frame.size() <= fixed || frame.size() > fixed + kMaxIdBytes) {
    return std::nullopt;
  }
  const std::string_view content = frame.substr(0, frame.size() - crypto_auth_BYTES);
  if (crypto_auth_verify(Unsigned(frame.data() + content.size()), Unsigned(content.data()),
                         content.size(), Unsigned(this->key.data())) != 0) {
    return std::nullopt;
  }
  KeepAlive message;
  message.kind = static_cast<FrameKind>(content.front());
  for (std::size_t i = 0; i < kNonceBytes; ++i) {
    message.nonce |= static_cast<std::uint64_t>(static_cast<unsigned char>(content[1 + i]))
                     << (8 * i);
  }
  message.from = content.substr(kHeadBytes);
  return message;
}

}  // namespace amaranthlatch::runtime::details
