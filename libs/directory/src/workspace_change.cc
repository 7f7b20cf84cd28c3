// Differences of tables of workspaces, their application and their encoding.

#include "workspace_change.h"

#include <bit>
#include <string>
#include <unordered_map>
#include <utility>

namespace amaranthlatch::directory::details {

namespace {

constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxWorkspaces = 1'000'000;
constexpr std::size_t kWorkspaceFields = 5;

// Calls `visit` for each workspace of `table` that is not the same object in `other`, and for some
// that are.
template <typename Visitor>
void ForEachUnshared(const WorkspaceTable& table, const WorkspaceTable& other, Visitor visit) {
  SharedWorkspaceFinder shared(other.All());
  for (const WorkspacePointer& workspace : table.All()) {
    if (!shared.FindNext(workspace)) {
      visit(workspace);
    }
  }
}

// CBOR items have no floating-point numbers here, so the bits of a number are sent.
void WriteAmount(utils::CborWriter& out, double value) {
  out.Number(std::bit_cast<std::uint64_t>(value));
}

double ReadAmount(utils::CborReader& in) { return std::bit_cast<double>(in.Number()); }

Workspace ReadWorkspace(utils::CborReader& in) {
  Workspace workspace;
  in.ExpectArray(kWorkspaceFields);
  workspace.name = in.Text(kMaxNameBytes);
  const std::size_t keys = in.ArraySize(kMaxKeys);
  for (std::size_t i = 0; i < keys && !in.Error(); ++i) {
    workspace.keys.emplace_back(in.Text(kMaxKeyBytes));
  }
  // 0 for a workspace without a priority.
  const std::uint64_t priority = in.Number(document::kPriorityCount);
  if (priority > 0) {
    workspace.priority = static_cast<document::Priority>(priority - 1);
  }
  workspace.rate = ReadAmount(in);
  workspace.burst = ReadAmount(in);
  return workspace;
}

}  // namespace

void AddWorkspaceDifference(const WorkspaceTable::Pointer& base,
                            const WorkspaceTable::Pointer& next, ConfigurationChange& change) {
  change.has_workspaces = next != nullptr;
  if (next == nullptr || next == base) {
    return;
  }
  if (base == nullptr) {
    change.workspaces = next->All();
    return;
  }
  ForEachUnshared(*next, *base, [&](const WorkspacePointer& workspace) {
    const WorkspacePointer earlier = base->FindByName(workspace->name);
    if (earlier == nullptr || (earlier != workspace && *earlier != *workspace)) {
      change.workspaces.push_back(workspace);
    }
  });
  ForEachUnshared(*base, *next, [&](const WorkspacePointer& workspace) {
    if (next->FindByName(workspace->name) == nullptr) {
      change.removed_workspaces.push_back(workspace->name);
    }
  });
}

utils::Result<WorkspaceTable::Pointer> ApplyWorkspaceChange(const WorkspaceTable::Pointer& base,
                                                            const ConfigurationChange& change) {
  if (!change.has_workspaces) {
    return nullptr;
  }
  if (base == nullptr || change.base == 0) {
    return WorkspaceTable::Create(change.workspaces);
  }
  if (change.workspaces.empty() && change.removed_workspaces.empty()) {
    return base;
  }
  // Null for a removed workspace.
  std::unordered_map<std::string_view, WorkspacePointer> changes;
  for (const std::string& name : change.removed_workspaces) {
    changes[name] = nullptr;
  }
  for (const WorkspacePointer& workspace : change.workspaces) {
    changes[workspace->name] = workspace;
  }
  Workspaces workspaces;
  workspaces.reserve(base->All().size() + change.workspaces.size());
  for (const WorkspacePointer& workspace : base->All()) {
    const auto changed = changes.find(workspace->name);
    if (changed == changes.end()) {
      workspaces.push_back(workspace);
      continue;
    }
    if (changed->second != nullptr) {
      workspaces.push_back(changed->second);
    }
    changes.erase(changed);
  }
  for (const WorkspacePointer& workspace : change.workspaces) {
    if (changes.contains(workspace->name)) {
      workspaces.push_back(workspace);
    }
  }
  return WorkspaceTable::Create(std::move(workspaces), base);
}

void WriteWorkspaceChange(utils::CborWriter& out, const ConfigurationChange& change) {
  out.Flag(change.has_workspaces).Array(change.removed_workspaces.size());
  for (const std::string& name : change.removed_workspaces) {
    out.Text(name);
  }
  out.Array(change.workspaces.size());
  for (const WorkspacePointer& workspace : change.workspaces) {
    out.Array(kWorkspaceFields).Text(workspace->name).Array(workspace->keys.size());
    for (const std::string& key : workspace->keys) {
      out.Text(key);
    }
    out.Number(workspace->priority ? static_cast<std::uint64_t>(*workspace->priority) + 1 : 0);
    WriteAmount(out, workspace->rate);
    WriteAmount(out, workspace->burst);
  }
}

void ReadWorkspaceChange(utils::CborReader& in, ConfigurationChange& change) {
  change.has_workspaces = in.Flag();
  const std::size_t removed = in.ArraySize(kMaxWorkspaces);
  for (std::size_t i = 0; i < removed && !in.Error(); ++i) {
    change.removed_workspaces.emplace_back(in.Text(kMaxNameBytes));
  }
  const std::size_t workspaces = in.ArraySize(kMaxWorkspaces);
  for (std::size_t i = 0; i < workspaces && !in.Error(); ++i) {
    change.workspaces.push_back(std::make_shared<const Workspace>(ReadWorkspace(in)));
  }
}

}  // namespace amaranthlatch::directory::details
