// Replaces the allocation function of a test program with one that fails when a test requests it. Included by one file
// of a program.
#pragma once

#include <cstdlib>
#include <new>

namespace tamarack {

struct failing_allocation {
    std::size_t least_size = 0; // bytes; an allocation of at least this size fails; 0: none
    unsigned    passed = 0;     // so many of them succeed before
};

inline failing_allocation next_failing_allocation; // each fails once

} // namespace tamarack

// Not inlined, since g++ 12 would report the calls of malloc and free as mismatched.
[[gnu::noinline]] void* operator new(std::size_t size) {
    auto& failing = tamarack::next_failing_allocation;
    bool  fails = failing.least_size != 0 && size >= failing.least_size;
    if (fails && failing.passed > 0) {
        --failing.passed;
        fails = false;
    }
    if (fails) failing = {};
    void* memory = fails ? nullptr : std::malloc(size == 0 ? 1 : size);
    if (memory == nullptr) throw std::bad_alloc();
    return memory;
}
[[gnu::noinline]] void operator delete(void* memory) noexcept {
    std::free(memory);
}
[[gnu::noinline]] void operator delete(void* memory, std::size_t /*size*/) noexcept {
    std::free(memory);
}
