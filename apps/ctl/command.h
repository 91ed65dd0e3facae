// The operators' commands and the calls they make.
#ifndef POMELOPOND_APPS_CTL_COMMAND_H_
#define POMELOPOND_APPS_CTL_COMMAND_H_

#include <string>
#include <vector>

#include "base/json.h"
#include "http/http_message.h"

namespace pomelopond::apps {

// One call to an admin; an empty method means that the words are not a command.
struct Command {
  std::string method;
  std::string path;
  std::string body;
};

// Names of all commands with one line of help each.
struct CommandHelp {
  const char* usage;
  const char* text;
};
const std::vector<CommandHelp>& CommandHelps();

// True when the second word is a file to read.
bool TakesFile(const std::string& name);

// `file` holds the contents of the file for commands that take one. `version` is the release in
// force, which notes made by drain and restore are based on.
Command ParseCommand(const std::vector<std::string>& words, const std::string& file,
                     int64_t version);

// True for commands that need `version`.
bool NeedsVersion(const std::string& name);

// The answer as a table for a terminal; other answers as indented JSON.
std::string FormatAnswer(const std::string& name, const Json& answer);

// Exit status by result class: 0 done; 3 bad input, 4 refused, 5 conflict, 6 outcome unknown, 7
// store, 8 internal, 9 access.
int ExitStatusOf(const http::HttpResponse& response);

}  // namespace pomelopond::apps

#endif  // POMELOPOND_APPS_CTL_COMMAND_H_
