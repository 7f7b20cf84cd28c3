// Binary permit encoding with a crypto_auth MAC (HMAC-SHA-512-256), in base64url.

#include "permit_codec.h"

#include <sodium.h>

#include <array>
#include <vector>

namespace amaranthlatch::calls::details {

namespace {
constexpr char kFormatVersion = 1;
constexpr std::size_t kMaxNameBytes = 255;
constexpr std::size_t kMaxTokenBytes = 1'200;
constexpr unsigned kByteBits = 8;
constexpr std::uint64_t kByteMask = 0xff;
constexpr int kBase64Variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;

static_assert(kPermitKeyBytes == crypto_auth_KEYBYTES);

void AppendName(std::string& out, std::string_view name) {
  const std::string_view truncated = name.substr(0, kMaxNameBytes);
  out.push_back(static_cast<char>(truncated.size()));
  out.append(truncated);
}

void AppendNumber(std::string& out, std::uint64_t number) {
  for (std::size_t i = 0; i < sizeof(number); ++i, number >>= kByteBits) {
    out.push_back(static_cast<char>(number & kByteMask));
  }
}

// Reads the fields of a binary permit in order.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : remaining(bytes) {}

  bool Name(std::string& out) {
    if (this->remaining.empty()) {
      return false;
    }
    const std::size_t size = static_cast<unsigned char>(this->remaining.front());
    this->remaining.remove_prefix(1);
    if (this->remaining.size() < size) {
      return false;
    }
    out = this->remaining.substr(0, size);
    this->remaining.remove_prefix(size);
    return true;
  }

  bool Number(std::uint64_t& out) {
    if (this->remaining.size() < sizeof(out)) {
      return false;
    }
    out = 0;
    for (std::size_t i = sizeof(out); i > 0; --i) {
      out = (out << kByteBits) | static_cast<unsigned char>(this->remaining[i - 1]);
    }
    this->remaining.remove_prefix(sizeof(out));
    return true;
  }

  bool AtEnd() const { return this->remaining.empty(); }

 private:
  std::string_view remaining;
};

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}
}  // namespace

std::string QualifiedRoute(std::string_view service, std::string_view route) {
  std::string name(service);
  return name.append("/").append(route);
}

std::string PermitCodec::Encode(const Permit& permit) const {
  std::string bytes(1, kFormatVersion);
  AppendName(bytes, permit.service);
  AppendName(bytes, permit.route);
  AppendName(bytes, permit.gate);
  AppendNumber(bytes, permit.incarnation);
  AppendNumber(bytes, permit.boot);
  AppendNumber(bytes, permit.sequence);
  std::array<unsigned char, crypto_auth_BYTES> mac{};
  crypto_auth(mac.data(), Bytes(bytes), bytes.size(), this->key.data());
  bytes.append(reinterpret_cast<const char*>(mac.data()), mac.size());
  std::string token(sodium_base64_encoded_len(bytes.size(), kBase64Variant), '\0');
  sodium_bin2base64(token.data(), token.size(), Bytes(bytes), bytes.size(), kBase64Variant);
  // sodium_bin2base64 writes a terminating zero byte.
  token.pop_back();
  return token;
}

std::optional<Permit> PermitCodec::Decode(std::string_view token) const {
  if (token.size() > kMaxTokenBytes) {
    return std::nullopt;
  }
  std::vector<unsigned char> buffer(token.size());
  std::size_t size = 0;
  if (sodium_base642bin(buffer.data(), buffer.size(), token.data(), token.size(), nullptr, &size,
                        nullptr, kBase64Variant) != 0 ||
      size <= crypto_auth_BYTES) {
    return std::nullopt;
  }
  const std::size_t payload_size = size - crypto_auth_BYTES;
  if (crypto_auth_verify(buffer.data() + payload_size, buffer.data(), payload_size,
                         this->key.data()) != 0) {
    return std::nullopt;
  }
  const std::string_view bytes(reinterpret_cast<const char*>(buffer.data()), payload_size);
  if (bytes.front() != kFormatVersion) {
    return std::nullopt;
  }
  Reader reader(bytes.substr(1));
  Permit permit;
  const bool complete = reader.Name(permit.service) && reader.Name(permit.route) &&
                        reader.Name(permit.gate) && reader.Number(permit.incarnation) &&
                        reader.Number(permit.boot) && reader.Number(permit.sequence);
  if (!complete || !reader.AtEnd()) {
    return std::nullopt;
  }
  return permit;
}

}  // namespace amaranthlatch::calls::details
