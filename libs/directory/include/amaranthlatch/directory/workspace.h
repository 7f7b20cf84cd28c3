// Workspaces of a configuration: the keys, priority and quota of each organisation that calls.

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthlatch/directory/text_index.h"
#include "amaranthlatch/document/service_document.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::directory {

struct Workspace {
  std::string name;
  // Each of them identifies the workspace. Keys are never logged and never part of an error text.
  std::vector<std::string> keys;
  // Priority of its calls; that of their routes if unset.
  std::optional<document::Priority> priority;
  // Quota in requests per second; 0 means unlimited.
  double rate = 0.0;
  // Number of requests that may exceed the rate at once.
  double burst = 0.0;

  bool operator==(const Workspace&) const = default;
};

// Successive configurations share the workspaces that did not change.
using WorkspacePointer = std::shared_ptr<const Workspace>;
using Workspaces = std::vector<WorkspacePointer>;

// Copies the workspaces into shared ones.
Workspaces ShareWorkspaces(std::vector<Workspace> workspaces);

inline constexpr std::size_t kMaxKeyBytes = 4096;

// Whether a request can carry the key: it is neither empty nor longer than kMaxKeyBytes.
bool IsUsableKey(std::string_view key);

// All workspaces of a configuration, immutable, with indexes by key and by name. Successive
// configurations share the table if no workspace changed.
class WorkspaceTable {
 public:
  using Pointer = std::shared_ptr<const WorkspaceTable>;

  // Fails with kConfigurationMalformed if a name is empty, overlong, occurs twice or contains
  // control characters, if a key is unusable or belongs to two workspaces, or if a rate or burst is
  // negative or not finite. A workspace without keys is valid.
  static utils::Result<Pointer> Create(Workspaces workspaces);

  // Never null elements; in the order of creation.
  const Workspaces& All() const { return this->workspaces; }
  // Null if no workspace has the key.
  WorkspacePointer FindByKey(std::string_view key) const;
  // Null if there is none.
  WorkspacePointer FindByName(std::string_view name) const;
  // Mean rate of the workspaces that have one; 0 if none has.
  double MeanRate() const { return this->mean_rate; }
  // Whether any workspace has the highest priority.
  bool HasHighestPriority() const { return this->has_highest_priority; }

  bool operator==(const WorkspaceTable& other) const;

 private:
  explicit WorkspaceTable(Workspaces workspaces);

  utils::Result<void> IndexAll();
  // Fails if the workspace at the position shares its name or a key with an earlier one.
  utils::Result<void> Add(std::uint32_t position);

  struct KeyPlace {
    // Position of the workspace, and of the key in it.
    std::uint32_t workspace = 0;
    std::uint32_t key = 0;
  };
  const std::string& KeyAt(std::uint32_t number) const {
    const KeyPlace& place = this->key_places[number];
    return this->workspaces[place.workspace]->keys[place.key];
  }

  const Workspaces workspaces;
  // Positions in `workspaces`.
  TextIndex by_name;
  // All keys, and positions in this list by their text.
  std::vector<KeyPlace> key_places;
  TextIndex by_key;
  double mean_rate = 0.0;
  bool has_highest_priority = false;
};

}  // namespace amaranthlatch::directory
