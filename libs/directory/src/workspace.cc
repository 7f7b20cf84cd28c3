// Validation and indexing of the workspaces of a configuration.

#include "amaranthlatch/directory/workspace.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace amaranthlatch::directory {

namespace {

using utils::ErrorCode;
using utils::Fail;

// Limit of the messages that carry names.
constexpr std::size_t kMaxNameBytes = 256;

// Names are sent to backend servers in a header field.
bool IsValidName(std::string_view name) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::none_of(name.begin(), name.end(),
                      [](unsigned char c) { return c < kFirstPrintable || c == kDelete; });
}

bool IsAmount(double value) { return std::isfinite(value) && value >= 0.0; }

// Describes the first fault of a workspace; empty if there is none.
std::string FindFault(const Workspace& workspace) {
  if (!IsValidName(workspace.name)) {
    return "a workspace has no name, an overlong one or one with control characters";
  }
  if (!IsAmount(workspace.rate) || !IsAmount(workspace.burst)) {
    return "workspace " + workspace.name + " has a negative or infinite rate or burst";
  }
  if (!std::all_of(workspace.keys.begin(), workspace.keys.end(), IsUsableKey)) {
    return "workspace " + workspace.name + " has an empty or overlong key";
  }
  return {};
}

std::size_t CountKeys(const Workspaces& workspaces) {
  std::size_t count = 0;
  for (const WorkspacePointer& workspace : workspaces) {
    count += workspace->keys.size();
  }
  return count;
}

}  // namespace

Workspaces ShareWorkspaces(std::vector<Workspace> workspaces) {
  Workspaces shared;
  shared.reserve(workspaces.size());
  for (Workspace& workspace : workspaces) {
    shared.push_back(std::make_shared<const Workspace>(std::move(workspace)));
  }
  return shared;
}

bool IsUsableKey(std::string_view key) { return !key.empty() && key.size() <= kMaxKeyBytes; }

utils::Result<WorkspaceTable::Pointer> WorkspaceTable::Create(Workspaces workspaces) {
  const std::shared_ptr<WorkspaceTable> table(new WorkspaceTable(std::move(workspaces)));
  if (auto indexed = table->IndexAll(); !indexed) {
    return tl::unexpected(indexed.error());
  }
  return Pointer(table);
}

WorkspaceTable::WorkspaceTable(Workspaces workspaces)
    : workspaces(std::move(workspaces)),
      by_name(this->workspaces.size()),
      by_key(CountKeys(this->workspaces)) {
  this->key_places.reserve(CountKeys(this->workspaces));
}

utils::Result<void> WorkspaceTable::IndexAll() {
  double rate_sum = 0.0;
  std::size_t limited = 0;
  for (std::size_t i = 0; i < this->workspaces.size(); ++i) {
    if (auto added = this->Add(static_cast<std::uint32_t>(i)); !added) {
      return added;
    }
    const Workspace& workspace = *this->workspaces[i];
    rate_sum += workspace.rate;
    limited += workspace.rate > 0.0 ? 1 : 0;
    this->has_highest_priority =
        this->has_highest_priority || workspace.priority == document::Priority::kInternal;
  }
  this->mean_rate = limited == 0 ? 0.0 : rate_sum / static_cast<double>(limited);
  return {};
}

utils::Result<void> WorkspaceTable::Add(std::uint32_t position) {
  const Workspace& workspace = *this->workspaces[position];
  if (std::string fault = FindFault(workspace); !fault.empty()) {
    return Fail(ErrorCode::kConfigurationMalformed, std::move(fault));
  }
  const auto has_name = [&](std::uint32_t other) {
    return this->workspaces[other]->name == workspace.name;
  };
  if (this->by_name.Add(workspace.name, position, has_name)) {
    return Fail(ErrorCode::kConfigurationMalformed,
                "workspace " + workspace.name + " occurs twice");
  }
  for (std::uint32_t key = 0; key < workspace.keys.size(); ++key) {
    const auto number = static_cast<std::uint32_t>(this->key_places.size());
    this->key_places.push_back({position, key});
    const auto is_same = [&](std::uint32_t other) {
      return this->KeyAt(other) == workspace.keys[key];
    };
    const auto earlier = this->by_key.Add(workspace.keys[key], number, is_same);
    if (earlier && this->key_places[*earlier].workspace != position) {
      const Workspace& other = *this->workspaces[this->key_places[*earlier].workspace];
      return Fail(ErrorCode::kConfigurationMalformed,
                  "workspaces " + other.name + " and " + workspace.name + " share a key");
    }
  }
  return {};
}

WorkspacePointer WorkspaceTable::FindByKey(std::string_view key) const {
  const auto number = this->by_key.Find(
      key, [&](std::uint32_t candidate) { return this->KeyAt(candidate) == key; });
  return number ? this->workspaces[this->key_places[*number].workspace] : nullptr;
}

WorkspacePointer WorkspaceTable::FindByName(std::string_view name) const {
  const auto found = this->by_name.Find(
      name, [&](std::uint32_t position) { return this->workspaces[position]->name == name; });
  return found ? this->workspaces[*found] : nullptr;
}

bool WorkspaceTable::operator==(const WorkspaceTable& other) const {
  return std::equal(this->workspaces.begin(), this->workspaces.end(), other.workspaces.begin(),
                    other.workspaces.end(), [](const auto& left, const auto& right) {
                      return left == right || *left == *right;
                    });
}

}  // namespace amaranthlatch::directory
