// Checks of the promises.

#include "amaranthlatch/node/invariants.h"

#include <algorithm>
#include <set>

namespace amaranthlatch::node {

namespace {

// Whether the service lost its document by an accepted record above `version`.
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

void InvariantChecker::CheckState(const acceptance::State& state, acceptance::Offset held,
                                  std::vector<InvariantViolated>& violations) {
  if (held < this->last_held) {
    violations.push_back(
        {"P1", "held offset fell from " + Number(this->last_held) + " to " + Number(held)});
  }
  this->last_held = held;
  const acceptance::Offset offset = state.HeadOffset();
  const std::uint64_t hash = state.Hash();
  if (this->checked && offset == this->last_offset && hash == this->last_hash) {
    return;
  }
  ++this->state_checks;
  if (this->checked && offset == this->last_offset) {
    violations.push_back({"P3", "state at offset " + Number(offset) + " has another hash"});
  }
  if (offset < this->last_offset) {
    violations.push_back(
        {"P1", "offset in force fell from " + Number(this->last_offset) + " to " + Number(offset)});
  }
  if (offset > held) {
    violations.push_back({"P3", "offset in force " + Number(offset) + " is above the held one"});
  }
  const std::string dangling = state.FirstDanglingReference();
  if (!dangling.empty()) {
    violations.push_back({"P2", dangling});
  }
  this->CheckVersions(state, violations);
  this->checked = true;
  this->last_offset = offset;
  this->last_hash = hash;
}

void InvariantChecker::CheckVersions(const acceptance::State& state,
                                     std::vector<InvariantViolated>& violations) {
  std::set<std::string, std::less<>> present;
  for (std::string& service : state.Services()) {
    const document::Version version = state.FindAccepted(service)->version;
    document::Version& highest = this->versions[service];
    if (version < highest) {
      violations.push_back({"P1", "version of " + service + " fell from " + Number(highest) +
                                      " to " + Number(version)});
    }
    if (version > state.HeadOffset()) {
      violations.push_back({"P3", "version of " + service + " is above the offset in force"});
    }
    highest = std::max(highest, version);
    present.insert(std::move(service));
  }
  for (const std::string& service : this->services) {
    if (!present.contains(service) && !WasRemoved(state, service, this->versions[service])) {
      violations.push_back({"P9", service + " lost its document without an accepted record"});
    }
  }
  this->services = std::move(present);
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
    violations.push_back({"P4", "call " + Number(call) + " was answered twice or never asked"});
  }
}

}  // namespace amaranthlatch::node
