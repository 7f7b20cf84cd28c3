// Credentials of callers in forwarded requests.

#include "amaranthlatch/calls/authorizer.h"

namespace amaranthlatch::calls {

void ForwardCredentials(bool forward, HttpRequest& request, const Headers& credentials,
                        bool& forwarded) {
  if (forward && !forwarded) {
    request.headers.insert(request.headers.end(), credentials.begin(), credentials.end());
  } else if (!forward && forwarded) {
    request.headers.resize(request.headers.size() - credentials.size());
  }
  forwarded = forward;
}

}  // namespace amaranthlatch::calls
