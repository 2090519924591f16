/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "saltvane/internal/controlclient.h"

#include "saltvane/internal/exitcodes.h"

#include <algorithm>
#include <chrono>
#include <curl/curl.h>
#include <deque>
#include <memory>
#include <optional>
#include <thread>

namespace saltvane::cli {

namespace {

constexpr long RequestTimeoutMs = 10000;
constexpr long ConnectTimeoutMs = 1000;
constexpr long MaxRedirects = 2;
constexpr int MaxRounds = 5; ///< Passes over the servers; with the pauses they outlast an election (1 to 2 s).
constexpr std::chrono::milliseconds PauseBetweenRounds {500};
constexpr long StatusMisdirected = 421;
constexpr long StatusUnavailable = 503;

size_t appendBody(char* bytes, size_t size, size_t count, void* body)
{
    static_cast<std::string*>(body)->append(bytes, size * count);
    return size * count;
}

std::optional<HttpResponse> sendRequest(const std::string& server, const std::string& path, const std::string* body)
{
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> curl(curl_easy_init(), curl_easy_cleanup);
    const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(
        curl_slist_append(curl_slist_append(nullptr, "Content-Type: application/json"), "Expect:"),
        curl_slist_free_all);
    HttpResponse response;
    const std::string url = "http://" + server + path;
    curl_easy_setopt(curl.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl.get(), CURLOPT_NOPROXY, "*");
    curl_easy_setopt(curl.get(), CURLOPT_TIMEOUT_MS, RequestTimeoutMs);
    curl_easy_setopt(curl.get(), CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMs);
    // Registry hosts redirect orders to the leader.
    curl_easy_setopt(curl.get(), CURLOPT_FOLLOWLOCATION, 1L);
    curl_easy_setopt(curl.get(), CURLOPT_MAXREDIRS, MaxRedirects);
    curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &response.body);
    curl_easy_setopt(curl.get(), CURLOPT_HTTPHEADER, headers.get());
    if (body) {
        curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body->size()));
        curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDS, body->c_str());
    }
    if (curl_easy_perform(curl.get()) != CURLE_OK)
        return std::nullopt;
    curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &response.status);
    return response;
}

std::string leaderAddress(const nlohmann::json& response)
{
    const auto leader = response.find("leader");
    if (leader == response.end() || !leader->is_object())
        return {};
    return leader->value("address", std::string());
}

std::string describeError(const nlohmann::json& response, long status)
{
    std::string text = response.value("error", "HTTP status " + std::to_string(status));
    const std::string message = response.value("message", std::string());
    if (!message.empty())
        text += ": " + message;
    for (const auto& finding : response.value("findings", nlohmann::json::array()))
        text += "\n  " + (finding.is_string() ? finding.get<std::string>() : finding.dump());
    return text;
}

} // namespace

ControlClient::ControlClient(std::vector<std::string> servers)
    : servers_(std::move(servers))
{
}

Result<nlohmann::json, ClientError> ControlClient::get(const std::string& path) const { return send(path, nullptr); }

Result<nlohmann::json, ClientError> ControlClient::post(const std::string& path, const nlohmann::json& body) const
{
    const std::string text = body.dump();
    return send(path, &text);
}

Result<nlohmann::json, ClientError> ControlClient::send(const std::string& path, const std::string* body) const
{
    if (servers_.empty())
        return ClientError {ExitUsage, "no host given: use --server IP:PORT or SALTVANE_SERVERS"};
    ClientError lastError {ExitNoControl, "no host responded"};
    for (int round = 0; round < MaxRounds; ++round) {
        std::deque<std::string> remaining(servers_.begin(), servers_.end());
        std::vector<std::string> attempted;
        while (!remaining.empty()) {
            const std::string server = remaining.front();
            remaining.pop_front();
            if (std::find(attempted.begin(), attempted.end(), server) != attempted.end())
                continue;
            attempted.push_back(server);
            const std::optional<HttpResponse> response = sendRequest(server, path, body);
            if (!response)
                continue;
            const nlohmann::json json = nlohmann::json::parse(response->body, nullptr, false);
            if (!json.is_object() && !json.is_array()) {
                lastError = {ExitNoControl, server + " returned a response that is not JSON"};
                continue;
            }
            if (response->status >= 200 && response->status < 300)
                return json;
            if (response->status == StatusMisdirected && !leaderAddress(json).empty()) {
                remaining.push_front(leaderAddress(json));
                continue;
            }
            if (response->status != StatusUnavailable && response->status != StatusMisdirected)
                return ClientError {ExitRefused, describeError(json, response->status)};
            lastError = {ExitNoControl, server + ": " + describeError(json, response->status)};
        }
        std::this_thread::sleep_for(PauseBetweenRounds);
    }
    return lastError;
}

} // namespace saltvane::cli
