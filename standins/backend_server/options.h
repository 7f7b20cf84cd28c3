// Settings of the stand-in for a backend server.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace amaranthlatch::standins {

struct BackendOptions {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
  // "ip:port" of the admin address of the node beside it; empty announces nowhere.
  std::string node_admin;
  std::string service;
  std::map<std::string, std::string> labels;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  std::chrono::milliseconds work{0};
  // Added to the work of every request during the first `cold_time` after the start.
  std::chrono::milliseconds cold_work{0};
  std::chrono::milliseconds cold_time{0};
  // One line a run is appended here before the run, so that it survives a crash; empty for none.
  std::string runs_file;
};

}  // namespace amaranthlatch::standins
