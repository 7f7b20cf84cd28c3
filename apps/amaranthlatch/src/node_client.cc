// The admin address of a node over HTTP.

#include "node_client.h"

#include <cstdint>
#include <utility>

#include "amaranthlatch/acceptance/verdict_json.h"
#include "amaranthlatch/document/json_guard.h"

namespace amaranthlatch::cli {

namespace {

using nlohmann::json;
using utils::ErrorCode;

constexpr utils::Duration kTimeout = utils::Seconds(2);
constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;

std::string TextOf(const json& body, const char* field) {
  const auto found = body.find(field);
  return found != body.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint64_t NumberOf(const json& body, const char* field) {
  const auto found = body.find(field);
  return found != body.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

std::map<std::string, document::Version> ServicesOf(const json& body) {
  std::map<std::string, document::Version> services;
  const auto found = body.find("services");
  if (found == body.end() || !found->is_object()) {
    return services;
  }
  for (const auto& [service, version] : found->items()) {
    if (version.is_number_unsigned()) {
      services[service] = version.get<document::Version>();
    }
  }
  return services;
}

}  // namespace

utils::Result<json> NodeClient::Fetch(const std::string& method, const std::string& address,
                                      const std::string& path) {
  const auto response = this->http.Send({method, "http://" + address + path, "", kTimeout});
  if (!response) {
    return utils::Fail(ErrorCode::kNodeUnreachable,
                       "node " + address + ": " + response.error().message);
  }
  if (response->status < kFirstSuccess || response->status >= kFirstRedirect) {
    return utils::Fail(ErrorCode::kHttpFailed, "node " + address + " answered " + path +
                                                   " with HTTP status " +
                                                   std::to_string(response->status));
  }
  if (response->body.empty()) {
    return json::object();
  }
  auto body = document::ParseJsonText(response->body);
  if (!body) {
    return utils::Fail(ErrorCode::kHttpFailed,
                       "node " + address + " answered " + path + " with no JSON");
  }
  return body;
}

utils::Result<NodeStatus> NodeClient::Status(const std::string& address) {
  const auto body = this->Fetch("GET", address, "/status");
  if (!body) {
    return tl::unexpected(body.error());
  }
  if (!body->is_object() || !body->contains("in_force_offset")) {
    return utils::Fail(ErrorCode::kHttpFailed, "node " + address + " gave no status");
  }
  NodeStatus status;
  status.id = TextOf(*body, "id");
  status.zone = TextOf(*body, "zone");
  status.region = TextOf(*body, "region");
  status.state = TextOf(*body, "state");
  status.ready = body->value("ready", json()) == true;
  status.reason = TextOf(*body, "reason");
  status.held_offset = NumberOf(*body, "held_offset");
  status.in_force_offset = NumberOf(*body, "in_force_offset");
  status.log_head = NumberOf(*body, "log_head");
  status.stopped_at = NumberOf(*body, "stopped_at");
  status.services = ServicesOf(*body);
  return status;
}

utils::Result<std::vector<acceptance::Verdict>> NodeClient::Audit(const std::string& address,
                                                                  const std::string& service) {
  const auto body = this->Fetch("GET", address, "/audit?service=" + service);
  if (!body) {
    return tl::unexpected(body.error());
  }
  const auto verdicts = body->find("verdicts");
  if (!body->is_object() || verdicts == body->end() || !verdicts->is_array()) {
    return utils::Fail(ErrorCode::kHttpFailed, "node " + address + " gave no audit history");
  }
  std::vector<acceptance::Verdict> history;
  for (const json& item : *verdicts) {
    auto verdict = acceptance::VerdictFromJson(item);
    if (!verdict) {
      return utils::Fail(ErrorCode::kHttpFailed, "node " + address + " gave no audit history");
    }
    history.push_back(std::move(*verdict));
  }
  return history;
}

utils::Result<json> NodeClient::Document(const std::string& address, const std::string& service) {
  const auto status = this->Status(address);
  if (!status) {
    return tl::unexpected(status.error());
  }
  if (!status->services.contains(service)) {
    return json();
  }
  auto body = this->Fetch("GET", address, "/documents/" + service);
  if (!body) {
    return tl::unexpected(body.error());
  }
  if (!body->is_object() || !body->contains("document")) {
    return utils::Fail(ErrorCode::kHttpFailed, "node " + address + " gave no document");
  }
  return body->at("document");
}

utils::Result<json> NodeClient::Drain(const std::string& address) {
  return this->Fetch("POST", address, "/drain");
}

}  // namespace amaranthlatch::cli
