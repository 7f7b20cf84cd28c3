// Header of an answer, and what it states about the end of the answer.
//
// libcurl frames leniently: it takes the digits before a fault in a length, the last one of several
// lengths, and no length at all for a field whose name is damaged. An answer that broke off there
// would count as complete, so that every fault in a header makes the answer unusable.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "amaranthlatch/calls/request.h"
#include "amaranthlatch/runtime/http_client.h"

namespace amaranthlatch::runtime::details {

class ResponseHead {
 public:
  // Takes a status line or a field, without its line end. Returns false if it is malformed.
  bool Add(std::string_view line);

  // Ends the header of an interim answer (1xx), which has no body.
  bool EndInterim();

  // Ends the header of the final answer. Returns false if its framing is in doubt.
  bool End();

  // Valid after End.
  Framing GetFraming() const { return this->framing; }
  std::uint64_t Length() const { return this->length; }

  const calls::Headers& Fields() const { return this->fields; }
  calls::Headers TakeFields() { return std::move(this->fields); }

 private:
  bool AddField(std::string_view line);
  bool ReadLength(std::string_view value);

  bool has_status_line = false;
  bool is_http_1_0 = false;
  Framing framing = Framing::kConnectionEnd;
  std::uint64_t length = 0;
  calls::Headers fields;
};

}  // namespace amaranthlatch::runtime::details
