#include "zinniadock/detail/base64.h"

#include <sstream>

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>
#include <Poco/StreamCopier.h>

namespace zinniadock::detail
{

std::string toBase64(const std::string &bytes)
{
    std::ostringstream out;
    Poco::Base64Encoder encoder(out);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return out.str();
}

std::optional<std::string> fromBase64(const std::string &text)
{
    try {
        std::istringstream in(text);
        Poco::Base64Decoder decoder(in);
        std::string bytes;
        Poco::StreamCopier::copyToString(decoder, bytes);
        return bytes;
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
}

} // namespace zinniadock::detail
