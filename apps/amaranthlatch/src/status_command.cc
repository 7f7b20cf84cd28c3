// The command `status`.

#include <algorithm>
#include <optional>
#include <utility>

#include "commands.h"
#include "log_client.h"
#include "node_client.h"

namespace amaranthlatch::cli {

namespace {

using acceptance::Offset;
using nlohmann::json;

struct AskedNode {
  std::string address;
  utils::Result<NodeStatus> status;
};

// The newest offset that anyone knows of.
Offset NewestOffset(const std::vector<AskedNode>& nodes, Offset log_head) {
  Offset newest = log_head;
  for (const AskedNode& node : nodes) {
    if (node.status) {
      newest = std::max(
          {newest, node.status->in_force_offset, node.status->held_offset, node.status->log_head});
    }
  }
  return newest;
}

json ServicesToJson(const NodeStatus& status, const std::string& service) {
  if (service.empty()) {
    return status.services;
  }
  const auto found = status.services.find(service);
  return {{service, found == status.services.end() ? json() : json(found->second)}};
}

void AddNode(CommandResult& result, const AskedNode& node, const std::string& service,
             Offset newest) {
  if (!node.status) {
    result.error_lines.push_back(utils::ToString(node.status.error()));
    result.value["nodes"].push_back(
        {{"node", node.address}, {"error", ErrorToJson(node.status.error())}});
    return;
  }
  const NodeStatus& status = *node.status;
  const Offset lag = newest - std::min(newest, status.in_force_offset);
  const json services = ServicesToJson(status, service);
  std::string line = node.address + " " + status.zone + " " + status.state;
  line.append(status.ready ? " ready" : " not ready (" + status.reason + ")");
  line.append(", in force ").append(std::to_string(status.in_force_offset));
  line.append(", held ").append(std::to_string(status.held_offset));
  line.append(lag == 0 ? "" : ", lags by " + std::to_string(lag));
  if (status.stopped_at != 0) {
    line.append(", stopped at ").append(std::to_string(status.stopped_at));
  }
  result.lines.push_back(std::move(line));
  for (const auto& [name, version] : services.items()) {
    result.lines.push_back("  " + name +
                           (version.is_null() ? " has no document" : " version " + version.dump()));
  }
  result.value["nodes"].push_back({{"node", node.address},
                                   {"id", status.id},
                                   {"region", status.region},
                                   {"zone", status.zone},
                                   {"state", status.state},
                                   {"ready", status.ready},
                                   {"reason", status.reason},
                                   {"held_offset", status.held_offset},
                                   {"in_force_offset", status.in_force_offset},
                                   {"stopped_at", status.stopped_at},
                                   {"lag", lag},
                                   {"services", services}});
}

// Unreachable nodes weigh more than lagging ones: nothing is known about them.
int ExitCodeOf(const std::vector<AskedNode>& nodes, Offset newest) {
  int exit_code = kExitOk;
  for (const AskedNode& node : nodes) {
    if (!node.status) {
      return kExitUnreachable;
    }
    if (!node.status->ready || node.status->in_force_offset < newest) {
      exit_code = kExitLagging;
    }
  }
  return exit_code;
}

}  // namespace

CommandResult ShowStatus(const Options& options, const Context& context) {
  CommandResult result;
  result.value["nodes"] = json::array();
  Offset log_head = 0;
  std::optional<utils::Error> log_error;
  if (!options.log.empty()) {
    const auto page = LogClient(context.http, options.log).ReadKept(kConfigStream, 1, 1);
    log_head = page ? page->head : 0;
    log_error = page ? std::nullopt : std::optional(page.error());
  }
  NodeClient client(context.http);
  std::vector<AskedNode> nodes;
  for (const std::string& address : options.nodes) {
    nodes.push_back({address, client.Status(address)});
  }
  const Offset newest = NewestOffset(nodes, log_head);
  for (const AskedNode& node : nodes) {
    AddNode(result, node, options.service, newest);
  }
  result.value["newest_offset"] = newest;
  result.exit_code = ExitCodeOf(nodes, newest);
  if (log_error) {
    result.error_lines.push_back(utils::ToString(*log_error));
    result.value["log_error"] = ErrorToJson(*log_error);
    result.exit_code = kExitUnreachable;
  }
  return result;
}

}  // namespace amaranthlatch::cli
