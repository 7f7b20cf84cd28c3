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
  if (workspace.keys.size() > kMaxKeys) {
    return "workspace " + workspace.name + " has too many keys";
  }
  if (!IsAmount(workspace.rate) || !IsAmount(workspace.burst)) {
    return "workspace " + workspace.name + " has a negative or infinite rate or burst";
  }
  if (!std::all_of(workspace.keys.begin(), workspace.keys.end(), IsUsableKey)) {
    return "workspace " + workspace.name + " has an empty or overlong key";
  }
  return {};
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

std::optional<std::size_t> SharedWorkspaceFinder::FindNext(const WorkspacePointer& workspace) {
  // Number of workspaces that may have been removed or replaced in a row.
  constexpr std::size_t kMaxSkipped = 16;
  const std::size_t end = std::min(this->list.size(), this->next + kMaxSkipped + 1);
  for (std::size_t position = this->next; position < end; ++position) {
    if (this->list[position] == workspace) {
      this->next = position + 1;
      return position;
    }
  }
  return std::nullopt;
}

bool IsUsableKey(std::string_view key) { return !key.empty() && key.size() <= kMaxKeyBytes; }

utils::Result<WorkspaceTable::Pointer> WorkspaceTable::Create(Workspaces workspaces,
                                                              const Pointer& previous) {
  if (previous != nullptr && previous->workspaces == workspaces) {
    return previous;
  }
  const std::shared_ptr<WorkspaceTable> table(new WorkspaceTable(std::move(workspaces)));
  const auto valid = table->DescribeAll(previous).and_then([&] { return table->IndexAll(); });
  if (!valid) {
    return tl::unexpected(valid.error());
  }
  return Pointer(table);
}

WorkspaceTable::WorkspaceTable(Workspaces workspaces)
    : workspaces(std::move(workspaces)), by_name(0), by_key(0) {}

utils::Result<void> WorkspaceTable::DescribeAll(const Pointer& previous) {
  const Workspaces none;
  SharedWorkspaceFinder known(previous == nullptr ? none : previous->workspaces);
  this->entries.reserve(this->workspaces.size());
  this->keys.reserve(previous == nullptr ? 0 : previous->keys.size());
  for (std::uint32_t i = 0; i < this->workspaces.size(); ++i) {
    if (const auto shared = known.FindNext(this->workspaces[i])) {
      this->CopyDescription(i, *previous, *shared);
    } else if (auto described = this->Describe(i); !described) {
      return described;
    }
  }
  return {};
}

utils::Result<void> WorkspaceTable::Describe(std::uint32_t position) {
  const Workspace& workspace = *this->workspaces[position];
  if (std::string fault = FindFault(workspace); !fault.empty()) {
    return Fail(ErrorCode::kConfigurationMalformed, std::move(fault));
  }
  this->entries.push_back({TextIndex::HashOf(workspace.name),
                           static_cast<std::uint32_t>(this->keys.size()),
                           static_cast<std::uint32_t>(workspace.keys.size()), workspace.rate,
                           workspace.priority == document::Priority::kInternal});
  for (std::uint32_t number = 0; number < workspace.keys.size(); ++number) {
    this->keys.push_back({TextIndex::HashOf(workspace.keys[number]), position, number});
  }
  return {};
}

void WorkspaceTable::CopyDescription(std::uint32_t position, const WorkspaceTable& from,
                                     std::size_t from_position) {
  Entry entry = from.entries[from_position];
  const auto first = from.keys.begin() + entry.first_key;
  entry.first_key = static_cast<std::uint32_t>(this->keys.size());
  this->entries.push_back(entry);
  for (auto key = first; key != first + entry.key_count; ++key) {
    this->keys.push_back({key->hash, position, key->number});
  }
}

utils::Result<void> WorkspaceTable::IndexAll() {
  this->by_name = TextIndex(this->entries.size());
  this->by_key = TextIndex(this->keys.size());
  double rate_sum = 0.0;
  std::size_t limited = 0;
  for (std::uint32_t i = 0; i < this->entries.size(); ++i) {
    const Entry& entry = this->entries[i];
    const auto has_name = [&](std::uint32_t other) {
      return this->workspaces[other]->name == this->workspaces[i]->name;
    };
    if (this->by_name.Add(entry.name_hash, i, has_name)) {
      return Fail(ErrorCode::kConfigurationMalformed,
                  "workspace " + this->workspaces[i]->name + " occurs twice");
    }
    rate_sum += entry.rate;
    limited += entry.rate > 0.0 ? 1 : 0;
    this->has_highest_priority = this->has_highest_priority || entry.has_highest_priority;
  }
  this->mean_rate = limited == 0 ? 0.0 : rate_sum / static_cast<double>(limited);
  for (std::uint32_t i = 0; i < this->keys.size(); ++i) {
    const Key& key = this->keys[i];
    const auto is_same = [&](std::uint32_t other) {
      return this->TextOf(this->keys[other]) == this->TextOf(key);
    };
    const auto earlier = this->by_key.Add(key.hash, i, is_same);
    if (earlier && this->keys[*earlier].workspace != key.workspace) {
      return Fail(ErrorCode::kConfigurationMalformed,
                  "workspaces " + this->workspaces[this->keys[*earlier].workspace]->name + " and " +
                      this->workspaces[key.workspace]->name + " share a key");
    }
  }
  return {};
}

WorkspacePointer WorkspaceTable::FindByKey(std::string_view key) const {
  const auto found = this->by_key.Find(
      key, [&](std::uint32_t candidate) { return this->TextOf(this->keys[candidate]) == key; });
  return found ? this->workspaces[this->keys[*found].workspace] : nullptr;
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
