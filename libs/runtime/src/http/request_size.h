// Size of a request that is being received, known as soon as its header has come.
//
// Only an estimate for admission: RESTinio's parser decides on framing. A body in chunks, or one
// whose header was read together with an earlier request, counts as its bytes come.

#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthlatch::runtime::details {

class RequestSize {
 public:
  void Add(std::string_view bytes);
  void Reset() { *this = RequestSize(); }

  std::uint64_t Bytes() const { return std::max(this->received, this->stated); }

 private:
  bool head_ended = false;
  std::string head;
  std::uint64_t received = 0;
  // Of header and body, by Content-Length.
  std::uint64_t stated = 0;
};

}  // namespace amaranthlatch::runtime::details
