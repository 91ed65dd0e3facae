#include "apps/report/burn_report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace pomelopond::apps {
namespace {

constexpr const char* kHistogramPrefix = "request_seconds{service=\"";
constexpr int kPlotWidth = 720;
constexpr int kPlotHeight = 200;
constexpr int kPlotMargin = 32;
constexpr double kFastBurnRate = 14.4;  // consumes a 30-day error budget in 50 hours
constexpr double kSlowBurnRate = 1;

metrics::BurnCounts ReadCounts(const Json& object) {
  return {object.value("good", int64_t{0}), object.value("bad", int64_t{0})};
}

std::string Format(const char* format, double value) {
  char buf[64];
  std::snprintf(buf, sizeof(buf), format, value);
  return buf;
}

std::string Escaped(const std::string& text) {
  std::string out;
  for (const char it : text) {
    if (it == '<') {
      out += "&lt;";
    } else if (it == '>') {
      out += "&gt;";
    } else if (it == '&') {
      out += "&amp;";
    } else if (it == '"') {
      out += "&quot;";
    } else {
      out.push_back(it);
    }
  }
  return out;
}

double QuantileMs(const ServiceRow& row, double q) {
  return metrics::Quantile(row.latency, q) / 1000;
}

bool HasObjective(const ServiceRow& row) { return row.objective_ratio > 0; }

const char* StateOf(const ServiceRow& row) {
  if (!HasObjective(row)) return "no objective";
  const double fast = metrics::BurnRate(row.short_window, row.objective_ratio);
  const double slow = metrics::BurnRate(row.long_window, row.objective_ratio);
  if (fast >= kFastBurnRate && slow >= kFastBurnRate) return "page";
  if (slow >= kSlowBurnRate) return "watch";
  return "ok";
}

std::vector<std::string> Cells(const std::string& service, const ServiceRow& row) {
  const auto objective = [&row](const std::string& text) {
    return HasObjective(row) ? text : std::string("-");
  };
  const double ratio = row.objective_ratio;
  return {service,
          objective(Format("%g ms", row.objective_ms) + Format(" for %g%%", ratio * 100)),
          objective(Format("%.0f%%", metrics::BudgetLeft(row.long_window, ratio) * 100)),
          objective(Format("%.2f", metrics::BurnRate(row.short_window, ratio))),
          objective(Format("%.2f", metrics::BurnRate(row.long_window, ratio))),
          std::to_string(metrics::Total(row.latency)),
          Format("%.2f", QuantileMs(row, 0.5)),
          Format("%.2f", QuantileMs(row, 0.99)),
          Format("%.2f", QuantileMs(row, 0.999)),
          StateOf(row)};
}

const std::vector<std::string>& Columns() {
  static const std::vector<std::string> columns = {
      "service",  "objective", "budget left", "burn 5 min", "burn 1 h",
      "requests", "p50 ms",    "p99 ms",      "p99.9 ms",   "state"};
  return columns;
}

// Returns an SVG histogram of requests by latency on a logarithmic axis, with the objective as a
// vertical line.
std::string Plot(const ServiceRow& row) {
  const std::vector<double>& bounds = metrics::BucketBounds();
  size_t first = bounds.size();
  size_t last = 0;
  int64_t max_count = 1;
  for (size_t n = 0; n < row.latency.counts.size() && n + 1 < bounds.size(); ++n) {
    if (row.latency.counts[n] == 0) continue;
    first = std::min(first, n);
    last = n;
    max_count = std::max(max_count, row.latency.counts[n]);
  }
  if (first == bounds.size()) return "<p>No requests yet.</p>";
  first = first < 3 ? 0 : first - 3;
  last = std::min(last + 3, bounds.size() - 2);
  const double step =
      static_cast<double>(kPlotWidth - 2 * kPlotMargin) / static_cast<double>(last - first + 1);
  const auto x = [&](size_t n) { return kPlotMargin + step * static_cast<double>(n - first); };
  const std::string base = std::to_string(kPlotHeight - kPlotMargin);
  std::string svg = "<svg viewBox=\"0 0 " + std::to_string(kPlotWidth) + " " +
                    std::to_string(kPlotHeight) + "\" role=\"img\" aria-label=\"latency\">\n";
  for (size_t n = first; n <= last; ++n) {
    const double height = static_cast<double>(row.latency.counts[n]) /
                          static_cast<double>(max_count) * (kPlotHeight - 2 * kPlotMargin);
    svg += "<rect class=\"bar\" x=\"" + Format("%.1f", x(n)) + "\" y=\"" +
           Format("%.1f", kPlotHeight - kPlotMargin - height) + "\" width=\"" +
           Format("%.1f", std::max(1.0, step - 1)) + "\" height=\"" + Format("%.1f", height) +
           "\"/>\n";
  }
  for (size_t n = first; n <= last; n += std::max<size_t>(1, (last - first) / 6)) {
    svg += "<text x=\"" + Format("%.1f", x(n)) + "\" y=\"" +
           std::to_string(kPlotHeight - kPlotMargin + 16) + "\">" +
           Format("%.3g ms", bounds[n] / 1000) + "</text>\n";
  }
  svg += "<line class=\"axis\" x1=\"" + std::to_string(kPlotMargin) + "\" y1=\"" + base +
         "\" x2=\"" + std::to_string(kPlotWidth - kPlotMargin) + "\" y2=\"" + base + "\"/>\n";
  if (HasObjective(row)) {
    const double low = std::log(bounds[first]);
    const double high = std::log(bounds[last]);
    const double objective_x = kPlotMargin + (std::log(row.objective_ms * 1000) - low) /
                                                 (high - low) * (kPlotWidth - 2 * kPlotMargin);
    if (objective_x >= kPlotMargin && objective_x <= kPlotWidth - kPlotMargin) {
      svg += "<line class=\"objective\" x1=\"" + Format("%.1f", objective_x) +
             "\" y1=\"12\" x2=\"" + Format("%.1f", objective_x) + "\" y2=\"" + base +
             "\"/>\n<text x=\"" + Format("%.1f", objective_x + 4) +
             "\" y=\"20\">objective</text>\n";
    }
  }
  return svg + "</svg>";
}

constexpr const char* kStyle =
    "body{font:15px/1.5 sans-serif;margin:2rem auto;max-width:62rem;padding:0 1rem;color:#1c2530}"
    "table{border-collapse:collapse;width:100%;margin:1rem 0}"
    "th,td{padding:.35rem .6rem;text-align:right;border-bottom:1px solid #d5dbe1}"
    "th:first-child,td:first-child{text-align:left}"
    ".page{background:#f6c9c4}.watch{background:#fbe7b5}.ok{background:#d5ecd4}"
    "svg{width:100%;height:auto;background:#f6f8fa}.bar{fill:#3d6f9e}"
    ".axis{stroke:#5a6672}.objective{stroke:#b3372b;stroke-dasharray:4 3}"
    "svg text{font-size:11px;fill:#5a6672}";

std::string HtmlTable(const BurnReport& report) {
  std::string html = "<table><thead><tr>";
  for (const std::string& it : Columns()) html += "<th>" + Escaped(it) + "</th>";
  html += "</tr></thead><tbody>\n";
  for (const auto& [service, row] : report.services) {
    html += "<tr>";
    const std::vector<std::string> cells = Cells(service, row);
    for (size_t n = 0; n < cells.size(); ++n) {
      const bool state = n + 1 == cells.size();
      html += (state ? "<td class=\"" + cells[n] + "\">" : "<td>") + Escaped(cells[n]) + "</td>";
    }
    html += "</tr>\n";
  }
  return html + "</tbody></table>\n";
}

}  // namespace

