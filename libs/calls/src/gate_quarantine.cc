// Quarantine at the gate: which requests may run now, and what a crash of the backend server
// reports.

#include <algorithm>
#include <vector>

#include "gate.h"

namespace amaranthlatch::calls::details {

namespace {
using utils::ErrorCode;
}  // namespace

ErrorCode Gate::CheckQuarantine(const Context& context, std::uint64_t fingerprint,
                                membership::NodeId& redirect) const {
  const QuarantineState quarantine_state = this->quarantine.StateOf(this->service, fingerprint);
  if (quarantine_state == QuarantineState::kNone) {
    return ErrorCode::kOk;
  }
  if (quarantine_state == QuarantineState::kQuarantined) {
    return ErrorCode::kPoisoned;
  }
  const membership::NodeId owner = Quarantine::OwnerOf(context, this->service, fingerprint);
  if (owner != context.members.Self().id) {
    redirect = owner;
    return ErrorCode::kSuspectElsewhere;
  }
  const bool is_contested = this->quarantine.IsContested(this->service, fingerprint);
  const bool is_busy = std::any_of(this->runs.begin(), this->runs.end(), [&](const auto& entry) {
    const Run& run = entry.second;
    const bool excludes =
        is_contested || this->quarantine.IsContested(this->service, run.fingerprint);
    return run.fingerprint == fingerprint || (run.is_trial && excludes);
  });
  return is_busy ? ErrorCode::kQueueFull : ErrorCode::kOk;
}

void Gate::OnProcessCrash(const Context& context, const Run& run, BackendFailure failure) {
  if (run.crash_reported) {
    return;
  }
  std::vector<std::uint64_t> fingerprints;
  std::set<std::uint64_t> trials;
  const auto add = [&fingerprints, &trials](const auto& affected) {
    fingerprints.push_back(affected.fingerprint);
    if (affected.is_trial) {
      trials.insert(affected.fingerprint);
    }
  };
  if (failure != BackendFailure::kNotConnected) {
    add(run);
  }
  for (auto& [id, other] : this->runs) {
    if (!other.crash_reported) {
      add(other);
      other.crash_reported = true;
    }
  }
  const utils::Duration window = this->shared.options.quarantine.crash_window;
  for (const LostConnection& lost : this->lost_connections) {
    if (context.now - lost.at < window) {
      add(lost);
    }
  }
  this->lost_connections.clear();
  if (!fingerprints.empty()) {
    this->quarantine.ReportCrash(context, this->service, std::move(fingerprints), !trials.empty());
  }
  if (trials.size() == 1) {
    this->quarantine.ReportConfirmed(context, this->service, *trials.begin());
    return;
  }
  for (const std::uint64_t fingerprint : trials) {
    this->quarantine.SetContested(this->service, fingerprint);
  }
}

}  // namespace amaranthlatch::calls::details
