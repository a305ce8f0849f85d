#pragma once

#include <string>
#include <utility> // Boost.Asio 1.74 uses std::exchange without it

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/verb.hpp>

namespace zinniadock
{

namespace http = boost::beast::http;

/// An HTTP request with its whole body.
using HttpRequest = http::request<http::string_body>;

/// An HTTP response with its whole body.
using HttpResponse = http::response<http::string_body>;

/// Makes a GET request.
inline HttpRequest makeGet(const std::string &target)
{
    return HttpRequest(http::verb::get, target, 11);
}

/// Makes a response with a body.
inline HttpResponse makeResponse(http::status status, std::string body, const std::string &contentType)
{
    HttpResponse response(status, 11);
    response.set(http::field::content_type, contentType);
    response.body() = std::move(body);
    return response;
}

} // namespace zinniadock
