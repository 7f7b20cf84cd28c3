// Kinds of messages and their counters.

#include "amaranthlatch/runtime/traffic.h"

#include <variant>

namespace amaranthlatch::runtime {

namespace {

// Length prefix and frame kind that the transport adds.
constexpr std::size_t kFrameBytes = 9;

// One row for each alternative of the module's variant, in its order.
constexpr std::array<MessageKind, std::variant_size_v<membership::Message>> kMembership = {{
    {"probe", false, true},
    {"probe-ack", false, false, true},
    {"indirect-probe", false, false},
    {"member-updates", false, false},
    {"join-request", false, true},
    {"join-reply", false, false, true},
    {"zone-records-request", false, true},
    {"zone-records", false, false},
}};

constexpr std::array<MessageKind, std::variant_size_v<distribution::Message>> kDistribution = {{
    {"entries-push", false, true},
    {"entries-ack", false, false, true},
    {"digest", false, false},
    {"entries-request", false, true},
    {"snapshot-request", false, true},
    {"snapshot-chunk", false, false},
    {"snapshot-retry-later", false, false},
    {"reader-heartbeat", false, false},
    {"held-query", false, true},
    {"held-reply", false, false, true},
}};

constexpr std::array<MessageKind, std::variant_size_v<calls::Message>> kCalls = {{
    {"call-request", true, true},
    {"call-reply", true, false, true},
    {"call-cancel", true, true},
    {"call-cancel-reply", true, false, true},
    {"permit-request", true, true},
    {"permit-reply", true, false, true},
    {"crash-report", true, false},
    {"crash-cleared", true, false},
    {"crash-confirmed", true, false},
}};

constexpr std::array<MessageKind, std::variant_size_v<directory::Message>> kDirectory = {{
    {"update-request", false, true},
    {"update", false, false},
    {"reader-notice", false, false},
    {"version-notice", false, false},
    {"configuration-request", false, false},
    {"confirmation", false, false},
}};

constexpr std::array<MessageKind, std::variant_size_v<rollout::Message>> kRollout = {{
    {"rollout-report", false, true},
    {"rollout-directive", false, false, true},
    {"rollout-redirect", false, false, true},
}};

constexpr std::array<MessageKind, std::variant_size_v<quota::Message>> kQuota = {{
    {"credit-request", false, true},
    {"credit-grant", false, false, true},
    {"transfer-request", false, true},
    {"transfer", false, false, true},
}};

MessageKind Find(const membership::Message& message) { return kMembership.at(message.index()); }
MessageKind Find(const distribution::Message& message) { return kDistribution.at(message.index()); }
MessageKind Find(const calls::Message& message) { return kCalls.at(message.index()); }
MessageKind Find(const directory::Message& message) { return kDirectory.at(message.index()); }
MessageKind Find(const rollout::Message& message) { return kRollout.at(message.index()); }
MessageKind Find(const quota::Message& message) { return kQuota.at(message.index()); }

std::string Label(std::string_view name, std::string_view value) {
  return std::string(name).append("=\"").append(LabelValue(value)).append("\"");
}

}  // namespace

MessageKind KindOf(const node::Message& message) {
  return std::visit([](const auto& inner) { return Find(inner); }, message);
}

void Traffic::Count(Direction direction, const node::Message& message, std::string_view region,
                    std::size_t bytes) {
  const auto add = [bytes](Sums& sums, std::string_view key) {
    auto found = sums.find(key);
    if (found == sums.end()) {
      found = sums.emplace(key, Sum()).first;
    }
    ++found->second.messages;
    found->second.bytes += bytes + kFrameBytes;
  };
  const MessageKind kind = KindOf(message);
  const auto index = static_cast<std::size_t>(direction);
  add(this->by_kind.at(index), kind.name);
  auto& regions = kind.is_call ? this->calls_by_region : this->control_by_region;
  add(regions.at(index), region.empty() ? "unknown" : region);
  this->control_bytes += kind.is_call ? 0 : bytes + kFrameBytes;
}

void Traffic::AppendTo(MetricsText& text) const {
  constexpr std::array<std::string_view, kDirections> kNames = {"sent", "received"};
  const auto append = [&text](const std::string& name, const std::string& label, const Sums& sums,
                              std::uint64_t Sum::*field) {
    for (const auto& [key, sum] : sums) {
      text.Counter(name, sum.*field, label + "," + Label("key", key));
    }
  };
  for (std::size_t i = 0; i < kDirections; ++i) {
    const std::string direction = Label("direction", kNames.at(i));
    append("messages_by_kind_total", direction, this->by_kind.at(i), &Sum::messages);
  }
  for (std::size_t i = 0; i < kDirections; ++i) {
    const std::string direction = Label("direction", kNames.at(i));
    append("message_bytes_by_kind_total", direction, this->by_kind.at(i), &Sum::bytes);
  }
  for (std::size_t i = 0; i < kDirections; ++i) {
    const std::string direction = Label("direction", kNames.at(i));
    append("message_bytes_by_region_total", direction + R"(,traffic="control")",
           this->control_by_region.at(i), &Sum::bytes);
    append("message_bytes_by_region_total", direction + R"(,traffic="call")",
           this->calls_by_region.at(i), &Sum::bytes);
  }
}

}  // namespace amaranthlatch::runtime
