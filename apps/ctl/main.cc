// pomelopondctl: the operators' command line.
#include <cxxopts.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "base/json.h"
#include "base/program.h"
#include "base/result_code.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "release/note.h"

namespace pomelopond::apps {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(20);

constexpr const char* kExamples =
    "\nCommands:\n"
    "  validate FILE          check a release note without sending it\n"
    "  apply FILE             have a release note accepted\n"
    "  release                print the release in force\n"
    "  status                 print where the release is in force\n"
    "  submit FILE            submit a job\n"
    "  job ID                 print a job and its tasks\n"
    "  cancel ID              cancel a job\n"
    "  shards                 print the shards that the scheduler of this host owns\n"
    "\nExamples:\n"
    "  pomelopondctl --admin 10.0.0.1:7300 --key-file operator.key apply note.json\n"
    "  pomelopondctl --admin 10.0.0.1:7300 --key-file operator.key job survey-17\n"
    "\nExit status: 0 accepted or found, 1 refused or failed, 2 usage.\n";

struct Command {
  std::string method;
  std::string path;
  std::string body;
};

// Empty method: the words are not a command.
Command ParseCommand(const std::vector<std::string>& words, const std::string& file) {
  const std::string& name = words[0];
  const bool has_word = words.size() == 2;
  if (name == "release" && !has_word) return {"GET", "/v1/release", {}};
  if (name == "status" && !has_word) return {"GET", "/v1/status", {}};
  if (name == "shards" && !has_word) return {"GET", "/v1/shards", {}};
  if (!has_word) return {};
  if (name == "apply") return {"POST", "/v1/release", file};
  if (name == "submit") return {"POST", "/v1/jobs", file};
  if (name == "job") return {"GET", "/v1/jobs/" + words[1], {}};
  if (name == "cancel") return {"POST", "/v1/jobs/" + words[1] + "/cancel", {}};
  return {};
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

int Send(const Endpoint& admin, const std::string& key, const Command& command) {
  http::InitThreads(2);
  http::HttpClient client(admin);
  http::HttpRequest request;
  request.method = command.method;
  request.path = command.path;
  request.body = command.body;
  request.headers["Authorization"] = "Bearer " + key;
  request.headers["Content-Type"] = "application/json";
  const http::HttpResult result = client.Call(std::move(request), kTimeout);
  if (result.ec) {
    std::cerr << "no answer from " << ToString(admin) << ": " << result.ec.message() << "\n";
    return kExitFailure;
  }
  const Result<Json> document = ParseJson(result.response.body);
  const bool good = result.response.status < 300;
  (good ? std::cout : std::cerr) << (document.ok() ? document.value.dump(2) : result.response.body)
                                 << "\n";
  return good ? kExitOk : kExitFailure;
}

std::string Trimmed(std::string text) {
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) text.pop_back();
  return text;
}

int Run(const cxxopts::ParseResult& args) {
  const auto words = args["command"].as<std::vector<std::string>>();
  const bool takes_file = words[0] == "apply" || words[0] == "submit" || words[0] == "validate";
  std::string file;
  if (takes_file && words.size() == 2) {
    const Result<std::string> text = ReadFile(words[1]);
    if (!text.ok()) {
      std::cerr << "cannot read " << words[1] << "\n";
      return kExitUsage;
    }
    file = text.value;
  }
  if (words[0] == "validate" && words.size() == 2) return Validate(file);
  const Command command = ParseCommand(words, file);
  if (command.method.empty() || args.count("admin") == 0) {
    std::cerr << "a command and --admin ADDRESS:PORT are required; see --help\n";
    return kExitUsage;
  }
  const Result<Endpoint> admin = ParseEndpoint(args["admin"].as<std::string>());
  const Result<std::string> key = ReadFile(args["key-file"].as<std::string>());
  if (!admin.ok() || !key.ok()) {
    std::cerr << "--admin must be an IP address and port, --key-file a readable file\n";
    return kExitUsage;
  }
  return Send(admin.value, Trimmed(key.value), command);
}

int Main(int argc, char** argv) {
  cxxopts::Options options("pomelopondctl", "Operators' command line of pomelopond");
  options.custom_help("[OPTIONS]");
  options.positional_help("COMMAND [ARGUMENT]");
  options.add_options()("admin", "address of a pomelopond-admin", cxxopts::value<std::string>(),
                        "ADDRESS:PORT")(
      "key-file", "file with the access key",
      cxxopts::value<std::string>()->default_value("/etc/pomelopond/operator.key"),
      "FILE")("command", "command and argument", cxxopts::value<std::vector<std::string>>())(
      "version", "print the version and exit")("help", "print this help and exit");
  options.parse_positional("command");
  try {
    const cxxopts::ParseResult args = options.parse(argc, argv);
    if (args.count("help") != 0) {
      std::cout << options.help() << kExamples;
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
