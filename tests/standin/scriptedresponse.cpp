#include "scriptedresponse.h"

#include <thread>

#include <Poco/String.h>

namespace zinniadock::standin
{

void sendScripted(HTTPServerRequest &request, const ScriptedResponse &response)
{
    auto &socket = static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
    const std::string id = request.get("X-Request-Id", "");
    bool isFirst = true;
    for (const std::string &part : response.parts) {
        if (!isFirst) {
            std::this_thread::sleep_for(scriptedPause);
        }
        isFirst = false;
        const std::string bytes = Poco::replace(part, std::string("{id}"), id);
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    }
    if (response.end == ConnectionEnd::Reset) {
        std::this_thread::sleep_for(scriptedPause);
        socket.setLinger(true, 0);
    }
    if (response.end != ConnectionEnd::Silence && response.end != ConnectionEnd::StaysOpen) {
        socket.close();
    }
}

} // namespace zinniadock::standin
