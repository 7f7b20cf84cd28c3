// Conversion of verdicts to and from JSON objects.

#include "amaranthlatch/acceptance/verdict_json.h"

#include <cstdint>
#include <limits>
#include <optional>

#include "amaranthlatch/acceptance/publish_record.h"

namespace amaranthlatch::acceptance {

namespace {

using nlohmann::json;

bool HasStringFields(const json& value) {
  for (const char* field : {"outcome", "message", "pointer", "service", "publish_id", "author",
                            "published_at", "action"}) {
    const auto found = value.find(field);
    if (found == value.end() || !found->is_string()) {
      return false;
    }
  }
  return true;
}

bool HasNumberFields(const json& value) {
  for (const char* field : {"code", "offset", "replaced"}) {
    const auto found = value.find(field);
    if (found == value.end() || !found->is_number_unsigned()) {
      return false;
    }
  }
  return value["code"] <= std::numeric_limits<std::uint16_t>::max();
}

template <typename Enum>
std::optional<Enum> FindByName(const std::string& name, std::initializer_list<Enum> values) {
  for (const Enum value : values) {
    if (ToString(value) == name) {
      return value;
    }
  }
  return std::nullopt;
}

}  // namespace

json ToJson(const Verdict& verdict) {
  return {{"outcome", ToString(verdict.outcome)},
          {"code", utils::ToNumber(verdict.code)},
          {"name", utils::ToString(verdict.code)},
          {"message", verdict.message},
          {"pointer", verdict.pointer},
          {"offset", verdict.offset},
          {"service", verdict.service},
          {"publish_id", verdict.publish_id},
          {"author", verdict.author},
          {"published_at", verdict.published_at},
          {"action", ToString(verdict.action)},
          {"replaced", verdict.replaced}};
}

utils::Result<Verdict> VerdictFromJson(const json& value) {
  const auto malformed = utils::Fail(utils::ErrorCode::kRecordMalformed, "not a verdict");
  if (!value.is_object() || !HasStringFields(value) || !HasNumberFields(value)) {
    return malformed;
  }
  const auto outcome = FindByName(value["outcome"].get<std::string>(),
                                  {Outcome::kAccepted, Outcome::kDuplicate, Outcome::kRefused});
  const auto action =
      FindByName(value["action"].get<std::string>(), {Action::kPut, Action::kRemove});
  if (!outcome || !action) {
    return malformed;
  }
  return Verdict{*outcome,
                 static_cast<utils::ErrorCode>(value["code"].get<std::uint16_t>()),
                 value["message"].get<std::string>(),
                 value["pointer"].get<std::string>(),
                 value["offset"].get<Offset>(),
                 value["service"].get<std::string>(),
                 value["publish_id"].get<std::string>(),
                 value["author"].get<std::string>(),
                 value["published_at"].get<std::string>(),
                 *action,
                 value["replaced"].get<document::Version>()};
}

}  // namespace amaranthlatch::acceptance
