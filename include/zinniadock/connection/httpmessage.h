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

/// Makes a POST request with a body.
inline HttpRequest makePost(const std::string &target, std::string body)
{
    HttpRequest request(http::verb::post, target, 11);
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

/// Makes a POST request with a body in JSON.
inline HttpRequest makeJsonPost(const std::string &target, std::string json)
{
    HttpRequest request = makePost(target, std::move(json));
    request.set(http::field::content_type, "application/json");
    return request;
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
