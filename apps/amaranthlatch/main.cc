// The operators' command line.

#include <iostream>
#include <string>
#include <vector>

#include "curl_client.h"
#include "run.h"
#include "system_host.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  amaranthlatch::cli::CurlClient http;
  amaranthlatch::cli::SystemHost host;
  return amaranthlatch::cli::Run(arguments, http, host, std::cout, std::cerr);
}