void AddRouter(const Json& metrics, BurnReport* report) {
  const std::string prefix = kHistogramPrefix;
  const Json histograms = metrics.value("histograms", Json::object());
  for (const auto& it : histograms.items()) {
    if (it.key().rfind(prefix, 0) != 0 || !it.value().is_array()) continue;
    const std::string service = it.key().substr(prefix.size(), it.key().size() - prefix.size() - 2);
    metrics::HistogramCounts counts;
    for (const Json& n : it.value()) counts.counts.push_back(n.is_number() ? n.get<int64_t>() : 0);
    ServiceRow& row = report->services[service];
    row.latency = metrics::Merge(row.latency, counts);
  }
  const Json burn = metrics.value("burn", Json::object());
  for (const auto& it : burn.items()) {
    ServiceRow& row = report->services[it.key()];
    row.objective_ms = it.value().value("objective_ms", 0.0);
    row.objective_ratio = it.value().value("objective_ratio", 0.0);
    row.short_window = row.short_window + ReadCounts(it.value().value("short", Json::object()));
    row.long_window = row.long_window + ReadCounts(it.value().value("long", Json::object()));
  }
}

void AddScheduler(const Json& metrics, BurnReport* report) {
  const Json counters = metrics.value("counters", Json::object());
  for (const auto& it : counters.items()) {
    if (!it.value().is_number_integer()) continue;
    report->task_counters[it.key()] += it.value().get<int64_t>();
  }
}

