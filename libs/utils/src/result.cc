// Text format of Error.

#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::utils {

std::string ToString(const Error& error) {
  std::string text = std::to_string(ToNumber(error.code));
  text.append(" ").append(ToString(error.code));
  if (!error.pointer.empty()) {
    text.append(" at ").append(error.pointer);
  }
  return text.append(": ").append(error.message);
}

}  // namespace amaranthlatch::utils
