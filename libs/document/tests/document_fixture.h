// Example document for tests.

#pragma once

#include <nlohmann/json.hpp>

namespace amaranthlatch::document {

// The example document of docs/design.md section 3.
inline nlohmann::json ExampleDocument() {
  return nlohmann::json::parse(R"({"format": 1, "service": "field-log", "owner": "records-team",
 "hosts": ["field-log.oshana.example"],
 "versions": {"stable": {"labels": {"release": "1"}}, "canary": {"labels": {"release": "2"}}},
 "routes": [{"name": "record-block", "path_prefix": "/blocks", "methods": ["POST"],
   "split": [{"version": "stable", "weight": 95},
             {"service": "claims-ledger", "version": "stable", "weight": 5}],
   "idempotent": false, "permit_required": true, "priority": "interactive", "deadline_ms": 2000,
   "max_request_bytes": 65536, "max_response_bytes": 1048576}],
 "protection": {"slots": 20, "connections": 110, "queue_length": 100, "queue_ms": 500,
   "retry_budget_percent": 10, "max_attempts": 3, "slow_start_ms": 10000},
 "locality": {"prefer": "zone", "spill_load_percent": 80}})");
}

}  // namespace amaranthlatch::document
