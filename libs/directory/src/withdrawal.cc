// Text form of a withdrawal in the labels of a member record.

#include "amaranthlatch/directory/withdrawal.h"

#include <array>
#include <charconv>

namespace amaranthlatch::directory {

namespace {
constexpr const char* kLabel = "amaranthlatch-withdrawal";
constexpr char kSeparator = ':';
}  // namespace

void SetWithdrawal(membership::Member& member, const Withdrawal& withdrawal) {
  member.labels[kLabel] = std::to_string(withdrawal.process) + kSeparator +
                          std::to_string(withdrawal.started_at_ms) + kSeparator +
                          std::to_string(withdrawal.sequence);
}

std::optional<Withdrawal> GetWithdrawal(const membership::Member& member) {
  const auto label = member.labels.find(kLabel);
  if (label == member.labels.end()) {
    return std::nullopt;
  }
  std::string_view text = label->second;
  std::array<std::uint64_t, 3> numbers{};
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    const char* const text_end = text.data() + text.size();
    const auto [end, status] = std::from_chars(text.data(), text_end, numbers.at(i));
    const bool is_last = i + 1 == numbers.size();
    const bool is_terminated = is_last ? end == text_end : end != text_end && *end == kSeparator;
    if (status != std::errc() || !is_terminated) {
      return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()) + (is_last ? 0 : 1));
  }
  return Withdrawal{numbers[0], numbers[1], numbers[2]};
}

}  // namespace amaranthlatch::directory
