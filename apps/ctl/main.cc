// pomelopondctl: the operators' command line.
#include <algorithm>
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "apps/ctl/command.h"
#include "base/json.h"
#include "base/program.h"
#include "base/result_code.h"
#include "http/http_client.h"
#include "http/thread_pool.h"
#include "release/note.h"
#include "release/rebase.h"

namespace pomelopond::apps {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(20);

constexpr const char* kExamples =
    "\nExamples:\n"
    "  pomelopondctl --admin 10.0.0.1:7300 --key-file operator.key apply note.json\n"
    "  pomelopondctl --admin 10.0.0.1:7300 --key-file operator.key drain host worker-07\n"
    "  pomelopondctl --admin 10.0.0.1:7300 --key-file operator.key --output json job survey-17\n"
    "\nExit status: 0 done, 1 no answer, 2 usage, 3 bad input, 4 refused, 5 conflict,\n"
    "6 outcome unknown, 7 store, 8 internal error, 9 access refused.\n";

void PrintHelp(const std::string& options) {
  std::cout << options << "\nCommands:\n";
  for (const CommandHelp& it : CommandHelps()) {
    std::printf("  %-30s %s\n", it.usage, it.text);
  }
  std::fflush(stdout);
  std::cout << kExamples;
}

int Validate(const std::string& text) {
  const Result<Json> document = ParseJson(text);
  if (!document.ok()) {
    std::cerr << "the note is not valid JSON (bad_json)\n";
    return kExitFailure;
  }
  FieldErrors errors;
  release::ReadNote(document.value, &errors);
  std::cerr << ToString(errors);
  if (errors.empty()) std::cout << "the note is valid\n";
  return errors.empty() ? kExitOk : kExitFailure;
}

struct Connection {
  Endpoint admin;
  std::string key;
  bool json = false;  // print JSON instead of tables
};

http::HttpResult Call(const Connection& to, const Command& command) {
  http::HttpClient client(to.admin);
  http::HttpRequest request;
  request.method = command.method;
  request.path = command.path;
  request.body = command.body;
  request.headers["Authorization"] = "Bearer " + to.key;
  request.headers["Content-Type"] = "application/json";
  return client.Call(std::move(request), kTimeout);
}

int PrintDiff(const std::string& file, const Json& in_force) {
  const Result<Json> document = ParseJson(file);
  FieldErrors errors;
  const release::Release a = release::ReadRelease(document.value, &errors);
  const release::Release b = release::ReadRelease(in_force, &errors);
  if (!document.ok() || !errors.empty()) {
    std::cerr << "the file is not a release as printed by `release`\n" << ToString(errors);
    return kExitUsage;
  }
  for (const std::string& it : release::Diff(a, b)) std::cout << it << "\n";
  return kExitOk;
}

int Send(const Connection& to, const std::string& name, const Command& command,
         const std::string& file) {
  const http::HttpResult result = Call(to, command);
  if (result.ec) {
    std::cerr << "no answer from " << ToString(to.admin) << ": " << result.ec.message() << "\n";
    return kExitFailure;
  }
  const Result<Json> document = ParseJson(result.response.body);
  const int status = ExitStatusOf(result.response);
  if (status != kExitOk || !document.ok()) {
    std::cerr << (document.ok() ? document.value.dump(2) : result.response.body) << "\n";
    return status == kExitOk ? kExitFailure : status;
  }
  if (name == "diff") return PrintDiff(file, document.value);
  std::cout << (to.json ? document.value.dump(2) + "\n" : FormatAnswer(name, document.value));
  return kExitOk;
}

// Returns the version of the release in force, or -1 if it cannot be read.
int64_t VersionInForce(const Connection& to) {
  const http::HttpResult result = Call(to, {"GET", "/v1/release", {}});
  const Result<Json> document = ParseJson(result.response.body);
  if (result.ec || !document.ok() || !document.value.is_object()) return -1;
  return document.value.value("version", int64_t{-1});
}

std::string Trimmed(std::string text) {
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) text.pop_back();
  return text;
}

// Runs one command, or one `cancel` call per job. Returns the highest exit status.
int RunCommand(const Connection& to, const std::vector<std::string>& words,
               const std::string& file) {
  if (words[0] == "cancel" && words.size() > 2) {
    int worst = kExitOk;
    for (size_t n = 1; n < words.size(); ++n) {
      worst = std::max(worst, RunCommand(to, {words[0], words[n]}, file));
    }
    return worst;
  }
  const int64_t version = NeedsVersion(words[0]) ? VersionInForce(to) : 0;
  const Command command = ParseCommand(words, file, std::max<int64_t>(version, 0));
  if (command.method.empty()) {
    std::cerr << "unknown command or invalid arguments; see --help\n";
    return kExitUsage;
  }
  return Send(to, words[0], command, file);
}

int Run(const cxxopts::ParseResult& args) {
  const auto words = args["command"].as<std::vector<std::string>>();
  std::string file;
  if (TakesFile(words[0]) && words.size() == 2) {
    const Result<std::string> text = ReadFile(words[1]);
    if (!text.ok()) {
      std::cerr << "cannot read " << words[1] << "\n";
      return kExitUsage;
    }
    file = text.value;
  }
  if (words[0] == "validate" && words.size() == 2) return Validate(file);
  if (args.count("admin") == 0) {
    std::cerr << "--admin ADDRESS:PORT is required; see --help\n";
    return kExitUsage;
  }
  const Result<Endpoint> admin = ParseEndpoint(args["admin"].as<std::string>());
  const Result<std::string> key = ReadFile(args["key-file"].as<std::string>());
  const auto output = args["output"].as<std::string>();
  if (!admin.ok() || !key.ok() || (output != "table" && output != "json")) {
    std::cerr << "--admin must be an IP address and port, --key-file a readable file, "
                 "--output table or json\n";
    return kExitUsage;
  }
  http::InitThreadPool(2);
  return RunCommand({admin.value, Trimmed(key.value), output == "json"}, words, file);
}

int Main(int argc, char** argv) {
  cxxopts::Options options("pomelopondctl", "Operators' command line of pomelopond");
  options.custom_help("[OPTIONS]");
  options.positional_help("COMMAND [ARGUMENTS]");
  options.add_options()("admin", "address of a pomelopond-admin", cxxopts::value<std::string>(),
                        "ADDRESS:PORT")(
      "key-file", "file with the access key",
      cxxopts::value<std::string>()->default_value("/etc/pomelopond/operator.key"), "FILE")(
      "output", "table or json", cxxopts::value<std::string>()->default_value("table"), "FORMAT")(
      "command", "command and arguments", cxxopts::value<std::vector<std::string>>())(
      "version", "print the version and exit")("help", "print this help and exit");
  options.parse_positional("command");
  try {
    const cxxopts::ParseResult args = options.parse(argc, argv);
    if (args.count("help") != 0) {
      PrintHelp(options.help());
      return kExitOk;
    }
    if (args.count("version") != 0) {
      std::cout << "pomelopondctl " << kVersion << "\n";
      return kExitOk;
    }
    if (args.count("command") == 0) {
      std::cerr << "no command; see --help\n";
      return kExitUsage;
    }
    return Run(args);
  } catch (const cxxopts::exceptions::exception& e) {
    std::cerr << e.what() << "\n";
    return kExitUsage;
  }
}

}  // namespace
}  // namespace pomelopond::apps

int main(int argc, char** argv) { return pomelopond::apps::Main(argc, argv); }
