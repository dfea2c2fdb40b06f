#include "capacity/heap.h"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <ctime>
#include <new>

namespace {

std::atomic<std::uint64_t> live_bytes{0};

}  // namespace

void* operator new(std::size_t size) {
    void* const block = std::malloc(size == 0 ? 1 : size);
    if (block == nullptr) {
        throw std::bad_alloc{};
    }
    live_bytes.fetch_add(malloc_usable_size(block), std::memory_order_relaxed);
    return block;
}

void operator delete(void* block) noexcept {
    if (block != nullptr) {
        live_bytes.fetch_sub(malloc_usable_size(block), std::memory_order_relaxed);
        std::free(block);
    }
}

void operator delete(void* block, std::size_t) noexcept {
    operator delete(block);
}

namespace poplarfront::capacity {

std::uint64_t heap_bytes() {
    return live_bytes.load(std::memory_order_relaxed);
}

double processor_seconds() {
    constexpr double nanosecond = 1e-9;
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * nanosecond;
}

}  // namespace poplarfront::capacity
