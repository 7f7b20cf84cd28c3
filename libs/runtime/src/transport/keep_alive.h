// Frames of the transport: a message of the host, a fragment of one, or a keep-alive message and
// its answer.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthlatch::runtime::details {

enum class FrameKind : std::uint8_t {
  kMessage = 0,
  kKeepAlive = 1,
  kKeepAliveAnswer = 2,
  kFragment = 3
};

// Puts the kind before a message of the host.
std::string MessageFrame(std::string bytes);

struct KeepAlive {
  FrameKind kind = FrameKind::kKeepAlive;
  // The sender's node id.
  std::string from;
  // Chosen by the asking side and repeated in the answer.
  std::uint64_t nonce = 0;
  bool operator==(const KeepAlive&) const = default;
};

// Keep-alive frames carry a MAC under the mesh's secret, so that a stranger can neither hide a
// silent link nor make nodes dial arbitrary addresses.
class KeepAliveCodec {
 public:
  explicit KeepAliveCodec(std::string_view secret);

  std::string Encode(const KeepAlive& message) const;

  // Empty for a frame that is malformed or not authentic.
  std::optional<KeepAlive> Decode(std::string_view frame) const;

 private:
  std::string Mac(std::string_view bytes) const;

  std::string key;
};

}  // namespace amaranthlatch::runtime::details
