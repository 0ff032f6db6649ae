// The file tamarack-entry itself: what a machine must have for it to start (issue 34).
#define BOOST_TEST_MODULE entry_binary
#include "entry_program.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <elf.h>
#include <link.h>

using namespace tamarack;

namespace {

constexpr duration ready_bound = 5s;                 // from a start to readiness, as in entry_process_ends_test
constexpr rlim_t   smallest_host_bytes = 80'000'000; // memory_mb of the smallest host of the platform's sites

using elf_header = ElfW(Ehdr);
using elf_segment = ElfW(Phdr);
using dynamic_entry = ElfW(Dyn);

template <class Record>
Record record_at(std::string_view content, std::size_t offset) {
    BOOST_REQUIRE(offset + sizeof(Record) <= content.size());
    Record record{};
    std::memcpy(&record, content.data() + offset, sizeof record);
    return record;
}

std::vector<elf_segment> segments(std::string_view content) {
    const auto               header = record_at<elf_header>(content, 0);
    std::vector<elf_segment> result;
    for (std::size_t i = 0; i < header.e_phnum; ++i)
        result.push_back(record_at<elf_segment>(content, header.e_phoff + i * sizeof(elf_segment)));
    return result;
}

std::size_t file_offset(std::string_view content, ElfW(Addr) address) {
    for (const elf_segment& segment : segments(content)) {
        const bool contains = address >= segment.p_vaddr && address < segment.p_vaddr + segment.p_filesz;
        if (segment.p_type == PT_LOAD && contains) return segment.p_offset + (address - segment.p_vaddr);
    }
    return content.size();
}

// Names of the shared libraries that the loader looks for before main.
std::vector<std::string> shared_libraries(std::string_view content) {
    std::vector<dynamic_entry> entries;
    for (const elf_segment& segment : segments(content)) {
        if (segment.p_type != PT_DYNAMIC) continue;
        for (std::size_t at = 0; at < segment.p_filesz; at += sizeof(dynamic_entry))
            entries.push_back(record_at<dynamic_entry>(content, segment.p_offset + at));
    }
    const auto names = std::find_if(entries.begin(), entries.end(),
                                    [](const dynamic_entry& entry) { return entry.d_tag == DT_STRTAB; });
    BOOST_REQUIRE(names != entries.end());
    const std::size_t        names_offset = file_offset(content, names->d_un.d_ptr);
    std::vector<std::string> result;
    for (const dynamic_entry& entry : entries)
        if (entry.d_tag == DT_NEEDED) result.emplace_back(content.substr(names_offset + entry.d_un.d_val).data());
    return result;
}

std::string replace_line(std::string text, std::string_view key, const std::string& value) {
    const std::size_t start = text.find(std::string(key) + " = ");
    BOOST_REQUIRE(start != std::string::npos);
    return text.replace(start, text.find('\n', start) - start, std::string(key) + " = " + value);
}

// Libraries of the C library's package, which each machine has. The loader's name differs between processors.
bool belongs_to_c_library(std::string_view library) {
    static constexpr std::array<std::string_view, 4> names{"libc.so.", "libm.so.", "libpthread.so.", "ld-linux-"};
    return std::any_of(names.begin(), names.end(), [&](std::string_view name) { return library.starts_with(name); });
}

} // namespace

BOOST_AUTO_TEST_SUITE(entry_binary)

// Machines that only run the program lack the packages that built it, so that it did not start there.
BOOST_AUTO_TEST_CASE(the_program_needs_no_shared_library_but_the_c_library) {
    const std::vector<std::string> libraries = shared_libraries(read_file(ENTRY_PROGRAM));
    BOOST_TEST(std::count_if(libraries.begin(), libraries.end(),
                             [](const std::string& name) { return name.starts_with("libc.so."); }) == 1);
    for (const std::string& library : libraries)
        BOOST_TEST(belongs_to_c_library(library), library);
}

BOOST_AUTO_TEST_CASE(the_program_becomes_ready_in_the_address_space_of_the_smallest_host) {
    const temporary_folder folder;
    const endpoint         host = loopback_endpoint(120, 0);
    const endpoint         store_address = loopback_endpoint(121, 8'169);
    const store_thread     store(store_address);
    std::string            settings = settings_text("one", host, store_address);
    settings = replace_line(settings, "memory_mb", "80");
    // The template's address is the same for all hosts, and entry_process_ends_test is about that.
    settings = replace_line(settings, "status_address", with_port(host, 9'109).to_string());
    std::ofstream(folder.file("one.ini")) << settings;
    entry_program program(folder.file("one.ini"), folder.file("one.log"));
    program.start({.address_space_limit = smallest_host_bytes});
    BOOST_TEST(wait_until(ready_bound, [&] { return is_ready(host); }), program.log());
    BOOST_TEST(program.is_running());
}

BOOST_AUTO_TEST_SUITE_END()
