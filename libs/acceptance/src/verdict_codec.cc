// Encoding of verdicts as JSON arrays.

#include "verdict_codec.h"

#include <array>
#include <cstdint>
#include <limits>

namespace amaranthlatch::acceptance::details {

namespace {

using nlohmann::json;

enum Field : std::size_t {
  kOffset,
  kOutcome,
  kCode,
  kMessage,
  kPointer,
  kService,
  kPublishId,
  kAuthor,
  kPublishedAt,
  kAction,
  kReplaced,
  kFieldCount,
};

bool HasExpectedTypes(const json& value) {
  if (!value.is_array() || value.size() != kFieldCount) {
    return false;
  }
  for (const Field field : {kOffset, kOutcome, kCode, kAction, kReplaced}) {
    if (!value[field].is_number_unsigned()) {
      return false;
    }
  }
  for (const Field field : {kMessage, kPointer, kService, kPublishId, kAuthor, kPublishedAt}) {
    if (!value[field].is_string()) {
      return false;
    }
  }
  return true;
}

bool AreNumbersInRange(const json& value) {
  const auto outcome = value[kOutcome].get<std::uint64_t>();
  return value[kCode] <= std::numeric_limits<std::uint16_t>::max() &&
         (outcome == static_cast<std::uint64_t>(Outcome::kAccepted) ||
          outcome == static_cast<std::uint64_t>(Outcome::kRefused)) &&
         value[kAction] <= static_cast<std::uint64_t>(Action::kRemove);
}

}  // namespace

json EncodeVerdict(const Verdict& verdict) {
  return json::array({verdict.offset, static_cast<std::uint64_t>(verdict.outcome),
                      utils::ToNumber(verdict.code), verdict.message, verdict.pointer,
                      verdict.service, verdict.publish_id, verdict.author, verdict.published_at,
                      static_cast<std::uint64_t>(verdict.action), verdict.replaced});
}

std::optional<Verdict> DecodeVerdict(const json& value) {
  if (!HasExpectedTypes(value) || !AreNumbersInRange(value)) {
    return std::nullopt;
  }
  Verdict verdict;
  verdict.offset = value[kOffset].get<Offset>();
  verdict.outcome = static_cast<Outcome>(value[kOutcome].get<std::uint8_t>());
  verdict.code = static_cast<utils::ErrorCode>(value[kCode].get<std::uint16_t>());
  verdict.message = value[kMessage].get<std::string>();
  verdict.pointer = value[kPointer].get<std::string>();
  verdict.service = value[kService].get<std::string>();
  verdict.publish_id = value[kPublishId].get<std::string>();
  verdict.author = value[kAuthor].get<std::string>();
  verdict.published_at = value[kPublishedAt].get<std::string>();
  verdict.action = static_cast<Action>(value[kAction].get<std::uint8_t>());
  verdict.replaced = value[kReplaced].get<document::Version>();
  return verdict;
}

}  // namespace amaranthlatch::acceptance::details
