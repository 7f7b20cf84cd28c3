// Warnings about a configuration that is valid: entries that can never match, and limits that
// contradict each other.

#pragma once

#include <vector>

#include "amaranthlatch/check/configuration.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::check {

// Codes from 6101 to 6199 of docs/result-codes.md, with the pointer of what they concern. In the
// order of the file.
std::vector<utils::Error> FindWarnings(const Configuration& configuration);

}  // namespace amaranthlatch::check
