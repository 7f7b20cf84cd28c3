// The audit trail as JSON.

#include "amaranthlatch/runtime/audit.h"

#include <algorithm>
#include <utility>

namespace amaranthlatch::runtime {

namespace {

const char* OutcomeName(acceptance::Outcome outcome) {
  switch (outcome) {
    case acceptance::Outcome::kAccepted:
      return "accepted";
    case acceptance::Outcome::kDuplicate:
      return "duplicate";
    case acceptance::Outcome::kRefused:
      break;
  }
  return "refused";
}

}  // namespace

nlohmann::json ToJson(const AuditEntry& entry) {
  const acceptance::Verdict& verdict = entry.verdict;
  return {{"offset", verdict.offset},
          {"service", verdict.service},
          {"publish_id", verdict.publish_id},
          {"author", verdict.author},
          {"published_at", verdict.published_at},
          {"action", verdict.action == acceptance::Action::kPut ? "put" : "remove"},
          {"outcome", OutcomeName(verdict.outcome)},
          {"code", utils::ToNumber(verdict.code)},
          {"name", utils::ToString(verdict.code)},
          {"pointer", verdict.pointer},
          {"message", verdict.message},
          {"replaced", verdict.replaced},
          {"in_force_at", entry.in_force_at}};
}

void AuditTrail::Add(AuditEntry entry) {
  this->entries.push_back(std::move(entry));
  if (this->entries.size() > this->max_entries) {
    this->entries.pop_front();
  }
}

std::string AuditTrail::InForceAt(acceptance::Offset offset) const {
  const auto found = std::lower_bound(this->entries.begin(), this->entries.end(), offset,
                                      [](const AuditEntry& entry, acceptance::Offset wanted) {
                                        return entry.verdict.offset < wanted;
                                      });
  const bool is_same = found != this->entries.end() && found->verdict.offset == offset;
  return is_same ? found->in_force_at : std::string();
}

nlohmann::json AuditTrail::ToJson(std::string_view service) const {
  nlohmann::json list = nlohmann::json::array();
  for (const AuditEntry& entry : this->entries) {
    if (service.empty() || entry.verdict.service == service) {
      list.push_back(runtime::ToJson(entry));
    }
  }
  return list;
}

}  // namespace amaranthlatch::runtime
