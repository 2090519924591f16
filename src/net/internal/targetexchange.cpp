/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/targetexchange.h"

#include "base/monotonicclock.h"
#include "net/internal/requestframing.h"
#include "net/internal/socketaddress.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>

namespace saltvane::net {

namespace {

// Buffers of each transfer in flight.
constexpr long ReceiveBufferBytes = 16 * 1024;
constexpr long SendBufferBytes = 16 * 1024;
constexpr size_t MaxTrailerBytes = 16 * 1024;
constexpr int StatusTimeout = 408;

/// Request headers that are not forwarded: this class sets them from the request's framing, or omits them.
constexpr std::array<std::string_view, 4> ReservedHeaders {
    "Content-Length", "Transfer-Encoding", "Expect", "Connection"};

bool isReservedHeader(std::string_view name)
{
    return std::any_of(ReservedHeaders.begin(), ReservedHeaders.end(),
        [name](std::string_view reserved) { return equalsIgnoringCase(name, reserved); });
}

bool hasHeader(const std::vector<model::Header>& headers, std::string_view name)
{
    return std::any_of(headers.begin(), headers.end(),
        [name](const model::Header& header) { return equalsIgnoringCase(header.name, name); });
}

curl_slist* lastOf(curl_slist* list)
{
    while (list->next != nullptr)
        list = list->next;
    return list;
}

} // namespace

TargetExchange::TargetExchange(Options options, CURL* transfer)
    : options_(std::move(options))
    , transfer_(transfer)
    , url_("http://" + describe(options_.start.address) + "/")
    , head_(options_.start.method == "HEAD")
{
}

TargetExchange::~TargetExchange()
{
    if (transfer_ != nullptr)
        curl_easy_cleanup(releaseTransfer());
}

CURL* TargetExchange::releaseTransfer()
{
    if (isInTransfer_)
        options_.curl.remove(transfer_);
    isInTransfer_ = false;
    curl_easy_reset(transfer_);
    curl_slist_free_all(headerLines_);
    headerLines_ = nullptr;
    return std::exchange(transfer_, nullptr);
}

bool TargetExchange::isSendable() const
{
    const requests::TargetStart& request = options_.start;
    if (!isToken(request.method) || !isRequestTarget(request.path) || !SocketAddress::from(request.address))
        return false;
    return std::all_of(request.headers.begin(), request.headers.end(),
        [](const model::Header& header) { return isToken(header.name) && isFieldValue(header.value); });
}

bool TargetExchange::start()
{
    if (!isSendable())
        return false;
    setOptions();
    setMethod();
    addHeaders();
    isInTransfer_ = options_.curl.add(transfer_);
    return isInTransfer_;
}

void TargetExchange::setOptions()
{
    const auto connectMs = std::chrono::duration_cast<std::chrono::milliseconds>(options_.connectTimeout).count();
    curl_easy_setopt(transfer_, CURLOPT_PRIVATE, this);
    curl_easy_setopt(transfer_, CURLOPT_URL, url_.c_str());
    curl_easy_setopt(transfer_, CURLOPT_REQUEST_TARGET, options_.start.path.c_str());
    curl_easy_setopt(transfer_, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(transfer_, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(transfer_, CURLOPT_HTTP09_ALLOWED, 0L);
    curl_easy_setopt(transfer_, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(transfer_, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(transfer_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(transfer_, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connectMs));
    curl_easy_setopt(transfer_, CURLOPT_BUFFERSIZE, ReceiveBufferBytes);
    curl_easy_setopt(transfer_, CURLOPT_UPLOAD_BUFFERSIZE, SendBufferBytes);
    if (needsExclusiveConnection())
        setExclusiveConnection();
    else if (options_.start.needsNewConnection)
        curl_easy_setopt(transfer_, CURLOPT_FRESH_CONNECT, 1L);
    else if (options_.start.maxReuseIdleTime > Duration::zero())
        setMaxReuseIdleTime();
    curl_easy_setopt(transfer_, CURLOPT_SOCKOPTFUNCTION, &TargetExchange::onSocketMade);
    curl_easy_setopt(transfer_, CURLOPT_SOCKOPTDATA, this);
    curl_easy_setopt(transfer_, CURLOPT_CLOSESOCKETFUNCTION, &TargetExchange::onSocketClosing);
    // The connection may outlive this exchange.
    curl_easy_setopt(transfer_, CURLOPT_CLOSESOCKETDATA, &options_.connections);
    curl_easy_setopt(transfer_, CURLOPT_HEADERFUNCTION, &TargetExchange::onHeader);
    curl_easy_setopt(transfer_, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(transfer_, CURLOPT_WRITEFUNCTION, &TargetExchange::onBody);
    curl_easy_setopt(transfer_, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(transfer_, CURLOPT_READFUNCTION, &TargetExchange::onRead);
    curl_easy_setopt(transfer_, CURLOPT_READDATA, this);
    curl_easy_setopt(transfer_, CURLOPT_PREREQFUNCTION, &TargetExchange::onReady);
    curl_easy_setopt(transfer_, CURLOPT_PREREQDATA, this);
}

bool TargetExchange::needsExclusiveConnection() const
{
    const requests::TargetStart& request = options_.start;
    const bool isReusable = request.isRepeatable || request.maxReuseIdleTime > Duration::zero();
    return request.needsExclusiveConnection || !isNamed() || !isReusable;
}

void TargetExchange::setMaxReuseIdleTime()
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(options_.start.maxReuseIdleTime).count();
    curl_easy_setopt(transfer_, CURLOPT_MAXAGE_CONN, static_cast<long>(seconds));
}

void TargetExchange::setExclusiveConnection()
{
    // Pooling connections that are used once would exceed the connections that a target accepts, and closing each
    // normally would exhaust the local ports (TIME_WAIT). They are closed with a reset after the complete response.
    curl_easy_setopt(transfer_, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(transfer_, CURLOPT_FORBID_REUSE, 1L);
}

int TargetExchange::onSocketMade(void* exchange, curl_socket_t fd, curlsocktype /*purpose*/)
{
    auto& self = *static_cast<TargetExchange*>(exchange);
    self.newSocket_ = fd;
    if (self.needsExclusiveConnection())
        setResetOnClose(fd);
    const int receiveBufferBytes = self.options_.receiveBufferBytes;
    if (receiveBufferBytes > 0)
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
    return CURL_SOCKOPT_OK;
}

int TargetExchange::onSocketClosing(void* connections, curl_socket_t fd)
{
    return static_cast<TargetConnections*>(connections)->close(fd);
}

void TargetExchange::setMethod()
{
    const requests::TargetStart& request = options_.start;
    const bool hasBody = request.bodyLength != 0;
    if (hasBody) {
        const auto size = request.bodyLength ? static_cast<curl_off_t>(*request.bodyLength) : curl_off_t {-1};
        curl_easy_setopt(transfer_, CURLOPT_UPLOAD, 1L);
        curl_easy_setopt(transfer_, CURLOPT_INFILESIZE_LARGE, size);
    } else if (request.method == "HEAD") {
        curl_easy_setopt(transfer_, CURLOPT_NOBODY, 1L);
    } else {
        curl_easy_setopt(transfer_, CURLOPT_HTTPGET, 1L);
    }
    curl_easy_setopt(transfer_, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

void TargetExchange::addHeader(const std::string& line)
{
    headerLines_ = curl_slist_append(headerLines_, line.c_str());
}

void TargetExchange::addHeaders()
{
    const requests::TargetStart& request = options_.start;
    for (const model::Header& header : request.headers) {
        if (isReservedHeader(header.name))
            continue;
        // libcurl expects "Name;" for an empty value; "Name:" would remove the header.
        addHeader(header.value.empty() ? header.name + ";" : header.name + ": " + header.value);
        if (!request.deadlineHeader.empty() && equalsIgnoringCase(header.name, request.deadlineHeader))
            deadlineLine_ = lastOf(headerLines_);
    }
    addHeader("Expect:");
    if (needsExclusiveConnection())
        addHeader("Connection: close");
    if (!hasHeader(request.headers, "Accept"))
        addHeader("Accept:");
    const bool needsZeroLength = request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    if (request.bodyLength == 0 && needsZeroLength)
        addHeader("Content-Length: 0");
    curl_easy_setopt(transfer_, CURLOPT_HTTPHEADER, headerLines_);
}

void TargetExchange::updateDeadlineLine()
{
    if (deadlineLine_ == nullptr)
        return;
    const auto left = std::chrono::floor<std::chrono::milliseconds>(options_.start.deadline - monotonicNow()).count();
    const std::string line = options_.start.deadlineHeader + ": " + std::to_string(std::max<int64_t>(left, 1));
    // The time only gets shorter, so the line fits into the memory of the one that it replaces.
    if (line.size() <= std::strlen(deadlineLine_->data))
        std::memcpy(deadlineLine_->data, line.c_str(), line.size() + 1);
}

int TargetExchange::onReady(void* exchange, char* /*remoteIp*/, char* /*localIp*/, int /*remotePort*/, int localPort)
{
    auto& self = *static_cast<TargetExchange*>(exchange);
    if (self.hasConnected_) {
        // libcurl is about to retry the request on another connection.
        self.failure_ = "connection closed without a response";
        return CURL_PREREQFUNC_ABORT;
    }
    if (!self.useConnection(localPort))
        return CURL_PREREQFUNC_ABORT;
    if (self.options_.recheck)
        self.withheldFor_ = self.options_.recheck(self.options_.start);
    if (self.withheldFor_ != model::Reason::None) {
        self.failure_ = "withheld before its first byte";
        return CURL_PREREQFUNC_ABORT;
    }
    self.connection_.earlierRequests = self.options_.connections.recordRequest(self.connectionKey());
    self.updateDeadlineLine();
    self.hasConnected_ = true;
    return CURL_PREREQFUNC_OK;
}

TargetConnections::Key TargetExchange::connectionKey() const
{
    return {.target = options_.start.address, .localPort = connection_.localPort};
}

bool TargetExchange::useConnection(int localPort)
{
    connection_ = {.localPort = localPort};
    if (newSocket_)
        options_.connections.add(connectionKey(), *newSocket_);
    head_.setFollowsOthers(!newSocket_);
    // libcurl takes a connection with unread bytes for a usable one and would read them as the response.
    const TargetConnections::Input input = options_.connections.pendingInput(connectionKey());
    hasSurplus_ = hasSurplus_ || input == TargetConnections::Input::Bytes;
    const bool isExpiring = options_.connections.isExpiring(connectionKey(), monotonicNow());
    if (input == TargetConnections::Input::None && !isExpiring)
        return true;
    mustReconnect_ = !newSocket_;
    failure_ = input == TargetConnections::Input::Bytes ? "bytes arrived before the request was sent"
                                                        : "connection closed before the request was sent";
    return false;
}

void TargetExchange::reconnect()
{
    mustReconnect_ = false;
    failure_.clear();
    connection_ = {};
    curl_easy_setopt(transfer_, CURLOPT_FRESH_CONNECT, 1L);
    isInTransfer_ = options_.curl.add(transfer_);
    if (!isInTransfer_)
        fail("transfer not started");
}

size_t TargetExchange::onHeader(char* data, size_t size, size_t count, void* exchange)
{
    auto& self = *static_cast<TargetExchange*>(exchange);
    return self.handleHeadLine({data, size * count}) ? size * count : 0;
}

bool TargetExchange::handleHeadLine(std::string_view line)
{
    if (head_.state() == ResponseHead::State::Complete)
        return handleTrailerLine(line);
    const ResponseHead::State state = head_.addLine(line);
    const bool isComplete = state == ResponseHead::State::Complete;
    if (state == ResponseHead::State::Bad || (isComplete && !isOwnResponse())) {
        // The failed transfer makes libcurl close the connection. If it stayed open, every later request on it would
        // receive the response of the previous one.
        failure_ = isComplete ? "answer of another request" : head_.error();
        const bool isSurplus = isComplete ? !isIdleTimeout() : head_.isOutOfStep();
        hasSurplus_ = hasSurplus_ || (!newSocket_ && isSurplus);
        return false;
    }
    if (isComplete) {
        // libcurl may choose the connection for another transfer before it reports the end of this one.
        recordResponse();
        options_.emit(requests::TargetResponseHead {.dispatch = options_.start.dispatch,
            .status = head_.status(),
            .headers = std::move(head_.headers()),
            .bodyLength = head_.bodyLength(),
            .isNewConnection = newSocket_.has_value(),
            .connection = connection_,
            .hasSurplus = hasSurplus_});
    }
    return true;
}

void TargetExchange::recordResponse()
{
    options_.connections.recordResponse(connectionKey(), head_.keptTime(), monotonicNow());
}

/// Trailers are not forwarded, but libcurl stores them until the transfer ends.
bool TargetExchange::handleTrailerLine(std::string_view line)
{
    trailerBytes_ += line.size();
    if (trailerBytes_ <= MaxTrailerBytes)
        return true;
    failure_ = "trailers too large";
    return false;
}

std::string_view TargetExchange::requestId() const
{
    const requests::TargetStart& request = options_.start;
    const auto sent = std::ranges::find_if(request.headers,
        [&](const model::Header& header) { return equalsIgnoringCase(header.name, request.echoedHeader); });
    return sent == request.headers.end() ? std::string_view() : std::string_view(sent->value);
}

bool TargetExchange::isOwnResponse()
{
    if (newSocket_ && !isNamed())
        return true; // The connection carries no other request.
    bool isEchoed = false;
    for (const model::Header& header : head_.headers()) {
        if (!equalsIgnoringCase(header.name, options_.start.echoedHeader))
            continue;
        if (header.value != requestId())
            return false;
        isEchoed = true;
    }
    return isEchoed || newSocket_;
}

bool TargetExchange::isIdleTimeout()
{
    return head_.status() == StatusTimeout && !hasHeader(head_.headers(), options_.start.echoedHeader);
}

size_t TargetExchange::onBody(char* data, size_t size, size_t count, void* exchange)
{
    return static_cast<TargetExchange*>(exchange)->receiveBody({data, size * count});
}

size_t TargetExchange::receiveBody(std::string_view bytes)
{
    if (window_ == 0 || !buffered_.empty()) {
        isReceivePaused_ = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    const size_t now = std::min<uint64_t>(bytes.size(), window_);
    buffered_.assign(bytes.substr(now));
    emitBody(bytes.substr(0, now));
    return bytes.size();
}

void TargetExchange::emitBody(std::string_view bytes)
{
    if (bytes.empty())
        return;
    window_ -= bytes.size();
    options_.emit(requests::TargetResponseBody {.dispatch = options_.start.dispatch, .bytes = std::string(bytes)});
}

void TargetExchange::widenWindow(uint64_t bytes)
{
    window_ += bytes;
    const size_t now = std::min<uint64_t>(buffered_.size(), window_);
    const std::string buffered = std::exchange(buffered_, buffered_.substr(now));
    emitBody(std::string_view(buffered).substr(0, now));
    if (isResponseComplete_ && buffered_.empty())
        return emitDone();
    if (!isReceivePaused_ || !buffered_.empty() || window_ == 0)
        return;
    isReceivePaused_ = false;
    applyPauses();
}

void TargetExchange::addRequestBody(SharedBytes bytes, bool isLast)
{
    requestBytes_ += bytes.size();
    if (!bytes.empty())
        requestBody_.push_back(std::move(bytes));
    isRequestComplete_ = isRequestComplete_ || isLast;
    resumeSending();
}

void TargetExchange::resumeSending()
{
    if (!isSendPaused_)
        return;
    isSendPaused_ = false;
    applyPauses();
}

void TargetExchange::applyPauses()
{
    if (!isInTransfer_)
        return;
    const int receiving = isReceivePaused_ ? CURLPAUSE_RECV : CURLPAUSE_RECV_CONT;
    const int sending = isSendPaused_ ? CURLPAUSE_SEND : CURLPAUSE_SEND_CONT;
    curl_easy_pause(transfer_, receiving | sending);
}

size_t TargetExchange::onRead(char* buffer, size_t size, size_t count, void* exchange)
{
    return static_cast<TargetExchange*>(exchange)->readBody(buffer, size * count);
}

size_t TargetExchange::readBody(char* buffer, size_t capacity)
{
    const auto& length = options_.start.bodyLength;
    const bool isTooLong = length && requestSent_ + requestBytes_ > *length;
    const bool isTooShort = length && requestBytes_ == 0 && isRequestComplete_ && requestSent_ < *length;
    if (isTooLong || isTooShort) {
        failure_ = "request body does not match its declared length";
        return CURL_READFUNC_ABORT;
    }
    if (requestBytes_ == 0 && !isRequestComplete_) {
        isSendPaused_ = true;
        return CURL_READFUNC_PAUSE;
    }
    const size_t count = takeRequestBody(buffer, capacity);
    requestBytes_ -= count;
    requestSent_ += count;
    if (count > 0)
        options_.emit(requests::TargetRequestProgress {.dispatch = options_.start.dispatch, .bytes = count});
    return count;
}

size_t TargetExchange::takeRequestBody(char* buffer, size_t capacity)
{
    size_t taken = 0;
    while (taken < capacity && !requestBody_.empty()) {
        SharedBytes& part = requestBody_.front();
        const std::string_view unsent = part.block(requestBlock_).substr(requestOffset_);
        const size_t count = std::min(capacity - taken, unsent.size());
        std::memcpy(buffer + taken, unsent.data(), count);
        taken += count;
        requestOffset_ += count;
        if (count < unsent.size())
            break;
        part.releaseBlock(requestBlock_++);
        requestOffset_ = 0;
        if (requestBlock_ < part.blockCount())
            continue;
        requestBody_.pop_front();
        requestBlock_ = 0;
    }
    return taken;
}

void TargetExchange::end(CURLcode code)
{
    isInTransfer_ = false;
    if (mustReconnect_)
        return reconnect();
    if (code != CURLE_OK)
        return fail(failure_.empty() ? curl_easy_strerror(code) : failure_, isConnectionRefused(code));
    if (head_.state() != ResponseHead::State::Complete)
        return fail("incomplete response head");
    recordResponse();
    isResponseComplete_ = true;
    if (buffered_.empty())
        emitDone();
}

void TargetExchange::emitDone() { options_.emit(requests::TargetResponseDone {.dispatch = options_.start.dispatch}); }

bool TargetExchange::isConnectionRefused(CURLcode code) const
{
    long systemError = 0;
    curl_easy_getinfo(transfer_, CURLINFO_OS_ERRNO, &systemError);
    return code == CURLE_COULDNT_CONNECT && systemError == ECONNREFUSED;
}

void TargetExchange::fail(std::string message, bool isRefused)
{
    options_.emit(requests::TargetFailed {.dispatch = options_.start.dispatch,
        .mayHaveReachedTarget = hasConnected_,
        .message = std::move(message),
        .connection = connection_,
        .hasSurplus = hasSurplus_,
        .isRefused = isRefused,
        .withheldFor = withheldFor_});
}

} // namespace saltvane::net
