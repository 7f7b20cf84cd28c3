// Failures of runs and reports of crashes at the gate.

#include <optional>

#include "gate.h"

namespace amaranthlatch::calls::details {

namespace {
using utils::ErrorCode;
}  // namespace

void Gate::OnFailed(const Context& context, const BackendServerFailed& failed) {
  const std::optional<Run> run = this->RemoveRun(failed.run, context.now);
  if (!run) {
    return;
  }
  if (failed.process_dead) {
    this->OnProcessCrash(context, *run, failed.failure);
  } else if (failed.failure == BackendFailure::kConnectionLost) {
    this->lost_connections.push_back(LostConnection{context.now, run->fingerprint, run->is_trial});
  }
  if (failed.failure == BackendFailure::kNotConnected) {
    this->Finish(context, *run, NotRunAnswer(ErrorCode::kNoBackendServer), false);
    return;
  }
  ErrorCode code = ErrorCode::kBackendFailed;
  if (failed.failure == BackendFailure::kTooLarge) {
    code = ErrorCode::kAnswerTooLarge;
  } else if (failed.process_dead) {
    code = ErrorCode::kBackendServerCrashed;
  } else if (run->cancelled != ErrorCode::kOk) {
    code = run->cancelled;
  }
  this->Finish(context, *run, UnknownAnswer(code), true);
}

void Gate::OnCrashReport(const Context& context, const CrashReport& report) {
  this->quarantine.OnReport(context, report);
}

void Gate::OnCrashCleared(const Context& context, const CrashCleared& cleared) {
  this->quarantine.OnCleared(context, cleared);
}

void Gate::OnCrashConfirmed(const Context& context, const CrashConfirmed& confirmed) {
  this->quarantine.OnConfirmed(context, confirmed);
}

}  // namespace amaranthlatch::calls::details
