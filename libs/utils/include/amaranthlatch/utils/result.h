// Error value and the result type of functions that can fail.

#pragma once

#include <string>
#include <tl/expected.hpp>
#include <utility>

#include "amaranthlatch/utils/error_code.h"

namespace amaranthlatch::utils {

// Error with a result code, a human-readable message and, for JSON input, the location of the
// field.
struct Error {
  ErrorCode code = ErrorCode::kOk;
  std::string message;
  // JSON Pointer (RFC 6901) to the invalid field; empty if the error does not concern a field.
  std::string pointer;

  bool operator==(const Error&) const = default;
};

template <typename T>
using Result = tl::expected<T, Error>;

// Returns an error that converts to any Result<T>.
inline tl::unexpected<Error> Fail(ErrorCode code, std::string message, std::string pointer = {}) {
  return tl::unexpected<Error>(Error{code, std::move(message), std::move(pointer)});
}

// Formats the error on one line, such as
// "1003 document-unknown-field at /routes/0/foo: unknown field".
std::string ToString(const Error& error);

}  // namespace amaranthlatch::utils
