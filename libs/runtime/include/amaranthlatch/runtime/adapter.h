// What an adapter to a platform provides: translation between its protocols and the product's
// values. Decisions and state stay on this side.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "amaranthlatch/calls/effect.h"
#include "amaranthlatch/calls/event.h"
#include "amaranthlatch/directory/effect.h"
#include "amaranthlatch/directory/event.h"
#include "amaranthlatch/rollout/effect.h"
#include "amaranthlatch/rollout/event.h"
#include "amaranthlatch/runtime/announcement.h"
#include "amaranthlatch/runtime/backend_server_link.h"
#include "amaranthlatch/runtime/http_client.h"
#include "amaranthlatch/runtime/http_server.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::runtime {

// How callers speak to this node.
class CallerDialect {
 public:
  virtual ~CallerDialect() = default;

  // Takes what concerns the mesh out of the request and adds what the backend server expects of it.
  // A failure is answered as not run with its code.
  virtual utils::Result<calls::CallReceived> ReadCall(std::uint64_t call,
                                                      calls::HttpRequest request) const = 0;

  virtual calls::HttpResponse WriteAnswer(calls::Answer answer) const = 0;

  // The caller's own name of a request, for log lines.
  virtual std::string_view NameOf(const calls::HttpRequest& request) const = 0;
};

// Reads and writes records of a register. Every effect is answered by one event, later; a read that
// is replaced by another of its stream is not.
class RegisterClient {
 public:
  using Report = std::function<void(const directory::Event&)>;
  // The result of one read or write of a rollout's status.
  using StatusDone = std::function<void(const rollout::Event&)>;

  virtual ~RegisterClient() = default;

  virtual void Read(const directory::ReadStream& read) = 0;
  virtual void Write(const directory::WriteMember& write) = 0;
  virtual void ReadStatus(const rollout::ReadStatus& read, StatusDone done) = 0;
  // Stores the record only if the stream still ends at the expected position.
  virtual void WriteStatus(const rollout::WriteStatus& write, StatusDone done) = 0;
};

// What the backend server and the platform may ask of the node.
class NodeGate {
 public:
  virtual ~NodeGate() = default;

  // Called once, now or later; not after the node has stopped.
  using Acknowledge = std::function<void(utils::Result<void>)>;

  virtual bool Ready() const = 0;
  // Fails with kAnnouncementMalformed for an announcement that is not of this node's backend server
  // or not the newest one. One that the server drains is acknowledged only once the register holds
  // it, because it binds later processes of this node too; kWithdrawalNotStored if that takes too
  // long.
  virtual void Announce(Announcement announcement, Acknowledge acknowledge) = 0;
  // The backend server of this name leaves; unknown names are no fault. Acknowledged as a drain is.
  virtual void Leave(std::string_view process, Acknowledge acknowledge) = 0;
};

using ControlResponder = std::function<void(calls::HttpResponse)>;

// When a caller whose call has not run should send it again.
utils::Duration RetryAdvice(utils::ErrorCode code);

class Adapter {
 public:
  virtual ~Adapter() = default;

  virtual const CallerDialect& Callers() const = 0;
  virtual const BackendDialect& BackendServers() const = 0;
  // `client` outlives the result. `defaults` hold for configurations that the client decodes.
  virtual std::unique_ptr<RegisterClient> MakeRegisterClient(
      HttpClient& client, const directory::ServiceDefaults& defaults,
      RegisterClient::Report report) = 0;
  // Answers a request of the backend server or of the platform, by one call of `respond`, now or
  // later.
  virtual void Control(NodeGate& node, const calls::HttpRequest& request,
                       ControlResponder respond) const = 0;
};

}  // namespace amaranthlatch::runtime
