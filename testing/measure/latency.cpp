/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
/// Measures the latency that a proxied path adds: requests two URLs alternately, each on its own connection, and prints
/// the median and 99th percentile of the direct path and what the other path adds to them, in microseconds.
/// usage: saltvane_latency COUNT DIRECT_URL VIA_URL SERVICE

#include <algorithm>
#include <array>
#include <chrono>
#include <curl/curl.h>
#include <iostream>
#include <string>
#include <vector>

namespace {

size_t discard(char* /*bytes*/, size_t size, size_t count, void* /*context*/) { return size * count; }

struct Endpoint {
    CURL* curl = nullptr;
    std::vector<double> microseconds;
    size_t failures = 0;
};

void call(Endpoint& endpoint)
{
    const auto start = std::chrono::steady_clock::now();
    const CURLcode result = curl_easy_perform(endpoint.curl);
    const std::chrono::duration<double, std::micro> duration = std::chrono::steady_clock::now() - start;
    long status = 0;
    curl_easy_getinfo(endpoint.curl, CURLINFO_RESPONSE_CODE, &status);
    if (result != CURLE_OK || status != 200)
        ++endpoint.failures;
    else
        endpoint.microseconds.push_back(duration.count());
}

double percentile(std::vector<double>& values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<size_t>(fraction * static_cast<double>(values.size() - 1))];
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 5) {
        std::cerr << "usage: saltvane_latency COUNT DIRECT_URL VIA_URL SERVICE\n";
        return 2;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const std::string header = std::string("Saltvane-Service: ") + argv[4];
    curl_slist* headers = curl_slist_append(nullptr, header.c_str());
    std::array<Endpoint, 2> endpoints;
    for (size_t index = 0; index < endpoints.size(); ++index) {
        CURL* curl = curl_easy_init();
        curl_easy_setopt(curl, CURLOPT_URL, argv[2 + index]);
        curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
        curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard);
        curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 5000L);
        endpoints[index].curl = curl;
    }
    const long count = std::stol(argv[1]);
    for (long round = 0; round < count; ++round) {
        for (Endpoint& endpoint : endpoints)
            call(endpoint);
    }
    const double directMedian = percentile(endpoints[0].microseconds, 0.5);
    const double directTail = percentile(endpoints[0].microseconds, 0.99);
    std::cout << "request_direct_p50_us " << directMedian << " us\n"
              << "request_direct_p99_us " << directTail << " us\n"
              << "request_added_p50_us " << percentile(endpoints[1].microseconds, 0.5) - directMedian << " us\n"
              << "request_added_p99_us " << percentile(endpoints[1].microseconds, 0.99) - directTail << " us\n"
              << "request_failures " << endpoints[0].failures + endpoints[1].failures << " count\n";
    for (Endpoint& endpoint : endpoints)
        curl_easy_cleanup(endpoint.curl);
    curl_slist_free_all(headers);
    return 0;
}
