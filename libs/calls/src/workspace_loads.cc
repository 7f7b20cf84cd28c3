// Reports of gates about single workspaces.

#include "workspace_loads.h"

#include "amaranthlatch/utils/hash.h"

namespace amaranthlatch::calls::details {

namespace {
std::uint64_t KeyOf(std::string_view workspace, document::Priority priority) {
  return utils::Hash64(workspace, static_cast<std::uint64_t>(priority));
}
}  // namespace

void WorkspaceLoads::Record(std::string_view workspace, document::Priority priority,
                            std::optional<std::uint32_t> ahead, utils::Timestamp now) {
  const std::uint64_t key = KeyOf(workspace, priority);
  if (!ahead) {
    this->reports.erase(key);
    return;
  }
  if (this->reports.size() >= kMaxReports) {
    this->reports.clear();
  }
  this->reports[key] = {*ahead, now};
}

const WorkspaceLoads::Report* WorkspaceLoads::Find(std::string_view workspace,
                                                   document::Priority priority,
                                                   utils::Timestamp oldest) const {
  if (this->reports.empty()) {
    return nullptr;
  }
  const auto found = this->reports.find(KeyOf(workspace, priority));
  return found == this->reports.end() || found->second.at < oldest ? nullptr : &found->second;
}

}  // namespace amaranthlatch::calls::details
