// The audit trail as JSON.

#include "amaranthlatch/runtime/audit.h"

#include <algorithm>
#include <utility>

#include "amaranthlatch/acceptance/verdict_json.h"

namespace amaranthlatch::runtime {

nlohmann::json ToJson(const AuditEntry& entry) {
  nlohmann::json value = acceptance::ToJson(entry.verdict);
  value["in_force_at"] = entry.in_force_at;
  return value;
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
