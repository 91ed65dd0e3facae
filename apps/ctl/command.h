// The operators' commands: parsing, the HTTP calls they make, and the output of the answers.
#ifndef POMELOPOND_APPS_CTL_COMMAND_H_
#define POMELOPOND_APPS_CTL_COMMAND_H_

#include <string>
#include <vector>

#include "base/json.h"
#include "http/http_message.h"

namespace pomelopond::apps {

// One HTTP call to an admin. An empty method means that the words do not form a valid command.
struct Command {
  std::string method;
  std::string path;
  std::string body;
};

// The usage of one command and one line of help.
struct CommandHelp {
  const char* usage;
  const char* text;
};
const std::vector<CommandHelp>& CommandHelps();

// Returns true if the command's second word is the name of a file to read.
bool TakesFile(const std::string& name);

// Translates a command into a call. `file` holds the contents of the file for commands that take
// one. `version` is the version of the release in force, the base of the notes that drain and
// restore create.
Command ParseCommand(const std::vector<std::string>& words, const std::string& file,
                     int64_t version);

// Returns true if the command requires the `version` argument of ParseCommand().
bool NeedsVersion(const std::string& name);

// Formats the answer as a table for a terminal, or as indented JSON if the command has no table.
std::string FormatAnswer(const std::string& name, const Json& answer);

// Returns the exit status for the result class of the answer: 0 done; 3 bad input, 4 refused, 5
// conflict, 6 outcome unknown, 7 store, 8 internal, 9 access.
int ExitStatusOf(const http::HttpResponse& response);

}  // namespace pomelopond::apps

#endif  // POMELOPOND_APPS_CTL_COMMAND_H_
