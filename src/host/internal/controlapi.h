/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/internal/apitypes.h"
#include "host/internal/hostmodules.h"

namespace saltvane::host {

/// The operators' endpoints under /v1/control, on control hosts (docs/BUNDLES.md).
class ControlApi {
public:
    /// `modules` must outlive the object.
    explicit ControlApi(HostModules& modules);

    [[nodiscard]] ApiResult propose(const ApiRequest& request, Timestamp now);
    [[nodiscard]] ApiResult approve(const ApiRequest& request, Timestamp now);
    [[nodiscard]] ApiResult revert(const ApiRequest& request, Timestamp now);
    [[nodiscard]] ApiResult listBundles(const ApiRequest& request, Timestamp now);
    [[nodiscard]] ApiResult showBundle(const ApiRequest& request, Timestamp now);
    [[nodiscard]] ApiResult listReplicas(const ApiRequest& request, Timestamp now);
    /// The HTTP response to a command that was submitted earlier.
    [[nodiscard]] ApiResponse answer(const control::SubmissionAnswer& answer);

private:
    using Reader = control::Command (ControlApi::*)(const nlohmann::json& body, Findings& findings) const;
    [[nodiscard]] ApiResult submit(const ApiRequest& request, Reader read, Timestamp now);
    [[nodiscard]] control::Command readProposal(const nlohmann::json& body, Findings& findings) const;
    [[nodiscard]] control::Command readApproval(const nlohmann::json& body, Findings& findings) const;
    [[nodiscard]] control::Command readRevert(const nlohmann::json& body, Findings& findings) const;
    /// An error response unless this host can prove that its state is current.
    [[nodiscard]] std::optional<ApiResponse> refuseUnlessCurrent(Timestamp now);
    [[nodiscard]] ApiResponse answerError(const control::ControlError& error);
    [[nodiscard]] ApiResponse answerNotControl(Timestamp now) const;
    [[nodiscard]] nlohmann::ordered_json hostJson(const HostId& host) const;

    HostModules& modules_;
};

} // namespace saltvane::host
