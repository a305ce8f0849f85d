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

/// A whole request.
using HttpRequest = http::request<http::string_body>;

/// A whole answer.
using HttpResponse = http::response<http::string_body>;

/// Makes a request without a body.
inline HttpRequest makeGet(const std::string &target)
{
    return HttpRequest(http::verb::get, target, 11);
}

/// Makes an answer with a body.
inline HttpResponse makeResponse(http::status status, std::string body, const std::string &contentType)
{
    HttpResponse answer(status, 11);
    answer.set(http::field::content_type, contentType);
    answer.body() = std::move(body);
    return answer;
}

} // namespace zinniadock