std::string ToText(const BurnReport& report) {
  std::string text;
  const auto add = [&text](const std::vector<std::string>& cells) {
    char buf[64];
    for (size_t n = 0; n < cells.size(); ++n) {
      std::snprintf(buf, sizeof(buf), n < 2 ? "%-20s" : "%12s", cells[n].c_str());
      text += buf;
    }
    text += "\n";
  };
  add(Columns());
  for (const auto& [service, row] : report.services) add(Cells(service, row));
  for (const auto& [name, n] : report.task_counters) {
    text += name + " " + std::to_string(n) + "\n";
  }
  for (const std::string& it : report.missing) text += "missing: " + it + " did not answer\n";
  return text;
}

Json ToJson(const BurnReport& report) {
  Json services = Json::object();
  for (const auto& [service, row] : report.services) {
    const double ratio = row.objective_ratio;
    services[service] = {{"objective_ms", row.objective_ms},
                         {"objective_ratio", ratio},
                         {"budget_left", metrics::BudgetLeft(row.long_window, ratio)},
                         {"burn_short", metrics::BurnRate(row.short_window, ratio)},
                         {"burn_long", metrics::BurnRate(row.long_window, ratio)},
                         {"requests", metrics::Total(row.latency)},
                         {"p50_ms", QuantileMs(row, 0.5)},
                         {"p99_ms", QuantileMs(row, 0.99)},
                         {"p999_ms", QuantileMs(row, 0.999)},
                         {"state", StateOf(row)}};
  }
  return {{"services", services}, {"tasks", report.task_counters}, {"missing", report.missing}};
}

std::string ToHtml(const BurnReport& report, const std::string& title) {
  std::string html = "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>" +
                     Escaped(title) + "</title><style>" + kStyle + "</style></head><body>\n<h1>" +
                     Escaped(title) + "</h1>\n" + HtmlTable(report);
  for (const auto& [service, row] : report.services) {
    html += "<h2>" + Escaped(service) + ": requests by latency</h2>\n" + Plot(row) + "\n";
  }
  if (!report.task_counters.empty()) {
    html += "<h2>Tasks</h2>\n<table><tbody>\n";
    for (const auto& [name, n] : report.task_counters) {
      html += "<tr><td>" + Escaped(name) + "</td><td>" + std::to_string(n) + "</td></tr>\n";
    }
    html += "</tbody></table>\n";
  }
  for (const std::string& it : report.missing) {
    html += "<p>" + Escaped(it) + " did not answer; its part is missing above.</p>\n";
  }
  return html + "</body></html>\n";
}

}  // namespace pomelopond::apps
