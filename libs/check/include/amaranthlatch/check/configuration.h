// What checks and comparisons need of a configuration, whichever form it has: a service document,
// or the table of a whole mesh.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "amaranthlatch/directory/mesh_configuration.h"
#include "amaranthlatch/document/service_document.h"

namespace amaranthlatch::check {

struct Entry {
  // JSON pointer to the route in its file.
  std::string pointer;
  document::Route route;
  // Whether a request for the route's own prefix is given to it by the nodes' routing.
  bool is_reachable = true;
  // Servers that are tried at most, and the time that each may take to be useful; 0 if unknown. A
  // document does not tell it: its queue time bounds a wait whose excess is refused at once.
  std::uint32_t attempts = 0;
  utils::Duration attempt_time{};
  // Largest bodies that the file allows; 0 if it sets no limits.
  std::uint64_t request_bytes = 0;
  std::uint64_t response_bytes = 0;
};

struct Quota {
  std::string pointer;
  std::string workspace;
  // Requests per second; 0 means unlimited.
  double rate = 0.0;
  double burst = 0.0;
};

// A part of the configuration that is compared with its earlier version, by the names of its
// fields.
struct Item {
  std::string pointer;
  std::map<std::string, std::string> fields;
};

struct Configuration {
  std::vector<Entry> entries;
  std::vector<Quota> quotas;
  // Services to whose backend servers no connections are allowed.
  std::set<std::string> closed_services;
  // By kind and name, such as "route work".
  std::map<std::string, Item> items;
};

// JSON pointers to the rows of a mesh's tables.
struct TablePointers {
  std::string routes;
  std::string services;
  std::string workspaces;
};

Configuration Describe(const document::ServiceDocument& document);
// Keys of workspaces appear only as a digest.
Configuration Describe(const directory::MeshConfiguration& mesh, const TablePointers& pointers);

}  // namespace amaranthlatch::check
