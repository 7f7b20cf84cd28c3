// Routes of the admin address.

#include "amaranthlatch/runtime/admin_interface.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace amaranthlatch::runtime {

namespace {

using calls::ResultKind;
using nlohmann::json;
using utils::ErrorCode;

constexpr std::string_view kDocumentsPath = "/documents/";

std::string Text(const json& value) {
  return value.dump(1, ' ', false, json::error_handler_t::replace) + "\n";
}

ServerResponse Body(const char* type, std::string body) {
  ServerResponse answer;
  answer.response = {200, {{"content-type", type}}, std::move(body)};
  return answer;
}

ServerResponse Json(std::string body) { return Body("application/json", std::move(body)); }

ServerResponse Refusal(ErrorCode code, const std::string& text) {
  return MakeErrorResponse(code, ResultKind::kNotRun, text);
}

// Value of a query parameter; names of services need no percent encoding.
std::string_view Parameter(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    if (pair.starts_with(name) && pair.substr(name.size()).starts_with('=')) {
      return pair.substr(name.size() + 1);
    }
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
  }
  return {};
}

json ToJson(const membership::Member& member) {
  // JSON numbers of other programs do not hold 64 bits.
  return {{"id", member.id},
          {"region", member.region},
          {"zone", member.zone},
          {"service", member.service},
          {"labels", member.labels},
          {"data_address", member.data_address},
          {"incarnation", member.incarnation},
          {"boot_id", std::to_string(member.boot_id)},
          {"state", ToString(member.state)},
          {"slots", member.slots}};
}

}  // namespace

std::string_view ToString(membership::MemberState state) {
  switch (state) {
    case membership::MemberState::kJoining:
      return "joining";
    case membership::MemberState::kReady:
      return "ready";
    case membership::MemberState::kDraining:
      return "draining";
    case membership::MemberState::kLeft:
      return "left";
    case membership::MemberState::kDead:
      break;
  }
  return "dead";
}

std::string StatusJson(const node::Status& status) {
  json services = json::object();
  for (const node::ServiceInForce& service : status.services) {
    services[service.service] = service.version;
  }
  json members = json::object();
  for (const auto& [state, count] : status.members_by_state) {
    members[std::string(ToString(state))] = count;
  }
  return Text({{"id", status.self.id},
               {"zone", status.self.zone},
               {"region", status.self.region},
               {"state", ToString(status.self.state)},
               {"incarnation", status.self.incarnation},
               {"boot_id", std::to_string(status.self.boot_id)},
               {"service", status.self.service},
               {"ready", status.ready},
               {"reason", status.reason},
               {"holding", status.holding},
               {"held_offset", status.held},
               {"in_force_offset", status.in_force},
               {"log_head", status.log_head},
               {"stopped_at", status.stopped_at ? json(*status.stopped_at) : json()},
               {"services", services},
               {"members", members}});
}

std::string MembersJson(const membership::MemberView& members) {
  json list = json::array();
  for (const std::string& zone : members.Zones()) {
    for (const membership::Member& member : *members.OfZone(zone)) {
      list.push_back(ToJson(member));
    }
  }
  return Text({{"members", list}});
}

std::string AuditJson(const acceptance::State& state, const AuditTrail& trail,
                      std::string_view service) {
  if (service.empty()) {
    return Text({{"verdicts", trail.ToJson({})}});
  }
  // The state's history also holds verdicts from before this process started.
  json entries = json::array();
  for (const acceptance::Verdict& verdict : state.History(service)) {
    entries.push_back(runtime::ToJson(AuditEntry{verdict, trail.InForceAt(verdict.offset)}));
  }
  return Text({{"service", service}, {"verdicts", entries}});
}

void AdminInterface::OnRequest(std::uint64_t request, calls::HttpRequest content) {
  this->server->Respond(request, this->Handle(content));
}

void AdminInterface::OnCallerGone(std::uint64_t /*request*/) {}

ServerResponse AdminInterface::Handle(const calls::HttpRequest& request) {
  const std::string_view target = request.target;
  const std::size_t question = std::min(target.find('?'), target.size());
  const std::string_view path = target.substr(0, question);
  const std::string_view query = target.substr(std::min(question + 1, target.size()));
  if (path == "/backend-server") {
    return this->HandleBackendServer(request);
  }
  if (path == "/drain" && request.method == "POST") {
    this->control.BeginDrain();
    return Json(Text({{"state", "draining"}}));
  }
  if (request.method != "GET") {
    return Refusal(ErrorCode::kBadRequest, "no such method here");
  }
  return this->HandleGet(path, query);
}

ServerResponse AdminInterface::HandleGet(std::string_view path, std::string_view query) {
  const node::Node& node = this->control.GetNode();
  if (path == "/metrics") {
    return Body("text/plain; version=0.0.4", this->control.Metrics());
  }
  if (path == "/status") {
    return Json(StatusJson(node.GetStatus()));
  }
  if (path == "/audit") {
    return Json(AuditJson(node.InForce(), this->control.Audit(), Parameter(query, "service")));
  }
  if (path == "/members") {
    return Json(MembersJson(node.Members()));
  }
  if (path.starts_with(kDocumentsPath)) {
    return this->Document(path.substr(kDocumentsPath.size()));
  }
  return Refusal(ErrorCode::kNoRoute, "no such path here");
}

ServerResponse AdminInterface::Document(std::string_view service) {
  const auto* const accepted = this->control.GetNode().InForce().FindAccepted(service);
  if (accepted == nullptr) {
    ServerResponse answer = Refusal(ErrorCode::kServiceUnknown, "the service has no document");
    answer.response.status = 404;
    return answer;
  }
  return Json(Text(
      {{"service", service}, {"version", accepted->version}, {"document", *accepted->source}}));
}

ServerResponse AdminInterface::HandleBackendServer(const calls::HttpRequest& request) {
  if (request.method == "DELETE") {
    this->control.BackendServerLeaves();
    return Json(Text({{"state", "draining"}}));
  }
  if (request.method != "POST") {
    return Refusal(ErrorCode::kBadRequest, "no such method here");
  }
  auto server = ParseBackendServer(request.body);
  if (!server) {
    return Refusal(ErrorCode::kBadRequest, utils::ToString(server.error()));
  }
  this->control.AnnounceBackendServer(std::move(*server));
  // The whole status counts all members; that is too much for every announcement.
  const membership::Member& self = this->control.GetNode().Members().Self();
  return Json(Text({{"state", ToString(self.state)}}));
}

}  // namespace amaranthlatch::runtime
