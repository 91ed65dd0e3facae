// The burn-rate report: merges the metrics of all routers and schedulers and prints them as text,
// JSON or HTML.
#ifndef POMELOPOND_APPS_REPORT_BURN_REPORT_H_
#define POMELOPOND_APPS_REPORT_BURN_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/json.h"
#include "metrics/burn.h"
#include "metrics/latency_histogram.h"

namespace pomelopond::apps {

struct ServiceRow {
  double objective_ms = 0;           // latency objective in milliseconds
  double objective_ratio = 0;        // share of requests that must meet it; 0 without an objective
  metrics::BurnCounts short_window;  // requests within metrics::kShortWindow
  metrics::BurnCounts long_window;   // requests within metrics::kLongWindow
  metrics::HistogramCounts latency;  // requests by latency, summed over the routers
};

struct BurnReport {
  std::map<std::string, ServiceRow> services;
  std::map<std::string, int64_t> task_counters;  // counters of the schedulers, such as evictions
  std::vector<std::string> missing;              // processes that did not answer
};

// Add the answer of a router's or a scheduler's GET /v1/metrics to the report.
void AddRouter(const Json& metrics, BurnReport* report);
void AddScheduler(const Json& metrics, BurnReport* report);

std::string ToText(const BurnReport& report);
Json ToJson(const BurnReport& report);

// Returns a self-contained HTML page with a latency histogram per service and `title` as heading.
std::string ToHtml(const BurnReport& report, const std::string& title);

}  // namespace pomelopond::apps

#endif  // POMELOPOND_APPS_REPORT_BURN_REPORT_H_
