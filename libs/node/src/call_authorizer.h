// Judges calls by the workspaces and routes of one configuration.

#pragma once

#include <string_view>
#include <utility>

#include "amaranthlatch/calls/authorizer.h"
#include "amaranthlatch/calls/event.h"
#include "amaranthlatch/directory/mesh_configuration.h"

namespace amaranthlatch::node {

class CallAuthorizer final : public calls::Authorizer {
 public:
  // The configuration in force; null if there is none, and then no call is judged.
  explicit CallAuthorizer(directory::MeshConfiguration::Pointer configuration)
      : configuration(std::move(configuration)) {}

  calls::Authorization Authorize(const calls::HttpRequest& request, std::string_view key,
                                 const document::Route* known_route) const override;
  double WeightOf(std::string_view workspace) const override;

  // Judges a call before it is passed on, as often as it waits, and sets its workspace, its
  // priority and whether its credentials are forwarded. A refused call stays as it is.
  calls::Authorization Apply(calls::CallReceived& call) const;

 private:
  // The route that applies to the request; null if there is none.
  const document::Route* FindRoute(const calls::HttpRequest& request,
                                   const document::Route* known_route) const;
  document::Priority PriorityOf(const directory::Workspace& workspace,
                                const document::Route& route) const;

  const directory::MeshConfiguration::Pointer configuration;
};

}  // namespace amaranthlatch::node
