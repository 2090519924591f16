/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/requestmessages.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace saltvane::net {

/// Parses the head of a target's response line by line. Heads of interim responses (1xx) are skipped.
class ResponseHead {
public:
    enum class State {
        Reading,
        Complete, ///< The final head is complete; later lines are trailers and are ignored.
        Bad ///< error() says why.
    };

    explicit ResponseHead(bool isResponseToHead)
        : isResponseToHead_(isResponseToHead)
    {
    }

    /// Whether the connection has carried earlier responses, so that the first bytes may be the rest of one.
    void setFollowsOthers(bool followsOthers) { followsOthers_ = followsOthers; }
    /// Adds one line as received, with its line ending.
    [[nodiscard]] State addLine(std::string_view line);
    [[nodiscard]] State state() const { return state_; }
    [[nodiscard]] const std::string& error() const { return error_; }
    /// Bad, since it does not begin as a response does or contains the beginning of another one.
    [[nodiscard]] bool isOutOfStep() const { return isOutOfStep_; }
    [[nodiscard]] int status() const { return status_; }
    [[nodiscard]] std::vector<model::Header>& headers() { return headers_; }
    /// Bytes of the body that follows; 0 for a response without body (HEAD, 204, 304). No value: chunked.
    [[nodiscard]] std::optional<uint64_t> bodyLength() const { return bodyLength_; }
    /// For how long the target keeps the connection after this response, as the complete head names it
    /// (`Keep-Alive: timeout=5`); the shortest if it names several. 0: not at all. No value: it names none; a malformed
    /// time counts for nothing.
    [[nodiscard]] std::optional<std::chrono::seconds> keptTime() const { return keptTime_; }

private:
    [[nodiscard]] State fail(std::string error);
    [[nodiscard]] State failOutOfStep(std::string_view error, std::string_view line);
    [[nodiscard]] State startHead(std::string_view statusLine);
    [[nodiscard]] State addField(std::string_view line);
    [[nodiscard]] State finish();
    [[nodiscard]] bool hasNoBody() const;
    void readKeptTime(std::string_view keepAlive);

    bool isResponseToHead_;
    bool followsOthers_ = false;
    bool isOutOfStep_ = false;
    State state_ = State::Reading;
    std::string error_;
    int status_ = 0;
    size_t size_ = 0;
    std::vector<model::Header> headers_;
    std::optional<uint64_t> bodyLength_;
    std::optional<std::chrono::seconds> keptTime_;
};

} // namespace saltvane::net
