/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/result.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace saltvane::cli {

struct HttpResponse {
    long status = 0;
    std::string body;
};

/// Why a request got no usable response.
struct ClientError {
    int exitCode = 0; ///< For the process, as in exitcodes.h.
    std::string message;
};

/// Sends requests to the given servers in turn until one succeeds. Where a server names the control leader, the leader
/// is attempted next.
class ControlClient {
public:
    explicit ControlClient(std::vector<std::string> servers);

    /// GET from the first server that responds with success.
    [[nodiscard]] Result<nlohmann::json, ClientError> get(const std::string& path) const;
    /// POST to the control leader. Requests are idempotent, so they are safely sent again if the response is lost.
    [[nodiscard]] Result<nlohmann::json, ClientError> post(const std::string& path, const nlohmann::json& body) const;

private:
    [[nodiscard]] Result<nlohmann::json, ClientError> send(const std::string& path, const std::string* body) const;

    std::vector<std::string> servers_;
};

} // namespace saltvane::cli
