// The admin address of a node: metrics, status, audit trail, documents, members, drain and the
// backend server's announcements.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "amaranthlatch/node/node.h"
#include "amaranthlatch/runtime/audit.h"
#include "amaranthlatch/runtime/backend_server_link.h"
#include "amaranthlatch/runtime/http_server.h"

namespace amaranthlatch::runtime {

// What the admin interface may do with the node.
class NodeControl {
 public:
  virtual ~NodeControl() = default;

  virtual const node::Node& GetNode() const = 0;
  virtual const AuditTrail& Audit() const = 0;
  virtual std::string Metrics() const = 0;
  virtual void AnnounceBackendServer(BackendServer server) = 0;
  virtual void BackendServerLeaves() = 0;
  virtual void BeginDrain() = 0;
};

class AdminInterface final : public HttpServerListener {
 public:
  explicit AdminInterface(NodeControl& control) : control(control) {}

  // Must be called before the first request comes; the server must outlive the interface's use.
  void SetServer(HttpServer& admin_server) { this->server = &admin_server; }

  void OnRequest(std::uint64_t request, calls::HttpRequest content) override;
  void OnCallerGone(std::uint64_t request) override;

 private:
  ServerResponse Handle(const calls::HttpRequest& request);
  ServerResponse HandleGet(std::string_view path, std::string_view query);
  ServerResponse HandleBackendServer(const calls::HttpRequest& request);
  ServerResponse Document(std::string_view service);

  NodeControl& control;
  HttpServer* server = nullptr;
};

// Bodies of GET /status, /members and /audit.
std::string StatusJson(const node::Status& status);
std::string MembersJson(const membership::MemberView& members);
std::string AuditJson(const acceptance::State& state, const AuditTrail& trail,
                      std::string_view service);

std::string_view ToString(membership::MemberState state);

}  // namespace amaranthlatch::runtime
