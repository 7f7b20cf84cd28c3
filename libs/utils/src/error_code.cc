// Names of the result codes.

#include "amaranthlatch/utils/error_code.h"

#include <algorithm>
#include <array>

namespace amaranthlatch::utils {

namespace {

constexpr auto kErrorCodeNames = std::to_array<ErrorCodeName>({
    {ErrorCode::kOk, "ok"},
    {ErrorCode::kDocumentNotJson, "document-not-json"},
    {ErrorCode::kDocumentTooLarge, "document-too-large"},
    {ErrorCode::kDocumentUnknownField, "document-unknown-field"},
    {ErrorCode::kDocumentMissingField, "document-missing-field"},
    {ErrorCode::kDocumentWrongType, "document-wrong-type"},
    {ErrorCode::kDocumentOutOfRange, "document-out-of-range"},
    {ErrorCode::kDocumentDuplicateName, "document-duplicate-name"},
    {ErrorCode::kDocumentUnknownVersion, "document-unknown-version"},
    {ErrorCode::kDocumentUnknownFormat, "document-unknown-format"},
    {ErrorCode::kRecordMalformed, "record-malformed"},
    {ErrorCode::kRecordUnknownFormat, "record-unknown-format"},
    {ErrorCode::kBaseVersionMismatch, "base-version-mismatch"},
    {ErrorCode::kDanglingReference, "dangling-reference"},
    {ErrorCode::kReferencedByOther, "referenced-by-other"},
    {ErrorCode::kHostTaken, "host-taken"},
    {ErrorCode::kServiceUnknown, "service-unknown"},
    {ErrorCode::kDuplicatePublish, "duplicate-publish"},
    {ErrorCode::kPublishOutcomeUnknown, "publish-outcome-unknown"},
    {ErrorCode::kLogUnavailable, "log-unavailable"},
    {ErrorCode::kLogTruncated, "log-truncated"},
    {ErrorCode::kLogMalformed, "log-malformed"},
    {ErrorCode::kSnapshotMalformed, "snapshot-malformed"},
    {ErrorCode::kSnapshotHashMismatch, "snapshot-hash-mismatch"},
    {ErrorCode::kPatchMismatch, "patch-mismatch"},
    {ErrorCode::kOffsetGap, "offset-gap"},
    {ErrorCode::kNotReady, "not-ready"},
    {ErrorCode::kConfigurationMalformed, "configuration-malformed"},
    {ErrorCode::kAnnouncementMalformed, "announcement-malformed"},
    {ErrorCode::kRolloutOrderMalformed, "rollout-order-malformed"},
    {ErrorCode::kWithdrawalNotStored, "withdrawal-not-stored"},
    {ErrorCode::kMemberMalformed, "member-malformed"},
    {ErrorCode::kNodeUnreachable, "node-unreachable"},
    {ErrorCode::kNoRoute, "no-route"},
    {ErrorCode::kNoBackendServer, "no-backend-server"},
    {ErrorCode::kQueueFull, "queue-full"},
    {ErrorCode::kDeadlineExceeded, "deadline-exceeded"},
    {ErrorCode::kDraining, "draining"},
    {ErrorCode::kPermitRequired, "permit-required"},
    {ErrorCode::kPermitInvalid, "permit-invalid"},
    {ErrorCode::kPermitExpired, "permit-expired"},
    {ErrorCode::kPermitHolderGone, "permit-holder-gone"},
    {ErrorCode::kPermitRequestMismatch, "permit-request-mismatch"},
    {ErrorCode::kAnswerDropped, "answer-dropped"},
    {ErrorCode::kBackendFailed, "backend-failed"},
    {ErrorCode::kAnswerIncomplete, "answer-incomplete"},
    {ErrorCode::kPoisoned, "poisoned"},
    {ErrorCode::kSuspectElsewhere, "suspect-elsewhere"},
    {ErrorCode::kRequestTooLarge, "request-too-large"},
    {ErrorCode::kAnswerTooLarge, "answer-too-large"},
    {ErrorCode::kGateUnreachable, "gate-unreachable"},
    {ErrorCode::kCallerGone, "caller-gone"},
    {ErrorCode::kBadRequest, "bad-request"},
    {ErrorCode::kTooManyConnections, "too-many-connections"},
    {ErrorCode::kNodeNotReady, "node-not-ready"},
    {ErrorCode::kBackendServerCrashed, "backend-server-crashed"},
    {ErrorCode::kFenced, "fenced"},
    {ErrorCode::kBackendShed, "backend-shed"},
    {ErrorCode::kKeyUnknown, "key-unknown"},
    {ErrorCode::kQuotaExceeded, "quota-exceeded"},
    {ErrorCode::kLinkBusy, "link-busy"},
    {ErrorCode::kVersionHeld, "version-held"},
    {ErrorCode::kSettingsUnreadable, "settings-unreadable"},
    {ErrorCode::kSettingsUnknownKey, "settings-unknown-key"},
    {ErrorCode::kSettingsMissingKey, "settings-missing-key"},
    {ErrorCode::kSettingsWrongType, "settings-wrong-type"},
    {ErrorCode::kSettingsOutOfRange, "settings-out-of-range"},
    {ErrorCode::kUsage, "usage"},
    {ErrorCode::kEntryNeverMatches, "entry-never-matches"},
    {ErrorCode::kTargetWithoutShare, "target-without-share"},
    {ErrorCode::kTargetWithoutServers, "target-without-servers"},
    {ErrorCode::kTimeoutBelowTarget, "timeout-below-target-latency"},
    {ErrorCode::kAttemptsExceedTimeout, "attempts-exceed-timeout"},
    {ErrorCode::kQuotaBelowBurst, "quota-below-burst"},
    {ErrorCode::kNestedCallOutlivesCaller, "nested-call-outlives-caller"},
    {ErrorCode::kBodyLimitAboveMemory, "body-limit-above-memory"},
    {ErrorCode::kMessageMalformed, "message-malformed"},
    {ErrorCode::kMessageNotAuthentic, "message-not-authentic"},
    {ErrorCode::kMessageReplayed, "message-replayed"},
    {ErrorCode::kMessageUnknownFormat, "message-unknown-format"},
    {ErrorCode::kMessageTooLarge, "message-too-large"},
    {ErrorCode::kTransportFailed, "transport-failed"},
    {ErrorCode::kHttpFailed, "http-failed"},
    {ErrorCode::kInvariantViolated, "invariant-violated"},
});

}  // namespace

std::span<const ErrorCodeName> AllErrorCodes() { return kErrorCodeNames; }

std::string_view ToString(ErrorCode code) {
  const auto* found =
      std::find_if(kErrorCodeNames.begin(), kErrorCodeNames.end(),
                   [code](const ErrorCodeName& entry) { return entry.code == code; });
  return found == kErrorCodeNames.end() ? std::string_view("unknown-code") : found->name;
}

}  // namespace amaranthlatch::utils
