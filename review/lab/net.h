// HTTP/1.1 over loopback for the stand-ins of the third review: a server with one thread for each
// connection, and a blocking call.
#ifndef POMELOPOND_REVIEW_LAB_NET_H_
#define POMELOPOND_REVIEW_LAB_NET_H_

#include <functional>
#include <map>
#include <string>

namespace pomelopond::lab {

struct Request {
  std::string method;
  std::string path;                            // with its query
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

struct Response {
  int status = 0;  // 0: none; of a server: the connection is closed without a response
  std::string body;
  std::map<std::string, std::string> headers;
};

using Handler = std::function<Response(const Request&)>;

// Listens until the program ends. The handler runs on the connection's thread and may block.
// Returns the port, or 0 if the address cannot be used. `port` 0 picks a free one.
int Serve(const std::string& address, int port, Handler handler);

// A port that is free on the address now.
int FreePort(const std::string& address);

// Connects; returns the socket or -1.
int Connect(const std::string& address, int port);

// Sends one request on a connection of its own. Status 0: no complete response in time.
Response Call(const std::string& address, int port, const Request& request, int timeout_ms);

// The bytes of a request as Call() sends them.
std::string RequestBytes(const Request& request);

// The value of a query parameter, percent-decoded.
std::string QueryOf(const Request& request, const std::string& name);

// The path without its query.
std::string PathOf(const Request& request);

}  // namespace pomelopond::lab

#endif  // POMELOPOND_REVIEW_LAB_NET_H_
