// Rules of public routes, keys and priorities of workspaces.

#include "call_authorizer.h"

#include <algorithm>

namespace amaranthlatch::node {

namespace {

using document::Priority;

// Bounds of the weight of a workspace, so that no rate starves a workspace or fills a queue alone.
constexpr double kMinWeight = 0.01;
constexpr double kMaxWeight = 100.0;

}  // namespace

const document::Route* CallAuthorizer::FindRoute(const calls::HttpRequest& request,
                                                 const document::Route* known_route) const {
  // The configuration is a member, so that the route stays valid without the match.
  const auto match = this->configuration->Match(request.host, request.target, request.method);
  return match ? match->route : known_route;
}

calls::Authorization CallAuthorizer::Authorize(const calls::HttpRequest& request,
                                               std::string_view key,
                                               const document::Route* known_route) const {
  calls::Authorization authorization;
  if (this->configuration == nullptr || !this->configuration->HasWorkspaces()) {
    return authorization;
  }
  authorization.forward_credentials = false;
  const document::Route* const route = this->FindRoute(request, known_route);
  if (route == nullptr) {
    return authorization;
  }
  const directory::WorkspacePointer workspace = this->configuration->FindWorkspaceByKey(key);
  if (workspace != nullptr) {
    authorization.result = calls::AuthorizationResult::kKnown;
    authorization.workspace = workspace->name;
    authorization.priority = this->PriorityOf(*workspace, *route);
  } else {
    authorization.result = route->is_public ? calls::AuthorizationResult::kPublic
                                            : calls::AuthorizationResult::kUnknown;
  }
  return authorization;
}

Priority CallAuthorizer::PriorityOf(const directory::Workspace& workspace,
                                    const document::Route& route) const {
  // Class kInternal is kept for calls between services: they hold a slot upstream, and have no
  // latency deadline. If the configuration gives its rank to calls of workspaces, all ranks of such
  // calls move down by one class, so that their order is kept as far as there are classes.
  const auto rank = static_cast<std::uint8_t>(workspace.priority.value_or(route.priority));
  const int shift = this->configuration->HasHighestWorkspacePriority() ? 1 : 0;
  return static_cast<Priority>(std::clamp<int>(
      rank + shift, static_cast<int>(Priority::kInteractive), static_cast<int>(Priority::kBatch)));
}

double CallAuthorizer::WeightOf(std::string_view workspace) const {
  if (this->configuration == nullptr || workspace.empty()) {
    return 1.0;
  }
  // Demand follows the quota: with equal shares, workspaces with a large quota would pay for all of
  // a shortage although they stay within it.
  const directory::WorkspacePointer found = this->configuration->FindWorkspace(workspace);
  if (found == nullptr || found->rate == 0.0) {
    return 1.0;
  }
  return std::clamp(found->rate / this->configuration->GetWorkspaces()->MeanRate(), kMinWeight,
                    kMaxWeight);
}

calls::Authorization CallAuthorizer::Apply(calls::CallReceived& call) const {
  calls::Authorization authorization = this->Authorize(call.request, call.key, nullptr);
  if (authorization.Code() != utils::ErrorCode::kOk) {
    return authorization;
  }
  calls::ForwardCredentials(authorization.forward_credentials, call.request, call.credentials,
                            call.credentials_forwarded);
  call.workspace = authorization.workspace;
  call.priority = authorization.priority;
  return authorization;
}

}  // namespace amaranthlatch::node
