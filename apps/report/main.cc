// pomelopond-report: prints the burn-rate report, merged from the programs of all entry hosts.
#include <cxxopts.hpp>
#include <iostream>
#include <string>

#include "apps/report/burn_report.h"
#include "base/json.h"
#include "base/program.h"
#include "http/http_client.h"
#include "http/thread_pool.h"

namespace pomelopond::apps {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(5);
// Returns the answer of GET /v1/metrics, or null if there is none.
Json MetricsOf(const Endpoint& endpoint) {
  http::HttpClient client(endpoint);
  http::HttpRequest request;
  request.path = "/v1/metrics";
  const http::HttpResult result = client.Call(std::move(request), kTimeout);
  if (result.ec || result.response.status != 200) return nullptr;
  const Result<Json> document = ParseJson(result.response.body);
  return document.ok() && document.value.is_object() ? document.value : Json(nullptr);
}

BurnReport Collect(const EntrySettings& settings) {
  BurnReport report;
  for (const EntryHost& it : settings.entry_hosts) {
    const Json router = MetricsOf(it.router);
    const Json scheduler = MetricsOf(it.scheduler);
    if (!router.is_null()) AddRouter(router, &report);
    if (!scheduler.is_null()) AddScheduler(scheduler, &report);
    if (router.is_null()) report.missing.push_back("router of " + it.id);
    if (scheduler.is_null()) report.missing.push_back("scheduler of " + it.id);
  }
  return report;
}

int Main(int argc, char** argv) {
  cxxopts::Options options("pomelopond-report", "Service-level burn of all entry hosts");
  options.add_options()("settings", "settings file of an entry host", cxxopts::value<std::string>(),
                        "FILE")("format", "text, json or html",
                                cxxopts::value<std::string>()->default_value("text"), "FORMAT")(
      "version", "print the version and exit")("help", "print this help and exit");
  try {
    const cxxopts::ParseResult args = options.parse(argc, argv);
    if (args.count("help") != 0) {
      std::cout << options.help();
      return kExitOk;
    }
    if (args.count("version") != 0) {
      std::cout << "pomelopond-report " << kVersion << "\n";
      return kExitOk;
    }
    if (args.count("settings") == 0) {
      std::cerr << "--settings FILE is required; see --help\n";
      return kExitUsage;
    }
    const Result<std::string> text = ReadFile(args["settings"].as<std::string>());
    const Result<Json> document = ParseJson(text.value);
    FieldErrors errors;
    const EntrySettings settings =
        ReadEntrySettings(document.ok() ? document.value : Json(), &errors);
    if (!errors.empty()) {
      std::cerr << ToString(errors);
      return kExitUsage;
    }
    http::InitThreadPool(2);
    const BurnReport report = Collect(settings);
    const auto format = args["format"].as<std::string>();
    if (format == "text") {
      std::cout << ToText(report);
    } else if (format == "json") {
      std::cout << ToJson(report).dump(2) << "\n";
    } else if (format == "html") {
      std::cout << ToHtml(report, "Service-level burn");
    } else {
      std::cerr << "--format must be text, json or html\n";
      return kExitUsage;
    }
    return report.missing.empty() ? kExitOk : kExitFailure;
  } catch (const cxxopts::exceptions::exception& e) {
    std::cerr << e.what() << "\n";
    return kExitUsage;
  }
}

}  // namespace
}  // namespace pomelopond::apps

int main(int argc, char** argv) { return pomelopond::apps::Main(argc, argv); }
