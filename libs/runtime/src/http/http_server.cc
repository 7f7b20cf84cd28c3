// Answers that a node gives by itself.

#include "amaranthlatch/runtime/http_server.h"

#include <nlohmann/json.hpp>

namespace amaranthlatch::runtime {

namespace {

using utils::ErrorCode;

int StatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kOk:
      return 200;
    case ErrorCode::kNoRoute:
      return 404;
    case ErrorCode::kBadRequest:
      return 400;
    case ErrorCode::kPermitInvalid:
    case ErrorCode::kPermitRequestMismatch:
      return 403;
    case ErrorCode::kPermitRequired:
      return 428;
    case ErrorCode::kRequestTooLarge:
      return 413;
    case ErrorCode::kPoisoned:
      return 422;
    case ErrorCode::kDeadlineExceeded:
    case ErrorCode::kGateUnreachable:
      return 504;
    case ErrorCode::kPermitExpired:
    case ErrorCode::kPermitHolderGone:
    case ErrorCode::kAnswerDropped:
    case ErrorCode::kBackendFailed:
    case ErrorCode::kAnswerIncomplete:
    case ErrorCode::kAnswerTooLarge:
    case ErrorCode::kBackendServerCrashed:
      return 502;
    default:
      return 503;
  }
}

}  // namespace

ServerResponse MakeErrorResponse(ErrorCode code, calls::ResultKind kind,
                                 const std::string& message) {
  const nlohmann::json body = {{"code", utils::ToNumber(code)},
                               {"name", utils::ToString(code)},
                               {"pointer", ""},
                               {"message", message}};
  ServerResponse answer;
  answer.kind = kind;
  answer.code = code;
  answer.response.status = StatusOf(code);
  answer.response.headers = {{"content-type", "application/json"}};
  answer.response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  return answer;
}

const char* ToString(calls::ResultKind kind) {
  switch (kind) {
    case calls::ResultKind::kAnswered:
      return "answered";
    case calls::ResultKind::kNotRun:
      return "not-run";
    case calls::ResultKind::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace amaranthlatch::runtime
