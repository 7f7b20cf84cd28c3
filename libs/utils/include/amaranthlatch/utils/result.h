// Error values and the result type that fallible functions return.

#pragma once

#include <string>
#include <tl/expected.hpp>
#include <utility>

#include "amaranthlatch/utils/error_code.h"

namespace amaranthlatch::utils {

// A failure with its number, a text for people and, for JSON input, a pointer to the field.
struct Error {
  ErrorCode code = ErrorCode::kOk;
  std::string message;
  // JSON pointer (RFC 6901) of the field at fault; empty where none applies.
  std::string pointer;

  bool operator==(const Error&) const = default;
};

template <typename T>
using Result = tl::expected<T, Error>;

inline tl::unexpected<Error> Fail(ErrorCode code, std::string message, std::string pointer = {}) {
  return tl::unexpected<Error>(Error{code, std::move(message), std::move(pointer)});
}

// One line such as "1003 document-unknown-field at /routes/0/foo: unknown field".
std::string ToString(const Error& error);

}  // namespace amaranthlatch::utils
