// The part of a configuration change that concerns workspaces.

#pragma once

#include "amaranthlatch/directory/workspace.h"
#include "amaranthlatch/utils/cbor.h"
#include "amaranthlatch/utils/result.h"
#include "configuration_change.h"

namespace amaranthlatch::directory::details {

// Adds the difference between two tables to `change`. Each may be null; with `base` null the change
// contains all workspaces of `next`.
void AddWorkspaceDifference(const WorkspaceTable::Pointer& base,
                            const WorkspaceTable::Pointer& next, ConfigurationChange& change);

// Returns null for a version without a table. Fails with kConfigurationMalformed if the result is
// invalid.
utils::Result<WorkspaceTable::Pointer> ApplyWorkspaceChange(const WorkspaceTable::Pointer& base,
                                                            const ConfigurationChange& change);

// Number of CBOR items that WriteWorkspaceChange writes.
inline constexpr std::size_t kWorkspaceChangeFields = 3;
void WriteWorkspaceChange(utils::CborWriter& out, const ConfigurationChange& change);
void ReadWorkspaceChange(utils::CborReader& in, ConfigurationChange& change);

}  // namespace amaranthlatch::directory::details
