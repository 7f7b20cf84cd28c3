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
  // Rank of its calls on the scale of routes, kInternal being the highest; that of their routes if
  // unset. node::CallAuthorizer derives the priority class from it.
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

// Finds elements of a list whose successor shares most of them in the same order.
class SharedWorkspaceFinder {
 public:
  // `list` must outlive the finder.
  explicit SharedWorkspaceFinder(const Workspaces& list) : list(list) {}

  // Returns the position of the workspace shortly after the one found before, and nothing if it is
  // not there. It may still be elsewhere in the list.
  std::optional<std::size_t> FindNext(const WorkspacePointer& workspace);

 private:
  const Workspaces& list;
  std::size_t next = 0;
};

inline constexpr std::size_t kMaxKeyBytes = 4096;
// Limit of the keys of one workspace, which is also that of the messages that carry them: a version
// that one node puts in force can be decoded by all others.
inline constexpr std::size_t kMaxKeys = 100'000;

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
  //
  // `previous` is the table of an earlier configuration or null: of workspaces that both share,
  // what is known from it is not computed again. Returns `previous` if all workspaces are the same.
  static utils::Result<Pointer> Create(Workspaces workspaces, const Pointer& previous = nullptr);

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
  // What indexing needs to know about one workspace.
  struct Entry {
    std::uint64_t name_hash = 0;
    // Position of its first key in `keys`, and their number.
    std::uint32_t first_key = 0;
    std::uint32_t key_count = 0;
    double rate = 0.0;
    bool has_highest_priority = false;
  };
  struct Key {
    std::uint64_t hash = 0;
    // Position of the workspace, and of the key in it.
    std::uint32_t workspace = 0;
    std::uint32_t number = 0;
  };

  explicit WorkspaceTable(Workspaces workspaces);

  // Fills `entries` and `keys`. Fails if a workspace is invalid by itself.
  utils::Result<void> DescribeAll(const Pointer& previous);
  utils::Result<void> Describe(std::uint32_t position);
  void CopyDescription(std::uint32_t position, const WorkspaceTable& from,
                       std::size_t from_position);
  // Fails if two workspaces share a name or a key.
  utils::Result<void> IndexAll();

  const std::string& TextOf(const Key& key) const {
    return this->workspaces[key.workspace]->keys[key.number];
  }

  const Workspaces workspaces;
  // In the order of `workspaces`.
  std::vector<Entry> entries;
  std::vector<Key> keys;
  // Positions in `workspaces` and in `keys`.
  TextIndex by_name;
  TextIndex by_key;
  double mean_rate = 0.0;
  bool has_highest_priority = false;
};

}  // namespace amaranthlatch::directory
