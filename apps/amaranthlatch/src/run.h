// Entry of the command line, apart from main() so that tests can call it.

#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "host.h"
#include "http_client.h"

namespace amaranthlatch::cli {

// Returns the exit code. `arguments` are those after the program's name.
int Run(const std::vector<std::string>& arguments, HttpClient& http, Host& host, std::ostream& out,
        std::ostream& errors);

}  // namespace amaranthlatch::cli
