// Sums and output of the results of a load pattern.

#include "pattern_result.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace amaranthlatch::calls::benchmark {

namespace {
using nlohmann::json;

struct Column {
  const char* name;
  std::uint64_t CallCounts::*member;
};
constexpr std::array kColumns = {Column{"offered", &CallCounts::offered},
                                 Column{"in_time", &CallCounts::in_time},
                                 Column{"late", &CallCounts::late},
                                 Column{"refused", &CallCounts::refused},
                                 Column{"failed", &CallCounts::failed},
                                 Column{"requests", &CallCounts::requests},
                                 Column{"refusals", &CallCounts::refusals},
                                 Column{"late_refusals", &CallCounts::late_refusals},
                                 Column{"sent", &CallCounts::sent},
                                 Column{"arrivals", &CallCounts::arrivals},
                                 Column{"repeated_arrivals", &CallCounts::repeated_arrivals},
                                 Column{"zone_bytes", &CallCounts::zone_bytes},
                                 Column{"region_bytes", &CallCounts::region_bytes}};

// Size of the plot and its margin in pixels.
constexpr double kWidth = 800.0;
constexpr double kHeight = 400.0;
constexpr double kMargin = 50.0;
constexpr int kGridLines = 5;
constexpr std::array kColours = {"#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#8c564b"};

double Percentile(const std::vector<double>& sorted, double share) {
  const auto last = static_cast<double>(sorted.size()) - 1.0;
  return sorted.empty() ? 0.0 : sorted[static_cast<std::size_t>(last * share)];
}
}  // namespace

CallCounts& CallCounts::operator+=(const CallCounts& other) {
  for (const Column& column : kColumns) {
    this->*column.member += other.*column.member;
  }
  return *this;
}

CallCounts TypeResult::Sum(std::size_t from, std::size_t until) const {
  CallCounts sum;
  for (std::size_t i = from; i < std::min(until, this->seconds.size()); ++i) {
    sum += this->seconds[i];
  }
  return sum;
}

json PatternResult::ToJson() const {
  json report = {{"first_error", this->first_error},
                 {"requests", this->counters.calls},
                 {"attempts", this->counters.attempts},
                 {"retries", this->counters.retries},
                 {"retries_over_budget", this->counters.retries_over_budget},
                 {"moves", this->counters.moves}};
  for (const auto& [name, type] : this->types) {
    json& entry = report["types"][name];
    const CallCounts sum = type.Sum();
    for (const Column& column : kColumns) {
      entry["total"][column.name] = sum.*column.member;
      for (const CallCounts& counts : type.seconds) {
        entry["by_second"][column.name].push_back(counts.*column.member);
      }
    }
    for (const double share : {0.5, 0.99, 1.0}) {
      entry["answers_ms"].push_back(Percentile(type.answers_ms, share));
      entry["refusals_ms"].push_back(Percentile(type.refusals_ms, share));
    }
  }
  for (const ServerResult& server : this->servers) {
    report["servers"].push_back({{"zone", server.zone},
                                 {"service", server.service},
                                 {"speed", server.speed},
                                 {"runs", server.runs},
                                 {"utilisation", server.utilisation}});
  }
  return report;
}

std::string PatternResult::ToSvg() const {
  double highest = 1.0;
  double seconds = 1.0;
  for (const auto& [name, type] : this->types) {
    seconds = std::max(seconds, static_cast<double>(type.seconds.size()) - 1.0);
    for (const CallCounts& counts : type.seconds) {
      highest = std::max(highest, static_cast<double>(counts.offered));
    }
  }
  std::ostringstream out;
  const auto text = [&out](double x, double y, const std::string& colour, const auto& value) {
    out << "<text x='" << x << "' y='" << y << "' fill='" << colour << "'>" << value << "</text>\n";
  };
  out << "<svg xmlns='http://www.w3.org/2000/svg' font-family='sans-serif' viewBox='0 0 "
      << kWidth + 4 * kMargin << " " << kHeight + 2 * kMargin << "'>\n";
  for (int i = 0; i <= kGridLines; ++i) {
    const double y = kMargin + kHeight * (kGridLines - i) / kGridLines;
    out << "<path d='M" << kMargin << " " << y << "h" << kWidth << "' stroke='#ccc'/>\n";
    text(2.0, y, "black", static_cast<int>(highest * i / kGridLines));
    text(kMargin + kWidth * i / kGridLines, kHeight + 1.5 * kMargin, "black",
         seconds * i / kGridLines);
  }
  std::size_t index = 0;
  for (const auto& [name, type] : this->types) {
    const std::string colour = kColours.at(index++ % kColours.size());
    text(kWidth + 1.2 * kMargin, kMargin * (0.6 + 0.4 * static_cast<double>(index)), colour, name);
    for (const auto member : {&CallCounts::in_time, &CallCounts::offered}) {
      out << "<polyline fill='none' stroke='" << colour << "'"
          << (member == &CallCounts::offered ? " stroke-dasharray='4'" : "") << " points='";
      // The last entry holds nested calls made after the end.
      for (std::size_t i = 0; i + 1 < type.seconds.size(); ++i) {
        const double height = static_cast<double>(type.seconds[i].*member) / highest;
        out << kMargin + kWidth * (static_cast<double>(i) + 0.5) / seconds << ","
            << kMargin + kHeight * (1.0 - height) << " ";
      }
      out << "'/>\n";
    }
  }
  return out.str() + "</svg>\n";
}

}  // namespace amaranthlatch::calls::benchmark
