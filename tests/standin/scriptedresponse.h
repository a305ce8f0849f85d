#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "functionserver.h"

namespace zinniadock::standin
{

/// How the connection of a ScriptedResponse ends.
enum class ConnectionEnd {
    Fin,
    Reset,
    Crash, ///< the server refuses new connections, then closes the connection with FIN
    Silence, ///< nothing arrives any more, as on a cut link or from a frozen process
    StaysOpen, ///< the server waits for the next request
};

/// The exact bytes of a response and what follows them. Each part is sent by itself. `{id}` in a part stands for the ID
/// of the request.
struct ScriptedResponse
{
    std::vector<std::string> parts;
    ConnectionEnd end = ConnectionEnd::Fin;
};

/// Time between two parts of a ScriptedResponse, and between the last part and a reset, so that they arrive apart.
constexpr std::chrono::milliseconds scriptedPause{ 2 };

/// Sends the parts of a response, then closes the connection if the response ends with FIN or a reset.
void sendScripted(HTTPServerRequest &request, const ScriptedResponse &response);

} // namespace zinniadock::standin
