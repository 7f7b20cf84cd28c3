// Counts messages and bytes between nodes, by kind of message and by region of the peer.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "amaranthlatch/node/message.h"
#include "amaranthlatch/runtime/metrics.h"

namespace amaranthlatch::runtime {

struct MessageKind {
  std::string_view name;
  // Carries a call; all others are control traffic.
  bool is_call = false;
  // The receiver answers with a message of its own.
  bool expects_answer = false;
  // Sent only as an answer to a message of the receiver.
  bool is_answer = false;
};

MessageKind KindOf(const node::Message& message);

enum class Direction : std::uint8_t { kSent = 0, kReceived = 1 };

class Traffic {
 public:
  // `region` is empty for a peer that is not known.
  void Count(Direction direction, const node::Message& message, std::string_view region,
             std::size_t bytes);

  // Bytes of control messages in both directions.
  std::uint64_t ControlBytes() const { return this->control_bytes; }

  void AppendTo(MetricsText& text) const;

 private:
  struct Sum {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
  };
  static constexpr std::size_t kDirections = 2;
  using Sums = std::map<std::string, Sum, std::less<>>;

  // Kinds and regions are few: the mesh's members name them.
  std::array<Sums, kDirections> by_kind;
  std::array<Sums, kDirections> control_by_region;
  std::array<Sums, kDirections> calls_by_region;
  std::uint64_t control_bytes = 0;
};

}  // namespace amaranthlatch::runtime
