// What this node has observed of the answers of each service, whichever backend server gave them.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "amaranthlatch/utils/time.h"
#include "service_times.h"

namespace amaranthlatch::calls::details {

class ServiceStatistics {
 public:
  // Weight of a new sample in the averages of a service. Many servers contribute, so that it is
  // lower than the weight for one of them.
  static constexpr double kSmoothing = 0.05;

  struct Averages {
    // Times at the backend servers alone.
    ServiceTimes service_times{kSmoothing};
    RouteAverages answer_bytes{kSmoothing};
    // Times that the gates report of their servers, in microseconds.
    RouteAverages run_times{kSmoothing};
  };

  // `time` is empty if the answer does not tell it.
  void Record(const std::string& service, RouteKey route, std::optional<utils::Duration> time,
              std::uint64_t answer_bytes) {
    Averages& averages = this->services[service];
    if (time) {
      averages.service_times.Record(route, *time);
    }
    averages.answer_bytes.Record(route, static_cast<double>(answer_bytes));
  }

  // Adds the time that a gate reports for calls of the route; returns its ratio to the mean of the
  // service.
  double RecordRunTime(const std::string& service, RouteKey route, double time_us) {
    RouteAverages& run_times = this->services[service].run_times;
    run_times.Record(route, time_us);
    return time_us / run_times.Find(route).value_or(time_us);
  }

  // Averages of the service; null before its first answer.
  const Averages* Find(const std::string& service) const {
    const auto found = this->services.find(service);
    return found == this->services.end() ? nullptr : &found->second;
  }

 private:
  // Bounded by the services that calls are routed to.
  std::unordered_map<std::string, Averages> services;
};

}  // namespace amaranthlatch::calls::details
