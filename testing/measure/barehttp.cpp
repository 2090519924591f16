/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
/// Baseline for look-up measurements: a libmicrohttpd server on one thread that returns a constant body.
/// usage: saltvane_barehttp IP PORT BODY_BYTES; exits on SIGTERM.

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <microhttpd.h>
#include <netinet/in.h>
#include <string>

namespace {

MHD_Result answer(void* context, MHD_Connection* connection, const char* /*url*/, const char* /*method*/,
    const char* /*version*/, const char* /*uploadData*/, size_t* /*uploadSize*/, void** /*requestContext*/)
{
    auto* body = static_cast<std::string*>(context);
    MHD_Response* response = MHD_create_response_from_buffer(body->size(), body->data(), MHD_RESPMEM_PERSISTENT);
    MHD_add_response_header(response, "Content-Type", "application/json");
    const MHD_Result queued = MHD_queue_response(connection, MHD_HTTP_OK, response);
    MHD_destroy_response(response);
    return queued;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::cerr << "usage: saltvane_barehttp IP PORT BODY_BYTES\n";
        return 2;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigprocmask(SIG_BLOCK, &signals, nullptr);

    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(std::atoi(argv[2])));
    inet_pton(AF_INET, argv[1], &address.sin_addr);
    std::string body(static_cast<size_t>(std::atoi(argv[3])), 'x');
    MHD_Daemon* daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD, 0, nullptr, nullptr, answer, &body,
        MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr*>(&address), MHD_OPTION_END);
    if (!daemon) {
        std::cerr << "saltvane_barehttp: cannot listen\n";
        return 1;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    MHD_stop_daemon(daemon);
    return 0;
}
