// Answers on connections on which RESTinio does not answer.

#pragma once

#include <string>
#include <string_view>

#include "amaranthlatch/runtime/http_server.h"

namespace amaranthlatch::runtime::details {

std::string_view ReasonOf(int status);

// A whole HTTP answer as text; `more_fields` are lines with their ends.
std::string RawAnswer(const ServerResponse& answer, std::string_view more_fields = {});

ServerResponse NotRun(utils::ErrorCode code, const std::string& message);

// The answer for a request that RESTinio's parser rejected.
ServerResponse AnswerToParserError(std::string_view message);

// The answer for a request that did not arrive in time.
std::string TimeoutAnswer();

}  // namespace amaranthlatch::runtime::details
