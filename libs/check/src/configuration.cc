// Description of both forms.

#include "amaranthlatch/check/configuration.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <string_view>
#include <utility>

#include "amaranthlatch/document/document_parser.h"
#include "amaranthlatch/document/route_matcher.h"
#include "amaranthlatch/utils/hash.h"

namespace amaranthlatch::check {

namespace {

using document::Route;

// A method that no route names; it reaches a route that names none.
constexpr std::string_view kOtherMethod = "-";

std::string At(const std::string& list, std::size_t index) {
  return list + "/" + std::to_string(index);
}

std::string Join(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    text.append(text.empty() ? "" : ", ").append(word);
  }
  return text;
}

std::string Text(utils::Duration duration) {
  constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;
  return std::to_string(duration.count() / kMicrosecondsPerMillisecond) + " ms";
}

std::string Text(bool value) { return value ? "yes" : "no"; }

std::string Text(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%g", value);
  return text.data();
}

std::string Text(const document::Labels& labels) {
  std::vector<std::string> words;
  for (const auto& [name, value] : labels) {
    words.push_back(std::string(name).append("=").append(value));
  }
  return Join(words);
}

std::string Text(const std::vector<document::SplitTarget>& split) {
  std::vector<std::string> words;
  for (const document::SplitTarget& target : split) {
    std::string word = target.service;
    word.append(target.version.empty() ? "" : "/" + target.version);
    words.push_back(word.append(" ").append(std::to_string(target.weight)));
  }
  return Join(words);
}

// Tells changed keys without showing them.
std::string DigestOf(const std::vector<std::string>& keys) {
  std::uint64_t hash = 0;
  for (const std::string& key : keys) {
    hash = utils::Hash64(key, hash);
  }
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%08x", static_cast<std::uint32_t>(hash));
  return std::to_string(keys.size()) + " with digest " + text.data();
}

std::map<std::string, std::string> FieldsOf(const Entry& entry) {
  const Route& route = entry.route;
  return {{"path prefix", route.path_prefix},
          {"methods", Join(route.methods)},
          {"split", Text(route.split)},
          {"idempotent", Text(route.idempotent)},
          {"permit required", Text(route.permit_required)},
          {"public", Text(route.is_public)},
          {"priority", std::string(document::ToString(route.priority))},
          {"timeout", Text(route.deadline)},
          {"target latency", Text(route.target_latency)},
          {"attempts", std::to_string(entry.attempts)},
          {"request bytes", std::to_string(entry.request_bytes)},
          {"response bytes", std::to_string(entry.response_bytes)}};
}

bool IsReachable(const document::RouteMatcher& matcher, const Route& route) {
  if (route.methods.empty()) {
    return matcher.Match(route.path_prefix, kOtherMethod) == &route;
  }
  return std::any_of(route.methods.begin(), route.methods.end(), [&](const auto& method) {
    return matcher.Match(route.path_prefix, method) == &route;
  });
}

Item DescribeService(const document::ServiceDocument& document) {
  const document::Protection& protection = document.protection;
  return {"",
          {{"owner", document.owner},
           {"hosts", Join(document.hosts)},
           {"slots", std::to_string(protection.slots)},
           {"connections", std::to_string(protection.connections)},
           {"queue length", std::to_string(protection.queue_length)},
           {"queue time", Text(protection.queue_time)},
           {"retry budget", std::to_string(protection.retry_budget_percent) + "%"},
           {"slow start", Text(protection.slow_start)},
           {"locality", std::string(document::ToString(document.locality.prefer)) + " up to " +
                            std::to_string(document.locality.spill_load_percent) + "%"}}};
}

}  // namespace

Configuration Describe(const document::ServiceDocument& document) {
  Configuration result;
  const auto shared = std::make_shared<const document::ServiceDocument>(document);
  const document::RouteMatcher matcher(shared);
  for (const Route& route : shared->routes) {
    Entry entry;
    entry.pointer = At("/routes", result.entries.size());
    entry.route = route;
    entry.is_reachable = IsReachable(matcher, route);
    entry.attempts = document.protection.max_attempts;
    entry.request_bytes = route.max_request_bytes;
    entry.response_bytes = route.max_response_bytes;
    result.items["route " + route.name] = {entry.pointer, FieldsOf(entry)};
    result.entries.push_back(std::move(entry));
  }
  for (const auto& [name, selector] : document.versions) {
    result.items["version " + name] = {"/versions/" + name, {{"labels", Text(selector.labels)}}};
  }
  result.items["service " + document.service] = DescribeService(document);
  return result;
}

Configuration Describe(const directory::MeshConfiguration& mesh, const TablePointers& pointers) {
  Configuration result;
  for (const directory::HostRoutePointer& row : mesh.Routes()) {
    const auto match = mesh.Match(row->host, row->route.path_prefix, kOtherMethod);
    Entry entry;
    entry.pointer = At(pointers.routes, result.entries.size());
    entry.route = row->route;
    entry.is_reachable = match && match->route == &row->route;
    entry.attempts = row->route.max_attempts;
    entry.attempt_time = row->route.target_latency;
    result.items["route " + row->host + row->route.path_prefix] = {entry.pointer, FieldsOf(entry)};
    result.entries.push_back(std::move(entry));
  }
  for (std::size_t i = 0; i < mesh.Services().size(); ++i) {
    const directory::MeshService& service = mesh.Services()[i];
    result.items["service " + service.name] = {
        At(pointers.services, i),
        {{"connections", std::to_string(service.connections)},
         {"health path", service.health_path}}};
    if (service.connections == 0) {
      result.closed_services.insert(service.name);
    }
  }
  if (!mesh.HasWorkspaces()) {
    return result;
  }
  for (const directory::WorkspacePointer& workspace : mesh.GetWorkspaces()->All()) {
    const std::string pointer = At(pointers.workspaces, result.quotas.size());
    const std::string priority = workspace->priority
                                     ? std::string(document::ToString(*workspace->priority))
                                     : "of the route";
    result.items["workspace " + workspace->name] = {pointer,
                                                    {{"keys", DigestOf(workspace->keys)},
                                                     {"priority", priority},
                                                     {"quota", Text(workspace->rate) + "/s"},
                                                     {"burst", Text(workspace->burst)}}};
    result.quotas.push_back({pointer, workspace->name, workspace->rate, workspace->burst});
  }
  return result;
}

}  // namespace amaranthlatch::check
