// Result codes of all components. docs/result-codes.md describes each code for operators and
// callers.

#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace amaranthlatch::utils {

// The numbers are part of the public interface: a number is never reused with another meaning.
enum class ErrorCode : std::uint16_t {
  kOk = 0,

  // 1xxx: service documents.
  kDocumentNotJson = 1001,
  kDocumentTooLarge = 1002,
  kDocumentUnknownField = 1003,
  kDocumentMissingField = 1004,
  kDocumentWrongType = 1005,
  kDocumentOutOfRange = 1006,
  kDocumentDuplicateName = 1007,
  kDocumentUnknownVersion = 1008,
  kDocumentUnknownFormat = 1009,

  // 2xxx: publishing and acceptance.
  kRecordMalformed = 2001,
  kRecordUnknownFormat = 2002,
  kBaseVersionMismatch = 2003,
  kDanglingReference = 2004,
  kReferencedByOther = 2005,
  kHostTaken = 2006,
  kServiceUnknown = 2007,
  kDuplicatePublish = 2008,
  kPublishOutcomeUnknown = 2009,

  // 3xxx: log, snapshots and distribution.
  kLogUnavailable = 3001,
  kLogTruncated = 3002,
  kLogMalformed = 3003,
  kSnapshotMalformed = 3004,
  kSnapshotHashMismatch = 3005,
  kPatchMismatch = 3006,
  kOffsetGap = 3007,
  kNotReady = 3008,
  kConfigurationMalformed = 3009,
  kAnnouncementMalformed = 3010,
  kRolloutOrderMalformed = 3011,
  kWithdrawalNotStored = 3012,

  // 4xxx: membership.
  kMemberMalformed = 4001,
  kNodeUnreachable = 4002,

  // 5xxx: calls.
  kNoRoute = 5001,
  kNoBackendServer = 5002,
  kQueueFull = 5003,
  kDeadlineExceeded = 5004,
  kDraining = 5005,
  kPermitRequired = 5006,
  kPermitInvalid = 5007,
  kPermitExpired = 5008,
  kPermitHolderGone = 5009,
  kPermitRequestMismatch = 5010,
  kAnswerDropped = 5011,
  kBackendFailed = 5012,
  kAnswerIncomplete = 5013,
  kPoisoned = 5014,
  kSuspectElsewhere = 5015,
  kRequestTooLarge = 5016,
  kAnswerTooLarge = 5017,
  kGateUnreachable = 5018,
  kCallerGone = 5019,
  kBadRequest = 5020,
  kTooManyConnections = 5021,
  kNodeNotReady = 5022,
  kBackendServerCrashed = 5023,
  kFenced = 5024,
  kBackendShed = 5025,
  kKeyUnknown = 5026,
  kQuotaExceeded = 5027,
  kLinkBusy = 5028,
  kVersionHeld = 5029,

  // 6xxx: settings and command line.
  kSettingsUnreadable = 6001,
  kSettingsUnknownKey = 6002,
  kSettingsMissingKey = 6003,
  kSettingsWrongType = 6004,
  kSettingsOutOfRange = 6005,
  kUsage = 6006,

  // 61xx: findings in a configuration that is valid.
  kEntryNeverMatches = 6101,
  kTargetWithoutShare = 6102,
  kTargetWithoutServers = 6103,
  kTimeoutBelowTarget = 6104,
  kAttemptsExceedTimeout = 6105,
  kQuotaBelowBurst = 6106,
  kNestedCallOutlivesCaller = 6107,
  kBodyLimitAboveMemory = 6108,

  // 7xxx: messages and transport.
  kMessageMalformed = 7001,
  kMessageNotAuthentic = 7002,
  kMessageReplayed = 7003,
  kMessageUnknownFormat = 7004,
  kMessageTooLarge = 7005,
  kTransportFailed = 7006,
  kHttpFailed = 7007,

  // 9xxx: internal.
  kInvariantViolated = 9001,
};

// Result code with its name in text form, such as "queue-full".
struct ErrorCodeName {
  ErrorCode code;
  std::string_view name;
};

// Returns every code with its name, in ascending order of the codes.
std::span<const ErrorCodeName> AllErrorCodes();

// Returns the name of the code, or "unknown-code" if the value is not in the list.
std::string_view ToString(ErrorCode code);

inline constexpr std::uint16_t ToNumber(ErrorCode code) { return static_cast<std::uint16_t>(code); }

}  // namespace amaranthlatch::utils
