/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/inetadapters.h"

#include "net/internal/datafolder.h"
#include "net/internal/diskcalls.h"
#include "net/internal/httpserver.h"
#include "net/internal/linkhub.h"
#include "net/internal/targetclient.h"

#include <curl/curl.h>
#include <sodium.h>

namespace saltvane::net {

Result<std::unique_ptr<IHttpServer>, IoError> makeHttpServer(HttpServerOptions options)
{
    auto server = std::make_unique<HttpServer>(std::move(options));
    const auto started = server->start();
    if (!started)
        return started.error();
    return std::unique_ptr<IHttpServer>(std::move(server));
}

Result<std::unique_ptr<ITargetClient>, IoError> makeTargetClient(TargetClientOptions options)
{
    const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (code != CURLE_OK)
        return IoError {.location = "libcurl", .message = curl_easy_strerror(code), .code = code};
    return std::unique_ptr<ITargetClient>(std::make_unique<TargetClient>(std::move(options)));
}

Result<std::unique_ptr<ILinkHub>, IoError> makeLinkHub(LinkHubOptions options)
{
    if (sodium_init() < 0)
        return IoError {.location = "libsodium", .message = "no random numbers"};
    auto hub = std::make_unique<LinkHub>(std::move(options));
    const auto started = hub->start();
    if (!started)
        return started.error();
    return std::unique_ptr<ILinkHub>(std::move(hub));
}

Result<std::unique_ptr<IDataFolder>, IoError> openDataFolder(const std::string& path)
{
    static DiskCalls disk; // Stateless.
    if (sodium_init() < 0)
        return IoError {.location = "libsodium", .message = "no random numbers"};
    auto folder = std::make_unique<DataFolder>(path, disk);
    const auto opened = folder->open();
    if (!opened)
        return opened.error();
    return std::unique_ptr<IDataFolder>(std::move(folder));
}

} // namespace saltvane::net
