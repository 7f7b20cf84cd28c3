// The audit trail of a node: who published what and when, the verdict, and when it came into force
// here. Bounded: the oldest entries give way.

#pragma once

#include <cstddef>
#include <deque>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "amaranthlatch/acceptance/record.h"

namespace amaranthlatch::runtime {

struct AuditEntry {
  acceptance::Verdict verdict;
  // Wall time of this node, RFC 3339.
  std::string in_force_at;

  bool operator==(const AuditEntry&) const = default;
};

class AuditTrail {
 public:
  explicit AuditTrail(std::size_t max_entries) : max_entries(max_entries) {}

  void Add(AuditEntry entry);

  // Entries of a service, or of all for an empty name, oldest first.
  nlohmann::json ToJson(std::string_view service) const;

  // When the record at the offset came into force here; empty if before this process started.
  std::string InForceAt(acceptance::Offset offset) const;

  std::size_t Size() const { return this->entries.size(); }

 private:
  const std::size_t max_entries;
  std::deque<AuditEntry> entries;
};

nlohmann::json ToJson(const AuditEntry& entry);

}  // namespace amaranthlatch::runtime
