// Publish records and a document for tests.

#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "amaranthlatch/acceptance/publish_record.h"

namespace amaranthlatch::acceptance {

// A valid document with one host, one version and one route to that version.
inline nlohmann::json MakeDocument(const std::string& service) {
  return {{"format", 1},
          {"service", service},
          {"owner", "team"},
          {"hosts", {service + ".example"}},
          {"versions", {{"stable", {{"labels", {{"release", "1"}}}}}}},
          {"routes",
           {{{"name", "work"},
             {"path_prefix", "/readings"},
             {"split", {{{"version", "stable"}, {"weight", 1}}}}}}}};
}

inline nlohmann::json MakePutRecord(const std::string& publish_id, const nlohmann::json& document,
                                    document::Version base_version) {
  return ToJson(PublishRecord{publish_id, document["service"], base_version, "author",
                              "2026-01-01T00:00:00Z", Action::kPut, document});
}

inline nlohmann::json MakeRemoveRecord(const std::string& publish_id, const std::string& service,
                                       document::Version base_version) {
  return ToJson(PublishRecord{publish_id, service, base_version, "author", "2026-01-01T00:00:00Z",
                              Action::kRemove, nullptr});
}

}  // namespace amaranthlatch::acceptance
