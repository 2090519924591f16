/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/finding.h"
#include "control/controltypes.h"
#include "model/requestmessages.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace saltvane::host {

/// One decoded `name=value` pair of a query.
struct QueryParameter {
    std::string name;
    std::string value;
};

/// A complete request to the host's own HTTP API.
struct ApiRequest {
    std::string method;
    std::string path; ///< Without the query.
    std::vector<QueryParameter> query;
    std::vector<model::Header> headers;
    std::string body;
    std::string remoteAddress;

    [[nodiscard]] std::optional<std::string_view> header(
        std::string_view name) const; ///< Ignores the case of the name.
};

/// A response of the API; the body is JSON.
struct ApiResponse {
    int status = 200;
    std::string body;
    std::vector<model::Header> headers; ///< In addition to the content type.
};

/// The response follows once the control replica has processed the submission.
struct ApiPending {
    control::SubmissionId submission;
};

using ApiResult = std::variant<ApiResponse, ApiPending>;

/// Decodes the query of a path; empty without a query, no value where a percent escape is invalid.
[[nodiscard]] std::optional<std::vector<QueryParameter>> parseQuery(std::string_view pathWithQuery);
[[nodiscard]] std::string_view withoutQuery(std::string_view pathWithQuery);

[[nodiscard]] ApiResponse makeResponse(int status, const nlohmann::ordered_json& body);
/// {"error": ..., "field": ..., "message": ...}; an empty field or message is omitted.
[[nodiscard]] ApiResponse makeError(
    int status, std::string_view error, std::string_view field = {}, std::string_view message = {});
/// An error with the first finding's field and message, and a list of all findings.
[[nodiscard]] ApiResponse makeError(int status, std::string_view error, std::span<const Finding> findings);

} // namespace saltvane::host
