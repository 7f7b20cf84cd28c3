// Status lines, fields and texts.

#include "http/raw_answer.h"

namespace amaranthlatch::runtime::details {

using calls::ResultKind;
using utils::ErrorCode;

namespace {
constexpr int kStatusRequestTimeout = 408;
constexpr int kStatusFieldsTooLarge = 431;
}  // namespace

std::string_view ReasonOf(int status) {
  switch (status) {
    case 400:
      return "Bad Request";
    case kStatusRequestTimeout:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case kStatusFieldsTooLarge:
      return "Request Header Fields Too Large";
    case 503:
      return "Service Unavailable";
    default:
      return status < 400 ? "OK" : "Error";
  }
}

std::string RawAnswer(const ServerResponse& answer, std::string_view more_fields) {
  const calls::HttpResponse& response = answer.response;
  std::string text = "HTTP/1.1 " + std::to_string(response.status) + " ";
  text.append(ReasonOf(response.status)).append("\r\nConnection: close\r\n");
  text.append(more_fields);
  text.append("Content-Type: application/json\r\nAmaranthlatch-Result: ");
  text.append(ToString(answer.kind)).append("\r\nAmaranthlatch-Code: ");
  text.append(std::to_string(utils::ToNumber(answer.code))).append("\r\nContent-Length: ");
  text.append(std::to_string(response.body.size())).append("\r\n\r\n");
  return text.append(response.body);
}

ServerResponse NotRun(ErrorCode code, const std::string& message) {
  return MakeErrorResponse(code, ResultKind::kNotRun, message);
}

ServerResponse AnswerToParserError(std::string_view message) {
  const auto names = [message](std::string_view name) {
    return message.find(name) != std::string_view::npos;
  };
  if (names("HPE_CB_headers_complete") || names("HPE_CB_body")) {
    return NotRun(ErrorCode::kRequestTooLarge, "the body is above the node's limit");
  }
  if (names("HPE_HEADER_OVERFLOW") || names("HPE_CB_url") || names("HPE_CB_header")) {
    ServerResponse answer = NotRun(ErrorCode::kRequestTooLarge, "the header is above the limit");
    answer.response.status = kStatusFieldsTooLarge;
    return answer;
  }
  return NotRun(ErrorCode::kBadRequest, "the request is not valid HTTP/1.1");
}

std::string TimeoutAnswer() {
  ServerResponse answer = NotRun(ErrorCode::kBadRequest, "the request did not arrive in time");
  answer.response.status = kStatusRequestTimeout;
  return RawAnswer(answer);
}

}  // namespace amaranthlatch::runtime::details
