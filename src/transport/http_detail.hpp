#pragma once

#include <string>

#include <libwebsockets.h>

#include "cyclamenpost/transport/http.hpp"

namespace cyclamenpost::detail {

/// Callback of libwebsockets for client connections.
auto on_client_event(lws* wsi, lws_callback_reasons reason, void* user, void* in,
                     std::size_t length) -> int;

/// Callback of libwebsockets for adopted TCP descriptors.
auto on_tcp_event(lws* wsi, lws_callback_reasons reason, void* user, void* in, std::size_t length)
    -> int;

/// Callback of libwebsockets for listening descriptors.
auto on_tcp_accept(lws* wsi, lws_callback_reasons reason, void* user, void* in, std::size_t length)
    -> int;

/// Reads a header for which libwebsockets has a token. Returns an empty string when it is absent.
auto known_header(lws* wsi, lws_token_indexes token) -> std::string;

/// Collects the headers that this project uses or forwards.
auto collect_headers(lws* wsi) -> header_list;

} // namespace cyclamenpost::detail
