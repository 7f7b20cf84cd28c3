// SVG of the goodput by second.

#include "svg_plot.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace amaranthlatch::calls::benchmark {

namespace {
constexpr double kWidth = 800.0;
constexpr double kHeight = 400.0;
constexpr double kMargin = 50.0;
constexpr int kGridLines = 5;
constexpr std::array kColours = {"#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#8c564b"};
}  // namespace

std::string GoodputPlot(const PatternResult& result) {
  double highest = 1.0;
  double seconds = 1.0;
  for (const auto& [name, type] : result.types) {
    seconds = std::max(seconds, static_cast<double>(type.seconds.size()) - 1.0);
    for (const CallCounts& counts : type.seconds) {
      highest = std::max(highest, static_cast<double>(counts.offered));
    }
  }
  std::ostringstream out;
  const auto text = [&out](double x, double y, const std::string& colour, const auto& value) {
    out << "<text x='" << x << "' y='" << y << "' fill='" << colour << "'>" << value << "</text>\n";
  };
  out << "<svg xmlns='http://www.w3.org/2000/svg' font-family='sans-serif' font-size='12' viewBox='"
      << "0 0 " << kWidth + 4 * kMargin << " " << kHeight + 2 * kMargin << "'>\n";
  for (int i = 0; i <= kGridLines; ++i) {
    const double y = kMargin + kHeight * (kGridLines - i) / kGridLines;
    out << "<path d='M" << kMargin << " " << y << "h" << kWidth << "' stroke='#ccc'/>\n";
    text(2.0, y, "black", static_cast<int>(highest * i / kGridLines));
    text(kMargin + kWidth * i / kGridLines, kHeight + 1.5 * kMargin, "black",
         seconds * i / kGridLines);
  }
  text(2.0, kMargin / 2, "black", "calls a second, solid: in time, dashed: offered; by second");
  std::size_t index = 0;
  for (const auto& [name, type] : result.types) {
    const std::string colour = kColours.at(index % kColours.size());
    for (const auto member : {&CallCounts::in_time, &CallCounts::offered}) {
      out << "<polyline fill='none' stroke='" << colour << "'"
          << (member == &CallCounts::offered ? " stroke-dasharray='4'" : "") << " points='";
      // The last entry holds nested calls after the end.
      for (std::size_t i = 0; i + 1 < type.seconds.size(); ++i) {
        out << kMargin + kWidth * (static_cast<double>(i) + 0.5) / seconds << ","
            << kMargin + kHeight * (1.0 - static_cast<double>(type.seconds[i].*member) / highest)
            << " ";
      }
      out << "'/>\n";
    }
    text(kWidth + 1.2 * kMargin, kMargin * (1.0 + 0.4 * static_cast<double>(++index)), colour,
         name);
  }
  out << "</svg>\n";
  return out.str();
}

}  // namespace amaranthlatch::calls::benchmark
