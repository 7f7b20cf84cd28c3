// Checks of the guarantees P1, P2, P3, P4 and P9.

#include "amaranthlatch/node/invariants.h"

#include <algorithm>
#include <set>

namespace amaranthlatch::node {

namespace {

// Whether an accepted record above `version` removed the service's document.
bool WasRemoved(const acceptance::State& state, const std::string& service,
                document::Version version) {
  const std::vector<acceptance::Verdict> history = state.History(service);
  return std::any_of(history.begin(), history.end(), [version](const acceptance::Verdict& verdict) {
    return verdict.outcome == acceptance::Outcome::kAccepted &&
           verdict.action == acceptance::Action::kRemove && verdict.offset > version;
  });
}

std::string Number(std::uint64_t value) { return std::to_string(value); }

}  // namespace

void InvariantChecker::CheckState(const acceptance::State& state, acceptance::Offset held_offset,
                                  std::vector<InvariantViolated>& violations) {
  if (held_offset < this->last_held_offset) {
    violations.push_back({"P1", "held offset decreased from " + Number(this->last_held_offset) +
                                    " to " + Number(held_offset)});
  }
  this->last_held_offset = held_offset;
  const acceptance::Offset offset = state.HeadOffset();
  const std::uint64_t hash = state.Hash();
  if (this->has_checked_state && offset == this->last_offset && hash == this->last_hash) {
    return;
  }
  ++this->state_checks;
  if (this->has_checked_state && offset == this->last_offset) {
    violations.push_back({"P3", "state at offset " + Number(offset) + " has a different hash"});
  }
  if (offset < this->last_offset) {
    violations.push_back({"P1", "offset in force decreased from " + Number(this->last_offset) +
                                    " to " + Number(offset)});
  }
  if (offset > held_offset) {
    violations.push_back({"P3", "offset in force " + Number(offset) + " exceeds the held offset"});
  }
  const std::string dangling = state.FirstDanglingReference();
  if (!dangling.empty()) {
    violations.push_back({"P2", dangling});
  }
  this->CheckVersions(state, violations);
  this->has_checked_state = true;
  this->last_offset = offset;
  this->last_hash = hash;
}

void InvariantChecker::CheckVersions(const acceptance::State& state,
                                     std::vector<InvariantViolated>& violations) {
  std::set<std::string, std::less<>> current_services;
  for (std::string& service : state.Services()) {
    const document::Version version = state.FindAccepted(service)->version;
    document::Version& highest = this->highest_versions[service];
    if (version < highest) {
      violations.push_back({"P1", "version of " + service + " decreased from " + Number(highest) +
                                      " to " + Number(version)});
    }
    if (version > state.HeadOffset()) {
      violations.push_back({"P3", "version of " + service + " exceeds the offset in force"});
    }
    highest = std::max(highest, version);
    current_services.insert(std::move(service));
  }
  for (const std::string& service : this->previous_services) {
    if (!current_services.contains(service) &&
        !WasRemoved(state, service, this->highest_versions[service])) {
      violations.push_back({"P9", service + " lost its document without an accepted removal"});
    }
  }
  this->previous_services = std::move(current_services);
}

void InvariantChecker::OnCallOpened(std::uint64_t call,
                                    std::vector<InvariantViolated>& violations) {
  if (!this->open_calls.insert(call).second) {
    violations.push_back({"P4", "call " + Number(call) + " was opened twice"});
  }
}

void InvariantChecker::OnCallAnswered(std::uint64_t call,
                                      std::vector<InvariantViolated>& violations) {
  if (this->open_calls.erase(call) == 0) {
    violations.push_back(
        {"P4", "call " + Number(call) + " was answered twice or was never opened"});
  }
}

void InvariantChecker::CheckCalls(const std::string& first_violation,
                                  std::vector<InvariantViolated>& violations) {
  if (!first_violation.empty() && !this->calls_violation_reported) {
    this->calls_violation_reported = true;
    violations.push_back({"calls", first_violation});
  }
}

}  // namespace amaranthlatch::node
